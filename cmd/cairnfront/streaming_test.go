package main

import (
	"flag"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The streaming soak draws its loads from seeds.
var (
	streamingSeeds     = flag.Int("streaming-seeds", 0, "number of loads of the streaming soak")
	streamingFirstSeed = flag.Uint64("streaming-first-seed", 1, "seed of the first load of the streaming soak")
)

const (
	silentAfter     = 1500 * time.Millisecond // the zone is lost, from the start
	silentTime      = 5 * time.Second
	streamingTail   = 1500 * time.Millisecond // the load goes on after the zone is back
	restartAfter    = 1500 * time.Millisecond // SIGTERM, from the start
	killAfter       = 3700 * time.Millisecond // SIGKILL at the protocol's earliest, from SIGTERM
	maxListedFaults = 5
)

// largestBlocks is a client that takes the largest objects at the slowest pace of the protocol.
var largestBlocks = streamingLoad{
	clients: 1, blocks: 26, blockBytes: largeObjectBytes, claimsSize: true, bytesPerSec: 5_200_000,
	receiveBuffer: 128 << 10, blockTTL: 5 * time.Second, recordTTL: 3 * time.Second, recordBytes: 10,
	memoryMB: 192, cores: 1,
}

// Guards against requests whose time counts from when they are read, behind seconds of large responses, and which
// are answered too late as a zone is lost.
func TestRequestBehindLargeResponsesIsAnsweredInTime(t *testing.T) {
	requireStreaming(t)
	verifyStreaming(t, playZoneLoss(t, largestBlocks))
}

// Guards against a planned restart that ends with requests unanswered, as their answers stand behind large bodies and
// the last requests are not read.
func TestPlannedRestartAnswersBehindLargeResponses(t *testing.T) {
	requireStreaming(t)
	verifyStreaming(t, playPlannedRestart(t, largestBlocks))
}

// Guards against requests that are read seconds after they were sent, and answered too late or sent on with a deadline
// that has passed, behind others of their connection that wait for memory or are refused for want of it.
func TestPipelinedWritesAreAnsweredInTime(t *testing.T) {
	requireStreaming(t)
	for _, load := range []streamingLoad{
		{clients: 1, recordTTL: 600 * time.Millisecond, memoryMB: 32, cores: 8},
		{clients: 20, recordTTL: 1500 * time.Millisecond, memoryMB: 32, cores: 1},
		{clients: 8, recordTTL: 600 * time.Millisecond, memoryMB: 64, cores: 1},
	} {
		load.recordBytes, load.bytesPerSec = largestRecordBytes, 12_000_000
		verifyStreaming(t, playPipelinedWrites(t, load))
	}
}

// Plays loads that are drawn from seeds, each through the loss of a zone and a planned restart.
func TestStreamingSoak(t *testing.T) {
	requireStreaming(t)
	for seed := *streamingFirstSeed; seed < *streamingFirstSeed+uint64(*streamingSeeds); seed++ {
		load := drawStreamingLoad(seed)
		t.Logf("seed %d: %v", seed, load)
		verifyStreaming(t, playZoneLoss(t, load))
		verifyStreaming(t, playPlannedRestart(t, load))
	}
}

// requireStreaming skips a test that judges times of tens of milliseconds, unless it runs alone.
func requireStreaming(t *testing.T) {
	t.Helper()
	if *streamingSeeds == 0 {
		t.Skip("runs alone, with -streaming-seeds")
	}
}

func verifyStreaming(t *testing.T, v *streamingVerdict) {
	t.Helper()
	t.Log(v)
	for _, fault := range v.broken[:min(len(v.broken), maxListedFaults)] {
		t.Log(fault)
	}
	assert.Empty(t, v.broken[:min(len(v.broken), maxListedFaults)], "requests for which a rule did not hold")
}

// playZoneLoss plays a load while the caches are silent for some seconds.
func playZoneLoss(t *testing.T, load streamingLoad) *streamingVerdict {
	t.Helper()
	site := startStreamingSite(t, load)
	start := time.Now()
	silence := time.AfterFunc(silentAfter, func() { site.setSilent(true) })
	defer silence.Stop()
	end := time.AfterFunc(silentAfter+silentTime, func() { site.setSilent(false) })
	defer end.Stop()
	clients := site.playClients(t, load, (*streamingClient).play, start.Add(silentAfter+silentTime+streamingTail), nil)
	time.Sleep(max(load.blockTTL, load.recordTTL) + lostAfter)
	v := site.judgeAll(clients)
	require.NoError(t, site.router.stop(t, syscall.SIGTERM))
	return v
}

// playPipelinedWrites sends as many records as the protocol allows, and further ones as soon as one is answered, while
// the caches are silent.
func playPipelinedWrites(t *testing.T, load streamingLoad) *streamingVerdict {
	t.Helper()
	site := startStreamingSite(t, load)
	site.setSilent(true)
	end := time.Now().Add(2*load.recordTTL + time.Second)
	clients := site.playClients(t, load, (*streamingClient).playRecords, end, nil)
	time.Sleep(load.recordTTL + lostAfter)
	v := site.judgeAll(clients)
	require.NoError(t, site.router.stop(t, syscall.SIGTERM))
	return v
}

// playPlannedRestart ends the router while the clients go on until SIGKILL.
func playPlannedRestart(t *testing.T, load streamingLoad) *streamingVerdict {
	t.Helper()
	site := startStreamingSite(t, load)
	killAt := time.Now().Add(restartAfter + killAfter)
	site.router.stopping = true
	clients := site.playClients(t, load, (*streamingClient).play, killAt, func() {
		time.Sleep(restartAfter)
		assert.NoError(t, site.router.Process.Signal(syscall.SIGTERM))
	})
	time.Sleep(time.Until(killAt))
	select {
	case err := <-site.router.exited:
		require.NoError(t, err)
	default:
		assert.Fail(t, "the router has not ended by itself")
		_ = site.router.Process.Kill()
		require.Error(t, <-site.router.exited)
	}
	time.Sleep(time.Second) // the clients read what they were sent
	return site.judgeAll(clients)
}

// playClients lets clients play until a time, and meanwhile runs a function that may be nil.
func (s *streamingSite) playClients(
	t *testing.T, load streamingLoad, play func(c *streamingClient, end time.Time), end time.Time, meanwhile func(),
) []*streamingClient {
	t.Helper()
	var clients []*streamingClient
	var playing sync.WaitGroup
	for range load.clients {
		c, err := dialStreaming(s.router.addr, load)
		require.NoError(t, err)
		clients = append(clients, c)
		playing.Go(func() { play(c, end) })
	}
	if meanwhile != nil {
		meanwhile()
	}
	playing.Wait()
	return clients
}
