package lab

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
	maxOnTimeLoss         = 0.005 // of the share in time, that gossip or faulty routers may take
)

var observationsScenario = Scenario{
	Name: "rumours",
	Description: "Sixty routers that each see little, one box that fails all it is sent: with words between " +
		"routers, without, and with liars among them",
	Run: runObservations,
}

// gossipVariant is one way in which routers tell each other of endpoints, and its simulations.
type gossipVariant struct {
	name    string
	gossip  simrouting.Gossip
	results []*simrouting.Result // by seed
}

func runObservations(ctx context.Context, options Options, r *report.Report) error {
	variants := []*gossipVariant{
		{name: "without"},
		{name: "with", gossip: simrouting.Gossip{Enabled: true, FaultyRouters: 1}},
		{name: "with_liars", gossip: simrouting.Gossip{Enabled: true, FaultyRouters: 3}},
	}
	seeds := 2
	if options.Full {
		seeds = 12
	}
	if err := simulateGossip(ctx, options, variants, seeds); err != nil {
		return err
	}
	plot := report.Plot{
		Title:  "Share of txns in time, second by second (first seed)",
		XLabel: "s",
		YLabel: "share",
		Marks: []report.Mark{
			{At: faultPhase.From, Name: "bad box"},
			{At: faultPhase.To, Name: "well"},
		},
	}
	for _, variant := range variants {
		variant.addFigures(r)
		plot.Lines = append(plot.Lines, onTimeLine(variant.name, variant.results[0]))
	}
	gossipHelps(r)
	gossipHarmless(r, "with")
	gossipHarmless(r, "with_liars")
	r.Simulated = true
	r.Plots = append(r.Plots, plot)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d routers of the module over 12 caches on virtual time, %d seeds; one cache fails all it is "+
				"sent from %.0f to %.0f s",
			observationRouters,
			seeds,
			faultPhase.From,
			faultPhase.To,
		),
		"with_liars: three routers say of every member, each second, that it fails",
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

// addFigures reports the attempts at the failing edge cache, and the shares in time by phase.
func (variant *gossipVariant) addFigures(r *report.Report) {
	failed := 0
	for _, result := range variant.results {
		failed += result.FailingCacheAttempts
		r.Rules.Lost += int64(result.Unanswered)
		r.Rules.SecondAnswers += int64(result.AnsweredTwice)
	}
	r.Figures["bad_hops."+variant.name] = float64(failed) / float64(len(variant.results))
	for _, phase := range simrouting.Phases {
		requests, onTime := 0, 0
		for _, result := range variant.results {
			requests += result.Requests[phase.Name]
			onTime += result.OnTime[phase.Name]
		}
		r.Figures["in_time."+variant.name+"."+phase.Name] = ratio(onTime, requests)
		r.Counts["txns"] += int64(requests)
	}
}

// gossipHelps checks that with gossip fewer attempts go to the failing edge cache.
func gossipHelps(r *report.Report) {
	with, without := r.Figures["bad_hops.with"], r.Figures["bad_hops.without"]
	if with > maxFailedAttemptShare*without {
		r.Broke("%.0f hops failed at the bad box with rumours, %.0f without", with, without)
	}
}

// gossipHarmless checks that a variant with gossip has as many requests in time as the one without.
func gossipHarmless(r *report.Report, variant string) {
	for _, phase := range simrouting.Phases {
		with := r.Figures["in_time."+variant+"."+phase.Name]
		without := r.Figures["in_time.without."+phase.Name]
		if with < without-maxOnTimeLoss {
			r.Broke("%s, %s: %.4f in time, %.4f without rumours", variant, phase.Name, with, without)
		}
	}
}
