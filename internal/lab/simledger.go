package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
	simreplication "cairnfront/internal/sim/replication"
)

// SimLedger is what 'lab sim ledger' plays: the ledger's cores on virtual time, with faulty disks.
type SimLedger struct {
	From, To uint64
	Routers  int
	Slices   int
	Lasts    float64 // s of a play
	Script   string
	Tell     func(form string, args ...any)
}

// Run plays one after the other: raft draws its election times from a reader that the process has one of.
func (c SimLedger) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Scenario: "sim-ledger", Seed: c.From, Size: fmt.Sprintf("%d seeds", c.To-c.From+1), Counts: map[string]int64{}, Figures: map[string]float64{}, Broken: []string{}, Simulated: true}
	if c.Tell == nil {
		c.Tell = func(string, ...any) {}
	}
	for _, name := range []string{"promises_lost", "second_grants", "not_linear"} {
		r.Counts[name] = 0
	}
	var took []float64
	leaderless := 0.0
	for seed := c.From; seed <= c.To; seed++ {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		s := simreplication.GenerateScript(seed, c.Routers, c.Lasts)
		if c.Script != "" {
			var err error
			if s, err = faults.ReadFile(c.Script); err != nil {
				return nil, err
			}
		}
		x, err := simreplication.Run(simreplication.Config{Script: s, Shards: c.Slices})
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", seed, err)
		}
		r.Counts["plays"]++
		r.Counts["claims"] += int64(x.Reservations)
		r.Counts["reads"] += int64(x.Reads)
		r.Counts["answered"] += int64(x.Answered)
		r.Counts["machines_lost_with_disk"] += int64(x.MachinesLost)
		r.Counts["power_cuts"] += int64(x.PowerCuts)
		r.Counts["changes_of_holders"] += int64(x.ConfChanges)
		r.Counts["promises_lost"] += int64(x.ReservationsLost)
		r.Counts["second_grants"] += int64(x.ConflictingGrants)
		took = append(took, x.LatencySeconds...)
		leaderless = max(leaderless, x.LongestLeaderlessSeconds)
		why := x.Failure
		switch {
		case why != "":
		case !x.Linearizable:
			why = "what clients were told is not linearizable"
			r.Counts["not_linear"]++
		case x.ReservationsLost > 0:
			why = fmt.Sprintf("%d promises lost", x.ReservationsLost)
		case x.ConflictingGrants > 0:
			why = fmt.Sprintf("%d keys granted to two groups", x.ConflictingGrants)
		}
		if why != "" {
			text, _ := json.Marshal(s)
			r.Broke("seed %d: %s; script %s", seed, why, text)
		}
		if seed%20 == 0 {
			c.Tell("%d of %d plays", seed-c.From+1, c.To-c.From+1)
		}
	}
	sort.Float64s(took)
	if len(took) > 0 {
		r.Figures["claim_p50_s"], r.Figures["claim_p99_s"] = took[len(took)/2], took[int(0.99*float64(len(took)-1))]
	}
	r.Figures["leaderless_most_s"] = leaderless
	r.Figures["answered_share"] = float64(r.Counts["answered"]) / max(float64(r.Counts["claims"]+r.Counts["reads"]), 1)
	r.Steps = append(r.Steps, fmt.Sprintf("%d plays of %.0f s: %d routers in three zones, %d slices of three holders on faulty disks; machines lost with their disks one at a time, losses of power, stops, cuts, losses on top",
		r.Counts["plays"], c.Lasts, c.Routers, c.Slices))
	r.Held = len(r.Broken) == 0
	return r, nil
}
