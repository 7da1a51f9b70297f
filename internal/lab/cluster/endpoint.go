package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// Kinds of endpoints. The endpoint list contains these numbers.
const (
	KindEdge = iota
	KindParent
	KindOrigin
)

const (
	endpointIDPrefix   = "s-"
	endpointWeight     = 8
	fillIDPrefixLength = 8 // a fill's request id starts with this many characters of its cache's id
)

// endpointRoles maps the kinds of endpoints to roles in the configuration file of an edge cache.
var endpointRoles = [...]string{KindEdge: "cache", KindParent: "parent", KindOrigin: "origin"}

// EndpointID returns the id of the nth endpoint.
func EndpointID(n int) string { return fmt.Sprintf(endpointIDPrefix+"%08x", n) }

// ZoneOf returns the zone of endpoints of a kind in a cluster of one zone: 1 for edge caches, 0 (the parent zone) for
// others.
func ZoneOf(kind int) int {
	if kind == KindEdge {
		return 1
	}
	return 0
}

// Endpoint is an endpoint of a test cluster. It runs in this process or as a separate program.
type Endpoint struct {
	ID        string
	Kind      int
	Zone      int // 0 is the parent zone
	Addr      string
	StartedAt float64 // Unix time in seconds; 0 means that the endpoint is not in its warm-up
	status    routing.EndpointStatus

	Stop func() // stops an endpoint that runs in this process; nil otherwise

	// Set for an endpoint that runs as a separate program:
	cmd *exec.Cmd
	log *os.File
}

// endpointPlacement is the kind of an endpoint and its zone.
type endpointPlacement struct {
	kind int
	zone int
}

// AddEndpoint creates an endpoint with its own address, without starting it.
func (cluster *Cluster) AddEndpoint(kind, zone int) (*Endpoint, error) {
	listener, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{
		ID:   EndpointID(len(cluster.Endpoints) + 1),
		Kind: kind,
		Zone: zone,
		Addr: listener.Addr().String(),
	}
	_ = listener.Close() // no connection was accepted; the port stays free for the endpoint
	cluster.Endpoints = append(cluster.Endpoints, endpoint)
	return endpoint, nil
}

// discoveryEntry returns the endpoint as an entry of the discovery server's list.
func (endpoint *Endpoint) discoveryEntry() discovery.Endpoint {
	return discovery.Endpoint{
		Address: endpoint.Addr,
		Endpoint: routing.Endpoint{
			ID:        routing.EndpointID(endpoint.ID),
			Zone:      endpoint.Zone,
			Kind:      endpoint.Kind,
			Status:    endpoint.status,
			Weight:    endpointWeight,
			StartedAt: endpoint.StartedAt,
		},
	}
}

// PublishStatus sets the status of an endpoint and publishes it.
func (cluster *Cluster) PublishStatus(endpoint *Endpoint, status routing.EndpointStatus) {
	endpoint.status = status
	cluster.Discovery.Publish(discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{endpoint.discoveryEntry()},
	})
}

// edgeCacheConfig returns the configuration of an endpoint. Without a directory the endpoint has no disk cache.
func (cluster *Cluster) edgeCacheConfig(endpoint *Endpoint, directory string) config.File {
	file, err := config.Parse("lab", nil)
	if err != nil {
		panic(err) // not reached: the default configuration of the product is valid
	}
	cache := &file.EdgeCache
	cache.ID = endpoint.ID
	cache.Listen = endpoint.Addr
	cache.DiscoveryAddress = cluster.Discovery.Addr()
	cache.Classes = clusterClasses
	cache.Role = endpointRoles[endpoint.Kind]
	cache.MemoryMB = 4
	cache.DrainTimeout = 0.5
	if endpoint.Kind == KindParent {
		cache.MemoryMB = 256
		for _, other := range cluster.Endpoints {
			if other.Kind == KindOrigin {
				cache.DefaultSource = other.ID
			}
		}
	}
	disk := &file.DiskCache
	disk.Directory = directory
	disk.CapacityMB = 256
	disk.SegmentMB = 4
	disk.SyncInterval = 0.25
	disk.SnapshotInterval = 2
	return file
}

