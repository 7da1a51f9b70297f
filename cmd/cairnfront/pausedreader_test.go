package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	pauseBegin        = time.Second // of the play
	afterPauseTime    = 1500 * time.Millisecond
	slowReadTime      = 5 * time.Second
	smallReceiveBytes = 64 << 10
)

// pausedReaderCase is a way in which clients take no output for some time.
type pausedReaderCase struct {
	name          string
	memoryMB      int
	clients       int
	objects       int // that each client keeps open
	pause         time.Duration
	bytesPerSec   int           // that each client takes, 0 for no limit
	receiveBuffer int           // of the clients' sockets, 0 for the system's
	silentReaders int           // other clients, which read nothing
	stopped       time.Duration // for which the router's process is stopped
	killed        bool          // the router is killed and started again before the clients connect
	relayed       bool          // the clients connect through relays, which also stop, one way or the other
	relayDelay    time.Duration // of what each relay passes on
}

// Guards against open requests that are lost as their connection ends because its client, or the router, stood still.
func TestPausedReadersKeepTheirRequests(t *testing.T) {
	for _, test := range []pausedReaderCase{
		{name: "pause of 1.4 s", memoryMB: 32, clients: 12, objects: 20, pause: 1400 * time.Millisecond},
		{
			name: "pause of 1.8 s", memoryMB: 192, clients: 4, objects: 8, pause: 1800 * time.Millisecond,
			receiveBuffer: smallReceiveBytes,
		},
		{
			name: "pause of 2.6 s", memoryMB: 192, clients: 4, objects: 8, pause: 2600 * time.Millisecond,
			receiveBuffer: smallReceiveBytes,
		},
		{name: "pause of 5.6 s", memoryMB: 64, clients: 4, objects: 8, pause: 5600 * time.Millisecond},
		{
			name: "20 KB/s", memoryMB: 64, clients: 4, objects: 4, bytesPerSec: 20_000,
			receiveBuffer: smallReceiveBytes,
		},
		{
			name: "beside clients that read nothing", memoryMB: 32, clients: 4, objects: 4,
			pause: 1400 * time.Millisecond, receiveBuffer: smallReceiveBytes, silentReaders: 40,
		},
		{
			name: "stopped router", memoryMB: 32, clients: 12, objects: 20, stopped: 2400 * time.Millisecond,
			receiveBuffer: smallReceiveBytes, bytesPerSec: 2_000_000,
		},
		{
			name: "link that stops within a frame", memoryMB: 192, clients: 4, objects: 4, pause: 3 * time.Second,
			relayed: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.run(t)
		})
	}
}

func (test pausedReaderCase) run(t *testing.T) {
	t.Helper()
	startedAt := time.Now()
	site := startStreamingSite(t, streamingLoad{blockBytes: largeObjectBytes, memoryMB: test.memoryMB, cores: 2})
	startSilentReaders(t, site.router.addr, test.silentReaders)
	if test.killed {
		require.Error(t, site.router.stop(t, syscall.SIGKILL))
		site.router.start(t)
	}
	end := time.Now().Add(pauseBegin + max(test.pause, test.stopped) + afterPauseTime)
	if test.bytesPerSec > 0 {
		end = end.Add(slowReadTime)
	}
	var clients []*pausingClient
	var playing sync.WaitGroup
	for i := range test.clients {
		gate := &readGate{bytesPerSec: test.bytesPerSec}
		c, err := test.dial(t, site.router.addr, gate, i%2 == 0)
		require.NoError(t, err)
		clients = append(clients, c)
		random := rand.New(rand.NewPCG(uint64(i), 81)) //nolint:gosec // it has to be repeatable
		playing.Go(func() { c.play(random, test.objects, end) })
	}
	var memory memoryRecord
	memory.sample(t, site.router, pauseBegin)
	for _, c := range clients {
		c.pause(test.pause)
	}
	if test.stopped > 0 {
		stopProcess(t, site.router, test.stopped)
	}
	memory.sample(t, site.router, time.Until(end))
	playing.Wait()
	for _, c := range clients {
		assert.Empty(t, c.lostRequests(startedAt))
		_ = c.conn.Close()
	}
	assert.Less(t, memory.peak(), float64(test.memoryMB), "anonymous memory in MB")
}

// dial connects a client, if the case says so through a relay.
func (test pausedReaderCase) dial(t *testing.T, addr string, gate *readGate, stopsInput bool) (*pausingClient, error) {
	t.Helper()
	if !test.relayed {
		return dialPausing(t, addr, test.receiveBuffer, gate, nil)
	}
	end := &connectionEnd{}
	r, relayAddr := startRelay(t, addr, test.relayDelay, end)
	c, err := dialPausing(t, relayAddr, test.receiveBuffer, gate, end)
	if err == nil && stopsInput {
		c.gates = append(c.gates, r.toClient)
	} else if err == nil {
		c.gates = append(c.gates, r.toRouter)
	}
	return c, err
}

// stopProcess stops a router's process for a time.
func stopProcess(t *testing.T, router *routerProcess, d time.Duration) {
	t.Helper()
	require.NoError(t, router.Process.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(t, router.Process.Signal(syscall.SIGCONT))
}
