package cluster

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/lab/verify"
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
	{Name: standin.ClassVideoPart, Cacheable: true, Effect: config.EffectIdempotent},
	{
		Name:         standin.ClassPageAsset,
		Cacheable:    true,
		Effect:       config.EffectIdempotent,
		FreshSeconds: pageFreshSeconds,
		StaleSeconds: pageStaleSeconds,
	},
	{Name: standin.ClassPrintOrder, Cacheable: false, Effect: config.EffectIdempotencyKey},
}

// Options say how a cluster is run.
type Options struct {
	Seed      uint64
	Program   string // path of the product's program
	Directory string // for configurations, disks and logs
}

// Cluster is a discovery service, an origin, parents, edge caches, routers and clients on loopback.
type Cluster struct {
	options   Options
	Discovery *standin.DiscoveryServer
	Content   edgecache.SyntheticOrigin

	mu             sync.Mutex
	Endpoints      []*Endpoint
	objectVersions map[uint64]uint64 // of objects
	groupVersions  map[uint64]uint64 // of groups
	lastVersion    uint64
	purges         []verify.Purge
	executions     map[string]int // runs by idempotency key
	requests       []verify.Request
	served         []verify.Served
	responses      responseLog
	Routers        []*Router
	ZoneCount      int

	ConfigFile         string // of the routers; empty for none
	NonIdempotentClass bool   // the cluster has a non-idempotent class too
}

// New starts the discovery server of a cluster with a number of zones beside the parent zone. Endpoints
// and routers are added to it.
func New(options Options, zoneCount int) (*Cluster, error) {
	server, err := standin.NewDiscoveryServer()
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{
		options:        options,
		Discovery:      server,
		objectVersions: map[uint64]uint64{},
		groupVersions:  map[uint64]uint64{},
		executions:     map[string]int{},
		ZoneCount:      zoneCount,
	}
	cluster.Content.Seed = options.Seed
	cluster.Content.MinBytes = 8000
	cluster.Content.MaxBytes = 40000
	cluster.Content.Groups = 32
	cluster.Content.KeyRetention = time.Duration(standin.KeyRetentionSeconds * float64(time.Second))
	cluster.Content.Version = cluster.versionOf
	cluster.Content.OnExecute = func(_, key string) {
		cluster.mu.Lock()
		cluster.executions[key]++
		cluster.mu.Unlock()
	}
	return cluster, nil
}

// versionOf is the current version of an object.
func (cluster *Cluster) versionOf(object uint64) uint64 {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return max(cluster.objectVersions[object], cluster.groupVersions[object%uint64(cluster.Content.Groups)])
}

// Purge publishes a new version of an object, or of all objects of its purge group, and then the purge event.
func (cluster *Cluster) Purge(object uint64, ofGroup bool) {
	cluster.mu.Lock()
	cluster.lastVersion++
	p := verify.Purge{
		Object:  object,
		OfGroup: ofGroup,
		Group:   object % uint64(cluster.Content.Groups),
		Version: cluster.lastVersion,
	}
	if ofGroup {
		cluster.groupVersions[p.Group] = p.Version
	} else {
		cluster.objectVersions[object] = p.Version
	}
	cluster.mu.Unlock()
	time.Sleep(purgePublishDelay)
	event := discovery.Event{
		Kind:  discovery.PurgeGroup,
		Purge: discovery.Purge{Group: int(p.Group), PurgedAt: timing.UnixSeconds(time.Now())},
	}
	if !ofGroup {
		event.Kind = discovery.PurgeObject
		event.Purge.Object = fmt.Sprintf("%016x", object)
	}
	p.EventIndex = cluster.Discovery.Publish(event)
	cluster.mu.Lock()
	cluster.purges = append(cluster.purges, p)
	cluster.mu.Unlock()
}

// Close ends all that the cluster started: routers by SIGTERM, as an operator would. A router that does not end well
// breaks the report, where one is given.
func (cluster *Cluster) Close(r *report.Report) {
	for _, router := range cluster.Routers {
		if router.cmd != nil {
			_ = router.cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself; awaitEnd says how
		}
	}
	for _, router := range cluster.Routers {
		if router.cmd == nil {
			continue
		}
		if problem := router.awaitEnd(); problem != "" && r != nil {
			r.Broke("%s", problem)
		}
	}
	for _, endpoint := range cluster.Endpoints {
		endpoint.Kill()
		if endpoint.Stop != nil {
			endpoint.Stop()
			endpoint.Stop = nil
		}
	}
	cluster.Discovery.Close()
}
