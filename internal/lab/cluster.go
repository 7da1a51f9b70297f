package lab

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
)

// Bounds of a test cluster, as its edge caches and its routers are configured.
const (
	pageFreshSeconds    = 12.0 // for which a page asset may be served without asking
	pageStaleSeconds    = 10.0 // beyond that for which it may still be served
	purgeSettledSeconds = 6.0  // after which running edge caches have dropped what was purged
)

// EnvironmentVariable is set for the processes that a cluster starts. It allows what only the laboratory may ask for.
const EnvironmentVariable = "CAIRNFRONT_LAB"

// purgePublishDelay is the time in which the origin serves the new version before the purge event is published.
const purgePublishDelay = 2 * time.Millisecond

// clusterClasses are the classes in the configuration of the edge caches.
var clusterClasses = []config.Class{
	{Name: classVideoPart, Cacheable: true, Effect: config.EffectIdempotent},
	{
		Name:         classPageAsset,
		Cacheable:    true,
		Effect:       config.EffectIdempotent,
		FreshSeconds: pageFreshSeconds,
		StaleSeconds: pageStaleSeconds,
	},
	{Name: classPrintOrder, Cacheable: false, Effect: config.EffectIdempotencyKey},
}

// clusterOptions say how a cluster is run.
type clusterOptions struct {
	Seed      uint64
	Program   string // path of the product's program
	Directory string // for configurations, disks and logs
}

// testCluster is a discovery service, an origin, parents, edge caches, routers and clients on loopback.
type testCluster struct {
	options   clusterOptions
	discovery *discoveryServer
	content   edgecache.SyntheticOrigin

	mu             sync.Mutex
	endpoints      []*clusterEndpoint
	objectVersions map[uint64]uint64 // of objects
	groupVersions  map[uint64]uint64 // of groups
	lastVersion    uint64
	purges         []publishedPurge
	executions     map[string]int // runs by idempotency key
	requests       []requestRecord
	served         []servedRecord
	responses      responseLog
	routers        []*routerProcess
	zoneCount      int

	configFile         string // of the routers; empty for none
	nonIdempotentClass bool   // the cluster has a non-idempotent class too
}

// newTestCluster starts the discovery server of a cluster with a number of zones beside the parent zone. Endpoints
// and routers are added to it.
func newTestCluster(options clusterOptions, zoneCount int) (*testCluster, error) {
	server, err := newDiscoveryServer()
	if err != nil {
		return nil, err
	}
	cluster := &testCluster{
		options:        options,
		discovery:      server,
		objectVersions: map[uint64]uint64{},
		groupVersions:  map[uint64]uint64{},
		executions:     map[string]int{},
		zoneCount:      zoneCount,
	}
	cluster.content.Seed = options.Seed
	cluster.content.MinBytes = 8000
	cluster.content.MaxBytes = 40000
	cluster.content.Groups = 32
	cluster.content.KeyRetention = time.Duration(keyRetentionSeconds * float64(time.Second))
	cluster.content.Version = cluster.versionOf
	cluster.content.OnExecute = func(_, key string) {
		cluster.mu.Lock()
		cluster.executions[key]++
		cluster.mu.Unlock()
	}
	return cluster, nil
}

// versionOf is the current version of an object.
func (cluster *testCluster) versionOf(object uint64) uint64 {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return max(cluster.objectVersions[object], cluster.groupVersions[object%uint64(cluster.content.Groups)])
}

// purge publishes a new version of an object or of all objects of a purge group, and then the purge event.
func (cluster *testCluster) purge(object uint64, wholeGroup bool) {
	cluster.mu.Lock()
	cluster.lastVersion++
	p := publishedPurge{
		object:     object,
		wholeGroup: wholeGroup,
		group:      object % uint64(cluster.content.Groups),
		version:    cluster.lastVersion,
	}
	if wholeGroup {
		cluster.groupVersions[p.group] = p.version
	} else {
		cluster.objectVersions[object] = p.version
	}
	cluster.mu.Unlock()
	time.Sleep(purgePublishDelay)
	event := discovery.Event{
		Kind:  discovery.PurgeGroup,
		Purge: discovery.Purge{Group: int(p.group), PurgedAt: unixSeconds(time.Now())},
	}
	if !wholeGroup {
		event.Kind = discovery.PurgeObject
		event.Purge.Object = fmt.Sprintf("%016x", object)
	}
	p.eventIndex = cluster.discovery.publish(event)
	cluster.mu.Lock()
	cluster.purges = append(cluster.purges, p)
	cluster.mu.Unlock()
}

// close ends all that the cluster started: routers by SIGTERM, as an operator would. A router that does not end well
// breaks the report, where one is given.
func (cluster *testCluster) close(r *report.Report) {
	for _, router := range cluster.routers {
		if router.cmd != nil {
			_ = router.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, router := range cluster.routers {
		if router.cmd == nil {
			continue
		}
		if problem := router.awaitEnd(); problem != "" && r != nil {
			r.Broke("%s", problem)
		}
	}
	for _, endpoint := range cluster.endpoints {
		endpoint.kill()
		if endpoint.stop != nil {
			endpoint.stop()
			endpoint.stop = nil
		}
	}
	cluster.discovery.close()
}
