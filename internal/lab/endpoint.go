package lab

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
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// The kinds of endpoints, as the endpoint list names them.
const (
	kindEdge = iota
	kindParent
	kindOrigin
)

const (
	endpointIDPrefix = "s-"
	endpointWeight   = 8
	fillPrefixLength = 8 // characters of a fill's id that come from the id of the cache that fills
)

// endpointRoles are the names of the kinds in the configuration file of an edge cache.
var endpointRoles = [...]string{kindEdge: "cache", kindParent: "parent", kindOrigin: "origin"}

// endpointID is the id of the nth endpoint.
func endpointID(n int) string { return fmt.Sprintf(endpointIDPrefix+"%08x", n) }

// zoneOf is where endpoints of a kind stand in a cluster of one zone: edge caches in zone 1, others in the parent zone.
func zoneOf(kind int) int {
	if kind == kindEdge {
		return 1
	}
	return 0
}

// clusterEndpoint is an endpoint of a test cluster. It runs in this process or as a program of its own.
type clusterEndpoint struct {
	id        string
	kind      int
	zone      int // 0 is the parent zone
	addr      string
	startedAt float64 // Unix s; 0 for long ago
	status    routing.EndpointStatus

	stop func() // of one that runs in this process

	// Of one that runs as a program:
	cmd *exec.Cmd
	log *os.File
}

// endpointPlace is the kind of an endpoint and the zone in which it stands.
type endpointPlace struct {
	kind int
	zone int
}

// addEndpoint makes an endpoint with an address of its own. It does not start it.
func (cluster *testCluster) addEndpoint(kind, zone int) (*clusterEndpoint, error) {
	listener, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	endpoint := &clusterEndpoint{
		id:   endpointID(len(cluster.endpoints) + 1),
		kind: kind,
		zone: zone,
		addr: listener.Addr().String(),
	}
	_ = listener.Close()
	cluster.endpoints = append(cluster.endpoints, endpoint)
	return endpoint, nil
}

// discoveryEntry is an endpoint as the discovery server lists it.
func (endpoint *clusterEndpoint) discoveryEntry() discovery.Endpoint {
	return discovery.Endpoint{
		Address: endpoint.addr,
		Endpoint: routing.Endpoint{
			ID:        routing.EndpointID(endpoint.id),
			Zone:      endpoint.zone,
			Kind:      endpoint.kind,
			Status:    endpoint.status,
			Weight:    endpointWeight,
			StartedAt: endpoint.startedAt,
		},
	}
}

// publishStatus publishes the status of an endpoint.
func (cluster *testCluster) publishStatus(endpoint *clusterEndpoint, status routing.EndpointStatus) {
	endpoint.status = status
	cluster.discovery.publish(discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{endpoint.discoveryEntry()},
	})
}

