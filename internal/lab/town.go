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

// The remap rules of a town, as its boxes and its routers are told them.
const (
	pageFresh, pageStale = 12.0, 10.0 // s
	keyWindow            = 6.0        // s for which the archive drops a keyed repeat
	drainGrace           = 1.0        // s, rule 3
	purgeGrace           = 0.5        // s, rule 5
	lateBy               = 0.05       // s that every time limit is longer on sockets (the protocol)
	goneEverywhere       = 6.0        // s, after which running boxes have dropped what was purged
)

var townRules = []config.Class{{Name: "video-part", Cacheable: true, Effect: "repeatable"},
	{Name: "page-asset", Cacheable: true, Effect: "repeatable", FreshSeconds: pageFresh, StaleSeconds: pageStale},
	{Name: "print-order", Cacheable: false, Effect: "keyed"}}

// place is a member of a town: a box, a parent or the archive.
type place struct {
	id       string
	kind     int // 0 box, 1 parent, 2 origin
	location int // 0 hub, 1 and on campuses
	addr     string
	started  float64
	status   routing.EndpointStatus

	// Of one that runs in this process:
	stop func()

	// Of one that runs as a program:
	cmd *exec.Cmd
	yml string
	log *os.File
}

// saw is what a member in this process was asked and how it ended.
type saw struct {
	at     float64
	member string
	asked  cacheproto.Command
}

// gave is an answer that a member in this process gave.
type gave struct {
	at     float64
	member string
	asker  string // the id of the txn or fill; a box's fills begin with its own id
	bytes  int
}

// town is notice board, archive, parents, boxes, routers and clients on loopback.
type town struct {
	s     Setting
	board *noticeBoard
	made  edgecache.SyntheticOrigin

	mu       sync.Mutex
	places   []*place
	versions map[uint64]uint64 // of objects
	groups   map[uint64]uint64 // of groups
	version  uint64
	purges   []purgeTold
	ran      map[string]int // effects by key
	asks     []saw
	gaves    []gave
	replies  tally
	routers  []*router
	campuses int

	operators string // the routers' operators' file, none where empty
	fragile   bool   // there is an unrepeatable rule too
}

// purgeTold is a purge: everything of it that is served later has at least the version.
type purgeTold struct {
	event   int
	object  uint64
	all     bool
	group   uint64
	version uint64
}

type router struct {
	name      string
	addr      string
	path      string   // its start file
	operators string   // its operators' file, none where empty
	env       []string // beside those of the laboratory
	cmd       *exec.Cmd
	log       *os.File
}

func newTown(s Setting, campuses int) (*town, error) {
	b, err := newBoard()
	if err != nil {
		return nil, err
	}
	t := &town{s: s, board: b, versions: map[uint64]uint64{}, groups: map[uint64]uint64{}, ran: map[string]int{}, campuses: campuses}
	t.made.Seed, t.made.MinBytes, t.made.MaxBytes, t.made.Groups = s.Seed, 8000, 40000, 32
	t.made.KeyRetention = time.Duration(keyWindow * float64(time.Second))
	t.made.Version = t.versionOf
	t.made.OnExecute = func(_, key string) {
		t.mu.Lock()
		t.ran[key]++
		t.mu.Unlock()
	}
	return t, nil
}

func (t *town) versionOf(object uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.versions[object], t.groups[object%uint64(t.made.Groups)])
}

// purge publishes an object or a whole group anew and tells the board so.
func (t *town) purge(object uint64, all bool) {
	t.mu.Lock()
	t.version++
	p := purgeTold{object: object, all: all, group: object % uint64(t.made.Groups), version: t.version}
	if all {
		t.groups[p.group] = p.version
	} else {
		t.versions[object] = p.version
	}
	t.mu.Unlock()
	time.Sleep(2 * time.Millisecond) // the archive gives out the new one before anybody is told
	ev := discovery.Event{Kind: discovery.PurgeGroup, Purge: discovery.Purge{Group: int(p.group), PurgedAt: unix(time.Now())}}
	if !all {
		ev.Kind = discovery.PurgeObject
		ev.Purge.Object = fmt.Sprintf("%016x", object)
	}
	p.event = t.board.tell(ev)
	t.mu.Lock()
	t.purges = append(t.purges, p)
	t.mu.Unlock()
}

// Addresses that are given up and taken again, as by a process that is killed and started anew, lie below the range from which the
// system takes ports for outgoing connections: else another connection may have the port meanwhile.
const (
	lowPorts  = 20000
	manyPorts = 12000
	portTries = 200
)

// listenLow listens on an address of the loopback that stays free while nobody listens on it.
func listenLow() (ln net.Listener, err error) {
	for range portTries {
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowPorts+rand.IntN(manyPorts))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", lowPorts, err)
}

// listenLowUDP is the same for datagrams.
func listenLowUDP() (c *net.UDPConn, err error) {
	for range portTries {
		if c, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: lowPorts + rand.IntN(manyPorts)}); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", lowPorts, err)
}

