package scenario

import (
	"context"
	"fmt"
	"time"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
)

// Sizes and bounds of the scenario.
const (
	costPeersSmall  = 39
	costPeersFull   = 299
	costClients     = 8               // of each router under load
	maxExtraCores   = 0.05            // of a core more than without peers, idle
	maxExtraMB      = 12.0            // more than without peers, under load
	costSettlePause = 2 * time.Second // after the load changes, before usage is measured
)

// Phases of the measurement, as the figures name them.
const (
	phaseIdle   = "idle"
	phaseLoaded = "loaded"
)

var membershipCostScenario = Scenario{
	Name:        "membership-cost",
	ReportName:  report.ScenarioMembershipCost,
	Description: "CPU and memory of a router with hundreds of peers against one without, idle and under load",
	Run:         runMembershipCost,
}

// costRouters are the two routers that are compared.
type costRouters struct {
	with    *cluster.Router
	without *cluster.Router
}

func runMembershipCost(ctx context.Context, options Options, r *report.Report) error {
	peers, duration := costPeersSmall, 4*time.Second
	if options.Full {
		peers, duration = costPeersFull, 20*time.Second
	}
	testCluster, err := cluster.New(options.clusterOptions(), 1)
	if err != nil {
		return err
	}
	defer testCluster.Close(r)
	if err := testCluster.StartOneZone(ctx); err != nil {
		return err
	}
	var routers costRouters
	if routers.with, err = testCluster.PrepareRouter(1); err != nil {
		return err
	}
	if routers.without, err = testCluster.PrepareRouter(1); err != nil {
		return err
	}
	stop, err := cluster.StartInProcessPeers(ctx, options.clusterOptions(), routers.with, peers)
	if err != nil {
		return err
	}
	defer stop()
	for _, router := range []*cluster.Router{routers.with, routers.without} {
		if err := testCluster.StartRouter(router); err != nil {
			return err
		}
	}
	if err := cluster.AwaitPeers(ctx, routers.with, peers); err != nil {
		return err
	}
	groups := []*standin.ClientGroup{
		testCluster.NewClientGroup(routers.with, costClients, 20*time.Millisecond),
		testCluster.NewClientGroup(routers.without, costClients, 20*time.Millisecond),
	}
	if err := routers.measure(ctx, r, phaseIdle, duration, nil); err != nil {
		return err
	}
	if err := routers.measure(ctx, r, phaseLoaded, duration, groups); err != nil {
		return err
	}
	testCluster.Verify(r, groups)
	routers.addTraffic(ctx, r, peers)
	peersCostLittle(r, peers)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"a router with %d peers (the product's node, all in the laboratory's process) and one without, "+
				"side by side on loopback; %v idle, then under the same load",
			peers,
			duration,
		),
	)
	return nil
}

// measure reports what the routers use under a load.
func (c *costRouters) measure(
	ctx context.Context, r *report.Report, name string, duration time.Duration, load []*standin.ClientGroup,
) error {
	stop := standin.StartLoad(ctx, load...)
	defer stop()
	if err := timing.Sleep(ctx, costSettlePause); err != nil {
		return err
	}
	withBefore, _ := c.with.Usage()
	withoutBefore, _ := c.without.Usage()
	if err := timing.Sleep(ctx, duration); err != nil {
		return err
	}
	withAfter, withMB := c.with.Usage()
	withoutAfter, withoutMB := c.without.Usage()
	r.Figures[report.Key(report.CoresWithPeers, name)] = (withAfter - withBefore) / duration.Seconds()
	r.Figures[report.Key(report.CoresWithoutPeers, name)] = (withoutAfter - withoutBefore) / duration.Seconds()
	r.Figures[report.Key(report.MemoryWithPeers, name)] = withMB
	r.Figures[report.Key(report.MemoryWithoutPeers, name)] = withoutMB
	return nil
}

// addTraffic reports what the router says of its peers.
func (c *costRouters) addTraffic(ctx context.Context, r *report.Report, peers int) {
	state, _ := cluster.QueryMembership(ctx, c.with) // without an answer the report shows no peers present
	r.Counts[report.Peers] = int64(peers)
	r.Counts[report.PeersPresent] = int64(state.Present)
	r.Figures[report.BytesSent] = float64(state.OutBytes) / state.UptimeSeconds
	r.Figures[report.BytesReceived] = float64(state.InBytes) / state.UptimeSeconds
}

// peersCostLittle checks what peers cost. Memory is compared under load alone: idle, the router without peers makes no
// garbage, while the other fills the 16 MB before the first collection (4 MB times GCPercent).
func peersCostLittle(r *report.Report, peers int) {
	cores := r.Figures[report.Key(report.CoresWithPeers, phaseIdle)] -
		r.Figures[report.Key(report.CoresWithoutPeers, phaseIdle)]
	if cores > maxExtraCores {
		r.Broke("%.3f of a core for %d peers, idle", cores, peers)
	}
	megabytes := r.Figures[report.Key(report.MemoryWithPeers, phaseLoaded)] -
		r.Figures[report.Key(report.MemoryWithoutPeers, phaseLoaded)]
	if megabytes > maxExtraMB {
		r.Broke("%.1f MB for %d peers, under load", megabytes, peers)
	}
}
