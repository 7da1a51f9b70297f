package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
)

var membershipScenario = Scenario{
	Name:       "membership",
	ReportName: report.ScenarioMembership,
	Description: "Twenty routers that are peers of each other, hostile peers among them, fault proxies between all; " +
		"kills, partitions, pauses and losses from a script",
	Run: runMembership,
}

const (
	floodDatagrams       = 100_000 // datagrams that hostile peers send as fast as they can during the first kills
	objectiveMarginFull  = 2.0     // seconds added to an objective, as builds may run on the same machine
	objectiveMarginSmall = 5.0     // seconds added to an objective at small size, with any other work on the machine
)

// errTooFewProcesses is returned for a fault script with fewer processes than routers.
var errTooFewProcesses = errors.New("too few processes in the fault script")

func runMembership(ctx context.Context, options Options, r *report.Report) error {
	script := membershipScript(options)
	if options.Script != "" {
		var err error
		if script, err = faults.ReadFile(options.Script); err != nil {
			return err
		}
	}
	if script.Processes < cluster.RouterCount {
		return fmt.Errorf("%w: %d, at least %d are needed", errTooFewProcesses, script.Processes, cluster.RouterCount)
	}
	group, err := cluster.NewRouterGroup(
		ctx, options.clusterOptions(), script, script.Processes-cluster.RouterCount)
	if err != nil {
		return err
	}
	defer group.Close(r)
	var flood int64
	if options.Full {
		flood = floodDatagrams
	}
	if err := group.Run(ctx, flood, options.Progress); err != nil {
		return err
	}
	return verifyMembership(group, options.Full, r)
}

// verifyMembership checks a run and adds its plots and steps to the report.
func verifyMembership(group *cluster.RouterGroup, full bool, r *report.Report) error {
	group.Cluster.Verify(r, group.ClientGroups)
	evidence, err := group.CollectEvidence()
	if err != nil {
		return err
	}
	evidence.MarginSeconds = objectiveMarginSmall
	if full {
		evidence.MarginSeconds = objectiveMarginFull
	}
	evidence.Verify(r)
	rate, bytesPerSecond := group.DatagramRate()
	r.Figures[report.BytesPerPeer] = bytesPerSecond
	evidence.AddPlots(r, rate, group.Marks)
	for _, peer := range group.HostilePeers {
		for key, n := range peer.Counts {
			r.Counts[key] += n
		}
	}
	script, err := json.Marshal(&group.Script)
	if err != nil {
		return fmt.Errorf("encode the script for the report: %w", err)
	}
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d routers of the program and %d hostile peers, a fault proxy for each direction between two; a client "+
				"at each router, two zones of two edge caches",
			cluster.RouterCount,
			len(group.HostilePeers),
		),
		"script: "+string(script),
	)
	return nil
}
