package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
	simreplication "cairnfront/internal/sim/replication"
)

// replicationProgressEvery is the number of plays between two lines of progress.
const replicationProgressEvery = 20

// Replication simulates the cores of replication with faulty disks.
type Replication struct {
	Seeds           Seeds
	Routers         int
	Shards          int
	DurationSeconds float64 // of one play
	Script          string  // file of one script to be played instead of drawn ones
	Progress        Progress
}

// replicationTotals are the figures of all plays that are not sums.
type replicationTotals struct {
	latencySeconds           []float64
	longestLeaderlessSeconds float64
}

// Run plays the seeds one after the other, as raft draws its election timeouts from a source that the process has once.
func (c Replication) Run(ctx context.Context) (*report.Report, error) {
	progress := c.Progress.orSilent()
	r := report.New("sim-ledger", c.Seeds.From, c.Seeds.String())
	r.Simulated = true
	for _, name := range []string{"promises_lost", "second_grants", "not_linear"} {
		r.Counts[name] = 0
	}
	var totals replicationTotals
	for seed := c.Seeds.From; seed <= c.Seeds.To; seed++ {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := c.play(seed, r, &totals); err != nil {
			return nil, err
		}
		if seed%replicationProgressEvery == 0 {
			progress("%d of %d plays", seed-c.Seeds.From+1, c.Seeds.Count())
		}
	}
	c.finish(r, totals)
	return r, nil
}

// play runs one seed and adds its result to the report.
func (c Replication) play(seed uint64, r *report.Report, totals *replicationTotals) error {
	script := simreplication.GenerateScript(seed, c.Routers, c.DurationSeconds)
	if c.Script != "" {
		var err error
		if script, err = faults.ReadFile(c.Script); err != nil {
			return err
		}
	}
	result, err := simreplication.Run(simreplication.Config{Script: script, Shards: c.Shards})
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	countReplication(r, result)
	totals.latencySeconds = append(totals.latencySeconds, result.LatencySeconds...)
	totals.longestLeaderlessSeconds = max(totals.longestLeaderlessSeconds, result.LongestLeaderlessSeconds)
	if failure := replicationFailure(result); failure != "" {
		text, _ := json.Marshal(script) // a script holds numbers and words only
		r.Broke("seed %d: %s; script %s", seed, failure, text)
	}
	return nil
}

// countReplication adds a play's counts.
func countReplication(r *report.Report, result *simreplication.Result) {
	r.Counts["plays"]++
	r.Counts["claims"] += int64(result.Reservations)
	r.Counts["reads"] += int64(result.Reads)
	r.Counts["answered"] += int64(result.Answered)
	r.Counts["machines_lost_with_disk"] += int64(result.MachinesLost)
	r.Counts["power_cuts"] += int64(result.PowerCuts)
	r.Counts["changes_of_holders"] += int64(result.ConfChanges)
	r.Counts["promises_lost"] += int64(result.ReservationsLost)
	r.Counts["second_grants"] += int64(result.ConflictingGrants)
	if result.Failure == "" && !result.Linearizable {
		r.Counts["not_linear"]++
	}
}

// replicationFailure says which invariant a play broke, and "" where all held.
func replicationFailure(result *simreplication.Result) string {
	switch {
	case result.Failure != "":
		return result.Failure
	case !result.Linearizable:
		return "what clients were told is not linearizable"
	case result.ReservationsLost > 0:
		return fmt.Sprintf("%d promises lost", result.ReservationsLost)
	case result.ConflictingGrants > 0:
		return fmt.Sprintf("%d keys granted to two groups", result.ConflictingGrants)
	}
	return ""
}

// finish works out the figures over all plays and the verdict.
func (c Replication) finish(r *report.Report, totals replicationTotals) {
	sort.Float64s(totals.latencySeconds)
	if len(totals.latencySeconds) > 0 {
		r.Figures["claim_p50_s"] = median(totals.latencySeconds)
		r.Figures["claim_p99_s"] = quantile(totals.latencySeconds, 0.99)
	}
	r.Figures["leaderless_most_s"] = totals.longestLeaderlessSeconds
	asked := r.Counts["claims"] + r.Counts["reads"]
	r.Figures["answered_share"] = float64(r.Counts["answered"]) / max(float64(asked), 1)
	r.Steps = append(r.Steps, fmt.Sprintf("%d plays of %.0f s: %d routers in three zones, "+
		"%d slices of three holders on faulty disks; "+
		"machines lost with their disks one at a time, losses of power, stops, cuts, losses on top",
		r.Counts["plays"], c.DurationSeconds, c.Routers, c.Shards))
	r.Held = len(r.Broken) == 0
}
