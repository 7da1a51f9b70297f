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

// replicationProgressEvery is the number of runs between two progress messages.
const replicationProgressEvery = 20

// Replication simulates the replication protocol's cores with faulty disks.
type Replication struct {
	Seeds           Seeds
	Routers         int
	Shards          int
	DurationSeconds float64 // duration of one run
	Script          string  // path of a script that replaces the generated ones
	Progress        Progress
}

// replicationTotals are the figures over all runs that are not sums.
type replicationTotals struct {
	latencySeconds           []float64
	longestLeaderlessSeconds float64
}

// Run simulates the seeds sequentially instead of in parallel, as raft draws its election timeouts from one random
// source that all nodes of a process share.
func (c Replication) Run(ctx context.Context) (*report.Report, error) {
	progress := c.Progress.orNoop()
	r := report.New(report.ScenarioReplicationSimulation, c.Seeds.From, c.Seeds.String())
	r.Name = "replication simulation"
	r.Simulated = true
	for _, name := range []string{report.ReservationsLost, report.ConflictingGrants, report.NotLinearizable} {
		r.Counts[name] = 0
	}
	var totals replicationTotals
	for seed := c.Seeds.From; seed <= c.Seeds.To; seed++ {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := c.runSeed(seed, r, &totals); err != nil {
			return nil, err
		}
		if seed%replicationProgressEvery == 0 {
			progress("%d of %d runs", seed-c.Seeds.From+1, c.Seeds.Count())
		}
	}
	c.finish(r, totals)
	return r, nil
}

// runSeed runs one seed and adds its result to the report.
func (c Replication) runSeed(seed uint64, r *report.Report, totals *replicationTotals) error {
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
		text, _ := json.Marshal(script) // encoding a script cannot fail: it has only numbers and words
		r.AddViolation("seed %d: %s; script %s", seed, failure, text)
	}
	return nil
}

// countReplication adds the counts of a run to the report.
func countReplication(r *report.Report, result *simreplication.Result) {
	r.Counts[report.Runs]++
	r.Counts[report.ReservationRequests] += int64(result.Reservations)
	r.Counts[report.Reads] += int64(result.Reads)
	r.Counts[report.Answered] += int64(result.Answered)
	r.Counts[report.MachinesLost] += int64(result.MachinesLost)
	r.Counts[report.PowerLosses] += int64(result.PowerCuts)
	r.Counts[report.ConfChanges] += int64(result.ConfChanges)
	r.Counts[report.ReservationsLost] += int64(result.ReservationsLost)
	r.Counts[report.ConflictingGrants] += int64(result.ConflictingGrants)
	if result.Failure == "" && !result.Linearizable {
		r.Counts[report.NotLinearizable]++
	}
}

// replicationFailure returns the invariant that a run violated, or "" if there was no violation.
func replicationFailure(result *simreplication.Result) string {
	switch {
	case result.Failure != "":
		return result.Failure
	case !result.Linearizable:
		return "the responses to clients are not linearizable"
	case result.ReservationsLost > 0:
		return fmt.Sprintf("%d reservations lost", result.ReservationsLost)
	case result.ConflictingGrants > 0:
		return fmt.Sprintf("%d keys granted to two groups", result.ConflictingGrants)
	}
	return ""
}

// finish computes the figures over all runs and the verdict.
func (c Replication) finish(r *report.Report, totals replicationTotals) {
	sort.Float64s(totals.latencySeconds)
	if len(totals.latencySeconds) > 0 {
		r.Figures[report.ReservationP50] = median(totals.latencySeconds)
		r.Figures[report.ReservationP99] = quantile(totals.latencySeconds, 0.99)
	}
	r.Figures[report.LongestLeaderless] = totals.longestLeaderlessSeconds
	requested := r.Counts[report.ReservationRequests] + r.Counts[report.Reads]
	r.Figures[report.AnsweredShare] = float64(r.Counts[report.Answered]) / max(float64(requested), 1)
	r.Steps = append(r.Steps, fmt.Sprintf("%d runs of %.0f s: %d routers in three zones, "+
		"%d shards of three replicas on faulty disks; machines lost with their disks one at a time, "+
		"and losses of power, pauses, partitions and datagram loss",
		r.Counts[report.Runs], c.DurationSeconds, c.Routers, c.Shards))
	r.Held = len(r.Broken) == 0
}
