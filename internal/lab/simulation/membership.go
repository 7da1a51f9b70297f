package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"
	simmembership "cairnfront/internal/sim/membership"

	"golang.org/x/sync/errgroup"
)

// Bounds that simulations of membership are held to. A member that is declared failed without a reason in the script is
// a failure of the detection, not of the invariants: it is counted, and has to be rare.
const (
	playSeconds             = 60.0  // of one play
	maxByzantine            = 1     // members that may lie, as the cores are configured
	maxFalseFailuresPerPeer = 0.002 // false failures a play and peer
	maxQueuedPerPeer        = 12    // queued gossip of one peer: a claim and up to eleven accusations
	shortenPlays            = 200   // plays that shortening a script may take
	maxShortened            = 3     // scripts that are shortened
	maxFalseFailureDetails  = 5     // plays with a false failure that are listed
	drawnProgressEvery      = 50    // plays between two lines of progress
)

// Membership simulates the cores of membership.
type Membership struct {
	Seeds    Seeds
	Sizes    []int     // numbers of peers of the curves
	Losses   []float64 // shares of lost datagrams of the curves
	Acts     int       // faults of a script drawn from each seed; 0 for the curves
	Peers    int       // of a drawn script
	Hostile  int       // of these
	Script   string    // file of one script to be played instead
	Progress Progress
}

// Run simulates and reports.
func (c Membership) Run(ctx context.Context) (*report.Report, error) {
	c.Progress = c.Progress.orSilent()
	r := report.New("sim-peers", c.Seeds.From, c.Seeds.String())
	r.Simulated = true
	var err error
	switch {
	case c.Script != "":
		err = c.playScript(r)
	case c.Acts > 0:
		err = c.playDrawn(ctx, r)
	default:
		err = c.playCurves(ctx, r)
	}
	r.Held = len(r.Broken) == 0
	return r, err
}

// config makes the simulation of a script; its last members are the hostile ones.
func (c Membership) config(script faults.Script) simmembership.Config {
	config := simmembership.Config{
		Script: script,
		SWIM:   swim.Config{MaxByzantine: max(maxByzantine, c.Hostile)},
	}
	for i := range c.Hostile {
		config.Hostile = append(config.Hostile, script.Processes-1-i)
	}
	return config
}

// membershipFailure says which invariant a play broke, and "" where all held.
func membershipFailure(result *simmembership.Result, script *faults.Script) string {
	maxQueued := script.Processes * maxQueuedPerPeer
	switch {
	case result.Resurrected > 0:
		return "a peer came back without a higher incarnation"
	case result.MaxQueueLength > maxQueued:
		return fmt.Sprintf("%d things waited to be handed on, over %d", result.MaxQueueLength, maxQueued)
	}
	for _, present := range result.FinalPresent {
		if present != len(result.FinalPresent) {
			return fmt.Sprintf("at the end one sees %d, %d run", present, len(result.FinalPresent))
		}
	}
	return ""
}

// drawnPlays gathers the results of drawn scripts, which are played side by side.
type drawnPlays struct {
	mu     sync.Mutex
	report *report.Report
	failed []faults.Script // the first few that broke an invariant
}

// add counts a play's result.
func (d *drawnPlays) add(seed uint64, script faults.Script, result *simmembership.Result) (plays int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.report.Counts
	counts["plays"]++
	counts["wrong"] += int64(result.FalseFailures)
	counts["suspicions"] += int64(result.Suspicions)
	counts["resurrected"] += int64(result.Resurrected)
	counts["most_queued"] = max(counts["most_queued"], int64(result.MaxQueueLength))
	if result.FalseFailures > 0 && counts["plays_wrong"] < maxFalseFailureDetails {
		d.report.Steps = append(d.report.Steps, fmt.Sprintf("seed %d: %s", seed, result.FalseFailureDetails[0]))
	}
	counts["plays_wrong"] += int64(min(result.FalseFailures, 1))
	if failure := membershipFailure(result, &script); failure != "" {
		d.report.Broke("seed %d: %s", seed, failure)
		if len(d.failed) < maxShortened {
			d.failed = append(d.failed, script)
		}
	}
	return counts["plays"]
}

