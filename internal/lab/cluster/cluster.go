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

// Freshness and purge limits of a test cluster, used in the configuration of its edge caches and its routers.
const (
	pageFreshSeconds    = 12.0 // a page asset is fresh, and served without revalidation, for this long
	pageStaleSeconds    = 10.0 // an expired page asset may be served stale for this long
	purgeSettledSeconds = 6.0  // time after which running edge caches have dropped purged objects
)

// EnvironmentVariable is set for the processes that a cluster starts. It enables features that only the laboratory may
// use.
const EnvironmentVariable = "CAIRNFRONT_LAB"

// purgePublishDelay is how long the origin already serves the new version before the purge event is published.
const purgePublishDelay = 2 * time.Millisecond

// clusterClasses are the request classes in the configuration of the edge caches.
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

// Options configures a cluster.
type Options struct {
	Seed      uint64
	Program   string // path of the product's program
	Directory string // directory for configuration files, disk caches and logs
}

// Cluster is a discovery service, an origin, parent caches, edge caches, routers and clients on loopback.
type Cluster struct {
	options   Options
	Discovery *standin.DiscoveryServer
	Content   edgecache.SyntheticOrigin

	mu             sync.Mutex
	Endpoints      []*Endpoint
	objectVersions map[uint64]uint64 // current version by object
	groupVersions  map[uint64]uint64 // current version by purge group
	lastVersion    uint64
	purges         []verify.Purge
	executions     map[string]int // number of executions by idempotency key
	requests       []verify.Request
	served         []verify.Served
	responses      responseLog
	Routers        []*Router
	ZoneCount      int

	ConfigFile         string // configuration file of the routers; empty if they have none
	NonIdempotentClass bool   // adds a non-idempotent request class
}

// New creates a cluster with the given number of zones in addition to the parent zone, and starts its discovery server.
// The caller adds endpoints and routers.
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

// versionOf returns the current version of an object.
func (cluster *Cluster) versionOf(object uint64) uint64 {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return max(cluster.objectVersions[object], cluster.groupVersions[object%uint64(cluster.Content.Groups)])
}

// Purge creates a new version of an object, or of all objects of its purge group, and then publishes the purge event.
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

// Close stops everything that the cluster started. Routers get SIGTERM, as an operator would send it. A router that
// fails to shut down cleanly is recorded as a violation in r, unless r is nil.
func (cluster *Cluster) Close(r *report.Report) {
	for _, router := range cluster.Routers {
		if router.cmd != nil {
			_ = router.cmd.Process.Signal(syscall.SIGTERM) // the process may have exited already; awaitExit reports how
		}
	}
	for _, router := range cluster.Routers {
		if router.cmd == nil {
			continue
		}
		if problem := router.awaitExit(); problem != "" && r != nil {
			r.AddViolation("%s", problem)
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