// StartInProcess starts an endpoint in this process and records the commands that it receives and the responses that it
// sends. The endpoint's goroutine does not stop with the context: Stop, or the cluster's Close, stops it and waits for
// it.
func (cluster *Cluster) StartInProcess(ctx context.Context, endpoint *Endpoint) error {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", endpoint.Addr)
	if err != nil {
		return err
	}
	server := &edgecache.Server{
		Config:    cluster.edgeCacheConfig(endpoint, "").EdgeCache,
		Telemetry: telemetry.New(io.Discard, endpoint.ID),
		OnRequest: func(command cacheproto.Command) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			record := verify.Request{At: timing.UnixSeconds(time.Now()), Endpoint: endpoint.ID, Command: command}
			cluster.requests = append(cluster.requests, record)
		},
		OnResponse: func(requestID string, bytes int) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			record := verify.Served{
				At:        timing.UnixSeconds(time.Now()),
				Endpoint:  endpoint.ID,
				RequestID: requestID,
				Bytes:     bytes,
			}
			cluster.served = append(cluster.served, record)
		},
	}
	if endpoint.Kind == KindOrigin {
		server.Origin = &cluster.Content
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		_ = server.Run(serveCtx, listener) // clients and routers notice an endpoint that stopped too early
		close(ended)
	}()
	endpoint.Stop = func() {
		cancel()
		<-ended
	}
	return nil
}

// StartProgram starts an endpoint as a separate program, with a disk cache in the given directory, and waits until it
// listens. A restarted program appends to its log.
func (cluster *Cluster) StartProgram(endpoint *Endpoint, directory string) error {
	text, err := json.Marshal(cluster.edgeCacheConfig(endpoint, directory)) // JSON is valid YAML
	if err != nil {
		return err
	}
	base := filepath.Join(cluster.options.Directory, endpoint.ID)
	configFile := base + ".yaml"
	if err := os.WriteFile(configFile, text, 0o600); err != nil {
		return err
	}
	endpoint.log, err = os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	//nolint:noctx // ends by Kill, also where the scenario's context ended before
	endpoint.cmd = exec.Command(cluster.options.Program, "edge-cache", "--config", configFile)
	endpoint.cmd.Stderr = endpoint.log
	endpoint.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := endpoint.cmd.Start(); err != nil {
		return fmt.Errorf("start edge cache %s: %w", endpoint.ID, err)
	}
	endpoint.StartedAt = timing.UnixSeconds(time.Now())
	if err := timing.WaitUntil(startTimeout, endpoint.isListening); err != nil {
		tail := logTail(endpoint.log.Name())
		return fmt.Errorf("edge cache %s does not listen: %w; its log: %s", endpoint.ID, err, tail)
	}
	return nil
}

// listens reports whether an endpoint accepts connections.
func (endpoint *Endpoint) isListening() bool {
	conn, err := net.Dial("tcp", endpoint.Addr) //nolint:noctx // on loopback; the caller limits the time
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was written
	return true
}

// Kill terminates an endpoint's program by SIGKILL. It does nothing for an endpoint in this process.
func (endpoint *Endpoint) Kill() {
	if endpoint.cmd != nil {
		_ = endpoint.cmd.Process.Kill() // the process may have exited already
		_ = endpoint.cmd.Wait()         // always an error, as the process was killed
		_ = endpoint.log.Close()        // no buffered data to lose: only the program wrote to the log
		endpoint.cmd = nil
	}
}

// startEndpoints adds endpoints of the given kinds and zones, starts them in this process and publishes them as ready.
// It returns the edge caches among them.
func (cluster *Cluster) startEndpoints(
	ctx context.Context, placements []endpointPlacement,
) (edgeCaches []*Endpoint, err error) {
	for _, placement := range placements {
		endpoint, err := cluster.AddEndpoint(placement.kind, placement.zone)
		if err != nil {
			return nil, err
		}
		if placement.kind == KindEdge {
			edgeCaches = append(edgeCaches, endpoint)
		}
	}
	for _, endpoint := range cluster.Endpoints {
		if err := cluster.StartInProcess(ctx, endpoint); err != nil {
			return nil, err
		}
		cluster.PublishStatus(endpoint, routing.Ready)
	}
	return edgeCaches, nil
}

// StartOneZone starts an origin, a parent cache, and two edge caches in one zone.
func (cluster *Cluster) StartOneZone(ctx context.Context) error {
	_, err := cluster.startEndpoints(ctx, []endpointPlacement{
		{KindOrigin, 0},
		{KindParent, 0},
		{KindEdge, 1},
		{KindEdge, 1},
	})
	return err
}

// StartTwoZones starts an origin, a parent cache, and two edge caches in each of two zones.
func (cluster *Cluster) StartTwoZones(ctx context.Context) (edgeCaches []*Endpoint, err error) {
	return cluster.startEndpoints(ctx, []endpointPlacement{
		{KindOrigin, 0},
		{KindParent, 0},
		{KindEdge, 1},
		{KindEdge, 1},
		{KindEdge, 2},
		{KindEdge, 2},
	})
}
