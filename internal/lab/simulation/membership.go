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
	runSeconds              = 60.0  // of one run
	maxByzantine            = 1     // byzantine members that the cores are configured to tolerate
	maxFalseFailuresPerPeer = 0.002 // false failures per run and peer
	maxQueuedPerPeer        = 12    // queued gossip of one peer: a record and up to eleven accusations
	shrinkRuns              = 200   // runs that shrinking a script may take
	maxShrunk               = 3     // scripts that are shrunk
	maxFalseFailureDetails  = 5     // runs with a false failure that are listed
	drawnProgressEvery      = 50    // runs between two lines of progress
)

// Membership simulates the cores of membership.
type Membership struct {
	Seeds    Seeds
	Sizes    []int     // numbers of peers of the curves
	Losses   []float64 // shares of lost datagrams of the curves
	Faults   int       // faults of a script drawn from each seed; 0 for the curves
	Peers    int       // of a drawn script
	Hostile  int       // of these
	Script   string    // file of one script to run instead
	Progress Progress
}

// Run simulates and reports.
func (c Membership) Run(ctx context.Context) (*report.Report, error) {
	c.Progress = c.Progress.orSilent()
	r := report.New(report.ScenarioMembershipSimulation, c.Seeds.From, c.Seeds.String())
	r.Name = "membership simulation"
	r.Simulated = true
	var err error
	switch {
	case c.Script != "":
		err = c.runScript(r)
	case c.Faults > 0:
		err = c.runDrawn(ctx, r)
	default:
		err = c.runCurves(ctx, r)
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

// membershipFailure says which invariant a run broke, and "" where all held.
func membershipFailure(result *simmembership.Result, script *faults.Script) string {
	maxQueued := script.Processes * maxQueuedPerPeer
	switch {
	case result.Resurrected > 0:
		return "a failed peer came back without a higher incarnation"
	case result.MaxQueueLength > maxQueued:
		return fmt.Sprintf("%d entries in a gossip queue, more than %d", result.MaxQueueLength, maxQueued)
	}
	for _, present := range result.FinalPresent {
		if present != len(result.FinalPresent) {
			return fmt.Sprintf("at the end a peer sees %d peers, %d run", present, len(result.FinalPresent))
		}
	}
	return ""
}

// drawnRuns gathers the results of drawn scripts, which run side by side.
type drawnRuns struct {
	mu     sync.Mutex
	report *report.Report
	failed []faults.Script // the first few that broke an invariant
}

// add counts the result of a run.
func (d *drawnRuns) add(seed uint64, script faults.Script, result *simmembership.Result) (runs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.report.Counts
	counts[report.Runs]++
	counts[report.FalseFailures] += int64(result.FalseFailures)
	counts[report.Suspicions] += int64(result.Suspicions)
	counts[report.Resurrected] += int64(result.Resurrected)
	counts[report.MaxQueueLength] = max(counts[report.MaxQueueLength], int64(result.MaxQueueLength))
	if result.FalseFailures > 0 && counts[report.RunsWithFalseFailures] < maxFalseFailureDetails {
		d.report.Steps = append(d.report.Steps, fmt.Sprintf("seed %d: %s", seed, result.FalseFailureDetails[0]))
	}
	counts[report.RunsWithFalseFailures] += int64(min(result.FalseFailures, 1))
	if failure := membershipFailure(result, &script); failure != "" {
		d.report.Broke("seed %d: %s", seed, failure)
		if len(d.failed) < maxShrunk {
			d.failed = append(d.failed, script)
		}
	}
	return counts[report.Runs]
}

// runDrawn runs a script drawn from each seed. One that breaks an invariant is shrunk and reported.
func (c Membership) runDrawn(ctx context.Context, r *report.Report) error {
	runs := drawnRuns{report: r}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()-1, 1))
	for seed := c.Seeds.From; seed <= c.Seeds.To; seed++ {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			script := faults.Generate(seed, c.Peers, c.Faults, runSeconds)
			result, err := simmembership.Run(c.config(script))
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			if done := runs.add(seed, script, result); done%drawnProgressEvery == 0 {
				c.Progress("%d of %d runs", done, c.Seeds.Count())
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, script := range runs.failed {
		c.reportShrunk(r, script)
	}
	c.checkDrawn(r)
	return nil
}

// reportShrunk reports the smallest script found that still breaks an invariant.
func (c Membership) reportShrunk(r *report.Report, script faults.Script) {
	fails := func(script faults.Script) bool {
		result, err := simmembership.Run(c.config(script))
		return err == nil && membershipFailure(result, &script) != ""
	}
	shrunk, runs := faults.Shrink(script, shrinkRuns, fails)
	text, _ := json.Marshal(shrunk) // a script holds numbers and words only
	r.Broke("seed %d: script shrunk from %d to %d faults in %d runs: %s",
		script.Seed, len(script.Faults), len(shrunk.Faults), runs, text)
}

// checkDrawn compares the share of false failures over all runs with its bound.
func (c Membership) checkDrawn(r *report.Report) {
	share := float64(r.Counts[report.FalseFailures]) / float64(r.Counts[report.Runs]) / float64(c.Peers)
	r.Figures[report.FalseFailuresPerPeer] = share
	if share > maxFalseFailuresPerPeer {
		r.Broke("%.4f false failures per run and peer, at most %.4f are allowed", share, maxFalseFailuresPerPeer)
	}
	slices.Sort(r.Steps)
	r.Steps = append(r.Steps, fmt.Sprintf("%d scripts of %d faults each among %d peers (%d hostile), %.0f s",
		r.Counts[report.Runs], c.Faults, c.Peers, c.Hostile, runSeconds))
}

// runScript runs one script twice. Both runs must have the same trace, byte for byte.
func (c Membership) runScript(r *report.Report) error {
	script, err := faults.ReadFile(c.Script)
	if err != nil {
		return err
	}
	r.Seed = script.Seed
	r.Size = report.SizeOneScript
	result, err := simmembership.Run(c.config(script))
	if err != nil {
		return err
	}
	again, err := simmembership.Run(c.config(script))
	if err != nil {
		return err
	}
	if result.TraceHash != again.TraceHash {
		r.Broke("two runs of one script differ")
	}
	if failure := membershipFailure(result, &script); failure != "" {
		r.Broke("%s", failure)
	}
	r.Counts[report.FalseFailures] = int64(result.FalseFailures)
	r.Counts[report.Suspicions] = int64(result.Suspicions)
	r.Counts[report.Resurrected] = int64(result.Resurrected)
	r.Figures[report.BytesPerPeer] = result.BytesPerSecond
	r.Plots = append(r.Plots, datagramPlot(script, result))
	r.Steps = append(r.Steps, result.FalseFailureDetails...)
	return nil
}

// datagramPlot draws the rate of datagrams over a run, with the script's faults.
func datagramPlot(script faults.Script, result *simmembership.Result) report.Plot {
	line := report.Line{Name: "datagrams per second and peer"}
	for second, rate := range result.DatagramsPerSecond {
		line.Add(float64(second), rate)
	}
	plot := report.Plot{
		Title:  "Datagrams between peers",
		XLabel: "s",
		YLabel: "datagrams per second and peer",
		Lines:  []report.Line{line},
	}
	for _, fault := range script.Faults {
		plot.Marks = append(plot.Marks, report.Mark{At: fault.Start, Name: fault.Kind.Label()})
	}
	return plot
}
