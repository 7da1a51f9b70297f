package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// The request classes of a test cluster, as its edge caches and its routers are told them.
const (
	pageFreshSeconds, pageStaleSeconds = 12.0, 10.0 // s
	keyRetentionSeconds                = 6.0        // s for which the origin drops a keyed repeat
	drainGraceSeconds                  = 1.0        // s, rule 3
	purgeGraceSeconds                  = 0.5        // s, rule 5
	deadlineMarginSeconds              = 0.05       // s that every time limit is longer on sockets (the protocol)
	purgeSettledSeconds                = 6.0        // s, after which running edge caches have dropped what was purged
)

var clusterClasses = []config.Class{
	{Name: "video-part", Cacheable: true, Effect: "repeatable"},
	{
		Name:         "page-asset",
		Cacheable:    true,
		Effect:       "repeatable",
		FreshSeconds: pageFreshSeconds,
		StaleSeconds: pageStaleSeconds,
	},
	{Name: "print-order", Cacheable: false, Effect: "keyed"},
}

// clusterEndpoint is a member of a test cluster: an edge cache, a parent or the origin.
type clusterEndpoint struct {
	id        string
	kind      int // 0 edge cache, 1 parent, 2 origin
	zone      int // 0 hub, 1 and on zones
	addr      string
	startedAt float64
	status    routing.EndpointStatus

	// Of one that runs in this process:
	stop func()

	// Of one that runs as a program:
	cmd        *exec.Cmd
	configPath string
	log        *os.File
}

// requestRecord is what an endpoint in this process was asked and how it ended.
type requestRecord struct {
	at       float64
	endpoint string
	command  cacheproto.Command
}

// servedRecord is an answer that an endpoint in this process gave.
type servedRecord struct {
	at        float64
	endpoint  string
	requestID string // the id of the request or fill; an edge cache's fills begin with its own id
	bytes     int
}

// testCluster cluster is discovery service, origin, parents, edge caches, routers and clients on loopback.
type testCluster struct {
	options   Options
	discovery *discoveryServer
	content   edgecache.SyntheticOrigin

	mu             sync.Mutex
	endpoints      []*clusterEndpoint
	objectVersions map[uint64]uint64 // of objects
	groupVersions  map[uint64]uint64 // of groups
	lastVersion    uint64
	purges         []publishedPurge
	executions     map[string]int // effects by key
	requests       []requestRecord
	served         []servedRecord
	responses      responseLog
	routers        []*routerProcess
	zoneCount      int

	operatorsFile      string // the routers' operators' file, none where empty
	nonIdempotentClass bool   // there is an non-idempotent rule too
}

// publishedPurge is a purge: everything of it that is served later has at least the version.
type publishedPurge struct {
	eventIndex int
	object     uint64
	wholeGroup bool
	group      uint64
	version    uint64
}

type routerProcess struct {
	name          string
	addr          string
	settingsPath  string   // its start file
	operatorsFile string   // its operators' file, none where empty
	extraEnv      []string // beside those of the laboratory
	cmd           *exec.Cmd
	log           *os.File
}

func newTestCluster(options Options, campuses int) (*testCluster, error) {
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
		zoneCount:      campuses,
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

func (cluster *testCluster) versionOf(object uint64) uint64 {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return max(cluster.objectVersions[object], cluster.groupVersions[object%uint64(cluster.content.Groups)])
}

// purge publishes an object or a whole group anew and tells the discovery server so.
func (cluster *testCluster) purge(object uint64, all bool) {
	cluster.mu.Lock()
	cluster.lastVersion++
	p := publishedPurge{
		object:     object,
		wholeGroup: all,
		group:      object % uint64(cluster.content.Groups),
		version:    cluster.lastVersion,
	}
	if all {
		cluster.groupVersions[p.group] = p.version
	} else {
		cluster.objectVersions[object] = p.version
	}
	cluster.mu.Unlock()
	time.Sleep(2 * time.Millisecond) // the origin gives out the new one before anybody is told
	ev := discovery.Event{
		Kind:  discovery.PurgeGroup,
		Purge: discovery.Purge{Group: int(p.group), PurgedAt: unixSeconds(time.Now())},
	}
	if !all {
		ev.Kind = discovery.PurgeObject
		ev.Purge.Object = fmt.Sprintf("%016x", object)
	}
	p.eventIndex = cluster.discovery.publish(ev)
	cluster.mu.Lock()
	cluster.purges = append(cluster.purges, p)
	cluster.mu.Unlock()
}

// Addresses that are given up and taken again, as by a process that is killed and started anew, lie below the range
// from which the
// system takes ports for outgoing connections: else another connection may have the port meanwhile.
const (
	firstReusablePort = 20000
	reusablePorts     = 12000
	maxPortAttempts   = 200
)

// listenReusableTCP listens on an address of the loopback that stays free while nobody listens on it.
func listenReusableTCP() (ln net.Listener, err error) {
	for range maxPortAttempts {
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstReusablePort+rand.IntN(reusablePorts))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, err)
}

