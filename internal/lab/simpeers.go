package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"sync"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"
	simmembership "cairnfront/internal/sim/membership"

	"golang.org/x/sync/errgroup"
)

// SimPeers is what 'lab sim peers' plays: the cores of peers on virtual time.
type SimPeers struct {
	From, To uint64 // seeds
	Sizes    []int
	Losses   []float64
	Scripts  int // acts of a drawn script a seed; 0: the curves of detection, false drops and bytes
	Peers    int // of a drawn script
	Hostile  int
	Script   string // file of one script to be played instead
	Tell     func(form string, args ...any)
}

// Bounds that drawn scripts are held to. A drop that a script gives no reason for is a failure of the detection, not of the
// invariants: it is counted, and has to be rare.
const (
	simLasts     = 60.0  // s of a play
	simLiars     = 1     //
	mostWrong    = 0.002 // wrong drops a play and peer
	longKill     = 18.0  // s: SWIM as published needs up to 13 s at 3,000
	largestJoin  = 400   // more than these know each other from the start: what is measured is not the joining
	shortenPlays = 200
)

// Run plays and reports.
func (c SimPeers) Run(ctx context.Context) (*report.Report, error) {
	if c.Tell == nil {
		c.Tell = func(string, ...any) {}
	}
	r := &report.Report{Scenario: "sim-peers", Seed: c.From, Size: fmt.Sprintf("%d seeds", c.To-c.From+1), Counts: map[string]int64{}, Figures: map[string]float64{}, Broken: []string{}, Simulated: true}
	var err error
	switch {
	case c.Script != "":
		err = c.one(r)
	case c.Scripts > 0:
		err = c.drawn(ctx, r)
	default:
		err = c.curves(ctx, r)
	}
	r.Held = len(r.Broken) == 0
	return r, err
}

