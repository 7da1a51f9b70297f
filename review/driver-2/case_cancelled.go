//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["cancelled-unread"] = cancelledUnread }

// Figures of the case cancelled-unread.
const (
	cancelInterval = 5 * time.Second        // between two requests that the client gives up: under one in 100
	cancelAfter    = 100 * time.Millisecond // from when it sent the request
	cancelFor      = 42 * time.Second

	// beginSlack is how long after the cancel an attempt may begin: 0.1 s, and 50 ms on sockets.
	beginSlack = 150 * time.Millisecond
)

// cancelledUnread lets a client take blocks as fast as its link allows and give up some requests shortly after it sent
// them. It checks that no attempt of such a request begins later.
func cancelledUnread(env *environment) error {
	zone := &silentZone{}
	b, err := startBoard()
	if err != nil {
		return err
	}
	defer b.close()
	var caches []*cache
	for _, kind := range []string{"box", "box", "origin"} {
		c, err := startCache(env.record, fmt.Sprintf("s-%08x", len(caches)+1), zoneOf(kind), kind, zone.decide)
		if err != nil {
			return err
		}
		defer c.close()
		caches = append(caches, c)
	}
	classes := []any{
		classSettings("block", "retryable", 0.4, 5, false), classSettings("record", "fragile", 0.7, 3, true),
	}
	router, err := startRouter(env, routerConfiguration(b.address(), 192, 1024, classes, caches...))
	defer router.stop()
	if err != nil {
		return err
	}
	c, err := connectPaced(env.record, "client", router.address)
	if err != nil {
		return err
	}
	defer c.close()
	s := &streamer{client: c}
	cancelled := s.playAndCancel(time.Now().Add(cancelFor), env.trouble)
	time.Sleep(blockTTL)
	return judgeCancelled(env, cancelled, caches)
}

// playAndCancel asks for blocks until a time. Now and then it asks for one that it gives up soon afterwards, if cancels
// is set. It returns the times of the cancels by request id.
func (s *streamer) playAndCancel(end time.Time, cancels bool) map[string]time.Time {
	var blocks []*clientRequest
	cancelled := map[string]time.Time{}
	var givenUp *clientRequest
	next := time.Now().Add(cancelInterval)
	for ; time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		blocks = s.open(blocks)
		for len(blocks) < streamingBlocks {
			blocks = append(blocks, s.send("block", blockTTL, nil))
		}
		switch now := time.Now(); {
		case cancels && givenUp == nil && !now.Before(next):
			givenUp = s.send("record", recordTTL, []byte("installed"))
		case givenUp != nil && now.After(s.client.snapshot(givenUp).sentAt.Add(cancelAfter)):
			cancelled[givenUp.id] = s.client.cancel(givenUp.stream)
			givenUp, next = nil, now.Add(cancelInterval)
		}
	}
	return cancelled
}

// judgeCancelled checks that no attempt of a cancelled request came later than the rule allows.
func judgeCancelled(env *environment, cancelled map[string]time.Time, caches []*cache) error {
	late := 0
	for _, c := range caches {
		for _, a := range c.received() {
			at, isCancelled := cancelled[a.id]
			if !isCancelled || !a.arrivedAt.After(at.Add(beginSlack)) {
				continue
			}
			late++
			env.record.printf("LOST: an attempt of %s came to %s %v after the client had cancelled it",
				a.id, c.id, a.arrivedAt.Sub(at).Round(time.Millisecond))
		}
	}
	if late > 0 {
		return brokenf("%d attempts of %d cancelled requests began too late", late, len(cancelled))
	}
	return nil
}
