package main

import (
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/bootstrap"
	"cairnfront/internal/discovery"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReloadFollowsTheNewFile shows that SIGHUP makes the router follow the discovery service's new address without
// disturbing an open request, that a file that can't be used changes nothing, and that many signals at once do no harm.
//
// A router that keeps to the former address of the discovery service goes on with an old endpoint list.
func TestReloadFollowsTheNewFile(t *testing.T) {
	release := make(chan bool)
	m := startCache(t, func(h receivedAttempt) string {
		<-release
		return okResponse(h, "x")
	})
	s := startRouter(t, 64, m, m)
	c := s.dial(t)
	c.send("page", objectID, "")
	require.Eventually(t, func() bool { return m.attemptCount() == 1 }, patience, time.Millisecond)
	for i, bad := range []string{"{", strings.Replace(string(bootstrapFile(s.addr, s.discovery.Addr().String(), 64, m,
		m)), `"memory_mb":64`, `"memory_mb":65`, 1)} {
		require.NoError(t, os.WriteFile(s.bootstrapPath, []byte(bad), 0o600))
		require.NoError(t, s.Process.Signal(syscall.SIGHUP))
		failed := func() bool { return s.logCount("configuration reload failed") == i+1 }
		require.Eventually(t, failed, patience, time.Millisecond)
	}
	next := startDiscovery(t)
	require.NoError(t, os.WriteFile(s.bootstrapPath, bootstrapFile(s.addr, next.Addr().String(), 64, m, m), 0o600))
	for range 50 {
		require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	}
	m2 := startCache(t, func(h receivedAttempt) string { return okResponse(h, "new") })
	next.send <- discoveryFrame(2, 2, append(endpointRecord(9, m2, 0), endpointRecord(1, m, 2)...))
	close(release)
	code, _, body := c.readResponse(t)
	assert.Equal(t, codeCompleted, code)
	assert.Equal(t, "x", body)
	require.Eventually(t, func() bool {
		c.send("page", objectID, "")
		_, _, body := c.readResponse(t)
		return body == "new"
	}, patience, time.Millisecond, "the new discovery service's list counts")
	assert.NoError(t, s.stop(t, syscall.SIGTERM))
}

// TestReloadWhileOtherRoutersRestart sends one router SIGHUP again and again while another that shares its cache is
// ended and started. The clients of the first notice nothing, and the second serves after each start.
//
// Reloads and restarts of neighbours come together during an update of the installation.
func TestReloadWhileOtherRoutersRestart(t *testing.T) {
	m := startCache(t, func(h receivedAttempt) string { return okResponse(h, "x") })
	a, b := startRouter(t, 64, m, m), startRouter(t, 64, m, m)
	stop := make(chan bool)
	var asks sync.WaitGroup
	asks.Go(func() {
		for c := a.dial(t); ; {
			select {
			case <-stop:
				return
			default:
				c.send("page", objectID, "")
				c.expectCode(t, codeCompleted)
			}
		}
	})
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGTERM} {
		next := startDiscovery(t)
		require.NoError(t, os.WriteFile(a.bootstrapPath, bootstrapFile(a.addr, next.Addr().String(), 64, m, m), 0o600))
		a.reload(t)
		_ = b.stop(t, sig)
		a.reload(t)
		b.start(t)
		c := b.dial(t)
		c.send("page", objectID, "")
		c.expectCode(t, codeCompleted)
	}
	close(stop)
	asks.Wait()
	require.NoError(t, a.stop(t, syscall.SIGTERM))
	k := a.counters()
	assert.Equal(t, []int{k.received(), 6}, []int{k.completed("page"), k["configuration_reloads_total"]})
}

// TestReloadsNeverWait shows that, while the discovery client follows no address, a reload does not wait for it, and
// that the newest address is the one that it will follow.
//
// A reload that waits for the discovery client stops the handling of signals, SIGTERM too.
func TestReloadsNeverWait(t *testing.T) {
	r := &router{
		metrics:   telemetry.New(io.Discard, ""),
		discovery: &discovery.Client{AddressChanges: make(chan string, 1)},
	}
	for _, addr := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		r.load = func() (bootstrap.Config, error) { return bootstrap.Config{DiscoveryAddress: addr}, nil }
		require.NoError(t, r.reload(t.Context()))
	}
	assert.Equal(t, "127.0.0.1:3", <-r.discovery.AddressChanges)
	assert.Equal(t, "127.0.0.1:3", r.config.DiscoveryAddress)
}

// TestReloadIsTriedAgainWhereTheFileCannotBeRead removes the file for a short time around SIGHUP, twice in a row.
//
// Deployments replace the file, and for a moment there is none. A reload that falls into it would be lost, and with it
// the new address.
func TestReloadIsTriedAgainWhereTheFileCannotBeRead(t *testing.T) {
	m := startCache(t, func(h receivedAttempt) string { return okResponse(h, "x") })
	s := startRouter(t, 64, m, m)
	for range 2 {
		next := startDiscovery(t)
		fresh := bootstrapFile(s.addr, next.Addr().String(), 64, m, m)
		require.NoError(t, os.Remove(s.bootstrapPath))
		require.NoError(t, s.Process.Signal(syscall.SIGHUP))
		failed := s.logCount("configuration reload failed")
		failedAgain := func() bool { return s.logCount("configuration reload failed") > failed }
		require.Eventually(t, failedAgain, patience, time.Millisecond)
		require.NoError(t, os.WriteFile(s.bootstrapPath+".new", fresh, 0o600))
		require.NoError(t, os.Rename(s.bootstrapPath+".new", s.bootstrapPath))
		next.deliver(t, discoveryFrame(2, 0, nil))
	}
}
