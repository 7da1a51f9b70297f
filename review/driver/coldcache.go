//go:build review

package main

import (
	"math"
	"sync"
	"time"
)

// The figures of a cold start in the site file, which the settings tell the router.
const (
	coldShare    = 0.19 // a cache starts at this share of its capacity or more
	coldSeconds  = 15.0 // and is warm within this time
	fallMultiple = 3.0  // sent more than this multiple of what it can do
	fallWindow   = time.Second

	// toldGrace is how long after the notice board has told of the start nothing is counted yet.
	toldGrace = time.Second
)

const (
	cacheWeight      = 10     // transfers
	joiningID        = 0x20   // id of the cache that joins
	meanPartKB       = 2200.0 // 0.30 s to send
	coldUsualRate    = 60     // requests a second
	coldBadClients   = 10
	outOfRangeSizeKB = "1e-30"
)

// coldCache is the stand-in for a cache that joins and is cold. It counts what comes to it while it warms up.
type coldCache struct {
	record    *record
	startedAt time.Time

	mu          sync.Mutex
	arrivals    []time.Time // within the window
	total, most int
	fellOver    bool
}

// allowed returns N, the requests of mean work that the settings allow within the window at a time, and the count over
// which the cache falls over.
func (c *coldCache) allowed(at time.Time) (n, bound float64) {
	share := min(coldShare+(1-coldShare)*at.Sub(c.startedAt).Seconds()/coldSeconds, 1)
	n = fallMultiple * share * cacheWeight * fallWindow.Seconds() / (meanPartKB / paceKBPerSecond)
	if n < 30 {
		return n, n + 3*math.Sqrt(n) + 3
	}
	return n, n + 2*math.Sqrt(n) + 2
}

// arrived counts an attempt that came whole.
func (c *coldCache) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	age := now.Sub(c.startedAt)
	if age < toldGrace || age.Seconds() > coldSeconds {
		return
	}
	c.total++
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > fallWindow {
		c.arrivals = c.arrivals[1:]
	}
	c.most = max(c.most, len(c.arrivals))
	if n, bound := c.allowed(now); float64(len(c.arrivals)) > bound && !c.fellOver {
		c.fellOver = true
		c.record.note("the cold cache, %.2f s after its start: %d attempts within %v, N %.1f, bound %.1f: it falls over",
			age.Seconds(), len(c.arrivals), fallWindow, n, bound)
	}
}

// note writes the counts into the record.
func (c *coldCache) note(bad *badClients) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, bound := c.allowed(time.Now())
	c.record.note("cold cache: %d attempts so far, at most %d within %v; now N %.1f, bound %.1f; %v",
		c.total, c.most, fallWindow, n, bound, bad)
}

// playColdCache plays bad clients whose requests have a figure out of range, the size, while a new cache joins.
func playColdCache(r *record) (held bool, err error) {
	known := newCatalogue(300, meanPartKB)
	kinds := []int{kindEdge, kindEdge, kindEdge, kindEdge, kindParent, kindOrigin}
	d, err := startDeployment(r, yearbook, kinds, cacheWeight, func(_ int, a attempt) { known.answerAsCache(a) })
	if err != nil {
		return false, err
	}
	defer d.router.kill()
	stop := make(chan struct{})
	defer close(stop)
	usual := &usualClients{class: yearbook.classes[0], known: known, rate: coldUsualRate}
	if err := usual.start(d.router.addr, stop); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	bad := &badClients{request: func() []field {
		return requestFields(yearbook.classes[0].name, newID(), "6000", outOfRangeSizeKB) // an object that no cache knows
	}}
	if troubled() {
		r.note("bad clients begin")
		bad.start(d.router.addr, coldBadClients, stop)
	}
	time.Sleep(3 * time.Second)
	cold, err := joinColdCache(r, d, known)
	if err != nil {
		return false, err
	}
	for time.Since(cold.startedAt).Seconds() < coldSeconds {
		cold.note(bad)
		time.Sleep(time.Second)
	}
	cold.note(bad)
	r.note("%v", usual)
	cold.mu.Lock()
	defer cold.mu.Unlock()
	return !cold.fellOver, nil
}

// joinColdCache starts another cache, and has the notice board tell of it at once.
func joinColdCache(r *record, d *deployment, known catalogue) (*coldCache, error) {
	cold := &coldCache{record: r, startedAt: time.Now()}
	server, err := startCache(func(a attempt) {
		cold.arrived()
		known.answerAsCache(a)
	})
	if err != nil {
		return nil, err
	}
	joined := listed{
		id:            joiningID,
		zone:          zoneCampus,
		kind:          kindEdge,
		addr:          server.addr(),
		weight:        cacheWeight,
		startedMillis: cold.startedAt.UnixMilli(),
	}
	d.board.post(boardChanges, joined.record(boardReady))
	r.note("a new cache joins, cold, and the notice board tells so")
	return cold, nil
}