// add makes a member with an address of its own.
func (t *town) add(kind, location int) (*place, error) {
	ln, err := listenLow()
	if err != nil {
		return nil, err
	}
	p := &place{id: fmt.Sprintf("s-%08x", len(t.places)+1), kind: kind, location: location, addr: ln.Addr().String()}
	_ = ln.Close()
	t.places = append(t.places, p)
	return p, nil
}

func (p *place) row() discovery.Endpoint {
	return discovery.Endpoint{Address: p.addr, Endpoint: routing.Endpoint{ID: routing.EndpointID(p.id), Zone: p.location, Kind: p.kind, Status: p.status, Weight: 8, StartedAt: p.started}}
}

// list tells the board how a member stands.
func (t *town) list(p *place, status routing.EndpointStatus) {
	p.status = status
	t.board.tell(discovery.Event{Kind: discovery.Update, Endpoints: []discovery.Endpoint{p.row()}})
}

// rulebook is the operators' file of a member.
func (t *town) rulebook(p *place, folder string) config.File {
	rules, err := config.Parse("lab", nil)
	if err != nil {
		panic(err) // the product's own defaults
	}
	b := &rules.EdgeCache
	b.ID, b.Listen, b.DiscoveryAddress, b.Classes = p.id, p.addr, t.board.addr(), townRules
	b.Role = [...]string{"cache", "parent", "origin"}[p.kind]
	b.MemoryMB, b.DrainTimeout = 4, 0.5
	if p.kind == 1 {
		b.MemoryMB = 256
		for _, x := range t.places {
			if x.kind == 2 {
				b.DefaultSource = x.id
			}
		}
	}
	rules.DiskCache.Directory, rules.DiskCache.CapacityMB, rules.DiskCache.SegmentMB = folder, 256, 4
	rules.DiskCache.SyncInterval, rules.DiskCache.SnapshotInterval = 0.25, 2
	return rules
}

// open starts a member in this process; what it is asked and gives is noted.
func (t *town) open(p *place) error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	rules := t.rulebook(p, "")
	b := &edgecache.Server{Config: rules.EdgeCache, Telemetry: telemetry.New(io.Discard, p.id)}
	if p.kind == 2 {
		b.Origin = &t.made
	}
	b.OnRequest = func(a cacheproto.Command) {
		t.mu.Lock()
		t.asks = append(t.asks, saw{unix(time.Now()), p.id, a})
		t.mu.Unlock()
	}
	b.OnResponse = func(id string, bytes int) {
		t.mu.Lock()
		t.gaves = append(t.gaves, gave{unix(time.Now()), p.id, id, bytes})
		t.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = b.Run(ctx, ln)
		close(done)
	}()
	p.stop = func() { cancel(); <-done }
	return nil
}

// start starts a member as a program of its own.
func (t *town) start(p *place, folder string) error {
	rules := t.rulebook(p, folder)
	text, err := json.Marshal(rules) // JSON is YAML
	if err != nil {
		return err
	}
	p.yml = filepath.Join(t.s.Folder, p.id+".yaml")
	if err := os.WriteFile(p.yml, text, 0o600); err != nil {
		return err
	}
	if p.log, err = os.OpenFile(filepath.Join(t.s.Folder, p.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command(t.s.Program, "box", "--operators", p.yml)
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("starting box %s: %w", p.id, err)
	}
	p.started = unix(time.Now())
	if err := until(10*time.Second, func() bool {
		c, err := net.Dial("tcp", p.addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}); err != nil {
		return fmt.Errorf("box %s does not come up: %w; its log: %s", p.id, err, tail(p.log.Name()))
	}
	return nil
}

// kill ends a program outright.
func (p *place) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = p.log.Close()
		p.cmd = nil
	}
}

func tail(path string) string {
	b, _ := os.ReadFile(path)
	return string(b[max(len(b)-600, 0):])
}

// until waits for something to be so.
func until(most time.Duration, so func() bool) error {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		if so() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited %v", most)
		}
	}
}

// addRouter starts a router of a campus; all members must be listed.
func (t *town) addRouter(location int) error {
	r, err := t.planRouter(location)
	if err != nil {
		return err
	}
	r.operators = t.operators
	return t.launch(r)
}