// listenReusableUDP is the same for datagrams.
func listenReusableUDP() (c *net.UDPConn, err error) {
	for range maxPortAttempts {
		if c, err = net.ListenUDP(
			"udp",
			&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstReusablePort + rand.IntN(reusablePorts)},
		); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, err)
}

// addEndpoint makes a member with an address of its own.
func (cluster *testCluster) addEndpoint(kind, location int) (*clusterEndpoint, error) {
	ln, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	endpoint := &clusterEndpoint{
		id:   fmt.Sprintf("s-%08x", len(cluster.endpoints)+1),
		kind: kind,
		zone: location,
		addr: ln.Addr().String(),
	}
	_ = ln.Close()
	cluster.endpoints = append(cluster.endpoints, endpoint)
	return endpoint, nil
}

func (endpoint *clusterEndpoint) discoveryEntry() discovery.Endpoint {
	return discovery.Endpoint{
		Address: endpoint.addr,
		Endpoint: routing.Endpoint{
			ID:        routing.EndpointID(endpoint.id),
			Zone:      endpoint.zone,
			Kind:      endpoint.kind,
			Status:    endpoint.status,
			Weight:    8,
			StartedAt: endpoint.startedAt,
		},
	}
}

// publishStatus tells the discovery server how a member stands.
func (cluster *testCluster) publishStatus(endpoint *clusterEndpoint, status routing.EndpointStatus) {
	endpoint.status = status
	cluster.discovery.publish(discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{endpoint.discoveryEntry()},
	})
}

// edgeCacheConfig is the operators' file of a member.
func (cluster *testCluster) edgeCacheConfig(endpoint *clusterEndpoint, folder string) config.File {
	rules, err := config.Parse("lab", nil)
	if err != nil {
		panic(err) // the product's own defaults
	}
	b := &rules.EdgeCache
	b.ID, b.Listen, b.DiscoveryAddress, b.Classes = endpoint.id, endpoint.addr, cluster.discovery.addr(), clusterClasses
	b.Role = [...]string{"cache", "parent", "origin"}[endpoint.kind]
	b.MemoryMB, b.DrainTimeout = 4, 0.5
	if endpoint.kind == 1 {
		b.MemoryMB = 256
		for _, x := range cluster.endpoints {
			if x.kind == 2 {
				b.DefaultSource = x.id
			}
		}
	}
	rules.DiskCache.Directory, rules.DiskCache.CapacityMB, rules.DiskCache.SegmentMB = folder, 256, 4
	rules.DiskCache.SyncInterval, rules.DiskCache.SnapshotInterval = 0.25, 2
	return rules
}

// startInProcess starts an endpoint in this process; what it is asked and gives is noted.
func (cluster *testCluster) startInProcess(endpoint *clusterEndpoint) error {
	ln, err := net.Listen("tcp", endpoint.addr)
	if err != nil {
		return err
	}
	rules := cluster.edgeCacheConfig(endpoint, "")
	b := &edgecache.Server{Config: rules.EdgeCache, Telemetry: telemetry.New(io.Discard, endpoint.id)}
	if endpoint.kind == 2 {
		b.Origin = &cluster.content
	}
	b.OnRequest = func(a cacheproto.Command) {
		cluster.mu.Lock()
		cluster.requests = append(cluster.requests, requestRecord{unixSeconds(time.Now()), endpoint.id, a})
		cluster.mu.Unlock()
	}
	b.OnResponse = func(id string, bytes int) {
		cluster.mu.Lock()
		cluster.served = append(cluster.served, servedRecord{unixSeconds(time.Now()), endpoint.id, id, bytes})
		cluster.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = b.Run(ctx, ln)
		close(done)
	}()
	endpoint.stop = func() { cancel(); <-done }
	return nil
}

