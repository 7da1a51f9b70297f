package lab

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sort"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/lab/report"

	"golang.org/x/sync/errgroup"
)

// A video-like day: views of objects by Zipf's law, parts one after another, many views that end early, objects that
// are new and soon forgotten, a publication night with a few of them wanted by all.
const (
	dayObjects          = 20000
	zipfExponent        = 0.8 // of Zipf's law: as request logs of videos show, under 1
	minParts            = 11  // as the users' objects have
	maxParts            = 19
	partBytes           = 1 << 21 // the paper's chunk
	continueProbability = 0.88    // that a view goes on to the next part
	partPause           = 0.6     // s between a view's parts
	freshShare          = 0.15    // of views that go to objects published in the last hours
	freshLives          = 4 * 3600.0
	nightAt             = 0.8  // of the day: the publication
	nightLength         = 0.08 // of the day
	nightObjects        = 40
	nightShare          = 0.5 // of the night's views
	dayLength           = 86400.0
	measuredFrom        = 0.4 // of the day: before, the disks fill
)

type request struct {
	at   float64
	key  eviction.Key
	size int64
}

// generateDay draws so many requests.
func generateDay(seed uint64, n int) []request {
	r := rand.New(rand.NewPCG(seed, 0xda7))
	cum := make([]float64, dayObjects)
	sum := 0.0
	for i := range cum {
		sum += math.Pow(float64(i+1), -zipfExponent)
		cum[i] = sum
	}
	parts := func(o uint64) int { return minParts + int(o*2654435761>>7%uint64(maxParts-minParts+1)) }
	out := make([]request, 0, n+maxParts)
	views := float64(n) * (1 - continueProbability) * 1.15 // a view has 1/(1-stay) parts at the most
	for len(out) < n {
		at := r.Float64() * dayLength
		if wave := 0.6 + 0.4*math.Sin(2*math.Pi*(at/dayLength-0.4)); r.Float64() > wave {
			continue
		}
		var o uint64
		night := at/dayLength - nightAt
		switch {
		case night > 0 && night < nightLength && r.Float64() < nightShare:
			o = 1_000_000 + uint64(r.IntN(nightObjects))
		case r.Float64() < freshShare: // one of those published lately, the younger the likelier
			age := -math.Log(1-r.Float64()) * freshLives / 3
			o = 2_000_000 + uint64((at-min(age, at))/dayLength*views*0.05)
		default:
			o = uint64(sort.SearchFloat64s(cum, r.Float64()*sum))
		}
		last := parts(o)
		from := 0
		if r.Float64() < 0.1 { // somebody skips ahead
			from = r.IntN(last)
		}
		for p := from; p < last; p++ {
			out = append(out, request{at, eviction.Key{Object: o, Chunk: uint32(p)}, partBytes})
			at += partPause * (0.6 + 0.8*r.Float64())
			if r.Float64() > continueProbability {
				break
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out[:min(n, len(out))]
}

// efficiency is the paper's Eq. 2 over the judged part of the day, and the shares that were filled and passed.
func efficiency(day []request, p eviction.Policy, alpha float64) (eff, filled, passed float64) {
	cf, cr := 2*alpha/(alpha+1), 2/(alpha+1)
	var asked, fill, pass float64
	for _, q := range day {
		c := p.Request(q.at, q.key, q.size)
		if q.at < measuredFrom*dayLength {
			continue
		}
		asked += float64(q.size)
		switch {
		case c.Cached:
		case c.Admit:
			fill += float64(q.size)
		default:
			pass += float64(q.size)
		}
	}
	return 1 - fill/asked*cf - pass/asked*cr, fill / asked, pass / asked
}

var admitSizes = []float64{0.02, 0.05, 0.1} // of the bytes of all standing objects

var admitAlphas = []float64{0.5, 1, 2, 4}

var diskAdmitScenario = Scenario{
	Name: "disk-admit",
	Description: "What a disk should keep: the tier's choice against LRU and xLRU over a video-like day, by the " +
		"paper's Eq. 2",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		n := 100_000
		if options.Full {
			n = 1_000_000
		}
		day := generateDay(options.Seed, n)
		distinct := map[eviction.Key]bool{}
		for _, q := range day {
			distinct[q.key] = true
		}
		all := float64(len(distinct)) * partBytes
		r.Counts["requests"], r.Counts["parts"] = int64(len(day)), int64(len(distinct))
		r.Steps = append(r.Steps, fmt.Sprintf(
			"%d requests of one day for %d parts of 2 MiB; disks of 2%%, 5%% and 10%% of the bytes of all of them",
			len(day),
			len(distinct),
		),
			fmt.Sprintf(
				"judged from %.0f%% of the day on; a simulation of the choice alone, no disk is written",
				measuredFrom*100,
			))
		policies := []struct {
			name string
			make func(size int64, alpha float64) eviction.Policy
		}{
			{"lru", func(size int64, _ float64) eviction.Policy { return eviction.NewLRU(size) }},
			{"xlru", func(size int64, a float64) eviction.Policy { return eviction.NewXLRU(size, a) }},
			{"tier", func(size int64, a float64) eviction.Policy {
				return eviction.NewCafe(eviction.Config{Alpha: a, CapacityBytes: size, MaxGhosts: len(distinct)})
			}},
		}
		type cell struct{ p, size, alpha int }
		got := map[cell][3]float64{}
		results := make(chan func(), 64)
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(runtime.GOMAXPROCS(0))
		go func() {
			for pi, p := range policies {
				for si, share := range admitSizes {
					for ai, alpha := range admitAlphas {
						g.Go(func() error {
							if ctx.Err() != nil {
								return ctx.Err()
							}
							e, f, q := efficiency(day, p.make(int64(all*share), alpha), alpha)
							results <- func() { got[cell{pi, si, ai}] = [3]float64{e, f, q} }
							return nil
						})
					}
				}
			}
			_ = g.Wait()
			close(results)
		}()
		done := 0
		for f := range results {
			f()
			done++
			options.Progress("%d of %d runs", done, len(policies)*len(admitSizes)*len(admitAlphas))
		}
		if err := ctx.Err(); err != nil && len(got) < len(policies)*len(admitSizes)*len(admitAlphas) {
			return err
		}
		for pi, p := range policies {
			for si, share := range admitSizes {
				for ai, alpha := range admitAlphas {
					x := got[cell{pi, si, ai}]
					name := fmt.Sprintf("%s.disk%g%%.alpha%g", p.name, share*100, alpha)
					r.Figures["efficiency."+name] = x[0]
					if share == admitSizes[1] {
						r.Figures["filled."+name], r.Figures["passed."+name] = x[1], x[2]
					}
				}
			}
		}
		for si, share := range admitSizes {
			pl := report.Plot{
				Title:  fmt.Sprintf("Efficiency with a disk of %g%% of all bytes", share*100),
				XLabel: "alpha (cost of a fill over that of a pass)",
				YLabel: "efficiency (Eq. 2)",
			}
			for pi, p := range policies {
				l := report.Line{Name: p.name}
				for ai, alpha := range admitAlphas {
					l.X, l.Y = append(l.X, alpha), append(l.Y, got[cell{pi, si, ai}][0])
				}
				pl.Lines = append(pl.Lines, l)
			}
			r.Plots = append(r.Plots, pl)
		}
		// What must hold whatever the day: where fills are dear the tier's choice beats taking everything and beats
		// xLRU, and it fills less the dearer fills are.
		for si, share := range admitSizes {
			tierAt := func(ai int) [3]float64 { return got[cell{2, si, ai}] }
			for ai, alpha := range admitAlphas {
				if alpha >= 2 && tierAt(ai)[0] < got[cell{1, si, ai}][0] {
					r.Broke(
						"disk %g%%, alpha %g: the tier's choice has %.3f, xLRU %.3f",
						share*100,
						alpha,
						tierAt(ai)[0],
						got[cell{1, si, ai}][0],
					)
				}
				if alpha >= 1 && tierAt(ai)[0] < got[cell{0, si, ai}][0] {
					r.Broke(
						"disk %g%%, alpha %g: the tier's choice has %.3f, LRU %.3f",
						share*100,
						alpha,
						tierAt(ai)[0],
						got[cell{0, si, ai}][0],
					)
				}
			}
			if tierAt(3)[1] > tierAt(0)[1] {
				r.Broke("disk %g%%: more is filled at alpha 4 than at 0.5", share*100)
			}
		}
		// How much disk xLRU needs for what the tier's choice reaches at alpha 2 with the middle size.
		want, needs := got[cell{2, 1, 2}][0], math.NaN()
		for times := 1.0; times <= 4; times += 0.25 {
			if e, _, _ := efficiency(day, eviction.NewXLRU(int64(all*admitSizes[1]*times), 2), 2); e >= want {
				needs = times
				break
			}
			options.Progress("xLRU with %.2f times the disk", times)
		}
		r.Figures["xlru_disk_for_the_same"] = needs
		if math.IsNaN(needs) {
			r.Figures["xlru_disk_for_the_same"] = 4.25 // more than was tried
		}
		return nil
	},
}
