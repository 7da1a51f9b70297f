package lab

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	simrouting "cairnfront/internal/sim/routing"

	"golang.org/x/sync/errgroup"
)

// Bounds of the scenario, at sixty routers.
const (
	rumourRouters         = 60
	maxFailedAttemptShare = 0.8   // of the attempts that a bad edge cache fails without rumours
	maxOnTimeLoss         = 0.005 // of the share in time, that rumours or liars may take
)

var rumoursScenario = Scenario{
	Name: "rumours",
	Description: "Sixty routers that each see little, one box that fails all it is sent: with words between " +
		"routers, without, and with liars among them",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		ways := []struct {
			name string
			talk simrouting.Gossip
		}{{"without", simrouting.Gossip{}}, {"with", simrouting.Gossip{
			Enabled:       true,
			FaultyRouters: 1,
		}}, {"with_liars", simrouting.Gossip{Enabled: true, FaultyRouters: 3}}}
		seeds := 2
		if options.Full {
			seeds = 12
		}
		played := make([]*simrouting.Result, len(ways)*seeds)
		var g errgroup.Group
		g.SetLimit(4)
		for i := range played {
			g.Go(func() (err error) {
				if err = ctx.Err(); err == nil {
					played[i], err = simrouting.RunWithGossip(
						options.Seed+uint64(i%seeds),
						rumourRouters,
						simrouting.FailingCache,
						ways[i/seeds].talk,
					)
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		seconds := report.Plot{
			Title:  "Share of txns in time, second by second (first seed)",
			XLabel: "s",
			YLabel: "share",
			Marks: []report.Mark{
				{At: simrouting.Phases[1].From, Name: "bad box"},
				{At: simrouting.Phases[1].To, Name: "well"},
			},
		}
		for w, way := range ways {
			l := report.Line{Name: way.name}
			for at, share := range played[w*seeds].OnTimePerSecond {
				l.X, l.Y = append(l.X, float64(at)), append(l.Y, share)
			}
			seconds.Lines = append(seconds.Lines, l)
			bad, hops := 0, 0
			for _, x := range played[w*seeds : (w+1)*seeds] {
				bad += x.FailingCacheAttempts
				hops += x.Attempts["trouble"]
				r.Rules.Lost += int64(x.Unanswered)
				r.Rules.SecondAnswers += int64(x.AnsweredTwice)
			}
			r.Figures["bad_hops."+way.name] = float64(bad) / float64(seeds)
			for _, p := range simrouting.Phases {
				txns, good := 0, 0
				for _, x := range played[w*seeds : (w+1)*seeds] {
					txns, good = txns+x.Requests[p.Name], good+x.OnTime[p.Name]
				}
				r.Figures["in_time."+way.name+"."+p.Name] = float64(good) / max(float64(txns), 1)
				r.Counts["txns"] += int64(txns)
			}
		}
		r.Simulated = true
		r.Plots = append(r.Plots, seconds)
		r.Steps = append(r.Steps, fmt.Sprintf(
			"%d routers of the module over 12 caches on virtual time, %d seeds; one cache fails all it is "+
				"sent from %.0f to %.0f s",
			rumourRouters,
			seeds,
			simrouting.Phases[1].From,
			simrouting.Phases[1].To,
		),
			"with_liars: three routers say of every member, each second, that it fails")
		if a, b := r.Figures["bad_hops.with"], r.Figures["bad_hops.without"]; a > maxFailedAttemptShare*b {
			r.Broke("%.0f hops failed at the bad box with rumours, %.0f without", a, b)
		}
		for _, w := range []string{"with", "with_liars"} {
			for _, p := range simrouting.Phases {
				if a, b := r.Figures["in_time."+w+"."+p.Name], r.Figures["in_time.without."+p.Name]; a < b-maxOnTimeLoss {
					r.Broke("%s, %s: %.4f in time, %.4f without rumours", w, p.Name, a, b)
				}
			}
		}
		return nil
	},
}
