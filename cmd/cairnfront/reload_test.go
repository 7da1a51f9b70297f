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

// TestReloadFollowsTheNewFile checks that on SIGHUP the router connects to the discovery service's new address without
// affecting an open request, that an invalid file changes nothing, and that many signals at once cause no failure.
//
// A router that stays connected to the former address of the discovery service uses an outdated endpoint list.
func TestReloadFollowsTheNewFile(t *testing.T) {
	release := make(chan bool)
	cache := startCache(t, func(attempt receivedAttempt) string {
		<-release
		return okResponse(attempt, "x")
	})
	router := startRouter(t, 64, cache, cache)
	c := router.dial(t)
	c.send("page", objectID, "")
	require.Eventually(t, func() bool { return cache.attemptCount() == 1 }, waitTimeout, time.Millisecond)
	for i, bad := range []string{"{", strings.Replace(
		string(bootstrapFile(router.addr, router.discovery.Addr().String(), 64, cache, cache)),
		`"memory_mb":64`, `"memory_mb":65`, 1)} {
		require.NoError(t, os.WriteFile(router.bootstrapPath, []byte(bad), 0o600))
		require.NoError(t, router.Process.Signal(syscall.SIGHUP))
		failed := func() bool { return router.logCount("configuration reload failed") == i+1 }
		require.Eventually(t, failed, waitTimeout, time.Millisecond)
	}
	next := startDiscovery(t)
	require.NoError(t, os.WriteFile(router.bootstrapPath,
		bootstrapFile(router.addr, next.Addr().String(), 64, cache, cache), 0o600))
	for range 50 {
		require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	}
	newCache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "new") })
	next.send <- discoveryFrame(2, 2, append(endpointRecord(9, newCache, 0), endpointRecord(1, cache, 2)...))
	close(release)
	code, _, body := c.readResponse(t)
	assert.Equal(t, codeCompleted, code)
	assert.Equal(t, "x", body)
	require.Eventually(t, func() bool {
		c.send("page", objectID, "")
		_, _, body := c.readResponse(t)
		return body == "new"
	}, waitTimeout, time.Millisecond, "the endpoint list of the new discovery service is used")
	assert.NoError(t, router.stop(t, syscall.SIGTERM))
}

// TestReloadWhileOtherRoutersRestart sends one router SIGHUP repeatedly while another router that shares its cache is
// stopped and restarted. All requests to the first router must be completed, and the second must serve after each
// start.
//
// During an update of an installation, reloads coincide with restarts of other routers.
func TestReloadWhileOtherRoutersRestart(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	a, b := startRouter(t, 64, cache, cache), startRouter(t, 64, cache, cache)
	stop := make(chan bool)
	var requests sync.WaitGroup
	requests.Go(func() {
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
		require.NoError(t, os.WriteFile(a.bootstrapPath,
			bootstrapFile(a.addr, next.Addr().String(), 64, cache, cache), 0o600))
		a.reload(t)
		_ = b.stop(t, sig)
		a.reload(t)
		b.start(t)
		c := b.dial(t)
		c.send("page", objectID, "")
		c.expectCode(t, codeCompleted)
	}
	close(stop)
	requests.Wait()
	require.NoError(t, a.stop(t, syscall.SIGTERM))
	k := a.counters()
	assert.Equal(t, []int{k.received(), 6}, []int{k.completed("page"), k["configuration_reloads_total"]})
}

// TestReloadsDoNotBlock checks that a reload does not wait for the discovery client while that does not receive address
// changes, and that the client then receives the newest address.
//
// A reload that waited for the discovery client would block the handling of all signals, including SIGTERM.
func TestReloadsDoNotBlock(t *testing.T) {
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

// TestReloadIsRetriedIfTheFileCannotBeRead removes the file for a short time around SIGHUP, twice in a row.
//
// Deployments replace the file, and for a moment it does not exist. Without a retry, a reload at that moment would be
// lost, and with it the new address.
func TestReloadIsRetriedIfTheFileCannotBeRead(t *testing.T) {
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startRouter(t, 64, cache, cache)
	for range 2 {
		next := startDiscovery(t)
		fresh := bootstrapFile(router.addr, next.Addr().String(), 64, cache, cache)
		require.NoError(t, os.Remove(router.bootstrapPath))
		require.NoError(t, router.Process.Signal(syscall.SIGHUP))
		failed := router.logCount("configuration reload failed")
		failedAgain := func() bool { return router.logCount("configuration reload failed") > failed }
		require.Eventually(t, failedAgain, waitTimeout, time.Millisecond)
		require.NoError(t, os.WriteFile(router.bootstrapPath+".new", fresh, 0o600))
		require.NoError(t, os.Rename(router.bootstrapPath+".new", router.bootstrapPath))
		next.deliver(t, discoveryFrame(2, 0, nil))
	}
}
