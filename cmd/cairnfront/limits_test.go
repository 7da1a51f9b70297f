package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMalformedInputEndsOnlyItsConnection sends a few kinds of malformed input; the codec tests cover all kinds.
//
// If a malformed frame ended the process or another client's connection, one bad client could stop the service.
func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 192, cache, cache)
	good := router.dial(t)
	for _, bad := range []string{"\x00\x00\x00\x01", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x05\x64\x00\x00\x00\x00"} {
		c := router.dial(t)
		_, _ = io.WriteString(c, bad+"123456789")
		_, stream, payload := c.readFrame(t)
		assert.EqualValues(t, 0, stream)
		assert.Contains(t, payload, "error")
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err)
	}
	good.send("what", objectID, "")
	code, fields, _ := good.readResponse(t)
	assert.Equal(t, codeAborted, code)
	assert.Contains(t, fields["error"], "what")
	good.send("page", objectID, "")
	code, _, _ = good.readResponse(t)
	assert.Equal(t, codeCompleted, code)
}

// TestMemoryAndConnectionLimitsHold fills every client connection with requests for the largest objects and reads none
// of the responses. The router must stay within its memory and descriptor limits, read or serve no requests that exceed
// them, close the clients, and afterwards use no more than before.
//
// Without limits, unread responses accumulate in memory until the system kills the process.
func TestMemoryAndConnectionLimitsHold(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	object := strings.Repeat("x", 240_000)
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, object) })
	router := startRouter(t, 192, cache, cache, cache)
	usage := func() counterDump { return router.dumpCounters(t) }
	status := func(name string) int {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.Process.Pid))
		require.NoError(t, err)
		_, rest, _ := strings.Cut(string(text), name+":")
		n, err := strconv.Atoi(strings.Fields(rest)[0])
		require.NoError(t, err)
		return n / 1024
	}
	before := usage()
	var clients []*client
	for i := range 341 {
		c := router.dial(t)
		for j := range 32 {
			c.send("page", fmt.Sprintf("%08x%08x", i, j), "")
		}
		clients = append(clients, c)
	}
	var full counterDump
	require.Eventually(t, func() bool { // each client has its answers in its socket, or is closed as it reads none
		full = usage()
		return full["requests_open"] == 0 && full.connectionsOpen("client") <= before.connectionsOpen("client")
	}, waitTimeout, 100*time.Millisecond)
	t.Logf("peak memory %d MB, %d open descriptors; %d of %d requests completed",
		status("VmHWM"), full["process_open_descriptors"], full.completed("page"), full.received())
	assert.Less(t, status("VmHWM"), 192, "peak memory in MB")
	assert.Less(t, full["process_open_descriptors"], 1024)
	assert.Equal(t, full.received(), full.answered()+full.cancelled()+full["requests_open"])
	assert.Positive(t, full.completed("page"))
	assert.Positive(t, full[`connections_closed_total{side="client",reason="slow_reader"}`])
	assert.Less(t, full.completed("page"), 341*32, "requests that exceed the limits are rejected, or stay unread")
	for _, c := range clients {
		_ = c.Close()
	}
	var after counterDump
	released := false
	for end := time.Now().Add(waitTimeout); !released && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		after = usage()
		// Open connections to endpoints have ring buffers. The number of connections depends on the machine.
		rings := after.connectionsOpen("endpoint") * 2 * admission.New(192, 1024).EndpointRingBytes()
		// The connection of the readiness query may still have been open when the counters were read before the load.
		maxDescriptors := before["process_open_descriptors"] + after.connectionsOpen("endpoint") + 1
		released = after.connectionsOpen("client") <= before.connectionsOpen("client") &&
			after["process_open_descriptors"] <= maxDescriptors &&
			after["process_goroutines"] <= before["process_goroutines"]+4*after.connectionsOpen("endpoint") &&
			after["process_heap_bytes"] <= before["process_heap_bytes"]+rings+12<<20
	}
	require.True(t, released, "only the routing module's object data may stay; before %v, after %v", before, after)
	t.Logf("after: %d descriptors, %d goroutines, %d heap bytes (%d before), %d connections to endpoints",
		after["process_open_descriptors"], after["process_goroutines"], after["process_heap_bytes"],
		before["process_heap_bytes"], after.connectionsOpen("endpoint"))
	c := router.dial(t)
	c.send("page", objectID, "")
	code, _, body := c.readResponse(t)
	assert.Equal(t, codeCompleted, code)
	assert.Len(t, body, 240_000, "the router still serves requests")
}

