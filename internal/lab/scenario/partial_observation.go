package scenario

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	simrouting "cairnfront/internal/sim/routing"

	"golang.org/x/sync/errgroup"
)

// minRecoveredShare is the minimum share of requests on time with many routers after a fault, relative to the share
// with few routers. At 1, the number of routers makes no difference.
const minRecoveredShare = 0.8

var partialObservationScenario = Scenario{
	Name:       "partial-observation",
	ReportName: report.ScenarioPartialObservation,
	Description: "The same traffic divided among 3, 30 and 300 routers on virtual time: recovery from a burst with a " +
		"purge, and from a lost parent zone",
	Run: runPartialObservation,
}

func runPartialObservation(ctx context.Context, options Options, r *report.Report) error {
	for _, fault := range []namedFault{
		{report.VariantTrafficBurst, simrouting.TrafficBurst},
		{report.VariantParentZoneLost, simrouting.ParentZoneLost},
	} {
		runs, err := simulatePartialObservation(ctx, options, fault)
		if err != nil {
			return err
		}
		runs.addFigures(r)
		runs.addPlots(r)
		runs.verify(r)
	}
	r.Simulated = true
	r.Steps = append(
		r.Steps,
		"the routing module alone; endpoints, links and clients are simulated on virtual time",
		fmt.Sprintf(
			"from %.0f to %.0f s 50%% more traffic and a purge of one group, or half of the "+
				"parent caches lost and back empty",
			faultPhase.From,
			faultPhase.To,
		),
	)
	return nil
}

// faultPhase is the phase of a simulation in which the fault is active.
var faultPhase = simrouting.Phases[1]

// recoveryPhase is the phase after the fault.
var recoveryPhase = simrouting.Phases[2]

// namedFault is a fault and its name in the report.
type namedFault struct {
	name  string
	fault simrouting.Fault
}

// partialObservationRuns are the simulations of one fault.
type partialObservationRuns struct {
	fault   namedFault
	counts  []int                  // numbers of routers
	results [][]*simrouting.Result // indexed like counts, then by seed
}

// simulatePartialObservation simulates a fault for each number of routers and each seed.
func simulatePartialObservation(
	ctx context.Context, options Options, fault namedFault,
) (*partialObservationRuns, error) {
	runs := &partialObservationRuns{fault: fault, counts: []int{3, 30, 300}}
	seeds := 1
	if options.Full {
		runs.counts, seeds = []int{3, 9, 30, 90, 300, 900}, 4
	}
	var group errgroup.Group
	for i, routers := range runs.counts {
		runs.results = append(runs.results, make([]*simrouting.Result, seeds))
		for seed := range seeds {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				result, err := simrouting.Run(options.Seed+uint64(seed), routers, fault.fault)
				runs.results[i][seed] = result
				return err
			})
		}
	}
	return runs, group.Wait()
}

// figureName returns the key suffix of the figures for a phase and a number of routers.
func (runs *partialObservationRuns) figureName(phase string, routers int) string {
	return report.Key(runs.fault.name, phase, routerCountSuffix(routers))
}

// routerCountSuffix returns the key suffix for a number of routers.
func routerCountSuffix(routers int) string { return fmt.Sprintf("%03d", routers) }

// label returns the printed name of the fault.
func (runs *partialObservationRuns) label() string {
	return report.SuffixLabel(runs.fault.name)
}

// addFigures reports shares of the requests by phase and number of routers.
func (runs *partialObservationRuns) addFigures(r *report.Report) {
	for i, routers := range runs.counts {
		fills, storedFills := 0, 0
		for _, result := range runs.results[i] {
			fills += result.Fills
			storedFills += result.StoredFills
			r.Rules.Lost += int64(result.Unanswered)
			r.Rules.SecondAnswers += int64(result.AnsweredTwice)
		}
		storedShare := report.Key(report.StoredFillShare, runs.fault.name, routerCountSuffix(routers))
		r.Figures[storedShare] = ratio(storedFills, fills)
		for _, phase := range simrouting.Phases {
			requests, onTime, rejected, attempts := 0, 0, 0, 0
			for _, result := range runs.results[i] {
				requests += result.Requests[phase.Name]
				onTime += result.OnTime[phase.Name]
				rejected += result.Rejected[phase.Name]
				attempts += result.Attempts[phase.Name]
			}
			name := runs.figureName(phase.Name, routers)
			r.Figures[report.Key(report.OnTimeShare, name)] = ratio(onTime, requests)
			r.Figures[report.Key(report.Rejected, name)] = ratio(rejected, requests)
			r.Figures[report.Key(report.AttemptsPerRequest, name)] = ratio(attempts, requests)
			r.Counts[report.Requests] += int64(requests)
		}
	}
}

// addPlots adds plots of the share of requests on time, by number of routers and by second.
func (runs *partialObservationRuns) addPlots(r *report.Report) {
	curve := report.Plot{
		Title:  runs.label() + ": share within the latency objective by the number of routers, the same traffic",
		XLabel: "routers",
		YLabel: "share",
	}
	for _, phase := range simrouting.Phases {
		line := report.Line{Name: report.SuffixLabel(phase.Name)}
		for _, routers := range runs.counts {
			line.Add(float64(routers), r.Figures[report.Key(report.OnTimeShare, runs.figureName(phase.Name, routers))])
		}
		curve.Lines = append(curve.Lines, line)
	}
	perSecond := report.Plot{
		Title:  runs.label() + ": share of requests within their latency objective, by second (first seed)",
		XLabel: "s",
		YLabel: "share",
		Marks: []report.Mark{
			{At: faultPhase.From, Name: runs.label()},
			{At: faultPhase.To, Name: "end of the fault"},
		},
	}
	for i, routers := range runs.counts {
		name := fmt.Sprintf("%d routers", routers)
		perSecond.Lines = append(perSecond.Lines, onTimeLine(name, runs.results[i][0]))
	}
	r.Plots = append(r.Plots, curve, perSecond)
}

// verify checks that many routers recover from the fault as few routers do.
func (runs *partialObservationRuns) verify(r *report.Report) {
	few := r.Figures[report.Key(report.OnTimeShare, runs.figureName(recoveryPhase.Name, 3))]
	many := r.Figures[report.Key(report.OnTimeShare, runs.figureName(recoveryPhase.Name, 300))]
	r.Figures[report.Key(report.ManyOverFewRouters, runs.fault.name)] = many / max(few, 1e-9)
	if many < minRecoveredShare*few {
		r.AddViolation(
			"%s: afterwards 300 routers have %.3f of the requests within their objective, 3 routers have %.3f",
			runs.label(), many, few,
		)
	}
}

// onTimeLine returns the share of a simulation's requests within their latency objective by second, as a line.
func onTimeLine(name string, result *simrouting.Result) report.Line {
	line := report.Line{Name: name}
	for second, share := range result.OnTimePerSecond {
		line.Add(float64(second), share)
	}
	return line
}

// ratio returns the ratio of a part to a total, or 0 if the total is 0.
func ratio(part, total int) float64 { return float64(part) / max(float64(total), 1) }
