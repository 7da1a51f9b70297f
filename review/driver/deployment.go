//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kinds of machines, as places in the list flavors of the settings.
const (
	kindEdge   = 0
	kindParent = 1
	kindOrigin = 2
)

var kindNames = []string{"std-box", "parent", "origin"}

// Zones: the hub, and the campus of the router.
var zoneNames = []string{"north-hub", "campus"}

const (
	zoneHub    = 0
	zoneCampus = 1
)

// Limits of the router: the highest that the deployment page allows on scored days.
const (
	memoryLimitMB = 192
	maxSockets    = 1024
)

// paceKBPerSecond is the pace of one transfer to a client; a weight counts such transfers.
const paceKBPerSecond = 7300.0

// class is a remap rule of the deployment.
type class struct {
	name, effect         string
	onTime, stretch      float64 // seconds, and sending times added to them
	timeLimit            float64 // seconds
	fresh, stale         float64 // seconds
	importance, oldWorth float64
	neverKept            bool
}

// site is what a site file says of a deployment, as far as it differs between the cases.
type site struct {
	classes       []class
	windowSeconds float64 // for which a repeat of a keyed request is known
	maxHops       int
	direct        bool // a router may go straight to a parent or the origin
	secondCopies  bool // two hops of a request may be out together
}

// yearbook has the remap rules of yearbook-campus-net.
var yearbook = site{
	classes: []class{
		{"video-part", "retryable", 0.4, 1.6, 6, 0, 0, 2, 1, false},
		{"page-asset", "retryable", 0.25, 2, 2.5, 12, 10, 1, 0.5, false},
		{"print-order", "dedup", 0.6, 0, 3, 0, 0, 3, 1, true},
	},
	windowSeconds: 6, maxHops: 6, direct: true,
}

// branch has the remap rules of branch-cache.
var branch = site{
	classes: []class{
		{"route-video", "retryable", 0.4, 2, 5, 0, 0, 2, 1, false},
		{"parcel-page", "retryable", 0.3, 2, 3, 0, 0, 1, 1, false},
		{"scan-record", "dedup", 0.7, 0, 3, 0, 0, 3, 1, true},
	},
	windowSeconds: 2, maxHops: 8, secondCopies: true,
}

// deployment is a router with the stand-ins that it talks to.
type deployment struct {
	router   *router
	board    *board
	machines []listed
}

// startDeployment starts a stand-in for each machine, the notice board, and a router that knows all of them.
// onAttempt is called for each attempt that came whole to a machine, with the machine's place in kinds.
func startDeployment(r *record, s site, kinds []int, weight int, onAttempt func(machine int, a attempt)) (*deployment, error) {
	d := &deployment{}
	for i, kind := range kinds {
		server, err := startCache(func(a attempt) { onAttempt(i, a) })
		if err != nil {
			return nil, err
		}
		zone := zoneCampus
		if kind != kindEdge {
			zone = zoneHub
		}
		d.machines = append(d.machines, listed{id: i + 1, zone: zone, kind: kind, addr: server.addr(), weight: weight})
	}
	var err error
	if d.board, err = startBoard(); err != nil {
		return nil, err
	}
	d.board.post(boardList, nil) // event 1 is the list in the bootstrap file, so the board never tells it
	return d, d.startRouter(r, s)
}

// startRouter starts a router that knows all machines.
func (d *deployment) startRouter(r *record, s site) error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	d.router, err = startRouter(r.dir, bootstrapFile(s, addr, d.board.addr(), d.machines))
	return err
}

