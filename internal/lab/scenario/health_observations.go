package scenario

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	simrouting "cairnfront/internal/sim/routing"

	"golang.org/x/sync/errgroup"
)

// Sizes and bounds of the scenario.
const (
	observationRouters    = 60
	observationWorkers    = 4     // simulations at a time
	maxFailedAttemptShare = 0.8   // of the attempts that a failing edge cache gets without gossip
	maxOnTimeLoss         = 0.005 // of the share on time, that gossip or faulty routers may take
)

var healthObservationsScenario = Scenario{
	Name:       "health-observations",
	ReportName: report.ScenarioHealthObservations,
	Description: "Sixty routers with little traffic each, one edge cache that fails every attempt: with gossip of " +
		"endpoint health, without, and with faulty routers among them",
	Run: runObservations,
}

// gossipVariant is how routers exchange observations of endpoints, and the simulations of that.
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
	gossipHelps(r)
	gossipHarmless(r, report.VariantGossip)
	gossipHarmless(r, report.VariantFaultyGossip)
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

// addFigures reports the attempts at the failing edge cache, and the shares on time by phase.
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

// gossipHelps checks that with gossip fewer attempts go to the failing edge cache.
func gossipHelps(r *report.Report) {
	with := r.Figures[report.Key(report.FailingCacheAttempts, report.VariantGossip)]
	without := r.Figures[report.Key(report.FailingCacheAttempts, report.VariantWithoutGossip)]
	if with > maxFailedAttemptShare*without {
		r.Broke("%.0f attempts failed at the failing edge cache with gossip, %.0f without", with, without)
	}
}

// gossipHarmless checks that a variant with gossip has as many requests on time as the one without.
func gossipHarmless(r *report.Report, variant string) {
	for _, phase := range simrouting.Phases {
		with := r.Figures[report.Key(report.OnTimeShare, variant, phase.Name)]
		without := r.Figures[report.Key(report.OnTimeShare, report.VariantWithoutGossip, phase.Name)]
		if with < without-maxOnTimeLoss {
			r.Broke(
				"%s, %s: %.4f of the requests within their objective, %.4f without gossip",
				report.SuffixLabel(variant), report.SuffixLabel(phase.Name), with, without,
			)
		}
	}
}
