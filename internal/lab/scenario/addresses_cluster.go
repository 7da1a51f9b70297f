package scenario

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/config"
	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
)

// listedEndpoints is the length of the endpoint list in a cluster with several addresses per endpoint.
const listedEndpoints = 1000

// multiAddressCluster is a router with four stand-ins of three addresses each, in a long endpoint list.
type multiAddressCluster struct {
	*cluster.Cluster
	standIns []*standin.Endpoint
	faulty   *standin.Address // the address that has the fault; belongs to the first edge cache
	orders   standin.IdempotencyRecords
	entries  []config.EndpointAddresses // address entries of the configuration file
}

// newMultiAddressCluster starts a cluster. Its router is configured with all addresses, or knows one address per
// endpoint.
func newMultiAddressCluster(options Options, allAddresses bool) (_ *multiAddressCluster, err error) {
	if options.Directory, err = os.MkdirTemp(options.Directory, "v"); err != nil {
		return nil, err
	}
	testCluster, err := cluster.New(options.clusterOptions(), 2)
	if err != nil {
		return nil, err
	}
	c := &multiAddressCluster{Cluster: testCluster}
	defer func() {
		if err != nil {
			c.Close(nil)
		}
	}()
	c.NonIdempotentClass = true
	for _, kind := range cluster.StandInKinds {
		standIn, err := c.AddStandIn(kind, c.responseBody)
		if err != nil {
			return nil, err
		}
		c.standIns = append(c.standIns, standIn)
		entry := config.EndpointAddresses{Endpoint: standIn.ID}
		for _, address := range standIn.Addresses {
			entry.Addresses = append(entry.Addresses, address.Addr)
		}
		c.entries = append(c.entries, entry)
	}
	c.listUnusedEndpoints()
	addresses := c.faultyEdge().Addresses
	if !allAddresses {
		c.faulty = addresses[len(addresses)-1]
		return c, c.AddRouter(1)
	}
	c.faulty = addresses[0]
	c.ConfigFile = filepath.Join(options.Directory, cluster.ConfigFileName)
	settings := map[string]any{"router": map[string]any{"addresses": c.entries}}
	if err := cluster.WriteConfigFile(c.ConfigFile, settings); err != nil {
		return nil, err
	}
	return c, c.AddRouter(1)
}

// listUnusedEndpoints fills the endpoint list with edge caches of the other zone, which get no requests.
func (c *multiAddressCluster) listUnusedEndpoints() {
	for i := len(c.standIns); i < listedEndpoints; i++ {
		endpoint := &cluster.Endpoint{ID: cluster.EndpointID(i + 1), Zone: 2, Addr: "127.0.0.1:9"}
		c.Endpoints = append(c.Endpoints, endpoint)
		c.entries = append(c.entries, config.EndpointAddresses{
			Endpoint:  endpoint.ID,
			Addresses: []string{standin.UnixPrefix + "/unused/" + endpoint.ID, "[::1]:9", endpoint.Addr},
		})
	}
}

// responseBody executes a command and returns the response body. A request with an idempotency key is executed by only
// one of the stand-ins.
func (c *multiAddressCluster) responseBody(command cacheproto.Command) []byte {
	switch command.ClassName {
	case standin.ClassPrintOrder:
		if c.orders.ShouldRun(command.IdempotencyKey, timing.UnixSeconds(time.Now())) {
			c.Content.OnExecute(command.ClassName, command.IdempotencyKey)
		}
		return nil
	case standin.ClassRecord:
		return nil
	}
	return c.SyntheticBody(command)
}

// faultyEdge returns the edge cache with the faulty address.
func (c *multiAddressCluster) faultyEdge() *standin.Endpoint {
	return c.standIns[cluster.FaultyStandInIndex]
}

// Close stops the cluster and then the stand-ins.
func (c *multiAddressCluster) Close(r *report.Report) {
	c.Cluster.Close(r)
	for _, standIn := range c.standIns {
		standIn.Close()
	}
}

// mixedLoad is clients that send requests of all classes, including non-idempotent ones.
type mixedLoad struct {
	group *standin.ClientGroup
	delay verify.SchedulingDelay
	stop  func() // stops the load and waits for it; may be called more than once
}

// startLoad starts clients of the cluster's router.
func (c *multiAddressCluster) startLoad(
	ctx context.Context, clients int, onResponse func(standin.ClientResponse),
) *mixedLoad {
	load := &mixedLoad{group: c.NewClientGroup(c.Routers[0], clients, 10*time.Millisecond)}
	load.group.NonIdempotent = true
	load.group.OnResponse = onResponse
	loadCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { load.group.Run(loadCtx) })
	running.Go(func() { load.delay.Watch(loadCtx) })
	load.stop = func() {
		cancel()
		running.Wait()
	}
	return load
}

// checkNoOverlappingAttempts checks that no request had two attempts open at the same time, and that no non-idempotent
// request was received twice.
func (c *multiAddressCluster) checkNoOverlappingAttempts(r *report.Report, name string, load *mixedLoad) {
	margin := load.delay.OrderingMargin()
	r.Figures[report.OrderingMargin] = max(r.Figures[report.OrderingMargin], margin*1000)
	var attempts []*standin.Attempt
	for _, standIn := range c.standIns {
		attempts = append(attempts, standIn.Attempts()...)
	}
	nonIdempotent := map[string]bool{standin.ClassRecord: true}
	overlapping, repeats, violations := verify.OverlappingAttempts(attempts, margin, nonIdempotent)
	r.Counts[report.AttemptsOverlapping] += overlapping
	r.Counts[report.NonIdempotentRepeats] += repeats
	for _, line := range violations {
		r.AddViolation("%s: %s", report.SuffixLabel(name), line)
	}
}
