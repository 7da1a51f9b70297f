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

// Limits of membership simulations. A false failure (a member that is declared failed without a reason in the script)
// violates no invariant. False failures are counted and must be rare.
const (
	runSeconds              = 60.0  // duration of one run
	maxByzantine            = 1     // byzantine members that the cores tolerate
	maxFalseFailuresPerPeer = 0.002 // maximum false failures per run and peer
	maxQueuedPerPeer        = 12    // gossip entries queued for each peer: a record and up to eleven accusations
	shrinkRuns              = 200   // maximum runs for shrinking a script
	maxShrunkScripts        = 3     // maximum number of scripts that are shrunk
	maxFalseFailureDetails  = 5     // maximum number of listed runs with false failures
	generatedProgressEvery  = 50    // number of runs between two progress messages
)

// Membership simulates the membership protocol's cores.
type Membership struct {
	Seeds    Seeds
	Sizes    []int     // numbers of peers in the curves
	Losses   []float64 // shares of lost datagrams in the curves
	Faults   int       // number of faults in the script generated from each seed; if 0, the curves are run
	Peers    int       // number of peers in a generated script
	Hostile  int       // number of hostile peers among them
	Script   string    // path of a script to run instead
	Progress Progress
}

// Run runs the simulations and returns their report.
func (c Membership) Run(ctx context.Context) (*report.Report, error) {
	c.Progress = c.Progress.orNoop()
	r := report.New(report.ScenarioMembershipSimulation, c.Seeds.From, c.Seeds.String())
	r.Name = "membership simulation"
	r.Simulated = true
	var err error
	switch {
	case c.Script != "":
		err = c.runScript(r)
	case c.Faults > 0:
		err = c.runGenerated(ctx, r)
	default:
		err = c.runCurves(ctx, r)
	}
	r.Held = len(r.Broken) == 0
	return r, err
}

// config returns the simulation configuration of a script, in which the last members are hostile.
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

// membershipFailure returns the invariant that a run violated, or "" if there was no violation.
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

// generatedRuns collects the results of generated scripts, which run in parallel.
type generatedRuns struct {
	mu     sync.Mutex
	report *report.Report
	failed []faults.Script // the first few scripts that violated an invariant
}

// add adds the result of a run to the report and returns the number of runs so far.
func (d *generatedRuns) add(seed uint64, script faults.Script, result *simmembership.Result) (runs int64) {
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
		d.report.AddViolation("seed %d: %s", seed, failure)
		if len(d.failed) < maxShrunkScripts {
			d.failed = append(d.failed, script)
		}
	}
	return counts[report.Runs]
}

// runGenerated runs a script generated from each seed. A script that violates an invariant is shrunk and reported.
func (c Membership) runGenerated(ctx context.Context, r *report.Report) error {
	runs := generatedRuns{report: r}
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
			if done := runs.add(seed, script, result); done%generatedProgressEvery == 0 {
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
	c.checkFalseFailureShare(r)
	return nil
}

// reportShrunk reports the smallest script found that still violates an invariant.
func (c Membership) reportShrunk(r *report.Report, script faults.Script) {
	fails := func(script faults.Script) bool {
		result, err := simmembership.Run(c.config(script))
		return err == nil && membershipFailure(result, &script) != ""
	}
	shrunk, runs := faults.Shrink(script, shrinkRuns, fails)
	text, _ := json.Marshal(shrunk) // encoding a script cannot fail: it has only numbers and words
	r.AddViolation("seed %d: script shrunk from %d to %d faults in %d runs: %s",
		script.Seed, len(script.Faults), len(shrunk.Faults), runs, text)
}

// checkFalseFailureShare compares the share of false failures over all runs with its limit.
func (c Membership) checkFalseFailureShare(r *report.Report) {
	share := float64(r.Counts[report.FalseFailures]) / float64(r.Counts[report.Runs]) / float64(c.Peers)
	r.Figures[report.FalseFailuresPerPeer] = share
	if share > maxFalseFailuresPerPeer {
		r.AddViolation("%.4f false failures per run and peer, at most %.4f are allowed", share, maxFalseFailuresPerPeer)
	}
	slices.Sort(r.Steps)
	r.Steps = append(r.Steps, fmt.Sprintf("%d scripts of %d faults each among %d peers (%d hostile), %.0f s",
		r.Counts[report.Runs], c.Faults, c.Peers, c.Hostile, runSeconds))
}

// runScript runs one script twice. Both runs must have identical traces.
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
		r.AddViolation("two runs of the same script have different traces")
	}
	if failure := membershipFailure(result, &script); failure != "" {
		r.AddViolation("%s", failure)
	}
	r.Counts[report.FalseFailures] = int64(result.FalseFailures)
	r.Counts[report.Suspicions] = int64(result.Suspicions)
	r.Counts[report.Resurrected] = int64(result.Resurrected)
	r.Figures[report.BytesPerPeer] = result.BytesPerSecond
	r.Plots = append(r.Plots, datagramPlot(script, result))
	r.Steps = append(r.Steps, result.FalseFailureDetails...)
	return nil
}

// datagramPlot returns a plot of the datagram rate during a run, with marks at the script's faults.
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
