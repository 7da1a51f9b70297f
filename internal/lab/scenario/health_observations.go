package scenario

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	simrouting "cairnfront/internal/sim/routing"

	"golang.org/x/sync/errgroup"
)

// Sizes and limits of the scenario.
const (
	observationRouters    = 60
	observationWorkers    = 4     // number of parallel simulations
	maxFailedAttemptShare = 0.8   // maximum ratio of attempts at a failing edge cache with gossip to those without
	maxOnTimeDecrease     = 0.005 // maximum decrease of the share of requests on time by gossip or faulty routers
)

var healthObservationsScenario = Scenario{
	Name:       "health-observations",
	ReportName: report.ScenarioHealthObservations,
	Description: "Sixty routers with little traffic each, one edge cache that fails every attempt: with gossip of " +
		"endpoint health, without, and with faulty routers among them",
	Run: runObservations,
}

// gossipVariant is a way in which routers exchange health observations of endpoints, with its simulation results.
type gossipVariant struct {
	name    string
	gossip  simrouting.Gossip
	results []*simrouting.Result // by seed
}

func runObservations(ctx context.Context, options Options, r *report.Report) error {
	variants := []*gossipVariant{
		{name: report.VariantWithoutGossip},
		{name: report.VariantGossip, gossip: simrouting.Gossip{Enabled: true, FaultyRouters: 1}},
		{name: report.VariantFaultyGossip, gossip: simrouting.Gossip{Enabled: true, FaultyRouters: 3}},
	}
	seeds := 2
	if options.Full {
		seeds = 12
	}
	if err := simulateGossip(ctx, options, variants, seeds); err != nil {
		return err
	}
	plot := report.Plot{
		Title:  "Share of requests within their latency objective, by second (first seed)",
		XLabel: "s",
		YLabel: "share",
		Marks: []report.Mark{
			{At: faultPhase.From, Name: "edge cache fails"},
			{At: faultPhase.To, Name: "edge cache recovers"},
		},
	}
	for _, variant := range variants {
		variant.addFigures(r)
		plot.Lines = append(plot.Lines, onTimeLine(report.SuffixLabel(variant.name), variant.results[0]))
	}
	checkGossipReducesFailures(r)
	checkGossipOnTimeShare(r, report.VariantGossip)
	checkGossipOnTimeShare(r, report.VariantFaultyGossip)
	r.Simulated = true
	r.Plots = append(r.Plots, plot)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d routers' routing modules over 12 edge caches on virtual time, %d seeds; one edge cache fails every "+
				"attempt from %.0f to %.0f s",
			observationRouters,
			seeds,
			faultPhase.From,
			faultPhase.To,
		),
		"with gossip and faulty routers: three routers report every second that every endpoint fails",
	)
	return nil
}

// simulateGossip simulates each variant with each seed.
func simulateGossip(ctx context.Context, options Options, variants []*gossipVariant, seeds int) error {
	var group errgroup.Group
	group.SetLimit(observationWorkers)
	for _, variant := range variants {
		variant.results = make([]*simrouting.Result, seeds)
		for seed := range seeds {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				result, err := simrouting.RunWithGossip(
					options.Seed+uint64(seed),
					observationRouters,
					simrouting.FailingCache,
					variant.gossip,
				)
				variant.results[seed] = result
				return err
			})
		}
	}
	return group.Wait()
}

// addFigures reports the attempts at the failing edge cache, and the shares of requests on time by phase.
func (variant *gossipVariant) addFigures(r *report.Report) {
	failed := 0
	for _, result := range variant.results {
		failed += result.FailingCacheAttempts
		r.Rules.Lost += int64(result.Unanswered)
		r.Rules.SecondAnswers += int64(result.AnsweredTwice)
	}
	r.Figures[report.Key(report.FailingCacheAttempts, variant.name)] = float64(failed) / float64(len(variant.results))
	for _, phase := range simrouting.Phases {
		requests, onTime := 0, 0
		for _, result := range variant.results {
			requests += result.Requests[phase.Name]
			onTime += result.OnTime[phase.Name]
		}
		r.Figures[report.Key(report.OnTimeShare, variant.name, phase.Name)] = ratio(onTime, requests)
		r.Counts[report.Requests] += int64(requests)
	}
}

// checkGossipReducesFailures checks that with gossip fewer attempts go to the failing edge cache.
func checkGossipReducesFailures(r *report.Report) {
	with := r.Figures[report.Key(report.FailingCacheAttempts, report.VariantGossip)]
	without := r.Figures[report.Key(report.FailingCacheAttempts, report.VariantWithoutGossip)]
	if with > maxFailedAttemptShare*without {
		r.AddViolation("%.0f attempts failed at the failing edge cache with gossip, %.0f without", with, without)
	}
}

// checkGossipOnTimeShare checks that a variant with gossip has as many requests on time as the variant without.
func checkGossipOnTimeShare(r *report.Report, variant string) {
	for _, phase := range simrouting.Phases {
		with := r.Figures[report.Key(report.OnTimeShare, variant, phase.Name)]
		without := r.Figures[report.Key(report.OnTimeShare, report.VariantWithoutGossip, phase.Name)]
		if with < without-maxOnTimeDecrease {
			r.AddViolation(
				"%s, %s: %.4f of the requests within their objective, %.4f without gossip",
				report.SuffixLabel(variant), report.SuffixLabel(phase.Name), with, without,
			)
		}
	}
}
