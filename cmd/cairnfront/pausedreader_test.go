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
	samplingSlack     = 200 * time.Millisecond // a sample of the memory may take so long
	lastReadTime      = 5 * time.Second        // in which clients read what a router left for them
	signalInterval    = 30 * time.Millisecond
	breakOffInterval  = 150 * time.Millisecond // between two resets of a connection by a cache
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
	wholeFrames   bool          // the relays stop between frames
	stopsBothWays bool          // the relays stop both ways

	restarted      bool // the router is terminated in the middle of the pause, and the clients go on until SIGKILL
	cachesBreakOff bool // the caches reset connections all the time
	descriptors    int  // that the router may use, 0 for the usual limit
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
		{
			name: "link that stops within a frame for longer", memoryMB: 192, clients: 4, objects: 4,
			pause: 6500 * time.Millisecond, relayed: true,
		},
		{
			name: "link that stops between frames", memoryMB: 192, clients: 4, objects: 4,
			pause: 6500 * time.Millisecond, relayed: true, wholeFrames: true,
		},
		{
			name: "link that stops both ways", memoryMB: 192, clients: 4, objects: 4, pause: 8 * time.Second,
			relayed: true, stopsBothWays: true,
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
	site := test.startSite(t)
	startSilentReaders(t, site.router.addr, test.silentReaders)
	if test.killed {
		require.Error(t, site.router.stop(t, syscall.SIGKILL))
		site.router.start(t)
	}
	if test.cachesBreakOff {
		breakOffUntilEnd(t, site)
	}
	end := time.Now().Add(test.playTime())
	clients, playing := test.startClients(t, site.router.addr, end)
	var memory memoryRecord
	memory.sample(t, site.router, pauseBegin)
	for _, c := range clients {
		c.pause(test.pause)
	}
	if test.stopped > 0 {
		stopProcess(t, site.router, test.stopped)
	}
	if test.restarted {
		memory.sample(t, site.router, time.Until(end.Add(-killAfter-samplingSlack)))
		terminateInSeries(t, site.router)
	} else {
		memory.sample(t, site.router, time.Until(end))
	}
	playing.Wait()
	for _, c := range clients {
		if test.restarted {
			c.awaitEnd(lastReadTime)
		}
		assert.Empty(t, c.lostRequests(startedAt))
		_ = c.conn.Close()
	}
	assert.Less(t, memory.peak(), float64(test.memoryMB), "anonymous memory in MB")
}

// startSite starts a router with the case's limits.
func (test pausedReaderCase) startSite(t *testing.T) *streamingSite {
	t.Helper()
	load := streamingLoad{
		blockBytes: largeObjectBytes, memoryMB: test.memoryMB, cores: 2, descriptors: test.descriptors,
	}
	return startStreamingSite(t, load)
}

// playTime returns for how long the clients play.
func (test pausedReaderCase) playTime() time.Duration {
	if test.restarted {
		return pauseBegin + test.stopped + test.pause/2 + killAfter + samplingSlack
	}
	d := pauseBegin + max(test.pause, test.stopped) + afterPauseTime
	if test.bytesPerSec > 0 {
		d += slowReadTime
	}
	return d
}

// startClients connects the clients and lets them play until a time.
func (test pausedReaderCase) startClients(
	t *testing.T, addr string, end time.Time,
) (clients []*pausingClient, playing *sync.WaitGroup) {
	t.Helper()
	playing = &sync.WaitGroup{}
	for i := range test.clients {
		gate := &readGate{bytesPerSec: test.bytesPerSec}
		c, err := test.dial(t, addr, gate, i%2 == 0)
		require.NoError(t, err)
		clients = append(clients, c)
		random := rand.New(rand.NewPCG(uint64(i), 81)) //nolint:gosec // it has to be repeatable
		playing.Go(func() { c.play(random, test.objects, end) })
	}
	return clients, playing
}

// dial connects a client, if the case says so through a relay.
func (test pausedReaderCase) dial(t *testing.T, addr string, gate *readGate, stopsInput bool) (*pausingClient, error) {
	t.Helper()
	if !test.relayed {
		return dialPausing(t, addr, test.receiveBuffer, gate, nil)
	}
	end := &connectionEnd{}
	r, relayAddr := startRelay(t, addr, test, end)
	c, err := dialPausing(t, relayAddr, test.receiveBuffer, gate, end)
	if err != nil {
		return nil, err
	}
	if stopsInput || test.stopsBothWays {
		c.gates = append(c.gates, r.toClient)
	}
	if !stopsInput || test.stopsBothWays {
		c.gates = append(c.gates, r.toRouter)
	}
	return c, nil
}

// stopProcess stops a router's process for a time.
func stopProcess(t *testing.T, router *routerProcess, d time.Duration) {
	t.Helper()
	require.NoError(t, router.Process.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(t, router.Process.Signal(syscall.SIGCONT))
}

// breakOffUntilEnd makes the caches reset their connections, one after another, until the end of the test.
func breakOffUntilEnd(t *testing.T, site *streamingSite) {
	t.Helper()
	ticker := time.NewTicker(breakOffInterval)
	stop := make(chan struct{})
	var playing sync.WaitGroup
	playing.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				site.breakOff()
			}
		}
	})
	t.Cleanup(func() {
		ticker.Stop()
		close(stop)
		playing.Wait()
	})
}

// terminateInSeries sends a router SIGTERM and other signals after it, and SIGKILL at the protocol's earliest, before
// which it has to end.
func terminateInSeries(t *testing.T, router *routerProcess) {
	t.Helper()
	router.stopping = true
	kill := time.AfterFunc(killAfter, func() { _ = router.Process.Kill() })
	defer kill.Stop()
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1} {
		//nolint:testifylint // assert: the clients' records are to be verified after a failure too
		assert.NoError(t, router.Process.Signal(signal))
		time.Sleep(signalInterval)
	}
	assert.NoError(t, <-router.exited, "exit 0 before SIGKILL")
}
