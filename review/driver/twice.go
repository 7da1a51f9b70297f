//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	twiceEdgeCaches = 5 // one of them hangs: a share of 0.2
	hangSpan        = 6 * time.Second
	maxHangs        = 3 // one after another, each of another cache; none after a key has run again
	twiceOriginID   = 0xff
	scanClients     = 8
	scanRate        = 100                   // keyed requests a second of each client
	pageRate        = 60                    // requests for pages a second
	originWork      = 40 * time.Millisecond // from a request to its answer
)

// keyedOrigin is the stand-in for the origin. It runs a keyed request when it comes, and drops a repeat of its key for
// the window of the site.
type keyedOrigin struct {
	record *record
	window time.Duration
	pages  catalogue

	mu          sync.Mutex
	ran         map[string]time.Time // by key: when it ran last
	again, kept int
}

// attempt runs and answers a request that came whole.
func (o *keyedOrigin) attempt(a attempt) {
	key := a.fields["replay"]
	if key == "" {
		time.AfterFunc(originWork, func() { o.pages.answerAsCache(a) })
		return
	}
	o.run(key, a.id)
	fields := fmt.Sprintf("digest=%s,dated=%d", key[:16], time.Now().UnixMilli())
	time.AfterFunc(originWork, func() { a.conn.reply(a.id, "served", fields, nil) })
}

// run runs a keyed request, or drops it as a repeat. The id begins with the id of the edge cache that sent it.
func (o *keyedOrigin) run(key, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	cache, _, _ := strings.Cut(id, "-")
	last, before := o.ran[key]
	since := now.Sub(last)
	switch {
	case before && since <= o.window:
		o.kept++
		o.record.note("origin: key %s again, through cache %s, %.3f s after it ran: dropped", key, cache, since.Seconds())
		return
	case before:
		o.again++
		o.record.note("origin: key %s RUNS AGAIN, through cache %s, %.3f s after it ran", key, cache, since.Seconds())
	}
	o.ran[key] = now
}

// ranAgain returns how many keys have run again.
func (o *keyedOrigin) ranAgain() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.again
}

// scanClient sends keyed requests, each once: it never tries again.
type scanClient struct {
	mu      sync.Mutex
	open    map[uint32]bool
	sent    int
	answers [10]int // by code
}

func (c *scanClient) answered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[a.stream] && a.kind == frameAnswer {
		delete(c.open, a.stream)
		c.answers[a.code]++
	}
}

// start sends keyed requests until stop is closed, as far as the connection has a place.
func (c *scanClient) start(addr string, rule class, stop <-chan struct{}) error {
	c.open = map[uint32]bool{}
	conn, err := dialClient(addr, c.answered, func(error) {})
	if err != nil {
		return err
	}
	go func() {
		defer conn.conn.Close()
		ticker := time.NewTicker(time.Second / scanRate)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			fields := append(requestFields(rule.name, newID(), "3000", "1"), field{"dedupe", newID() + newID()})
			if c.mayOpen() && conn.send(fields, c.noteSent) != nil {
				return
			}
		}
	}()
	return nil
}

func (c *scanClient) mayOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) < maxOpen
}

func (c *scanClient) noteSent(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.open[stream] = true
}

// String returns the counts for the record.
func (c *scanClient) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("sent %d, served %d, refused %d, failed %d, open %d",
		c.sent, c.answers[codeServed], c.answers[codeRefused], c.answers[codeFailed], len(c.open))
}

// playTwice plays an edge cache, a process of the project, that hangs under keyed requests and goes on.
func playTwice(r *record) (held bool, err error) {
	window := time.Duration(branch.windowSeconds * float64(time.Second))
	origin := &keyedOrigin{record: r, window: window, pages: newCatalogue(3000, 40), ran: map[string]time.Time{}}
	d, caches, stopAll, err := startTwiceDeployment(r, origin)
	defer stopAll()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	pages := &usualClients{class: branch.classes[1], known: origin.pages, rate: pageRate}
	if err := pages.start(d.router.addr, stop); err != nil {
		return false, err
	}
	scans := make([]scanClient, scanClients)
	for i := range scans {
		if err := scans[i].start(d.router.addr, branch.classes[2], stop); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	for i := 0; i < maxHangs && origin.ranAgain() == 0; i++ {
		hangOnce(r, i+1, caches[i])
	}
	for i := range scans {
		r.note("keyed requests: %v", &scans[i])
	}
	r.note("pages: %v", pages)
	origin.mu.Lock()
	defer origin.mu.Unlock()
	r.note("origin: ran %d keys, %d of them again, dropped %d repeats", len(origin.ran), origin.again, origin.kept)
	return origin.again == 0, nil
}

// hangOnce has an edge cache hang and go on, and waits until what it held is done. Without the disruption it waits only.
func hangOnce(r *record, number int, cache *edgeCache) {
	if troubled() {
		r.note("edge cache %d hangs", number)
		cache.hang()
	}
	time.Sleep(hangSpan)
	if troubled() {
		cache.resume()
		r.note("edge cache %d goes on", number)
	}
	time.Sleep(4 * time.Second)
}

// startTwiceDeployment starts the origin as a stand-in, and edge caches and a router as processes. stopAll ends those
// that were started, also after an error.
func startTwiceDeployment(r *record, origin *keyedOrigin) (
	d *deployment, caches []*edgeCache, stopAll func(), err error,
) {
	d = &deployment{}
	stopAll = func() {
		if d.router != nil {
			d.router.kill()
		}
		for _, c := range caches {
			c.kill()
		}
	}
	server, err := startCache(origin.attempt)
	if err != nil {
		return d, caches, stopAll, err
	}
	if d.board, err = startBoard(); err != nil {
		return d, caches, stopAll, err
	}
	for i := range twiceEdgeCaches {
		c, err := startEdgeCache(r.dir, i+1, d.board.addr(), branch)
		if err != nil {
			return d, caches, stopAll, err
		}
		caches = append(caches, c)
		d.machines = append(d.machines, listed{id: i + 1, zone: zoneCampus, kind: kindEdge, addr: c.addr, weight: 12})
	}
	d.machines = append(d.machines, listed{
		id: twiceOriginID, zone: zoneHub, kind: kindOrigin, addr: server.addr(), weight: 100,
	})
	var list []byte
	for _, m := range d.machines {
		list = append(list, m.record(boardReady)...)
	}
	d.board.post(boardList, list) // the edge caches learn it; the router has it from the bootstrap file
	if err := d.startRouter(r, branch); err != nil {
		return d, caches, stopAll, err
	}
	time.Sleep(1500 * time.Millisecond) // the edge caches hear from the board within a second
	return d, caches, stopAll, nil
}