// edgeCacheConfig is the configuration of an endpoint. Without a directory it has no disk cache.
func (cluster *testCluster) edgeCacheConfig(endpoint *clusterEndpoint, directory string) config.File {
	file, err := config.Parse("lab", nil)
	if err != nil {
		panic(err) // the product's own defaults
	}
	cache := &file.EdgeCache
	cache.ID = endpoint.id
	cache.Listen = endpoint.addr
	cache.DiscoveryAddress = cluster.discovery.addr()
	cache.Classes = clusterClasses
	cache.Role = endpointRoles[endpoint.kind]
	cache.MemoryMB = 4
	cache.DrainTimeout = 0.5
	if endpoint.kind == kindParent {
		cache.MemoryMB = 256
		for _, other := range cluster.endpoints {
			if other.kind == kindOrigin {
				cache.DefaultSource = other.id
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

// startInProcess starts an endpoint in this process. What it is asked and serves is recorded.
func (cluster *testCluster) startInProcess(endpoint *clusterEndpoint) error {
	listener, err := net.Listen("tcp", endpoint.addr)
	if err != nil {
		return err
	}
	server := &edgecache.Server{
		Config:    cluster.edgeCacheConfig(endpoint, "").EdgeCache,
		Telemetry: telemetry.New(io.Discard, endpoint.id),
		OnRequest: func(command cacheproto.Command) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			record := requestRecord{at: unixSeconds(time.Now()), endpoint: endpoint.id, command: command}
			cluster.requests = append(cluster.requests, record)
		},
		OnResponse: func(requestID string, bytes int) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			record := servedRecord{
				at:        unixSeconds(time.Now()),
				endpoint:  endpoint.id,
				requestID: requestID,
				bytes:     bytes,
			}
			cluster.served = append(cluster.served, record)
		},
	}
	if endpoint.kind == kindOrigin {
		server.Origin = &cluster.content
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = server.Run(ctx, listener)
		close(ended)
	}()
	endpoint.stop = func() {
		cancel()
		<-ended
	}
	return nil
}

// startProgram starts an endpoint as a program of its own, with a disk cache in a directory, and waits until it
// listens. A restarted program appends to its log.
func (cluster *testCluster) startProgram(endpoint *clusterEndpoint, directory string) error {
	text, err := json.Marshal(cluster.edgeCacheConfig(endpoint, directory)) // JSON is YAML
	if err != nil {
		return err
	}
	base := filepath.Join(cluster.options.Directory, endpoint.id)
	configFile := base + ".yaml"
	if err := os.WriteFile(configFile, text, 0o600); err != nil {
		return err
	}
	endpoint.log, err = os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	endpoint.cmd = exec.Command(cluster.options.Program, "box", "--operators", configFile)
	endpoint.cmd.Stderr = endpoint.log
	endpoint.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := endpoint.cmd.Start(); err != nil {
		return fmt.Errorf("start edge cache %s: %w", endpoint.id, err)
	}
	endpoint.startedAt = unixSeconds(time.Now())
	if err := waitUntil(startTimeout, endpoint.listens); err != nil {
		tail := logTail(endpoint.log.Name())
		return fmt.Errorf("edge cache %s does not listen: %w; its log: %s", endpoint.id, err, tail)
	}
	return nil
}

// listens says whether an endpoint takes connections.
func (endpoint *clusterEndpoint) listens() bool {
	conn, err := net.Dial("tcp", endpoint.addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// kill ends a program by SIGKILL. It does nothing for an endpoint in this process.
func (endpoint *clusterEndpoint) kill() {
	if endpoint.cmd != nil {
		_ = endpoint.cmd.Process.Kill()
		_ = endpoint.cmd.Wait()
		_ = endpoint.log.Close()
		endpoint.cmd = nil
	}
}

// startEndpoints adds endpoints of the kinds and zones that are given, starts them in this process and lists them as
// ready. It returns the edge caches among them.
func (cluster *testCluster) startEndpoints(places []endpointPlace) (edgeCaches []*clusterEndpoint, err error) {
	for _, place := range places {
		endpoint, err := cluster.addEndpoint(place.kind, place.zone)
		if err != nil {
			return nil, err
		}
		if place.kind == kindEdge {
			edgeCaches = append(edgeCaches, endpoint)
		}
	}
	for _, endpoint := range cluster.endpoints {
		if err := cluster.startInProcess(endpoint); err != nil {
			return nil, err
		}
		cluster.publishStatus(endpoint, routing.Ready)
	}
	return edgeCaches, nil
}

// startOneZone starts an origin, a parent cache and two edge caches in one zone.
func (cluster *testCluster) startOneZone() error {
	_, err := cluster.startEndpoints([]endpointPlace{
		{kindOrigin, 0},
		{kindParent, 0},
		{kindEdge, 1},
		{kindEdge, 1},
	})
	return err
}

// startTwoZones starts an origin, a parent cache and two edge caches in each of two zones.
func (cluster *testCluster) startTwoZones() (edgeCaches []*clusterEndpoint, err error) {
	return cluster.startEndpoints([]endpointPlace{
		{kindOrigin, 0},
		{kindParent, 0},
		{kindEdge, 1},
		{kindEdge, 1},
		{kindEdge, 2},
		{kindEdge, 2},
	})
}
