package lab

import (
	"context"
	"fmt"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
)

var peersScenario = Scenario{
	Name: "peers",
	Description: "Twenty routers that know each other, some hostile peers, relays between all; kills, cuts, " +
		"stops, losses, from a script",
	Run: runPeers,
}

func runPeers(ctx context.Context, options Options, r *report.Report) error {
	script := peersScript(options)
	if options.Script != "" {
		var err error
		if script, err = faults.ReadFile(options.Script); err != nil {
			return err
		}
	}
	if script.Processes < fleetSize {
		return fmt.Errorf("the script is for %d processes, this scenario has %d", script.Processes, fleetSize)
	}
	fleet, err := newRouterFleet(options, script, script.Processes-fleetSize)
	if err != nil {
		return err
	}
	defer fleet.close(r)
	if err := fleet.run(ctx); err != nil {
		return err
	}
	return fleet.verify(r)
}