// startProgram starts a member as a program of its own.
func (cluster *testCluster) startProgram(endpoint *clusterEndpoint, folder string) error {
	rules := cluster.edgeCacheConfig(endpoint, folder)
	text, err := json.Marshal(rules) // JSON is YAML
	if err != nil {
		return err
	}
	endpoint.configPath = filepath.Join(cluster.options.Directory, endpoint.id+".yaml")
	if err := os.WriteFile(endpoint.configPath, text, 0o600); err != nil {
		return err
	}
	if endpoint.log, err = os.OpenFile(
		filepath.Join(cluster.options.Directory, endpoint.id+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o600,
	); err != nil {
		return err
	}
	endpoint.cmd = exec.Command(cluster.options.Program, "box", "--operators", endpoint.configPath)
	endpoint.cmd.Stderr = endpoint.log
	endpoint.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := endpoint.cmd.Start(); err != nil {
		return fmt.Errorf("starting box %s: %w", endpoint.id, err)
	}
	endpoint.startedAt = unixSeconds(time.Now())
	if err := waitUntil(10*time.Second, func() bool {
		c, err := net.Dial("tcp", endpoint.addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}); err != nil {
		return fmt.Errorf("box %s does not come up: %w; its log: %s", endpoint.id, err, logTail(endpoint.log.Name()))
	}
	return nil
}

// kill ends a program outright.
func (endpoint *clusterEndpoint) kill() {
	if endpoint.cmd != nil {
		_ = endpoint.cmd.Process.Kill()
		_ = endpoint.cmd.Wait()
		_ = endpoint.log.Close()
		endpoint.cmd = nil
	}
}

func logTail(path string) string {
	b, _ := os.ReadFile(path)
	return string(b[max(len(b)-600, 0):])
}

// waitUntil waits for something to be so.
func waitUntil(most time.Duration, so func() bool) error {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		if so() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited %v", most)
		}
	}
}

// addRouter starts a router of a zone; all members must be listed.
func (cluster *testCluster) addRouter(location int) error {
	router, err := cluster.prepareRouter(location)
	if err != nil {
		return err
	}
	router.operatorsFile = cluster.operatorsFile
	return cluster.startRouter(router)
}

// prepareRouter makes a router's start file; it has a place among the test cluster's routers, but does not run yet.
func (cluster *testCluster) prepareRouter(location int) (*routerProcess, error) {
	ln, err := listenReusableTCP()
	if err != nil {
		return nil, err
	}
	router := &routerProcess{name: fmt.Sprintf("n%d", len(cluster.routers)+1), addr: ln.Addr().String()}
	_ = ln.Close()
	zones, perZone, hub, links := []string{"hub"}, []int{0}, []int{0}, []float64{1e6}
	for i := range cluster.zoneCount {
		zones = append(zones, fmt.Sprintf("campus-%d", i+1))
		perZone = append(perZone, 1)
		hub = append(hub, 0)
		links = append(links, 1e6)
	}
	kinds := []string{"box", "parent", "origin"}
	var rows []map[string]any
	for _, endpoint := range cluster.endpoints {
		rows = append(rows, map[string]any{
			"name":     endpoint.id,
			"address":  endpoint.addr,
			"zone":     zones[endpoint.zone],
			"type":     kinds[endpoint.kind],
			"group":    0,
			"status":   "SERVING",
			"weight":   8,
			"since_ms": int64(endpoint.startedAt * 1000),
		})
	}
	class := func(name, effect string, onTime, limit, worth float64) map[string]any {
		return map[string]any{
			"name":         name,
			"effect":       effect,
			"group":        "all",
			"on_time_s":    onTime,
			"aim_stretch":  2.0,
			"hard_limit_s": limit,
			"window_s":     keyRetentionSeconds,
			"worth":        worth,
			"late_worth":   0.1,
			"streaming":    false,
		}
	}
	classes := []any{
		class("video-part", "retryable", 0.4, 6, 2),
		class("page-asset", "retryable", 0.25, 2.5, 1),
		class("print-order", "dedup", 0.6, 3, 3),
	}
	if cluster.nonIdempotentClass {
		classes = append(classes, class("record", "fragile", 0.6, 3, 3))
	}
	text, err := json.Marshal(map[string]any{
		"name":   router.name,
		"listen": router.addr,
		"board":  cluster.discovery.addr(),
		"seed":   fmt.Sprintf("%016x", cluster.options.Seed+uint64(location)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{
			"rev":     0,
			"notices": []any{map[string]any{"rev": 0, "pool": map[string]any{"snapshot": true, "endpoints": rows}}},
		},
		"settings": map[string]any{
			"me":         location - 1,
			"group_size": cluster.zoneCount,
			"zone":       location,
			"zones":      zones,
			"flavors":    kinds,
			"extra": map[string]any{
				"count_by_zone":        perZone,
				"fresh_for_s":          []float64{0, pageFreshSeconds, 0, 0},
				"usable_after_s":       []float64{0, pageStaleSeconds, 0, 0},
				"worth_when_old":       []float64{1, 0.5, 1, 1},
				"never_kept":           []bool{false, false, true, true},
				"origin_kind":          2,
				"upper_kind":           1,
				"pace_kb_per_s":        10000.0,
				"gone_everywhere_s":    purgeSettledSeconds,
				"notice_time_s":        purgeGraceSeconds,
				"pass_through_ok":      true,
				"sideways":             "location",
				"tells":                "all",
				"joins":                true,
				"link_in_kb_per_s":     links,
				"hub_of":               hub,
				"parent_floor":         0.5,
				"parent_warms_in_s":    1.0,
				"parent_fall_multiple": 2.0,
			},
			"limits": map[string]any{
				"cancelling":        true,
				"connect_timeout_s": 0.4,
				"idle_close_s":      15.0,
				"max_attempts":      6,
				"max_streams":       32,
				"parallel_tries":    false,
				"may_probe":         false,
				"retry_after":       true,
				"max_retry_after_s": 2.0,
			},
			"rules": map[string]any{
				"stop_sending_within_s": drainGraceSeconds,
				"fall_multiple":         3.0,
				"overload_for_s":        1.0,
				"start_capacity":        0.5,
				"cold_s":                1.0,
			},
			"registry_mode":   "pushed",
			"request_classes": classes,
		},
	})
	if err != nil {
		return nil, err
	}
	router.settingsPath = filepath.Join(cluster.options.Directory, router.name+".json")
	if err := os.WriteFile(router.settingsPath, text, 0o600); err != nil {
		return nil, err
	}
	cluster.routers = append(cluster.routers, router)
	return router, nil
}

// startRouter starts a router's process, once more where it was killed, and waits until it is ready. Its log goes on.
func (cluster *testCluster) startRouter(router *routerProcess) error {
	if err := cluster.spawnRouter(router); err != nil {
		return err
	}
	return cluster.awaitRouter(router)
}

func (cluster *testCluster) spawnRouter(router *routerProcess) (err error) {
	if router.log == nil {
		if router.log, err = os.Create(filepath.Join(cluster.options.Directory, router.name+".log")); err != nil {
			return err
		}
	}
	router.cmd = exec.Command(cluster.options.Program, "serve", "--operators", router.operatorsFile)
	router.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+router.settingsPath), router.extraEnv...)
	router.cmd.Stderr = router.log
	router.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := router.cmd.Start(); err != nil {
		router.cmd = nil
		return fmt.Errorf("starting router %s: %w", router.name, err)
	}
	return nil
}

