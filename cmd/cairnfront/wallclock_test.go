package main

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wallOffsetVariable is the environment variable with the path of a file that holds the offset of a process's wall
// clock in seconds. If it is set, the test binary runs as a router whose wall clock follows the content of that file.
const wallOffsetVariable = "CAIRNFRONT_TEST_WALL_OFFSET"

// runAsSteppedRouter runs the program inside the test binary, with a wall clock that a test can step.
func runAsSteppedRouter(offsetFile string) int {
	readClocks = func() clock.Reading {
		reading := clock.System()
		text, _ := os.ReadFile(offsetFile)
		seconds, _ := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
		reading.UnixTime += time.Duration(seconds * float64(time.Second))
		return reading
	}
	return run()
}

// steppedRouter is a router process whose wall clock the test can step.
type steppedRouter struct {
	*routerProcess
	offsetFile string
	offset     float64
}

func startSteppedRouter(t *testing.T, origin *cacheStub, caches ...*cacheStub) *steppedRouter {
	t.Helper()
	return startEditedRouter(t, nil, origin, caches...)
}

// startEditedRouter starts a steppedRouter with a bootstrap file changed by edit.
func startEditedRouter(
	t *testing.T, edit func([]byte) []byte, origin *cacheStub, caches ...*cacheStub,
) *steppedRouter {
	t.Helper()
	router := &steppedRouter{offsetFile: filepath.Join(t.TempDir(), "offset")}
	router.step(t, 0)
	this, err := os.Executable()
	require.NoError(t, err)
	l := launch{program: this, env: []string{
		wallOffsetVariable + "=" + router.offsetFile,
		"GORACE=atexit_sleep_ms=0", // otherwise the race detector delays the exit by a second
	}, editBootstrap: edit}
	router.routerProcess = startProgram(t, l, 192, origin, caches...)
	return router
}

// step steps the router's wall clock by a number of seconds.
func (router *steppedRouter) step(t *testing.T, seconds float64) {
	t.Helper()
	router.offset += seconds
	require.NoError(t, os.WriteFile(router.offsetFile+".new",
		[]byte(strconv.FormatFloat(router.offset, 'f', -1, 64)), 0o600))
	require.NoError(t, os.Rename(router.offsetFile+".new", router.offsetFile))
}

// TestWallClockStepsChangeNoDuration steps the wall clock of a running router while requests are open, inside the
// window of an idempotency key, around a purge, with the discovery service away, and in a drain. When the clock was set
// forward and back and then slewed slightly, a new purge seemed an hour old, so that purged copies were accepted.
//
// An administrator or a time service may set the clock of a machine. A deadline or a window computed from the wall
// clock would then end immediately or hours late.
func TestWallClockStepsChangeNoDuration(t *testing.T) {
	for name, steps := range map[string][]float64{
		"an hour back": {-3600}, "5 s back": {-5}, "5 s forward": {5}, "an hour forward": {3600},
		"twice back": {-3600, -3600}, "forward and back": {3600, -3600},
		"forward, back and slewed": {3600, -3600, 0.02}, "back, forward and slewed": {-3600, 3600, 0.02},
		"slewed back": {-0.1, -0.1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testWallClockSteps(t, steps)
		})
	}
}

func testWallClockSteps(t *testing.T, steps []float64) {
	t.Helper()
	var brokenOnce atomic.Bool
	cache := startCache(t, func(attempt receivedAttempt) string {
		switch {
		case attempt.fields["thing"] == "00000000000000aa": // answered after a delay
			time.Sleep(300 * time.Millisecond)
		case attempt.fields["thing"] == "00000000000000bb": // never answered
			return ""
		case attempt.fields["profile"] == "write" && brokenOnce.CompareAndSwap(false, true):
			_ = attempt.conn.Close()
			return ""
		}
		return okResponse(attempt, "x")
	})
	router := startSteppedRouter(t, cache, cache)
	c := router.dial(t)
	revision := uint64(1)
	for _, step := range steps {
		router.testRequestsAcrossStep(t, c, step)
		brokenOnce.Store(false)
		c.send("write", "00000000000000cc", "order", clientproto.Field{Name: "dedupe", Value: "k"})
		c.expectCode(t, codeCompleted, "the write is retried within the idempotency window")
		revision++
		router.testPurgeAfterStep(t, c, cache, revision)
	}
	router.testDrainAcrossStep(t, c, steps[0])
}

// testRequestsAcrossStep steps the clock while two requests are open: one whose answer is pending, and one that is
// never answered.
func (router *steppedRouter) testRequestsAcrossStep(t *testing.T, c *client, step float64) {
	t.Helper()
	c.send("page", "00000000000000aa", "")
	c.ttlMillis = 900
	c.send("page", "00000000000000bb", "")
	c.ttlMillis = 0
	startedAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	router.step(t, step)
	for range 2 {
		_, stream, payload := c.readFrame(t)
		elapsed := time.Since(startedAt)
		if stream == c.stream { // the unanswered request fails at its deadline, not earlier
			assert.NotEqual(t, codeCompleted, payload[0])
			assert.Greater(t, elapsed, 300*time.Millisecond)
			assert.Less(t, elapsed, 1200*time.Millisecond)
		} else {
			assert.Equal(t, codeCompleted, payload[0])
		}
	}
}

// testPurgeAfterStep sends a purge with the time of the stepped clock, and checks the age of copies that the router
// accepts.
func (router *steppedRouter) testPurgeAfterStep(t *testing.T, c *client, cache *cacheStub, revision uint64) {
	t.Helper()
	purgedAt := time.Now()
	purgeTime := purgedAt.Add(time.Duration(router.offset * float64(time.Second)))
	object := 0xdd00 + revision
	payload := binary.BigEndian.AppendUint64(nil, object)
	payload = binary.BigEndian.AppendUint64(payload, uint64(purgeTime.UnixMilli()))
	router.discovery.send <- discoveryFrame(revision, 3, payload)
	require.Eventually(t, func() bool {
		before := cache.attemptCount()
		c.send("page", fmt.Sprintf("%016x", object), "")
		c.expectCode(t, codeCompleted)
		require.Greater(t, cache.attemptCount(), before)
		accept, err := strconv.Atoi(cache.lastAttempt().fields["accept"])
		if err != nil { // purge not applied yet: copies of any age are accepted
			return false
		}
		// accept is sent in milliseconds; 1 ms allows for rounding
		return assert.LessOrEqual(t, accept, int(time.Since(purgedAt).Milliseconds())+1, "at most the purge's age")
	}, waitTimeout, 5*time.Millisecond)
}

// testDrainAcrossStep steps the clock right after SIGTERM, while a request is open that is never answered.
func (router *steppedRouter) testDrainAcrossStep(t *testing.T, c *client, step float64) {
	t.Helper()
	c.send("order", "00000000000000bb", "")
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	require.NoError(t, router.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	router.step(t, step)
	kind, _, _ := c.readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
	c.expectCode(t, codeAborted)
	router.stopping = true
	require.NoError(t, <-router.exited, "exit 0")
	assert.Greater(t, time.Since(startedAt), 3*time.Second, "the drain waits for the open request")
	assert.Less(t, time.Since(startedAt), maxDeadline+killDelay, "the drain ends before the earliest SIGKILL")
}
