package lab

import (
	"context"
	"encoding/json"
	"fmt"

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
	floodDatagrams = 100_000 // that hostile peers send as fast as they can while the first kills are detected
	logMarginFull  = 2.0     // s beyond an objective, for a machine that builds beside the run
	logMarginSmall = 5.0     // s beyond an objective at small size, which runs beside anything
)

func runMembership(ctx context.Context, options Options, r *report.Report) error {
	script := membershipScript(options)
	if options.Script != "" {
		var err error
		if script, err = faults.ReadFile(options.Script); err != nil {
			return err
		}
	}
	if script.Processes < routerCount {
		return fmt.Errorf("script is for %d processes: at least %d are needed", script.Processes, routerCount)
	}
	group, err := newRouterGroup(options.clusterOptions(), script, script.Processes-routerCount)
	if err != nil {
		return err
	}
	defer group.close(r)
	var flood int64
	if options.Full {
		flood = floodDatagrams
	}
	if err := group.play(ctx, flood, options.Progress); err != nil {
		return err
	}
	return verifyMembership(group, options.Full, r)
}

// verifyMembership checks a run and adds its plots and steps to the report.
func verifyMembership(group *routerGroup, full bool, r *report.Report) error {
	group.cluster.verify(r, group.clientGroups)
	evidence, err := group.collectEvidence()
	if err != nil {
		return err
	}
	evidence.marginSeconds = logMarginSmall
	if full {
		evidence.marginSeconds = logMarginFull
	}
	evidence.verify(r)
	rate, bytesPerSecond := group.datagramRate()
	r.Figures[report.BytesPerPeer] = bytesPerSecond
	evidence.addPlots(r, rate, group.marks)
	for _, peer := range group.hostilePeers {
		for key, n := range peer.counts {
			r.Counts[key] += n
		}
	}
	script, err := json.Marshal(&group.script)
	if err != nil {
		return fmt.Errorf("encode the script for the report: %w", err)
	}
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"%d routers of the program and %d hostile peers, a fault proxy for each direction between two; a client "+
				"at each router, two zones of two edge caches",
			routerCount,
			len(group.hostilePeers),
		),
		"script: "+string(script),
	)
	return nil
}
