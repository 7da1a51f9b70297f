package main

import (
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRouterServesAgainAfterAKill checks that a killed router can be restarted without saved state, under the same name
// and address.
//
// A router that needs state of its previous process, or can't bind its port again, stays down after a crash.
func TestRouterServesAgainAfterAKill(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 192, cache, cache)
	c := router.dial(t)
	c.send("page", objectID, "")
	c.readResponse(t)
	require.Error(t, router.stop(t, syscall.SIGKILL))
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	router.start(t)
	c = router.dial(t)
	c.send("page", objectID, "")
	c.expectCode(t, codeCompleted)
	assert.Equal(t, 2, cache.attemptCount())
}

// TestStoppedProcessLosesNoRequest stops the process with SIGSTOP for longer than any of its timeouts. Requests that
// were open or arrived meanwhile must be answered once, the endpoint that responded must stay in use, and events that
// the discovery service sent meanwhile must take effect.
//
// A machine may pause its processes for seconds. Afterwards every timer has expired, and endpoints that answered in
// time seem unresponsive.
func TestStoppedProcessLosesNoRequest(t *testing.T) {
	hold, cache, router, c := routerSignalledDuringRequest(t, syscall.SIGSTOP)
	close(hold) // the cache answers while the router is stopped
	late := router.dial(t)
	late.send("page", "0000000000000002", "")
	newCache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "new") })
	router.discovery.send <- discoveryFrame(2, 2,
		append(endpointRecord(9, newCache, 0), endpointRecord(1, cache, 2)...))
	time.Sleep(3 * time.Second) // longer than the heartbeat timeout, the connect timeout and a stall of one second
	require.NoError(t, router.Process.Signal(syscall.SIGCONT))
	for _, c := range []*client{c, late} {
		code, _, _ := c.readResponse(t)
		assert.Contains(t, []byte{0, 1}, code, "a request past its latency objective may be rejected")
	}
	require.Eventually(t, func() bool {
		c.send("page", "0000000000000003", "")
		_, _, body := c.readResponse(t)
		return body == "new"
	}, waitTimeout, 10*time.Millisecond, "the endpoint list sent while the router was stopped is used")
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	k := router.counters()
	assert.Equal(t, []int{k.received(), 0}, []int{k.answered(), k["requests_open"]})
}

// TestListenWaitsForAPortInUse calls listen while the port is still in use. Signals are handled only between two tries,
// so a handled signal proves that the first try has failed.
//
// A restarted router may start while the previous process is still exiting. If it failed because its port is in use,
// the restart would cause an outage.
func TestListenWaitsForAPortInUse(t *testing.T) {
	type result struct {
		net.Listener
		error
	}
	for _, last := range []os.Signal{syscall.SIGUSR1, syscall.SIGTERM} {
		held := listenLoopback(t)
		signals, got := make(chan os.Signal), make(chan result)
		go func() {
			ln, err := listen(t.Context(), held.Addr().String(), signals, telemetry.New(io.Discard, ""))
			got <- result{ln, err}
		}()
		signals <- syscall.SIGUSR1
		signals <- last
		require.NoError(t, held.Close())
		r := <-got
		require.NoError(t, r.error)
		if last == syscall.SIGTERM {
			assert.Nil(t, r.Listener, "SIGTERM ends the wait before the port is free")
			continue
		}
		assert.NoError(t, r.Close())
	}
}

// TestSighupBeforeTheStartIsIgnored uses the command of the deployment file and sends SIGHUP to its shell, that is, to
// the process before the program handles signals. The process must survive, and handle SIGHUP after its start.
//
// By default, SIGHUP terminates a process that does not handle it. A reload signal sent to all routers would terminate
// a router that has just been started.
func TestSighupBeforeTheStartIsIgnored(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	require.NotNil(t, run)
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, cache, cache)
	require.NoError(t, router.stop(t, syscall.SIGTERM))
	router.shellCommand = strings.Replace(string(run[1]), "exec bin/cairnfront", "kill -HUP $$; exec "+program, 1)
	require.Contains(t, router.shellCommand, "kill")
	router.start(t)
	next := startDiscovery(t)
	require.NoError(t, os.WriteFile(router.bootstrapPath,
		bootstrapFile(router.addr, next.Addr().String(), 64, cache, cache), 0o600))
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	select {
	case next.send <- discoveryFrame(2, 2, endpointRecord(1, cache, 0)):
	case <-time.After(waitTimeout):
		t.Fatal("no connection to the new discovery service")
	}
}