// planRouter makes a router's start file; it has a place among the town's routers, but does not run yet.
func (t *town) planRouter(location int) (*router, error) {
	ln, err := listenLow()
	if err != nil {
		return nil, err
	}
	r := &router{name: fmt.Sprintf("n%d", len(t.routers)+1), addr: ln.Addr().String()}
	_ = ln.Close()
	zones, perZone, hub, links := []string{"hub"}, []int{0}, []int{0}, []float64{1e6}
	for i := range t.campuses {
		zones, perZone, hub, links = append(zones, fmt.Sprintf("campus-%d", i+1)), append(perZone, 1), append(hub, 0), append(links, 1e6)
	}
	kinds := []string{"box", "parent", "origin"}
	var rows []map[string]any
	for _, p := range t.places {
		rows = append(rows, map[string]any{"name": p.id, "address": p.addr, "zone": zones[p.location], "type": kinds[p.kind], "group": 0,
			"status": "SERVING", "weight": 8, "since_ms": int64(p.started * 1000)})
	}
	class := func(name, effect string, onTime, limit, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "on_time_s": onTime, "aim_stretch": 2.0, "hard_limit_s": limit,
			"window_s": keyWindow, "worth": worth, "late_worth": 0.1, "streaming": false}
	}
	classes := []any{class("video-part", "retryable", 0.4, 6, 2), class("page-asset", "retryable", 0.25, 2.5, 1), class("print-order", "dedup", 0.6, 3, 3)}
	if t.fragile {
		classes = append(classes, class("record", "fragile", 0.6, 3, 3))
	}
	text, err := json.Marshal(map[string]any{"name": r.name, "listen": r.addr, "board": t.board.addr(), "seed": fmt.Sprintf("%016x", t.s.Seed+uint64(location)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 0, "notices": []any{map[string]any{"rev": 0, "pool": map[string]any{"snapshot": true, "endpoints": rows}}}},
		"settings": map[string]any{"me": location - 1, "group_size": t.campuses, "zone": location, "zones": zones, "flavors": kinds,
			"extra": map[string]any{"count_by_zone": perZone, "fresh_for_s": []float64{0, pageFresh, 0, 0}, "usable_after_s": []float64{0, pageStale, 0, 0},
				"worth_when_old": []float64{1, 0.5, 1, 1}, "never_kept": []bool{false, false, true, true}, "origin_kind": 2, "upper_kind": 1, "pace_kb_per_s": 10000.0,
				"gone_everywhere_s": goneEverywhere, "notice_time_s": purgeGrace, "pass_through_ok": true, "sideways": "location", "tells": "all",
				"joins": true, "link_in_kb_per_s": links, "hub_of": hub, "parent_floor": 0.5, "parent_warms_in_s": 1.0, "parent_fall_multiple": 2.0},
			"limits": map[string]any{"cancelling": true, "connect_timeout_s": 0.4, "idle_close_s": 15.0, "max_attempts": 6, "max_streams": 32,
				"parallel_tries": false, "may_probe": false, "retry_after": true, "max_retry_after_s": 2.0},
			"rules":           map[string]any{"stop_sending_within_s": drainGrace, "fall_multiple": 3.0, "overload_for_s": 1.0, "start_capacity": 0.5, "cold_s": 1.0},
			"registry_mode":   "pushed",
			"request_classes": classes}})
	if err != nil {
		return nil, err
	}
	r.path = filepath.Join(t.s.Folder, r.name+".json")
	if err := os.WriteFile(r.path, text, 0o600); err != nil {
		return nil, err
	}
	t.routers = append(t.routers, r)
	return r, nil
}

// launch starts a router's process, once more where it was killed, and waits until it is ready. Its log goes on.
func (t *town) launch(r *router) error {
	if err := t.begin(r); err != nil {
		return err
	}
	return t.await(r)
}

func (t *town) begin(r *router) (err error) {
	if r.log == nil {
		if r.log, err = os.Create(filepath.Join(t.s.Folder, r.name+".log")); err != nil {
			return err
		}
	}
	r.cmd = exec.Command(t.s.Program, "serve", "--operators", r.operators)
	r.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+r.path), r.env...)
	r.cmd.Stderr = r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		r.cmd = nil
		return fmt.Errorf("starting router %s: %w", r.name, err)
	}
	return nil
}

func (t *town) await(r *router) error {
	if err := until(10*time.Second, func() bool { return ready(r.addr) }); err != nil {
		return fmt.Errorf("router %s is not ready: %w; its log: %s", r.name, err, tail(r.log.Name()))
	}
	return nil
}

// kill ends a router outright.
func (r *router) kill() {
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
		r.cmd = nil
	}
}

// usage is the CPU seconds that a router has used and its memory in MB, as the system counts them.
func (r *router) usage() (cpu, rss float64) {
	const ticks = 100 // a second, on Linux
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid)); err == nil {
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		for _, i := range []int{11, 12} { // utime and stime, proc(5)
			n, _ := strconv.ParseFloat(fields[i], 64)
			cpu += n / ticks
		}
	}
	if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.cmd.Process.Pid)); err == nil {
		n, _ := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
		rss = n * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpu, rss
}

// ready asks a router whether it takes txns.
func ready(addr string) bool {
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

// close ends all that the town started: routers by SIGTERM, as an operator would. A router that does not end well is
// told of.
func (t *town) close(r *report.Report) {
	for _, x := range t.routers {
		if x.cmd != nil {
			_ = x.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, x := range t.routers {
		if x.cmd == nil {
			continue
		}
		done := make(chan error, 1)
		go func() { done <- x.cmd.Wait() }()
		select {
		case err := <-done:
			if err != nil && r != nil {
				r.Broke("router %s ended with %v: %s", x.name, err, tail(x.log.Name()))
			}
		case <-time.After(10 * time.Second):
			_ = x.cmd.Process.Kill()
			<-done
			if r != nil {
				r.Broke("router %s did not end on SIGTERM", x.name)
			}
		}
		_ = x.log.Close()
	}
	for _, p := range t.places {
		p.kill()
		if p.stop != nil {
			p.stop()
			p.stop = nil
		}
	}
	t.board.close()
}
