//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["passed-answer"] = passedAnswer }

// Figures of the case passed-answer.
const (
	passedWrites    = 20
	passedEdgeCount = 3
	originWork      = 20 * time.Millisecond
	passedTTL       = 3 * time.Second
	passedInterval  = 150 * time.Millisecond
	passedWait      = 3500 * time.Millisecond
)

// receiptOrigin is an origin that answers each order with its receipt. While it is crowded it turns away the first
// attempt of an order.
type receiptOrigin struct {
	crowded bool
	mu      sync.Mutex
	seen    map[string]bool
}

// receipt returns the bytes that the origin answers to an order.
func receipt(object string) string { return fmt.Sprintf("receipt for the order of %s: paid", object) }

func (o *receiptOrigin) decide(a attempt) reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := a.fields["replay"]
	if o.crowded && !o.seen[key] {
		o.seen[key] = true
		return reply{delay: time.Millisecond, word: "overload"}
	}
	return reply{delay: originWork, word: "served", body: receipt(a.fields["thing"])}
}

// passedAnswer sends orders to an origin that turns some away, so that they go through edge caches, and checks that
// each answer 'served' has the bytes that the origin gave.
func passedAnswer(env *environment) error {
	origin := &receiptOrigin{crowded: env.trouble, seen: map[string]bool{}}
	site, err := startSite(env, passedEdgeCount, origin.decide)
	defer site.stop()
	if err != nil {
		return err
	}
	classes := []any{
		classSettings("page", "retryable", 0.25, 3, false), classSettings("record", "dedup", 0.6, 3, true),
	}
	configuration := routerConfiguration(site.board.address(), 192, 1024, classes, site.entries...)
	settings := configuration["settings"].(map[string]any)       //nolint:forcetypeassert // routerConfiguration made it
	settings["extra"].(map[string]any)["pass_through_ok"] = true //nolint:forcetypeassert // the same
	router, err := startRouter(env, configuration)
	defer router.stop()
	if err != nil {
		return err
	}
	c, err := connect(env.record, "client", router.address)
	if err != nil {
		return err
	}
	defer c.close()
	sent := map[string]*clientRequest{}
	for i := range passedWrites {
		object := newID()
		sent[object] = c.send(uint32(i+1), "record", object, passedTTL, []byte("order"), "dedupe", newID()+newID())
		time.Sleep(passedInterval)
	}
	time.Sleep(passedWait)
	wrong := 0
	for object, r := range sent {
		s := c.snapshot(r)
		if s.code == codeServed && s.body != receipt(object) {
			wrong++
			env.record.printf("WRONG: %s was served %d bytes %q, the origin gave %q", s.id, len(s.body), s.body, receipt(object))
		}
	}
	if wrong > 0 {
		return brokenf("%d of %d orders were served other bytes than those of the origin", wrong, len(sent))
	}
	return nil
}
