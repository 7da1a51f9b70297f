package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Unit tests of single stages do not cover the path of a request through all of them. Requests of each class must reach
// a cache with their fields and body, answers must reach their client, and the counters and the log must match the
// requests sent.
func TestRequestsArePassedOnAndAnswered(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string {
		if attempt.fields["got"] == "t1" {
			return attempt.id + " still_good digest=t1,dated=1 0\r\n\r\n"
		}
		return okResponse(attempt, "object "+attempt.body)
	})
	router := startRouter(t, 192,
		startCache(t, func(attempt receivedAttempt) string { return attempt.id + " served - 0\r\n\r\n" }), cache)
	c := router.dial(t)
	id := c.send("page", objectID, "", clientproto.Field{Name: "dedupe", Value: "k1"})
	code, fields, body := c.readResponse(t)
	assert.Equal(t, []any{byte(1), "d1", "object "}, []any{code, fields["etag"], body})
	f := cache.lastAttempt().fields
	assert.Equal(t, []string{id, "page", objectID, "0", "k1", "s-000000ff"}, []string{
		cache.lastAttempt().id, f["profile"], f["thing"], f["nth"], f["replay"],
		f["parent"],
	}, "fields are forwarded unchanged")
	c.send("page", objectID, "", clientproto.Field{Name: "etag", Value: "t1"})
	code, fields, body = c.readResponse(t)
	assert.Equal(t, []any{byte(1), "1", "t1", ""}, []any{code, fields["notmod"], fields["etag"], body})
	c.send("write", objectID, "order me")
	code, _, _ = c.readResponse(t)
	assert.Equal(t, codeCompleted, code, "the answer to a write needs no digest")
	assert.NoError(t, router.Process.Signal(syscall.SIGUSR1))
	assert.NoError(t, router.stop(t, syscall.SIGTERM))
	got := router.counters()
	assert.Equal(t, []int{3, 3, 0, 2, 1}, []int{
		got.received(), got.answered(), got["requests_open"], got.completed("page"), got.completed("write"),
	})
	pagesReceived := "counter requests_received_total{class=\"page\"} 2\n"
	assert.Equal(t, 2, strings.Count(router.log.String(), pagesReceived), "counters are dumped on SIGUSR1 and at exit")
	assert.Equal(t, got.total("connections_opened_total"),
		strings.Count(router.log.String(), "msg=\"connection closed\""), "one log line for each connection")
}

// TestOnlyIdempotentRequestsAreRetriedAfterAReset checks that an idempotent request is retried at another endpoint, and
// that a non-idempotent request is aborted and not rejected.
//
// If a connection is reset while an attempt is open, it is unknown whether the request ran.
func TestOnlyIdempotentRequestsAreRetriedAfterAReset(t *testing.T) {
	reset := func(attempt receivedAttempt) string {
		resetConnection(attempt.conn)
		return ""
	}
	bad, worse := startCache(t, reset), startCache(t, reset)
	good := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 192, good, bad)
	c := router.dial(t)
	c.send("page", objectID, "")
	code, _, _ := c.readResponse(t)
	assert.Equal(t, codeCompleted, code)
	assert.Equal(t, 1, bad.attemptCount())
	router = startRouter(t, 192, worse, worse)
	c = router.dial(t)
	c.send("order", objectID, "")
	code, _, _ = c.readResponse(t)
	assert.Equal(t, codeAborted, code)
	assert.Equal(t, 1, worse.attemptCount())
	gone := startCache(t, nil)
	_ = gone.Close()
	router = startRouter(t, 192, gone, gone)
	c = router.dial(t)
	c.send("order", objectID, "")
	code, fields, _ := c.readResponse(t)
	assert.Equal(t, codeRejected, code, "a refused connection proves that the request did not run")
	assert.NotEmpty(t, fields["pushback"])
}

// A router that applies a purge too late serves purged copies, and one that applies a drain too late sends requests to
// a cache that is shutting down. Both events must take effect on the requests that follow.
func TestPurgesAndDrainingCachesTakeEffect(t *testing.T) {
	origin := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	a, b := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "a") }), startCache(t,
		func(attempt receivedAttempt) string { return okResponse(attempt, "b") })
	router := startRouter(t, 192, origin, a, b)
	c := router.dial(t)
	requestOnce := func() (string, receivedAttempt) {
		c.send("page", objectID, "")
		code, _, body := c.readResponse(t)
		require.Equal(t, codeCompleted, code)
		return body, map[string]*cacheStub{"a": a, "b": b}[body].lastAttempt()
	}
	before, attempt := requestOnce()
	assert.Empty(t, attempt.fields["accept"])
	router.discovery.send <- discoveryFrame(2, 3, binary.BigEndian.AppendUint64(
		[]byte("\x7f\x3a\x9c\x21\xe0\xb4\xd6\x55"), uint64(time.Now().UnixMilli())))
	require.Eventually(t, func() bool { _, attempt = requestOnce(); return attempt.fields["accept"] != "" },
		waitTimeout, time.Millisecond, "only copies newer than the purge are accepted")
	draining, id, other := a, uint32(1), "b"
	if before == "b" {
		draining, id, other = b, 2, "a"
	}
	router.discovery.send <- discoveryFrame(3, 2, endpointRecord(id, draining, 1))
	require.Eventually(t, func() bool { now, _ := requestOnce(); return now == other }, waitTimeout, time.Millisecond)
	n := draining.attemptCount()
	for range 50 {
		now, _ := requestOnce()
		assert.Equal(t, other, now)
	}
	assert.Equal(t, n, draining.attemptCount(), "a draining cache receives no new attempts")
}

