package lab

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	simrouting "cairnfront/internal/sim/routing"

	"golang.org/x/sync/errgroup"
)

// minRecoveredShare is what many routers have to keep, after a trouble, of what few have in time. One means that the
// number of
// routers costs nothing.
const minRecoveredShare = 0.8

var thinViewsScenario = Scenario{
	Name: "thin-views",
	Description: "The same traffic seen by 3, 30 and 300 routers on virtual time: a burst with a purge, then a " +
		"lost hub; does service come back",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		for name, trouble := range map[string]simrouting.Fault{
			"burst": simrouting.TrafficBurst,
			"hub":   simrouting.ParentZoneLost,
		} {
			if err := runThinViews(ctx, options, r, name, trouble); err != nil {
				return err
			}
		}
		r.Simulated = true
		r.Steps = append(r.Steps, "the module alone; members, links and clients are numbers on virtual time",
			fmt.Sprintf(
				"from %.0f to %.0f s half as much traffic again and a purge of one group, or half of the "+
					"parents lost and back empty",
				simrouting.Phases[1].From,
				simrouting.Phases[1].To,
			))
		return nil
	},
}

// runThinViews plays one trouble for each number of routers and adds to the report.
func runThinViews(ctx context.Context, options Options, r *report.Report, trouble string, what simrouting.Fault) error {
	counts, seeds := []int{3, 30, 300}, 1
	if options.Full {
		counts, seeds = []int{3, 9, 30, 90, 300, 900}, 4
	}
	played := make([]*simrouting.Result, len(counts)*seeds)
	var g errgroup.Group
	for i := range played {
		g.Go(func() (err error) {
			if err = ctx.Err(); err == nil {
				played[i], err = simrouting.Run(options.Seed+uint64(i%seeds), counts[i/seeds], what)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	seconds := report.Plot{
		Title:  trouble + ": share of txns in time, second by second (first seed)",
		XLabel: "s",
		YLabel: "share",
		Marks: []report.Mark{
			{At: simrouting.Phases[1].From, Name: trouble},
			{At: simrouting.Phases[1].To, Name: "over"},
		},
	}
	curve := report.Plot{
		Title:  trouble + ": share in time by the number of routers, the same traffic",
		XLabel: "routers",
		YLabel: "share",
	}
	curve.Lines = make([]report.Line, len(simrouting.Phases))
	for i, n := range counts {
		l := report.Line{Name: fmt.Sprintf("%d routers", n)}
		for at, share := range played[i*seeds].OnTimePerSecond {
			l.X, l.Y = append(l.X, float64(at)), append(l.Y, share)
		}
		seconds.Lines = append(seconds.Lines, l)
		for p, phase := range simrouting.Phases {
			var sum simrouting.Result
			var txns, inTime, rejected, hops int
			for _, x := range played[i*seeds : (i+1)*seeds] {
				txns, inTime, rejected = txns+x.Requests[phase.Name], inTime+x.OnTime[phase.Name], rejected+x.Rejected[phase.Name]
				hops, sum.Fills, sum.StoredFills = hops+x.Attempts[phase.Name], sum.Fills+x.Fills, sum.StoredFills+x.StoredFills
			}
			name := fmt.Sprintf("%s.%s.%03d", trouble, phase.Name, n)
			of := func(part int) float64 { return float64(part) / max(float64(txns), 1) }
			r.Figures["in_time."+name] = of(inTime)
			r.Figures["rejected."+name] = of(rejected)
			r.Figures["hops_a_txn."+name] = of(hops)
			r.Figures[fmt.Sprintf("fills_kept.%s.%03d", trouble, n)] = float64(sum.StoredFills) / max(float64(sum.Fills), 1)
			curve.Lines[p].Name = phase.Name
			curve.Lines[p].X, curve.Lines[p].Y = append(curve.Lines[p].X, float64(n)), append(curve.Lines[p].Y, of(inTime))
			r.Counts["txns"] += int64(txns)
		}
	}
	r.Plots = append(r.Plots, curve, seconds)
	for _, x := range played {
		r.Rules.Lost += int64(x.Unanswered)
		r.Rules.SecondAnswers += int64(x.AnsweredTwice)
	}
	few, many := r.Figures["in_time."+trouble+".after.003"], r.Figures["in_time."+trouble+".after.300"]
	if r.Figures["after_300_over_3."+trouble] = many / max(few, 1e-9); many < minRecoveredShare*few {
		r.Broke("%s: after it 300 routers have %.3f in time, 3 have %.3f of the same traffic", trouble, many, few)
	}
	return nil
}
