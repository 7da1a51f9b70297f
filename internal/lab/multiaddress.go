package lab

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/config"
	"cairnfront/internal/lab/report"
)

// listedEndpoints is how many endpoints the list of a cluster with several addresses has.
const listedEndpoints = 1000

// multiAddressCluster is a router over four stand-ins of three addresses each, in a long endpoint list.
type multiAddressCluster struct {
	*testCluster
	standIns []*endpointStandIn
	faulty   *standInAddress // the address that a fault hits; of the first edge cache
	orders   idempotencyRecords
	entries  []config.EndpointAddresses // of the configuration file
}

// newMultiAddressCluster starts one. The router is configured with all addresses or knows one for each endpoint.
func newMultiAddressCluster(options Options, allAddresses bool) (_ *multiAddressCluster, err error) {
	if options.Directory, err = os.MkdirTemp(options.Directory, "v"); err != nil {
		return nil, err
	}
	cluster, err := newTestCluster(options.clusterOptions(), 2)
	if err != nil {
		return nil, err
	}
	c := &multiAddressCluster{testCluster: cluster}
	defer func() {
		if err != nil {
			c.close(nil)
		}
	}()
	c.nonIdempotentClass = true
	for _, kind := range standInKinds {
		standIn, err := c.addStandIn(kind, c.answerBody)
		if err != nil {
			return nil, err
		}
		c.standIns = append(c.standIns, standIn)
		entry := config.EndpointAddresses{Endpoint: standIn.id}
		for _, address := range standIn.addresses {
			entry.Addresses = append(entry.Addresses, address.addr)
		}
		c.entries = append(c.entries, entry)
	}
	c.listUnusedEndpoints()
	addresses := c.faultyEdge().addresses
	if !allAddresses {
		c.faulty = addresses[len(addresses)-1]
		return c, c.addRouter(1)
	}
	c.faulty = addresses[0]
	c.configFile = filepath.Join(options.Directory, configFileName)
	settings := map[string]any{"router": map[string]any{"addresses": c.entries}}
	if err := writeConfigFile(c.configFile, settings); err != nil {
		return nil, err
	}
	return c, c.addRouter(1)
}

// listUnusedEndpoints fills the endpoint list with edge caches of the other zone, which get no request.
func (c *multiAddressCluster) listUnusedEndpoints() {
	for i := len(c.standIns); i < listedEndpoints; i++ {
		endpoint := &clusterEndpoint{id: endpointID(i + 1), zone: 2, addr: "127.0.0.1:9"}
		c.endpoints = append(c.endpoints, endpoint)
		c.entries = append(c.entries, config.EndpointAddresses{
			Endpoint:  endpoint.id,
			Addresses: []string{unixPrefix + "/unused/" + endpoint.id, "[::1]:9", endpoint.addr},
		})
	}
}

// answerBody runs a command and returns its body. A request with an idempotency key runs once at one of the
// stand-ins.
func (c *multiAddressCluster) answerBody(command cacheproto.Command) []byte {
	switch command.ClassName {
	case classPrintOrder:
		if c.orders.shouldRun(command.IdempotencyKey, unixSeconds(time.Now())) {
			c.content.OnExecute(command.ClassName, command.IdempotencyKey)
		}
		return nil
	case classRecord:
		return nil
	}
	return c.syntheticBody(command)
}

// faultyEdge is the edge cache that has the faulty address.
func (c *multiAddressCluster) faultyEdge() *endpointStandIn { return c.standIns[faultyStandIn] }

// close ends the cluster and then the stand-ins.
func (c *multiAddressCluster) close(r *report.Report) {
	c.testCluster.close(r)
	for _, standIn := range c.standIns {
		standIn.close()
	}
}

// mixedLoad is clients of all request classes, those that must not be sent twice among them.
type mixedLoad struct {
	group *clientGroup
	delay schedulingDelay
	stop  func() // ends the load and waits for it; may be called again
}

// startLoad starts clients of the cluster's router.
func (c *multiAddressCluster) startLoad(
	ctx context.Context, clients int, onResponse func(clientResponse),
) *mixedLoad {
	load := &mixedLoad{group: c.newClientGroup(c.routers[0], clients, 10*time.Millisecond)}
	load.group.nonIdempotent = true
	load.group.onResponse = onResponse
	loadCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { load.group.run(loadCtx) })
	running.Go(func() { load.delay.watch(loadCtx) })
	load.stop = func() {
		cancel()
		running.Wait()
	}
	return load
}

// noOverlappingAttempts checks that no request had two attempts open at a time and that no non-idempotent one came
// twice.
func (c *multiAddressCluster) noOverlappingAttempts(r *report.Report, name string, load *mixedLoad) {
	margin := load.delay.orderingMargin()
	r.Figures[report.OrderingMargin] = max(r.Figures[report.OrderingMargin], margin*1000)
	var attempts []*attemptRecord
	for _, standIn := range c.standIns {
		attempts = append(attempts, standIn.recordedAttempts()...)
	}
	overlapping, repeats, violations := findOverlappingAttempts(attempts, margin, map[string]bool{classRecord: true})
	r.Counts[report.AttemptsOverlapping] += overlapping
	r.Counts[report.NonIdempotentRepeats] += repeats
	for _, line := range violations {
		r.Broke("%s: %s", report.SuffixLabel(name), line)
	}
}
