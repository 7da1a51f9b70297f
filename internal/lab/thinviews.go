package lab

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	simrouting "cairnfront/internal/sim/routing"

	"golang.org/x/sync/errgroup"
)

// minRecoveredShare is what many routers have to keep, after a fault, of the share in time that few have. One means
// that the number of routers costs nothing.
const minRecoveredShare = 0.8

var thinViewsScenario = Scenario{
	Name: "thin-views",
	Description: "The same traffic seen by 3, 30 and 300 routers on virtual time: a burst with a purge, then a " +
		"lost hub; does service come back",
	Run: runThinViews,
}

func runThinViews(ctx context.Context, options Options, r *report.Report) error {
	for _, fault := range []namedFault{
		{"burst", simrouting.TrafficBurst},
		{"hub", simrouting.ParentZoneLost},
	} {
		runs, err := simulateThinViews(ctx, options, fault)
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
		"the module alone; members, links and clients are numbers on virtual time",
		fmt.Sprintf(
			"from %.0f to %.0f s half as much traffic again and a purge of one group, or half of the "+
				"parents lost and back empty",
			faultPhase.From,
			faultPhase.To,
		),
	)
	return nil
}

// faultPhase is the phase of a simulation in which its fault lasts.
var faultPhase = simrouting.Phases[1]

// namedFault is a fault and its name in the report.
type namedFault struct {
	name  string
	fault simrouting.Fault
}

// thinViewRuns are the simulations of one fault.
type thinViewRuns struct {
	fault   namedFault
	counts  []int                  // of routers
	results [][]*simrouting.Result // by the index of the count, then by seed
}

// simulateThinViews simulates a fault for each number of routers and each seed.
func simulateThinViews(ctx context.Context, options Options, fault namedFault) (*thinViewRuns, error) {
	runs := &thinViewRuns{fault: fault, counts: []int{3, 30, 300}}
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

// figureName is the name of a count of routers in the report's figures.
func (runs *thinViewRuns) figureName(phase string, routers int) string {
	return fmt.Sprintf("%s.%s.%03d", runs.fault.name, phase, routers)
}

// addFigures reports shares of the requests, by the phase and the number of routers.
func (runs *thinViewRuns) addFigures(r *report.Report) {
	for i, routers := range runs.counts {
		fills, storedFills := 0, 0
		for _, result := range runs.results[i] {
			fills += result.Fills
			storedFills += result.StoredFills
			r.Rules.Lost += int64(result.Unanswered)
			r.Rules.SecondAnswers += int64(result.AnsweredTwice)
		}
		r.Figures[fmt.Sprintf("fills_kept.%s.%03d", runs.fault.name, routers)] = ratio(storedFills, fills)
		for _, phase := range simrouting.Phases {
			requests, onTime, rejected, attempts := 0, 0, 0, 0
			for _, result := range runs.results[i] {
				requests += result.Requests[phase.Name]
				onTime += result.OnTime[phase.Name]
				rejected += result.Rejected[phase.Name]
				attempts += result.Attempts[phase.Name]
			}
			name := runs.figureName(phase.Name, routers)
			r.Figures["in_time."+name] = ratio(onTime, requests)
			r.Figures["rejected."+name] = ratio(rejected, requests)
			r.Figures["hops_a_txn."+name] = ratio(attempts, requests)
			r.Counts["txns"] += int64(requests)
		}
	}
}

// addPlots adds the share in time by the number of routers, and by the second.
func (runs *thinViewRuns) addPlots(r *report.Report) {
	curve := report.Plot{
		Title:  runs.fault.name + ": share in time by the number of routers, the same traffic",
		XLabel: "routers",
		YLabel: "share",
	}
	for _, phase := range simrouting.Phases {
		line := report.Line{Name: phase.Name}
		for _, routers := range runs.counts {
			line.Add(float64(routers), r.Figures["in_time."+runs.figureName(phase.Name, routers)])
		}
		curve.Lines = append(curve.Lines, line)
	}
	perSecond := report.Plot{
		Title:  runs.fault.name + ": share of txns in time, second by second (first seed)",
		XLabel: "s",
		YLabel: "share",
		Marks: []report.Mark{
			{At: faultPhase.From, Name: runs.fault.name},
			{At: faultPhase.To, Name: "over"},
		},
	}
	for i, routers := range runs.counts {
		name := fmt.Sprintf("%d routers", routers)
		perSecond.Lines = append(perSecond.Lines, onTimeLine(name, runs.results[i][0]))
	}
	r.Plots = append(r.Plots, curve, perSecond)
}

// verify checks that many routers recover from the fault as few do.
func (runs *thinViewRuns) verify(r *report.Report) {
	few := r.Figures["in_time."+runs.figureName("after", 3)]
	many := r.Figures["in_time."+runs.figureName("after", 300)]
	r.Figures["after_300_over_3."+runs.fault.name] = many / max(few, 1e-9)
	if many < minRecoveredShare*few {
		r.Broke(
			"%s: after it 300 routers have %.3f in time, 3 have %.3f of the same traffic", runs.fault.name, many, few,
		)
	}
}

// onTimeLine is the share of a simulation's requests in time, second by second.
func onTimeLine(name string, result *simrouting.Result) report.Line {
	line := report.Line{Name: name}
	for second, share := range result.OnTimePerSecond {
		line.Add(float64(second), share)
	}
	return line
}

// ratio is a part of a whole, 0 where the whole is 0.
func ratio(part, whole int) float64 { return float64(part) / max(float64(whole), 1) }
