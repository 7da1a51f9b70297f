//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["pipelined-writes"] = pipelinedWrites }

// Figures of the case pipelined-writes.
const (
	pipelinedWriteCount = 32                      // open requests that the protocol allows on a connection
	pipelinedBodyBytes  = 48000                   // the largest body of a write
	pipelinedTTL        = 1500 * time.Millisecond // half of the class's time limit of 3 s

	// answerSlack is how long after its time a request may get its final answer: half a second, and 50 ms on sockets.
	answerSlack = 550 * time.Millisecond
)

// pipelinedWrites sends as many writes as the protocol allows at once on one connection, while the caches of the zone
// are silent, and checks that each write gets its final answer.
func pipelinedWrites(env *environment) error {
	decide := func(attempt) reply {
		if env.trouble {
			return reply{}
		}
		return reply{delay: 15 * time.Millisecond, word: "served"}
	}
	b, err := startBoard()
	if err != nil {
		return err
	}
	defer b.close()
	var caches []*cache
	for _, kind := range []string{"box", "box", "origin"} {
		zone := "z1"
		if kind == "origin" {
			zone = "hub"
		}
		c, err := startCache(env.record, fmt.Sprintf("s-%08x", len(caches)+1), zone, kind, decide)
		if err != nil {
			return err
		}
		defer c.close()
		caches = append(caches, c)
	}
	classes := []any{
		classSettings("block", "retryable", 0.4, 5, false), classSettings("record", "fragile", 0.7, 3, true),
	}
	router, err := startRouter(env, routerConfiguration(b.address(), 32, 256, classes, caches...))
	defer router.stop()
	if err != nil {
		return err
	}
	c, err := connect(env.record, "client", router.address)
	if err != nil {
		return err
	}
	defer c.close()
	var sent []*clientRequest
	for i := range pipelinedWriteCount {
		if r := c.send(uint32(i+1), "record", newID(), pipelinedTTL, make([]byte, pipelinedBodyBytes)); r != nil {
			sent = append(sent, r)
		}
	}
	time.Sleep(3*pipelinedTTL + answerSlack)
	return judgeAnswers(env, c, sent)
}

// judgeAnswers checks that each request had one final answer in its time, with the slack of the rule.
func judgeAnswers(env *environment, c *client, sent []*clientRequest) error {
	late := 0
	for _, r := range sent {
		s := c.snapshot(r)
		limit := s.sentAt.Add(s.ttl + answerSlack)
		switch {
		case s.answers == 0:
			env.record.printf("LOST: %s on stream %d had no answer", s.id, s.stream)
		case s.answers > 1:
			env.record.printf("LOST: %s on stream %d had %d answers", s.id, s.stream, s.answers)
		case s.answerAt.After(limit):
			env.record.printf("LOST: %s on stream %d was answered %v after it was sent, time %v",
				s.id, s.stream, s.answerAt.Sub(s.sentAt).Round(time.Millisecond), s.ttl)
		default:
			continue
		}
		late++
	}
	if late > 0 {
		return brokenf("%d of %d requests were lost", late, len(sent))
	}
	return nil
}