// TestBadClientsDoNotDisturbAGoodOne checks that a client that violates the protocol gets an error or is disconnected,
// and that no request of a well-behaved client is lost meanwhile.
//
// Clients that send slowly, never read or disconnect in the middle of a frame use descriptors and memory that other
// clients need.
func TestBadClientsDoNotDisturbAGoodOne(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, cache, cache)
	head := func(kind clientproto.FrameType, stream uint32, size int) []byte {
		return clientproto.AppendHeader(nil, kind, stream, size)
	}
	ends := make(chan error)
	bad := [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"), bytes.Repeat([]byte{0xff}, 100_000),
		{0, 0, 0, 0, 100, 0, 0, 0, 1},
		head(77, 1, 0), head(clientproto.TypeRequest, 0, 1),
		append([]byte{3, 0x93, 0x87, 0, 100, 0, 0, 0, 1}, make([]byte, 1<<20)...), head(clientproto.TypeRequest, 1,
			200)[:7], head(clientproto.TypeRequest, 1, 200), nil,
	}
	for _, text := range bad {
		c := router.dial(t)
		go func() {
			_, err := c.Write(text)
			if err == nil {
				_, err = io.Copy(io.Discard, c) // until the router closes the connection
			}
			ends <- err
		}()
	}
	c := router.dial(t)
	for open := len(bad); open > 0; {
		c.send("page", objectID, "")
		code, _, body := c.readResponse(t)
		assert.Equal(t, codeCompleted, code)
		assert.Equal(t, "x", body)
		select {
		case err := <-ends:
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			open--
		default:
		}
	}
	badFields := router.dial(t)
	for _, f := range []clientproto.Field{
		{Name: "ttl", Value: "-1"},
		{Name: "seg", Value: "x"},
		{Name: "heap", Value: "NaN"},
		{Name: "row", Value: "a,b=c"},
	} {
		badFields.send("page", objectID, "", f)
		code, _, _ := badFields.readResponse(t)
		assert.Equal(t, codeAborted, code, f)
	}
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	for _, code := range []string{"protocol_error", "partial_frame", "no_first_frame"} {
		assert.Contains(t, router.log.String(), "reason="+code)
	}
}

// TestDescriptorsGoroutinesAndHeapStayFlat continually replaces endpoints, clients and objects; the resources that the
// router uses must not grow.
//
// State that is retained for each former endpoint, client or object exhausts the process's memory after days.
func TestDescriptorsGoroutinesAndHeapStayFlat(t *testing.T) {
	origin := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, origin, origin)
	usage := func() counterDump { return router.dumpCounters(t) }
	before := usage()
	idleClient := router.dial(t) // sends one request and leaves its connection open
	idleClient.send("page", objectID, "")
	idleClient.readResponse(t)
	for i := range 60 {
		cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
		router.discovery.send <- discoveryFrame(uint64(i+2), 2,
			append(endpointRecord(uint32(i+2), cache, 0), endpointRecord(uint32(i+1), cache, 2)...))
		for range 10 {
			c := router.dial(t)
			c.send("page", fmt.Sprintf("%016x", requestIDs.n), "")
			c.expectCode(t, codeCompleted)
			_ = c.Close()
		}
	}
	require.Eventually(t, func() bool {
		k := usage()
		return k.received() == 601 && k["requests_open"] == 0 && k.connectionsOpen("client") == 0 &&
			k.connectionsOpen("endpoint") <= 4 &&
			k["process_open_descriptors"] <= before["process_open_descriptors"]+4 &&
			k["process_heap_bytes"] < before["process_heap_bytes"]+2<<20
	}, waitTimeout, 100*time.Millisecond)
}

// TestRouterUsesOneCoreAtATime pins all threads of a router to one core. The router must serve as many concurrent
// clients as with several cores, and use less than a tenth of the core while it has no requests.
//
// The deployment gives a router one core. A router that busy-waits, or needs several cores, misses deadlines there.
func TestRouterUsesOneCoreAtATime(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, cache, cache)
	pinToOneCPU(t, router.Process.Pid)
	all := sendFromClients(t, router, 16, 25)
	all.Wait()
	before, since := cpuSeconds(t, router.Process.Pid), time.Now()
	for time.Since(since) < time.Second { // idle except for readiness queries
		c := router.dial(t)
		_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
		c.readFrame(t)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Less(t, cpuSeconds(t, router.Process.Pid)-before, 0.1*time.Since(since).Seconds())
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	assert.Equal(t, 400, router.counters().completed("page"))
}

// TestDiscoveryReconnectsWhileClientsFillTheDescriptors lowers the system's descriptor limit below the configured one,
// and idle clients open all the connections that they may. The router must still connect to a discovery service at a
// new address, and serve new clients.
//
// If clients could use the last descriptors, the router could not connect to the discovery service and would continue
// with an outdated endpoint list.
func TestDiscoveryReconnectsWhileClientsFillTheDescriptors(t *testing.T) {
	old, cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "old") }),
		startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "new") })
	router := startRouter(t, 64, old, old)
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	router.shellCommand = "ulimit -n 64; exec " + program + " serve"
	router.start(t)
	stop := make(chan bool)
	idleClients := sync.WaitGroup{}
	for range 80 { // each reconnects when the router closes its connection
		idleClients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := dialTCP(t.Context(), router.addr); err == nil {
					_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
					_ = c.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}
			}
		})
	}
	defer idleClients.Wait()
	defer close(stop)
	full := func() bool {
		return router.dumpCounters(t).connectionsOpen("client") >= 28
	}
	require.Eventually(t, full, waitTimeout, 10*time.Millisecond)
	next := startDiscovery(t)
	require.NoError(t, os.WriteFile(router.bootstrapPath,
		bootstrapFile(router.addr, next.Addr().String(), 64, old, old), 0o600))
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	next.send <- discoveryFrame(2, 2, append(endpointRecord(9, cache, 0), endpointRecord(1, old, 2)...))
	require.Eventually(t, func() bool {
		c, err := dialTCP(t.Context(), router.addr)
		if err != nil {
			return false
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		(&client{Conn: c}).send("page", objectID, "")
		text, _ := io.ReadAll(c)
		return strings.HasSuffix(string(text), "new")
	}, waitTimeout, time.Millisecond, "the new endpoint is used, and a new client is served")
	assert.Less(t, router.counters()["process_open_descriptors"], 64)
}