// bootstrapFile returns the bootstrap file of a small deployment with one router. The figures that the site doesn't
// give are those of yearbook-campus-net. No purge was made so far.
func bootstrapFile(s site, addr, boardAddr string, machines []listed) map[string]any {
	var endpoints, requestClasses []any
	for _, m := range machines {
		endpoints = append(endpoints, map[string]any{
			"name": fmt.Sprintf("s-%08x", m.id), "address": m.addr, "zone": zoneNames[m.zone],
			"type": kindNames[m.kind], "group": m.cell, "status": "SERVING", "weight": m.weight, "since_ms": m.startedMillis,
		})
	}
	var neverKept []bool
	var fresh, stale, oldWorth []float64
	for _, c := range s.classes {
		requestClasses = append(requestClasses, map[string]any{
			"name": c.name, "effect": c.effect, "group": "all", "on_time_s": c.onTime, "aim_stretch": c.stretch,
			"hard_limit_s": c.timeLimit, "window_s": s.windowSeconds, "worth": c.importance, "late_worth": 0.1, "streaming": false,
		})
		neverKept, oldWorth = append(neverKept, c.neverKept), append(oldWorth, c.oldWorth)
		fresh, stale = append(fresh, c.fresh), append(stale, c.stale)
	}
	return map[string]any{
		"name": "n1", "listen": addr, "seed": "8c1f30d27a5be964", "board": boardAddr,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": maxSockets},
		"known": map[string]any{"rev": 1, "notices": []any{
			map[string]any{"rev": 1, "pool": map[string]any{"snapshot": true, "endpoints": endpoints}},
		}},
		"settings": map[string]any{
			"me": 0, "group_size": 1, "zone": zoneCampus, "zones": zoneNames, "flavors": kindNames,
			"registry_mode": "pushed", "weights": "rough", "request_classes": requestClasses,
			"extra": map[string]any{
				"count_by_zone": []int{0, 1}, "hub_of": []int{0, 0}, "link_in_kb_per_s": []float64{0, 0},
				"never_kept": neverKept, "fresh_for_s": fresh, "usable_after_s": stale, "worth_when_old": oldWorth,
				"origin_kind": kindOrigin, "upper_kind": kindParent, "pace_kb_per_s": paceKBPerSecond,
				"gone_everywhere_s": 6.0, "notice_time_s": 0.5, "pass_through_ok": s.direct, "sideways": "location",
				"tells": "hit", "joins": false,
				"parent_floor": 0.079, "parent_warms_in_s": 20.0, "parent_fall_multiple": 2.0,
			},
			"limits": map[string]any{
				"cancelling": true, "connect_timeout_s": 0.4, "idle_close_s": 30.0, "max_attempts": s.maxHops, "max_streams": 32,
				"parallel_tries": s.secondCopies, "may_probe": true, "retry_after": true, "max_retry_after_s": 2.0,
			},
			"rules": map[string]any{
				"stop_sending_within_s": 1.0, "fall_multiple": fallMultiple, "overload_for_s": fallWindow.Seconds(),
				"start_capacity": coldShare, "cold_s": coldSeconds, "grace_to_answer_s": 0.008,
			},
		},
	}
}

// catalogue is the objects that the caches know, with the size of each in KB.
type catalogue struct {
	objects []string
	sizes   map[string]float64
}

// newCatalogue returns a number of objects whose sizes vary evenly by 45% around a mean.
func newCatalogue(count int, meanSizeKB float64) catalogue {
	c := catalogue{sizes: map[string]float64{}}
	for i := range count {
		id := newID()
		c.objects = append(c.objects, id)
		c.sizes[id] = meanSizeKB * (1 + 0.09*float64(i%11-5))
	}
	return c
}

// answerAsCache answers an attempt as a sound cache does: a known object after its sending time, anything else with an
// error, as caches reply 'error' to what they can't use.
func (c catalogue) answerAsCache(a attempt) {
	size, known := c.sizes[a.fields["thing"]]
	if !known {
		a.conn.reply(a.id, "crashed", "", nil)
		return
	}
	time.AfterFunc(time.Duration(size/paceKBPerSecond*float64(time.Second)), func() {
		fields := fmt.Sprintf("digest=%s,dated=%d,remark=h", a.fields["thing"], time.Now().UnixMilli()-1000)
		a.conn.reply(a.id, "served", fields, []byte("the bytes of "+a.fields["thing"]))
	})
}

// newID returns 16 random hex digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
