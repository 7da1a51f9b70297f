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

// TestRouterServesAgainAfterAKill shows that a killed router starts again without state, with its name and address.
//
// A router that needs something from before its end, or can not get its port back, stays down after a crash.
func TestRouterServesAgainAfterAKill(t *testing.T) {
	m := startCache(t, func(h receivedAttempt) string { return okResponse(h, "x") })
	s := startRouter(t, 192, m, m)
	c := s.dial(t)
	c.send("page", objectID, "")
	c.readResponse(t)
	require.Error(t, s.stop(t, syscall.SIGKILL))
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	s.start(t)
	c = s.dial(t)
	c.send("page", objectID, "")
	c.expectCode(t, codeCompleted)
	assert.Equal(t, 2, m.attemptCount())
}

// TestStoppedProcessLosesNoRequest stops the process for longer than any of its timeouts. What was open and what
// arrived meanwhile is answered once, the endpoint that responded stays in use, and events of the discovery service
// take effect.
//
// A machine pauses its processes for seconds. Every timer is then late at once, and endpoints that answered in time
// look silent.
func TestStoppedProcessLosesNoRequest(t *testing.T) {
	hold, m, s, c := routerSignalledDuringRequest(t, syscall.SIGSTOP)
	close(hold) // the answer comes while nobody reads
	late := s.dial(t)
	late.send("page", "0000000000000002", "")
	m2 := startCache(t, func(h receivedAttempt) string { return okResponse(h, "new") })
	s.discovery.send <- discoveryFrame(2, 2, append(endpointRecord(9, m2, 0), endpointRecord(1, m, 2)...))
	time.Sleep(3 * time.Second) // over the heartbeat timeout, the connect timeout and a second of stall
	require.NoError(t, s.Process.Signal(syscall.SIGCONT))
	for _, c := range []*client{c, late} {
		code, _, _ := c.readResponse(t)
		assert.Contains(t, []byte{0, 1}, code, "past its latency objective it may be rejected")
	}
	require.Eventually(t, func() bool {
		c.send("page", "0000000000000003", "")
		_, _, body := c.readResponse(t)
		return body == "new"
	}, patience, 10*time.Millisecond, "the endpoint list sent meanwhile is used")
	require.NoError(t, s.stop(t, syscall.SIGTERM))
	k := s.counters()
	assert.Equal(t, []int{k.received(), 0}, []int{k.answered(), k["requests_open"]})
}

// TestListenWaitsForAPortInUse has the previous process still hold the port. A signal is handled only between two
// tries, so it proves the first.
//
// A restarted router comes while the previous process still ends. If it failed at the port, the restart would be an
// outage.
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
			assert.Nil(t, r.Listener, "a signal ends it before it listens")
			continue
		}
		assert.NoError(t, r.Close())
	}
}

// TestSighupBeforeTheStartIsSurvived sends SIGHUP to the shell, and so to the program before it handles signals: it is
// not ended by it, and follows those after the start. The command is that of the deploy file.
//
// SIGHUP ends a process that does not handle it yet. A reload that is sent to all routers would end one that has just
// been started.
func TestSighupBeforeTheStartIsSurvived(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	require.NotNil(t, run)
	m := startCache(t, func(h receivedAttempt) string { return okResponse(h, "x") })
	s := startRouter(t, 64, m, m)
	require.NoError(t, s.stop(t, syscall.SIGTERM))
	s.shellCommand = strings.Replace(string(run[1]), "exec bin/cairnfront", "kill -HUP $$; exec "+program, 1)
	require.Contains(t, s.shellCommand, "kill")
	s.start(t)
	next := startDiscovery(t)
	require.NoError(t, os.WriteFile(s.bootstrapPath, bootstrapFile(s.addr, next.Addr().String(), 64, m, m), 0o600))
	require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	select {
	case next.send <- discoveryFrame(2, 2, endpointRecord(1, m, 0)):
	case <-time.After(patience):
		t.Fatal("no connection to the new discovery service")
	}
}
