package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The overload test runs a router under bad clients and measures its memory and what usual clients get. It needs a
// machine on which no other test runs, so it runs only with -overload-kinds.
var (
	overloadKinds   = flag.String("overload-kinds", "", "kinds of bad clients, separated by commas; all of them: mixed")
	overloadMemory  = flag.Int("overload-memory", 32, "memory_mb of the router")
	overloadSockets = flag.Int("overload-sockets", 1024, "descriptors of the router")
	overloadClients = flag.Int("overload-clients", 341, "number of bad connections")
	overloadTime    = flag.Duration("overload-time", time.Minute, "duration for each kind")
)

const (
	overloadCaches       = 4
	usualClientCount     = 8
	usualRequestInterval = time.Second / 15
	usualTTLMillis       = 2500
	usualObjects         = 200
	usualStartTime       = time.Second // until the usual clients have connected
	minUsualServedShare  = 0.95
	maxBadClientWait     = 3 * time.Second
	maxGrowthShare       = 0.05 // growth of the peak from the third quarter to the fourth, as a share of the limit
	bytesPerMB           = 1 << 20
)

// Hundreds of bad clients must cost neither the process its memory limit nor other clients their answers.
func TestBadClientsStayWithinMemoryAndTheirShare(t *testing.T) {
	if *overloadKinds == "" {
		t.Skip("runs alone, with -overload-kinds")
	}
	for kind := range strings.SplitSeq(*overloadKinds, ",") {
		t.Run(kind, func(t *testing.T) {
			o := newOverload(t, *overloadMemory, *overloadSockets)
			o.run(*overloadTime, kind, *overloadClients)
			o.verify()
		})
	}
}

// overload is one run of a router under bad clients.
type overload struct {
	t        *testing.T
	router   *routerProcess
	memoryMB int
	stop     chan struct{}
	clients  sync.WaitGroup
	duration time.Duration
	usual    usualRecord
	bad      badRecord
	memory   memoryRecord
}

// newOverload starts a router with a number of caches that answer quickly.
func newOverload(t *testing.T, memoryMB, sockets int) *overload {
	t.Helper()
	var stubs []*cacheStub
	for range overloadCaches + 1 {
		stubs = append(stubs, startQuickCache(t))
	}
	limit := func(content []byte) []byte {
		return bytes.Replace(content, []byte(`"sockets":1024`), fmt.Appendf(nil, `"sockets":%d`, sockets), 1)
	}
	router := startProgram(t, launch{program: program, editBootstrap: limit}, memoryMB, stubs[0], stubs[1:]...)
	return &overload{t: t, router: router, memoryMB: memoryMB, stop: make(chan struct{})}
}

// run plays usual clients for a time, together with a number of bad ones of a kind.
func (o *overload) run(duration time.Duration, kind string, badClients int) {
	o.duration = duration
	kinds := badClientKinds
	if kind != "mixed" && kind != "none" {
		kinds = kinds[badClientKindIndex(o.t, kind):][:1]
	}
	for range usualClientCount {
		o.clients.Go(func() { o.usual.play(o.router.addr, o.stop) })
	}
	time.Sleep(usualStartTime)
	if kind != "none" {
		for i := range badClients {
			client := badClient{record: &o.bad, addr: o.router.addr, stop: o.stop, number: i}
			o.clients.Go(func() { client.play(kinds[i%len(kinds)]) })
		}
	}
	cpuBefore := cpuSeconds(o.t, o.router.Process.Pid)
	o.memory.sample(o.t, o.router, duration)
	o.t.Log(o.answerReasons())
	cpu := cpuSeconds(o.t, o.router.Process.Pid) - cpuBefore
	o.bad.stopAt(time.Now())
	close(o.stop)
	o.clients.Wait()
	requests := float64(o.bad.requests.Load()) + float64(o.usual.sent)
	o.t.Logf("%d MB, %d x %s: %v; %v; %v; CPU %.2f, %.0f us a request",
		o.memoryMB, badClients, kind, &o.memory, &o.usual, &o.bad, cpu/duration.Seconds(), cpu/requests*1e6)
}

// answerReasons lists what the router's answers were, for the log.
func (o *overload) answerReasons() string {
	var reasons []string
	for series, value := range o.router.dumpCounters(o.t) {
		if strings.HasPrefix(series, "requests_answered_total") {
			labels := strings.TrimPrefix(series, "requests_answered_total")
			reasons = append(reasons, fmt.Sprintf("%s %d", labels, value))
		}
	}
	slices.Sort(reasons)
	return strings.Join(reasons, "; ")
}

// verify checks the run against the limit of memory, the share of usual requests that are served, and the time within
// which a bad client is answered or closed.
func (o *overload) verify() {
	assert.Less(o.t, o.memory.peak(), float64(o.memoryMB), "peak of anonymous memory in MB")
	assert.Less(o.t, o.memory.growth(), maxGrowthShare*float64(o.memoryMB), "growth in the second half, in MB")
	assert.GreaterOrEqual(o.t, o.servedShare(), minUsualServedShare, "usual requests served")
	assert.LessOrEqual(o.t, o.bad.longestWait(), maxBadClientWait, "a bad client is answered or closed")
}

// servedShare returns the share of the usual requests that were served, of those that the clients send if none of them
// is held up.
func (o *overload) servedShare() float64 {
	return float64(o.usual.served) / (usualClientCount * float64(o.duration/usualRequestInterval))
}

// memoryRecord is the memory of a process, sampled at equal intervals.
type memoryRecord struct{ anonymousMB, residentMB []float64 }

// sample records the memory of a router for a time, and fails the test if the router ends.
func (m *memoryRecord) sample(t *testing.T, router *routerProcess, duration time.Duration) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		m.anonymousMB = append(m.anonymousMB, processStatusMB(t, router.Process.Pid, "RssAnon"))
		m.residentMB = append(m.residentMB, processStatusMB(t, router.Process.Pid, "VmRSS"))
	}
}

// processStatusMB returns a value in kB of a process's status file, in MB.
func processStatusMB(t *testing.T, pid int, name string) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err, "the router has ended")
	_, rest, found := strings.Cut(string(text), name+":")
	require.True(t, found, "the router has ended")
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	require.NoError(t, err)
	return kilobytes / 1024
}

func maxOf(values []float64) float64 {
	largest := 0.0
	for _, value := range values {
		largest = max(largest, value)
	}
	return largest
}

// peak returns the largest anonymous memory in MB.
func (m *memoryRecord) peak() float64 { return maxOf(m.anonymousMB) }

// growth returns by how many MB the peak of the last quarter is above that of the quarter before.
func (m *memoryRecord) growth() float64 {
	n := len(m.anonymousMB)
	return maxOf(m.anonymousMB[n*3/4:]) - maxOf(m.anonymousMB[n/2:n*3/4])
}

// String returns the peaks and the growth for the log.
func (m *memoryRecord) String() string {
	return fmt.Sprintf("peak %.1f MB anonymous, %.1f MB resident, growth %+.1f MB",
		m.peak(), maxOf(m.residentMB), m.growth())
}
