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

// Sizes and limits of the scenario.
const (
	costPeersSmall  = 39
	costPeersFull   = 299
	costClients     = 8               // clients per router under load
	maxExtraCores   = 0.05            // maximum additional CPU cores that peers cost when idle
	maxExtraMB      = 12.0            // maximum additional memory that peers cost under load, in MB
	costSettlePause = 2 * time.Second // time between a change of the load and the measurement
)

// Phases of the measurement. The keys of the figures contain these names.
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

// costRouters are the two compared routers, with and without peers.
type costRouters struct {
	withPeers    *cluster.Router
	withoutPeers *cluster.Router
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
	if routers.withPeers, err = testCluster.PrepareRouter(1); err != nil {
		return err
	}
	if routers.withoutPeers, err = testCluster.PrepareRouter(1); err != nil {
		return err
	}
	stop, err := cluster.StartInProcessPeers(ctx, options.clusterOptions(), routers.withPeers, peers)
	if err != nil {
		return err
	}
	defer stop()
	for _, router := range []*cluster.Router{routers.withPeers, routers.withoutPeers} {
		if err := testCluster.StartRouter(router); err != nil {
			return err
		}
	}
	if err := cluster.AwaitPeers(ctx, routers.withPeers, peers); err != nil {
		return err
	}
	groups := []*standin.ClientGroup{
		testCluster.NewClientGroup(routers.withPeers, costClients, 20*time.Millisecond),
		testCluster.NewClientGroup(routers.withoutPeers, costClients, 20*time.Millisecond),
	}
	if err := routers.measure(ctx, r, phaseIdle, duration, nil); err != nil {
		return err
	}
	if err := routers.measure(ctx, r, phaseLoaded, duration, groups); err != nil {
		return err
	}
	testCluster.Verify(r, groups)
	routers.addTraffic(ctx, r, peers)
	checkPeerCost(r, peers)
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

// measure reports the CPU and memory usage of the routers under a load.
func (c *costRouters) measure(
	ctx context.Context, r *report.Report, name string, duration time.Duration, load []*standin.ClientGroup,
) error {
	stop := standin.StartLoad(ctx, load...)
	defer stop()
	if err := timing.Sleep(ctx, costSettlePause); err != nil {
		return err
	}
	withBefore, _ := c.withPeers.Usage()
	withoutBefore, _ := c.withoutPeers.Usage()
	if err := timing.Sleep(ctx, duration); err != nil {
		return err
	}
	withAfter, withMB := c.withPeers.Usage()
	withoutAfter, withoutMB := c.withoutPeers.Usage()
	r.Figures[report.Key(report.CoresWithPeers, name)] = (withAfter - withBefore) / duration.Seconds()
	r.Figures[report.Key(report.CoresWithoutPeers, name)] = (withoutAfter - withoutBefore) / duration.Seconds()
	r.Figures[report.Key(report.MemoryWithPeers, name)] = withMB
	r.Figures[report.Key(report.MemoryWithoutPeers, name)] = withoutMB
	return nil
}

// addTraffic reports the traffic between the router and its peers, as the router states it.
func (c *costRouters) addTraffic(ctx context.Context, r *report.Report, peers int) {
	state, _ := cluster.QueryMembership(ctx, c.withPeers) // if the query fails, the report shows no peers present
	r.Counts[report.Peers] = int64(peers)
	r.Counts[report.PeersPresent] = int64(state.Present)
	r.Figures[report.BytesSent] = float64(state.OutBytes) / state.UptimeSeconds
	r.Figures[report.BytesReceived] = float64(state.InBytes) / state.UptimeSeconds
}

// checkPeerCost checks the additional CPU and memory that peers cost. Memory is compared only under load: when idle,
// the router without peers produces no garbage, while the other one fills the 16 MB before the first collection (4 MB
// times GCPercent).
func checkPeerCost(r *report.Report, peers int) {
	cores := r.Figures[report.Key(report.CoresWithPeers, phaseIdle)] -
		r.Figures[report.Key(report.CoresWithoutPeers, phaseIdle)]
	if cores > maxExtraCores {
		r.AddViolation("%.3f of a core for %d peers, idle", cores, peers)
	}
	megabytes := r.Figures[report.Key(report.MemoryWithPeers, phaseLoaded)] -
		r.Figures[report.Key(report.MemoryWithoutPeers, phaseLoaded)]
	if megabytes > maxExtraMB {
		r.AddViolation("%.1f MB for %d peers, under load", megabytes, peers)
	}
}
