//go:build review

package main

import "time"

const (
	memorySpan       = 105 * time.Second // how long the case watches the router's memory
	memoryBadClients = 60

	// outOfRangeMillis is the time for which the bad clients say that they wait: 49 days.
	outOfRangeMillis = "4294967295"
)

// playMemory plays bad clients whose requests have a figure out of range, the time that the client waits. It plays the
// platform too: over the limit of memory the router is killed, and the rule is broken.
func playMemory(r *record) (held bool, err error) {
	known := newCatalogue(200, 40)
	kinds := []int{kindEdge, kindEdge, kindEdge, kindParent, kindOrigin}
	d, err := startDeployment(r, yearbook, kinds, 12, func(_ int, a attempt) { known.answerAsCache(a) })
	if err != nil {
		return false, err
	}
	defer d.router.kill()
	stop := make(chan struct{})
	defer close(stop)
	usual := &usualClients{class: yearbook.classes[1], known: known, rate: 40}
	if err := usual.start(d.router.addr, stop); err != nil {
		return false, err
	}
	bad := &badClients{request: func() []field {
		return requestFields(yearbook.classes[1].name, newID(), outOfRangeMillis, "40") // an object that no cache knows
	}}
	if troubled() {
		bad.start(d.router.addr, memoryBadClients, stop)
	}
	var noted time.Time
	for ; time.Since(r.start) < memorySpan; time.Sleep(100 * time.Millisecond) {
		memoryMB, err := d.router.memoryMB()
		if err != nil || d.router.ended() {
			r.note("the router ended by itself; %v; %v", usual, bad)
			return false, nil
		}
		if memoryMB > memoryLimitMB {
			r.note("memory %.1f MB, over the limit of %d MB: the platform kills the router", memoryMB, memoryLimitMB)
			d.router.kill()
			time.Sleep(100 * time.Millisecond) // answers that are on their way
			r.note("%v; %v", usual, bad)
			return false, nil
		}
		if time.Since(noted) >= 5*time.Second {
			noted = time.Now()
			r.note("memory %.1f MB; %v; %v", memoryMB, usual, bad)
		}
	}
	r.note("%v; %v", usual, bad)
	return true, nil
}