// TestCancelledRequestFreesItsAttempt checks that cancelling a request cancels its attempt, and that the client
// receives no response for it.
//
// An attempt that continues after its request was cancelled uses capacity that other requests need.
func TestCancelledRequestFreesItsAttempt(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string {
		if attempt.fields["thing"] == objectID {
			return ""
		}
		return okResponse(attempt, "x")
	})
	router := startRouter(t, 192, cache, cache)
	c := router.dial(t)
	id := c.send("page", objectID, "")
	require.Eventually(t, func() bool { return cache.attemptCount() == 1 }, waitTimeout, time.Millisecond)
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0))
	assert.Equal(t, id, <-cache.cancelled)
	c.send("page", "0000000000000001", "")
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 2, stream)
	_ = c.send("page", objectID, "")
	require.Eventually(t, func() bool { return cache.attemptCount() == 3 }, waitTimeout, time.Millisecond)
	_ = c.Close()
	assert.NotEmpty(t, <-cache.cancelled, "closing a client connection cancels its open requests")
}

// TestMalformedCacheResponsesAreRetried uses two caches that send some malformed responses; each affected request must
// be completed by another attempt.
//
// After a malformed response the boundaries of the following responses are unknown, and a client could receive the body
// of another request's response.
func TestMalformedCacheResponsesAreRetried(t *testing.T) {
	var n atomic.Int64
	sometimesMalformed := func(attempt receivedAttempt) string {
		switch n.Add(1) % 5 {
		case 0:
			return "\x00\x01 noise\r\n"
		case 2:
			return attempt.id + " served digest=d1,dated=1,remark=h 3000000000\r\nx"
		case 3: // a response to an unknown request, and a duplicate
			const unknown = "ffffffffffffffff served digest=d1,dated=1,remark=h 1\r\ny\r\n"
			return unknown + okResponse(attempt, "x") + okResponse(attempt, "x")
		}
		return okResponse(attempt, "x")
	}
	a, b, origin := startCache(t, sometimesMalformed), startCache(t, sometimesMalformed), startCache(t,
		func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, origin, a, b)
	c := router.dial(t)
	for i := range 60 {
		c.send("page", fmt.Sprintf("%016x", i), "")
		code, _, body := c.readResponse(t)
		assert.Equal(t, codeCompleted, code, i)
		assert.Equal(t, "x", body)
	}
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	k := router.counters()
	assert.Equal(t, 60, k.completed("page"))
	assert.Positive(t, k[`upstream_attempts_ended_total{class="page",result="connection_broken"}`])
	assert.Equal(t, k.connectionsOpened("endpoint"),
		k.connectionsOpen("endpoint")+strings.Count(router.log.String(), "side=endpoint"),
		"one log line for each connection")
}

// TestLateEndpointListCostsFewAttempts stops a cache seconds before an update removes it from the endpoint list. Its
// requests must be completed by other caches with few failed attempts. The update must take effect when it arrives,
// even if a new cache has the address of the stopped one.
//
// A cache that has stopped remains in the endpoint list for some time. Requests that are still sent to it are late or
// lost.
func TestLateEndpointListCostsFewAttempts(t *testing.T) {
	dead := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "old") })
	good := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "good") })
	router := startRouter(t, 64, good, dead, good)
	c := router.dial(t)
	requestObjects := func(from, to int) (bodies map[string]int) {
		bodies = map[string]int{}
		for i := from; i < to; i++ {
			c.send("page", fmt.Sprintf("%016x", i), "")
			code, _, body := c.readResponse(t)
			assert.Equal(t, codeCompleted, code)
			bodies[body]++
		}
		return bodies
	}
	assert.Positive(t, requestObjects(0, 40)["old"])
	addr := dead.Addr().String()
	dead.kill()
	assert.Zero(t, requestObjects(40, 400)["old"])
	require.NoError(t, router.Process.Signal(syscall.SIGUSR1))
	attempts := func() int { return router.counters()[`upstream_attempts_total{class="page"}`] }
	require.Eventually(t, func() bool { return attempts() >= 400 }, waitTimeout, time.Millisecond)
	assert.Less(t, attempts(), 440, "few attempts go to a stopped cache that is still in the endpoint list")
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", addr)
	require.NoError(t, err)
	fresh := &cacheStub{
		Listener: ln, answer: func(attempt receivedAttempt) string { return okResponse(attempt, "new") },
		cancelled: make(chan string, 1000),
	}
	fresh.accept(t, ln)
	router.discovery.send <- discoveryFrame(2, 2, append(endpointRecord(9, fresh, 0), endpointRecord(1, fresh, 2)...))
	require.Eventually(t, func() bool { return requestObjects(400, 440)["new"] > 0 }, waitTimeout, time.Millisecond)
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	assert.Equal(t, router.counters().received(), router.counters().completed("page"))
}