// curves compares our core with SWIM as published on the same scripts.
func (c SimPeers) curves(ctx context.Context, r *report.Report) error {
	type point struct {
		size  int
		loss  float64
		plain bool
	}
	var points []point
	for _, n := range c.Sizes {
		for _, loss := range c.Losses {
			points = append(points, point{n, loss, false}, point{n, loss, true})
		}
	}
	seeds := int(c.To - c.From + 1)
	results := make([]*simmembership.Result, len(points)*seeds)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(runtime.NumCPU()-1, 1))
	for i := range results {
		g.Go(func() (err error) {
			if err = ctx.Err(); err != nil {
				return err
			}
			p := points[i/seeds]
			c.Tell("%d peers, %.0f%% lost, plain %v", p.size, p.loss*100, p.plain)
			s := faults.Script{Seed: c.From + uint64(i%seeds), Processes: p.size, Duration: simLasts}
			if p.loss > 0 {
				s.Faults = append(s.Faults, faults.Fault{Kind: faults.Loss, Share: p.loss})
			}
			for k := range 2 {
				at := 15 + 20*float64(k)
				s.Faults = append(s.Faults, faults.Fault{Kind: faults.Kill, Start: at, End: at + longKill, From: []int{(7*k + int(s.Seed)) % p.size}})
			}
			results[i], err = simmembership.Run(simmembership.Config{Script: s, SWIM: swim.Config{MaxByzantine: simLiars, PublishedSWIM: p.plain}, Preloaded: p.size > largestJoin})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	detect := report.Plot{Title: "From a kill until half of the others know, and until 99 in 100 do", XLabel: "peers", YLabel: "s"}
	wrong := report.Plot{Title: "Wrong drops a minute a peer", XLabel: "peers", YLabel: "drops"}
	bytes := report.Plot{Title: "KB a second a peer, with two kills and returns in 48 s", XLabel: "peers", YLabel: "KB/s"}
	var ours, plain int
	for _, loss := range c.Losses {
		for _, isPlain := range []bool{false, true} {
			name := fmt.Sprintf("%.0f%% lost", loss*100)
			if isPlain {
				name = "SWIM, " + name
			}
			p50, p99, w, b := report.Line{Name: name + ", p50"}, report.Line{Name: name + ", p99"}, report.Line{Name: name}, report.Line{Name: name}
			for i, p := range points {
				if p.loss != loss || p.plain != isPlain {
					continue
				}
				var all []float64
				drops, rate, suspicions := 0, 0.0, 0
				for _, x := range results[i*seeds : (i+1)*seeds] {
					all = append(all, x.DetectionSeconds...)
					drops += x.FalseFailures
					rate += x.BytesPerSecond / float64(seeds)
					suspicions += x.Suspicions
					r.Counts["resurrected"] += int64(x.Resurrected)
				}
				if isPlain {
					plain += drops
				} else {
					ours += drops
				}
				sort.Float64s(all)
				at := fmt.Sprintf(".%04d.loss%02.0f", p.size, loss*100)
				if isPlain {
					at = ".swim" + at
				}
				if len(all) > 0 {
					r.Figures["detect_p50_s"+at], r.Figures["detect_p99_s"+at] = all[len(all)/2], all[int(0.99*float64(len(all)-1))]
					p50.X, p50.Y = append(p50.X, float64(p.size)), append(p50.Y, all[len(all)/2])
					p99.X, p99.Y = append(p99.X, float64(p.size)), append(p99.Y, all[int(0.99*float64(len(all)-1))])
				}
				r.Figures["wrong"+at], r.Figures["bytes_s"+at] = float64(drops), rate
				r.Figures["suspicions"+at] = float64(suspicions)
				w.X, w.Y = append(w.X, float64(p.size)), append(w.Y, float64(drops)/float64(p.size*seeds)*60/(simLasts-12))
				b.X, b.Y = append(b.X, float64(p.size)), append(b.Y, rate/1000)
			}
			detect.Lines = append(detect.Lines, p50, p99)
			wrong.Lines, bytes.Lines = append(wrong.Lines, w), append(bytes.Lines, b)
		}
	}
	r.Plots = append(r.Plots, detect, wrong, bytes)
	r.Counts["wrong"], r.Counts["wrong_swim"] = int64(ours), int64(plain)
	r.Steps = append(r.Steps, fmt.Sprintf("%d seeds of %.0f s each, two kills and returns; the same scripts with SWIM as published (fixed suspicion, one accuser believed)", seeds, simLasts))
	if r.Counts["resurrected"] > 0 {
		r.Broke("%d peers came back without a higher incarnation", r.Counts["resurrected"])
	}
	if 20*ours > plain {
		r.Broke("%d wrong drops, over a twentieth of SWIM's %d", ours, plain)
	}
	return nil
}

// broken says which invariant a play broke.
func (c SimPeers) broken(x *simmembership.Result, s *faults.Script) string {
	bound := s.Processes * 12 // a claim and up to eleven charges of each
	switch {
	case x.Resurrected > 0:
		return "a peer came back without a higher incarnation"
	case x.MaxQueueLength > bound:
		return fmt.Sprintf("%d things waited to be handed on, over %d", x.MaxQueueLength, bound)
	}
	for _, n := range x.FinalPresent {
		if n != len(x.FinalPresent) {
			return fmt.Sprintf("at the end one sees %d, %d run", n, len(x.FinalPresent))
		}
	}
	return ""
}

func (c SimPeers) plan(s faults.Script) simmembership.Config {
	p := simmembership.Config{Script: s, SWIM: swim.Config{MaxByzantine: max(simLiars, c.Hostile)}}
	for i := range c.Hostile {
		p.Hostile = append(p.Hostile, s.Processes-1-i)
	}
	return p
}

// drawn plays a script drawn from each seed; one that breaks an invariant is shortened and told.
func (c SimPeers) drawn(ctx context.Context, r *report.Report) error {
	var mu sync.Mutex
	var found []faults.Script
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(runtime.NumCPU()-1, 1))
	for seed := c.From; seed <= c.To; seed++ {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			s := faults.Generate(seed, c.Peers, c.Scripts, simLasts)
			x, err := simmembership.Run(c.plan(s))
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			r.Counts["plays"]++
			r.Counts["wrong"] += int64(x.FalseFailures)
			r.Counts["suspicions"] += int64(x.Suspicions)
			r.Counts["resurrected"] += int64(x.Resurrected)
			r.Counts["most_queued"] = max(r.Counts["most_queued"], int64(x.MaxQueueLength))
			if r.Counts["plays"]%50 == 0 {
				c.Tell("%d of %d plays", r.Counts["plays"], c.To-c.From+1)
			}
			if x.FalseFailures > 0 && r.Counts["plays_wrong"] < 5 {
				r.Steps = append(r.Steps, fmt.Sprintf("seed %d: %s", seed, x.FalseFailureDetails[0]))
			}
			r.Counts["plays_wrong"] += int64(min(x.FalseFailures, 1))
			if why := c.broken(x, &s); why != "" {
				r.Broke("seed %d: %s", seed, why)
				if len(found) < 3 {
					found = append(found, s)
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, s := range found {
		short, plays := faults.Shrink(s, shortenPlays, func(s faults.Script) bool {
			x, err := simmembership.Run(c.plan(s))
			return err == nil && c.broken(x, &s) != ""
		})
		text, _ := json.Marshal(short)
		r.Broke("seed %d shortened from %d to %d acts in %d plays: %s", s.Seed, len(s.Faults), len(short.Faults), plays, text)
	}
	r.Figures["wrong_a_play_and_peer"] = float64(r.Counts["wrong"]) / float64(r.Counts["plays"]) / float64(c.Peers)
	if r.Figures["wrong_a_play_and_peer"] > mostWrong {
		r.Broke("%.4f wrong drops a play and peer, %.4f are borne", r.Figures["wrong_a_play_and_peer"], mostWrong)
	}
	slices.Sort(r.Steps)
	r.Steps = append(r.Steps, fmt.Sprintf("%d scripts of %d faults each among %d peers (%d hostile), %.0f s", r.Counts["plays"], c.Scripts, c.Peers, c.Hostile, simLasts))
	return nil
}

// one plays one script twice: it has to come to the same, byte for byte.
func (c SimPeers) one(r *report.Report) error {
	s, err := faults.ReadFile(c.Script)
	if err != nil {
		return err
	}
	r.Seed, r.Size = s.Seed, "one script, played twice"
	x, err := simmembership.Run(c.plan(s))
	if err != nil {
		return err
	}
	again, err := simmembership.Run(c.plan(s))
	if err != nil {
		return err
	}
	if x.TraceHash != again.TraceHash {
		r.Broke("two plays of one script came to different things")
	}
	if why := c.broken(x, &s); why != "" {
		r.Broke("%s", why)
	}
	r.Counts["wrong"], r.Counts["suspicions"], r.Counts["resurrected"] = int64(x.FalseFailures), int64(x.Suspicions), int64(x.Resurrected)
	r.Figures["bytes_s_each"] = x.BytesPerSecond
	l := report.Line{Name: "datagrams a second a peer"}
	for i, d := range x.DatagramsPerSecond {
		l.X, l.Y = append(l.X, float64(i)), append(l.Y, d)
	}
	plot := report.Plot{Title: "Datagrams between peers", XLabel: "s", YLabel: "a second a peer", Lines: []report.Line{l}}
	for _, a := range s.Faults {
		plot.Marks = append(plot.Marks, report.Mark{At: a.Start, Name: string(a.Kind)})
	}
	r.Plots = append(r.Plots, plot)
	r.Steps = append(r.Steps, x.FalseFailureDetails...)
	return nil
}
