package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resourceUse is the resources that a router uses to serve a fixed sequence of requests.
type resourceUse struct {
	cpuSeconds  float64
	memoryMB    float64
	descriptors int
	connections int // connections opened to caches
	answered    int
}

// TestResourceUseGrowsLittleWithTheCluster serves the same requests in a cluster of 200 caches in 48 zones and in one
// of 3,200, while the endpoint list changes. The growth must stay within the limits that users set: for each resource a
// factor, and an allowance for each thousand caches.
//
// If work or memory grows with the endpoint list, a router in a large installation is too slow for its single core.
func TestResourceUseGrowsLittleWithTheCluster(t *testing.T) {
	const small, large = 200, 3200
	thousands := float64(large) / 1000
	before, after := measureResourceUse(t, small), measureResourceUse(t, large)
	t.Logf("%d caches: %+v; %d caches: %+v", small, before, large, after)
	assert.Equal(t, before.answered, after.answered)
	assert.LessOrEqual(t, after.cpuSeconds, 1.4*before.cpuSeconds+0.02+0.03*thousands)
	assert.LessOrEqual(t, after.memoryMB, 1.5*before.memoryMB+8+4*thousands)
	assert.LessOrEqual(t, after.descriptors, 2*before.descriptors+40)
	assert.LessOrEqual(t, float64(after.connections), 2.5*float64(before.connections)+40)
}

// measureResourceUse runs a router in a cluster with the given number of caches and returns the resources used from its
// start until it has answered every request.
func measureResourceUse(t *testing.T, caches int) resourceUse {
	t.Helper()
	const zones, requests, objects, burst = 48, 300, 300, 6
	cache := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := prepareProgram(t, launch{program: program}, 192, cache, cache)
	enlargeCluster(t, router.bootstrapPath, cache, caches, zones)
	router.start(t)
	c := router.dial(t)
	rng := rand.New(rand.NewPCG(1, 1))
	popularity := rand.NewZipf(rng, 1.1, 8, objects-1)
	use := resourceUse{}
	for i := range requests {
		if i%10 == 0 { // caches of the router's zone start and stop draining
			record := endpointRecord(uint32(zones*(i/20%(caches/zones))), cache, byte(i/10%2))
			router.discovery.deliver(t, discoveryFrame(uint64(i/10+2), 2, record))
		}
		c.send("page", fmt.Sprintf("%016x", popularity.Uint64()), "")
		if i%burst < burst-1 {
			continue
		}
		for range burst {
			if code, _, _ := c.readResponse(t); code == codeCompleted {
				use.answered++
			}
		}
	}
	counters := router.dumpCounters(t)
	use.cpuSeconds = cpuSeconds(t, router.Process.Pid)
	use.memoryMB = peakMemoryMB(t, router.Process.Pid)
	use.descriptors = counters["process_open_descriptors"]
	use.connections = counters.connectionsOpened("endpoint")
	return use
}

// enlargeCluster rewrites a bootstrap file with the given number of caches, spread over the zones, all at the address
// of the stub.
func enlargeCluster(t *testing.T, path string, cache *cacheStub, caches, zones int) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var file map[string]any
	require.NoError(t, json.Unmarshal(text, &file))
	names := make([]string, zones)
	routersByZone := make([]int, zones)
	for i := range names {
		names[i] = "zone-" + strconv.Itoa(i)
		routersByZone[i] = 30
	}
	names[0] = "here"
	settings := requireType[map[string]any](t, file["settings"])
	settings["zones"], settings["group_size"] = names, 30*zones
	requireType[map[string]any](t, settings["extra"])["count_by_zone"] = routersByZone
	events := requireType[[]any](t, requireType[map[string]any](t, file["known"])["notices"])
	list := requireType[map[string]any](t, requireType[map[string]any](t, events[0])["pool"])
	origin := requireType[[]any](t, list["endpoints"])[1]
	endpoints := []any{origin}
	for i := range caches {
		if i == 0xff { // the origin's id
			continue
		}
		endpoints = append(endpoints, map[string]any{
			"name": fmt.Sprintf("s-%08x", i), "address": cache.Addr().String(), "zone": names[i%zones], "type": "box",
			"group": 0, "status": "SERVING", "weight": 1600 / float64(caches), "since_ms": 0,
		})
	}
	list["endpoints"] = endpoints
	text, err = json.Marshal(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text, 0o600))
}

// peakMemoryMB returns the peak resident memory (VmHWM) of a process.
func peakMemoryMB(t *testing.T, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return float64(kilobytes) / 1024
}

// prepareProgram starts a router as startProgram does and stops it again, so that a test can change its bootstrap file
// before the next start.
func prepareProgram(t *testing.T, l launch, memory int, origin *cacheStub, caches ...*cacheStub) *routerProcess {
	t.Helper()
	router := startProgram(t, l, memory, origin, caches...)
	_ = router.stop(t, 9)
	time.Sleep(10 * time.Millisecond)
	return router
}