func (cluster *testCluster) awaitRouter(router *routerProcess) error {
	if err := waitUntil(10*time.Second, func() bool { return routerReady(router.addr) }); err != nil {
		return fmt.Errorf("router %s is not ready: %w; its log: %s", router.name, err, logTail(router.log.Name()))
	}
	return nil
}

// kill ends a router outright.
func (router *routerProcess) kill() {
	if router.cmd != nil {
		_ = router.cmd.Process.Kill()
		_ = router.cmd.Wait()
		router.cmd = nil
	}
}

// usage is the CPU seconds that a router has used and its memory in MB, as the system counts them.
func (router *routerProcess) usage() (cpu, rss float64) {
	const ticks = 100 // a second, on Linux
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", router.cmd.Process.Pid)); err == nil {
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		for _, i := range []int{11, 12} { // utime and stime, proc(5)
			n, _ := strconv.ParseFloat(fields[i], 64)
			cpu += n / ticks
		}
	}
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", router.cmd.Process.Pid)); err == nil {
		n, _ := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
		rss = n * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpu, rss
}

// routerReady asks a router whether it takes requests.
func routerReady(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0)); err != nil {
		return false
	}
	b := make([]byte, clientproto.HeaderSize+2)
	_, err = io.ReadFull(c, b)
	return err == nil && clientproto.FrameType(b[4]) == clientproto.TypeReadinessReply && b[clientproto.HeaderSize] == 1
}

// close ends all that the test cluster started: routers by SIGTERM, as an operator would. A router that does not
// end well is
// told of.
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
		done := make(chan error, 1)
		go func() { done <- router.cmd.Wait() }()
		select {
		case err := <-done:
			if err != nil && r != nil {
				r.Broke("router %s ended with %v: %s", router.name, err, logTail(router.log.Name()))
			}
		case <-time.After(10 * time.Second):
			_ = router.cmd.Process.Kill()
			<-done
			if r != nil {
				r.Broke("router %s did not end on SIGTERM", router.name)
			}
		}
		_ = router.log.Close()
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