// playDrawn plays a script drawn from each seed. One that breaks an invariant is shortened and reported.
func (c Membership) playDrawn(ctx context.Context, r *report.Report) error {
	plays := drawnPlays{report: r}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()-1, 1))
	for seed := c.Seeds.From; seed <= c.Seeds.To; seed++ {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			script := faults.Generate(seed, c.Peers, c.Acts, playSeconds)
			result, err := simmembership.Run(c.config(script))
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			if played := plays.add(seed, script, result); played%drawnProgressEvery == 0 {
				c.Progress("%d of %d plays", played, c.Seeds.Count())
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, script := range plays.failed {
		c.reportShortened(r, script)
	}
	c.judgeDrawn(r)
	return nil
}

// reportShortened reports the smallest script found that still breaks an invariant.
func (c Membership) reportShortened(r *report.Report, script faults.Script) {
	fails := func(script faults.Script) bool {
		result, err := simmembership.Run(c.config(script))
		return err == nil && membershipFailure(result, &script) != ""
	}
	short, plays := faults.Shrink(script, shortenPlays, fails)
	text, _ := json.Marshal(short) // a script holds numbers and words only
	r.Broke("seed %d shortened from %d to %d acts in %d plays: %s",
		script.Seed, len(script.Faults), len(short.Faults), plays, text)
}

// judgeDrawn holds the share of false failures over all plays to its bound.
func (c Membership) judgeDrawn(r *report.Report) {
	share := float64(r.Counts["wrong"]) / float64(r.Counts["plays"]) / float64(c.Peers)
	r.Figures["wrong_a_play_and_peer"] = share
	if share > maxFalseFailuresPerPeer {
		r.Broke("%.4f wrong drops a play and peer, %.4f are borne", share, maxFalseFailuresPerPeer)
	}
	slices.Sort(r.Steps)
	r.Steps = append(r.Steps, fmt.Sprintf("%d scripts of %d faults each among %d peers (%d hostile), %.0f s",
		r.Counts["plays"], c.Acts, c.Peers, c.Hostile, playSeconds))
}

// playScript plays one script twice. Both plays have to come to the same, byte for byte.
func (c Membership) playScript(r *report.Report) error {
	script, err := faults.ReadFile(c.Script)
	if err != nil {
		return err
	}
	r.Seed = script.Seed
	r.Size = "one script, played twice"
	result, err := simmembership.Run(c.config(script))
	if err != nil {
		return err
	}
	again, err := simmembership.Run(c.config(script))
	if err != nil {
		return err
	}
	if result.TraceHash != again.TraceHash {
		r.Broke("two plays of one script came to different things")
	}
	if failure := membershipFailure(result, &script); failure != "" {
		r.Broke("%s", failure)
	}
	r.Counts["wrong"] = int64(result.FalseFailures)
	r.Counts["suspicions"] = int64(result.Suspicions)
	r.Counts["resurrected"] = int64(result.Resurrected)
	r.Figures["bytes_s_each"] = result.BytesPerSecond
	r.Plots = append(r.Plots, datagramPlot(script, result))
	r.Steps = append(r.Steps, result.FalseFailureDetails...)
	return nil
}

// datagramPlot draws the rate of datagrams over a play, with the script's faults.
func datagramPlot(script faults.Script, result *simmembership.Result) report.Plot {
	line := report.Line{Name: "datagrams a second a peer"}
	for second, rate := range result.DatagramsPerSecond {
		line.Add(float64(second), rate)
	}
	plot := report.Plot{
		Title:  "Datagrams between peers",
		XLabel: "s",
		YLabel: "a second a peer",
		Lines:  []report.Line{line},
	}
	for _, fault := range script.Faults {
		plot.Marks = append(plot.Marks, report.Mark{At: fault.Start, Name: string(fault.Kind)})
	}
	return plot
}
