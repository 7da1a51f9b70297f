package main

import (
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/bootstrap"
	"cairnfront/internal/clientproto"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSigtermDrainsOpenRequests checks that on SIGTERM the router sends GOAWAY on every connection, answers requests
// that arrive later, and waits for open ones.
//
// A router that exits immediately on SIGTERM loses the open requests and those in transit from clients.
func TestSigtermDrainsOpenRequests(t *testing.T) {
	release, _, router, c := routerSignalledDuringRequest(t, syscall.SIGTERM)
	kind, stream, _ := c.readFrame(t)
	assert.Equal(t, []any{clientproto.TypeGoAway, uint32(0)}, []any{kind, stream})
	late := router.dial(t)
	late.send("order", "0000000000000002", "")
	kind, _, _ = late.readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
	close(release)
	late.expectCode(t, codeCompleted)
	c.expectCode(t, codeCompleted)
	router.stopping = true
	require.NoError(t, <-router.exited, "exit 0")
	assert.Equal(t, 0, router.counters()["requests_open"])
}

// TestDrainAbortsRequestsOpenAtItsTimeout checks that a request that is still open at the drain timeout is aborted, and
// that its client receives an answer.
//
// Without the timeout, a request whose cache never answers would prolong the drain until SIGKILL, and its client would
// get no answer.
func TestDrainAbortsRequestsOpenAtItsTimeout(t *testing.T) {
	cache := startCache(t, func(receivedAttempt) string { return "" })
	router := startRouter(t, 192, cache, cache)
	c := router.dial(t)
	c.send("order", objectID, "")
	require.Eventually(t, func() bool { return cache.attemptCount() == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, router.Process.Signal(syscall.SIGTERM))
	kind, _, _ := c.readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
	c.expectCode(t, codeAborted)
	router.stopping = true
	require.NoError(t, <-router.exited, "exit 0")
	assert.Equal(t, 1, router.counters()[`requests_answered_total{class="order",result="aborted",reason="shutdown"}`])
}

// TestSigtermUnderLoadLosesNoRequest checks that every request that a client sent before it received GOAWAY is
// answered.
//
// A request that crosses the GOAWAY frame on the wire can be dropped by both sides.
func TestSigtermUnderLoadLosesNoRequest(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, cache, cache)
	var all sync.WaitGroup
	var once sync.Once
	for range 30 {
		c := router.dial(t)
		all.Go(func() {
			for openRequests, goAwayReceived := 0, false; ; {
				if !goAwayReceived {
					c.send("page", objectID, "")
					openRequests++
				}
				kind, _, payload := c.readFrame(t)
				if goAwayReceived = goAwayReceived || kind == clientproto.TypeGoAway; kind == clientproto.TypeResponse {
					openRequests--
					assert.Equal(t, codeCompleted, payload[0])
				}
				if goAwayReceived && openRequests == 0 {
					return
				}
				once.Do(func() { assert.NoError(t, router.Process.Signal(syscall.SIGTERM)) })
			}
		})
	}
	all.Wait()
	router.stopping = true
	require.NoError(t, <-router.exited, "exit 0")
	k := router.counters()
	assert.Equal(t, []int{k.received(), 0}, []int{k.answered(), k["requests_open"]})
}

// TestReloadAndSecondSigtermDuringADrain checks that a draining router connects to a new address of the discovery
// service, that a second SIGTERM changes nothing, and that open requests are answered.
//
// Deployments send signals twice and move services during a restart. A router that restarted its drain, or lost the
// discovery service during it, would lose requests.
func TestReloadAndSecondSigtermDuringADrain(t *testing.T) {
	release, cache, router, c := routerSignalledDuringRequest(t, syscall.SIGTERM)
	kind, _, _ := c.readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
	next := startDiscovery(t)
	require.NoError(t, os.WriteFile(router.bootstrapPath,
		bootstrapFile(router.addr, next.Addr().String(), 192, cache, cache), 0o600))
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	router.waitForLog(t, "bootstrap file reloaded")
	next.deliver(t, discoveryFrame(2, 2, endpointRecord(1, cache, 1)))
	require.NoError(t, router.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return strings.Contains(router.log.String(), "repeated=true") }, waitTimeout,
		time.Millisecond)
	close(release)
	c.expectCode(t, codeCompleted)
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "the connection is closed without a reset")
	_ = c.Close()
	router.stopping = true
	assert.NoError(t, <-router.exited, "exit 0")
}

// TestDrainEndsBeforeTheKill checks the drain timeout. SIGKILL comes at the earliest 0.7 s after the longest request
// deadline, which counts as 3 s at most.
//
// If a drain takes longer than the time until SIGKILL, all open requests are lost; if it is shorter than necessary, it
// aborts requests that could have completed.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	for longest, want := range map[float64]time.Duration{
		0.9: 1150 * time.Millisecond, 2: 2250 * time.Millisecond,
		6: 3250 * time.Millisecond,
	} {
		m := bootstrap.Config{ClassNames: []string{"a", "b"}, Settings: routing.Settings{
			routing.ClassSetting(0, routing.ClassDeadline): "0.5",
			routing.ClassSetting(1, routing.ClassDeadline): strconv.FormatFloat(longest, 'f', -1, 64),
		}}
		assert.Equal(t, want, drainTimeout(m), longest)
	}
}

// TestOnlyTemporaryFailuresAreRetried checks that listening is retried for a limited time, and a reload a limited
// number of times, and that neither is retried after a permanent error.
func TestOnlyTemporaryFailuresAreRetried(t *testing.T) {
	inUse := &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	assert.True(t, mayListenAgain(inUse, portInUseTimeout))
	assert.False(t, mayListenAgain(inUse, portInUseTimeout+1))
	assert.False(t, mayListenAgain(os.ErrInvalid, 0))
	readError := fmt.Errorf("bootstrap file: %w", &fs.PathError{Op: "open", Path: "file", Err: syscall.EMFILE})
	assert.True(t, mayReloadAgain(readError, 1))
	assert.False(t, mayReloadAgain(readError, 0))
	assert.False(t, mayReloadAgain(os.ErrInvalid, 1))
	assert.False(t, mayReloadAgain(nil, 1))
}
