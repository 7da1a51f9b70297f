//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["planned-restart"] = plannedRestart }

// Figures of the case planned-restart.
const (
	restartAfter = 3 * time.Second
	killAfter    = 3700 * time.Millisecond // "the longest deadline (3 s at most) and 0.7 s more after SIGTERM"

	// crossing is how long before the end of a connection a request is not counted: "a request that crosses such a close
	// within 50 ms is sent again".
	crossing = 50 * time.Millisecond
)

// plannedRestart tells a router to end while a client takes blocks as fast as its link allows, and checks that each
// request that the router had taken gets its answer before the router has ended.
func plannedRestart(env *environment) error {
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
	sent := s.takeBlocks(time.Now().Add(restartAfter))
	if env.trouble {
		env.record.printf("SIGTERM")
		router.signal(syscall.SIGTERM)
		killAt := time.Now().Add(killAfter)
		sent = append(sent, s.takeBlocks(killAt)...)
		time.Sleep(time.Until(killAt)) // the connection may have ended sooner
		env.record.printf("the router has ended by itself: %v", router.hasExited())
		env.record.printf("SIGKILL")
		router.signal(syscall.SIGKILL)
	}
	time.Sleep(blockTTL)
	return judgeTaken(env, c, sent)
}

// takeBlocks keeps blocks asked for until a time or the end of the connection, and returns the requests.
func (s *streamer) takeBlocks(end time.Time) (sent []*clientRequest) {
	var blocks []*clientRequest
	for ; time.Now().Before(end) && s.client.connectionEnd().IsZero(); time.Sleep(2 * time.Millisecond) {
		for blocks = s.open(blocks); len(blocks) < streamingBlocks; {
			r := s.send("block", blockTTL, nil)
			if r == nil {
				return sent
			}
			sent, blocks = append(sent, r), append(blocks, r)
		}
	}
	return sent
}

// judgeTaken checks that each request that was sent before the end of the connection has its answer.
func judgeTaken(env *environment, c *client, sent []*clientRequest) error {
	ended, lost := c.connectionEnd(), 0
	for _, r := range sent {
		now := c.snapshot(r)
		if now.answers > 0 || !ended.IsZero() && now.sentAt.After(ended.Add(-crossing)) {
			continue
		}
		lost++
		env.record.printf("LOST: %s, sent at %.1f ms, had no answer", now.id, env.record.millis(now.sentAt))
	}
	if lost > 0 {
		return brokenf("%d of %d requests had no answer", lost, len(sent))
	}
	return nil
}
