package diskcache

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type testCounter struct {
	mu sync.Mutex
	m  map[string]int64
}

func (c *testCounter) Inc(counter telemetry.Counter) { c.IncBy(counter, 1) }

func (c *testCounter) IncBy(counter telemetry.Counter, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]int64{}
	}
	c.m[counter.String()] += n
}

func (c *testCounter) get(name string) int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.m[name] }

var testConfig = Config{
	SpaceBytes: 1 << 20, SegmentBytes: 16 << 10, Alpha: 1, MaxUncachedEntries: 1000, Readers: 2, ReadQueue: 4,
	ReadTimeout: 50 * time.Millisecond, WriteQueue: 64, SyncInterval: 20 * time.Millisecond,
}

// openStopped opens a cache without calling Run.
func openStopped(t *testing.T, fs vfs.FS, config Config, counters *testCounter) *Cache {
	t.Helper()
	cache, _, err := OpenCache(fs, config, counters, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return cache
}

// startCache opens a cache, starts Run and catches up with an event stream of one event. The returned function stops
// Run.
func startCache(t *testing.T, fs vfs.FS, config Config) (*Cache, *testCounter, func()) {
	t.Helper()
	counters := &testCounter{}
	cache := openStopped(t, fs, config, counters)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = cache.Run(ctx); close(done) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	cache.StreamOpened()
	cache.Apply(validity.Event{Number: 1, Checksum: 1})
	cache.Apply(validity.Event{Heartbeat: true})
	return cache, counters, stop
}

func admitAndWait(t *testing.T, cache *Cache, object int, issuedAt int64) {
	t.Helper()
	for range 2 { // the policy does not admit the first request
		cache.Admit(meta(chunkKey(object, 0), issuedAt), body(chunkKey(object, 0), issuedAt, 300), cache.Epoch())
	}
	require.Eventually(
		t, func() bool { return cache.store.Contains(chunkKey(object, 0)) }, 5*time.Second, time.Millisecond)
}

// TestRestartRetainsChunksNotPurged restarts a cache and applies purges that were published while it was down.
// Chunks purged meanwhile must be invalid, so that no purged copy is served. All others must be valid, so that the
// cache is not empty after a restart.
func TestRestartRetainsChunksNotPurged(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, _, stop := startCache(t, fs, testConfig)
	for object := range 5 {
		admitAndWait(t, cache, object, 100)
	}
	_, verdict, err := cache.Get(chunkKey(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Valid, verdict)
	stop()
	require.NoError(t, cache.Close())

	cache, _, _ = startCache(t, fs, testConfig)
	cache.Apply(validity.Event{Number: 2, Purge: true, Object: 1, PurgedAt: 150})
	cache.Apply(validity.Event{Number: 3, Purge: true, ByGroup: true, Group: 2, PurgedAt: 150})
	_, _, err = cache.Get(chunkKey(1, 0))
	require.ErrorIs(t, err, ErrInvalidated)
	_, _, err = cache.Get(chunkKey(2, 0))
	require.ErrorIs(t, err, ErrInvalidated)
	chunk, verdict, err := cache.Get(chunkKey(3, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Valid, verdict)
	assert.Equal(t, body(chunkKey(3, 0), 100, 300), chunk.Body)
}

// TestFlushedPurgeSurvivesPowerLoss simulates a power loss after a purge was flushed. If the acknowledged purge were
// lost, the purged copy would be served again. The copy must be invalid after the restart, and the last event must be
// requested again.
func TestFlushedPurgeSurvivesPowerLoss(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	cache, _, stop := startCache(t, fs, testConfig)
	admitAndWait(t, cache, 1, 100)
	require.NoError(t, cache.store.Sync())
	cache.Apply(validity.Event{Number: 2, Checksum: 9, Purge: true, Object: 1, PurgedAt: 150})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, cache.Flush(ctx))
	fs.PowerLossAfter = 1
	_ = cache.store.Sync()
	stop()
	fs.Restart()
	cache = openStopped(t, fs, testConfig, &testCounter{})
	assert.Equal(t, validity.Invalidated, cache.Evaluate(validity.Copy{Object: 1, IssuedAt: 100, Seq: 1}))
	assert.Equal(t, uint64(1), cache.ResumeAfter(), "the last event must be requested again")
}

// TestHangingDiskCausesOnlyMisses hangs the disk. Reads must fail after their timeout, or at once if the read queue is
// full. New chunks must be declined once the write queue is full, and purges must still take effect.
func TestHangingDiskCausesOnlyMisses(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, counters, stop := startCache(t, fs, testConfig)
	for object := range 30 {
		admitAndWait(t, cache, object, 100)
	}
	release := fs.Hang()
	timedOut, rejected := 0, 0
	for object := range 30 {
		_, _, err := cache.Get(chunkKey(object, 0))
		switch {
		case errors.Is(err, ErrReadTimeout):
			timedOut++
		case errors.Is(err, ErrReadQueueFull):
			rejected++
		default:
			t.Fatalf("unexpected error of a read from a hanging disk: %v", err)
		}
	}
	assert.LessOrEqual(t, timedOut, testConfig.Readers+testConfig.ReadQueue)
	assert.Equal(t, 30, timedOut+rejected)
	for object := range 500 {
		for range 2 {
			cache.Admit(meta(chunkKey(1000+object, 0), 100), body(chunkKey(1000+object, 0), 100, 300), cache.Epoch())
		}
	}
	assert.Positive(t, counters.get("disk_offer_queue_full_total"))
	assert.LessOrEqual(t, len(cache.writes), testConfig.WriteQueue)
	cache.Apply(validity.Event{Number: 2, Purge: true, Object: 3, PurgedAt: 150})
	assert.Equal(
		t,
		validity.Invalidated,
		cache.Evaluate(validity.Copy{Object: 3, IssuedAt: 100, Seq: 1}),
		"purges must not wait for the disk",
	)
	release()
	readable := func() bool {
		_, _, err := cache.Get(chunkKey(1, 0))
		return err == nil
	}
	require.Eventually(t, readable, 5*time.Second, time.Millisecond)
	stop()
	require.NoError(t, cache.Close())
}

// TestPurgeAppliesToChunkBeingWritten purges a chunk while its write is blocked by a hanging disk. The chunk reaches
// the disk after the purge and must not be treated as newer: it must not be readable.
func TestPurgeAppliesToChunkBeingWritten(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, _, _ := startCache(t, fs, testConfig)
	release := fs.Hang()
	for range 2 {
		cache.Admit(meta(chunkKey(1, 0), 100), body(chunkKey(1, 0), 100, 300), cache.Epoch())
	}
	cache.Apply(validity.Event{Number: 2, Purge: true, Object: 1, PurgedAt: 150})
	release()
	admitAndWait(t, cache, 2, 200)
	_, _, err := cache.Get(chunkKey(1, 0))
	assert.Error(t, err)
}

// TestFillRequestedInEarlierEpochIsNotStored offers a chunk that was requested before a gap in the event stream. The
// chunk may be older than a missed purge, and a new sequence number would make it look newer. It must not be admitted,
// and older copies must be unconfirmed until the upstream confirms them.
func TestFillRequestedInEarlierEpochIsNotStored(t *testing.T) {
	cache, _, _ := startCache(t, vfs.NewFaultFS(1), testConfig)
	admitAndWait(t, cache, 1, 100)
	before := cache.Epoch()
	cache.Apply(validity.Event{Number: 9}) // a gap
	assert.False(t, cache.Admit(meta(chunkKey(2, 0), 100), body(chunkKey(2, 0), 100, 300), before))
	_, verdict, err := cache.Get(chunkKey(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Unconfirmed, verdict)
	cache.Confirm(chunkKey(1, 0), cache.store.LastSeq(), cache.Epoch())
	_, verdict, _ = cache.Get(chunkKey(1, 0))
	assert.Equal(t, validity.Valid, verdict)
}

// TestSpaceStaysWithinBound admits far more bytes than fit. If dead records were not reclaimed, they would fill the
// disk of the machine. The folder must never exceed its configured space by more than one segment.
func TestSpaceStaysWithinBound(t *testing.T) {
	config := testConfig
	config.SpaceBytes = 64 << 10
	cache, _, _ := startCache(t, vfs.NewFaultFS(1), config)
	for i := range 3000 {
		object := i % 400
		cache.Admit(meta(chunkKey(object, 0), 100), body(chunkKey(object, 0), 100, 300), cache.Epoch())
		if i%50 == 0 {
			cache.compact(context.Background())
			_, all := cache.store.Sizes()
			require.LessOrEqual(t, all, config.SpaceBytes+config.SegmentBytes, strconv.Itoa(i))
		}
	}
}

// TestFullRecordQueueRewritesPurgeLog applies more purges than the purge queue holds while the disk hangs. Purges
// dropped from the queue would be lost at a restart. The complete log must be rewritten instead.
func TestFullRecordQueueRewritesPurgeLog(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, _, stop := startCache(t, fs, testConfig)
	release := fs.Hang()
	for n := range uint64(maxPendingRecords + 10) {
		cache.Apply(validity.Event{Number: 2 + n, Purge: true, Object: n % 1000, PurgedAt: int64(n)})
	}
	release()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	require.NoError(t, cache.Flush(ctx))
	stop()
	require.NoError(t, cache.Close())
	reopened := openStopped(t, fs, testConfig, &testCounter{})
	assert.Equal(t, uint64(maxPendingRecords+10), reopened.ResumeAfter())
}

// TestChunkEvictedWhileWaitingIsNotWritten evicts a chunk while it is in the write queue. It must not be written,
// because the policy would not count its space.
func TestChunkEvictedWhileWaitingIsNotWritten(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, counters, _ := startCache(t, fs, testConfig)
	release := fs.Hang()
	for range 2 {
		cache.Admit(meta(chunkKey(1, 0), 100), body(chunkKey(1, 0), 100, 300), cache.Epoch())
		cache.Admit(meta(chunkKey(2, 0), 100), body(chunkKey(2, 0), 100, 300), cache.Epoch())
		cache.Admit(meta(chunkKey(3, 0), 100), body(chunkKey(3, 0), 100, 300), cache.Epoch())
	}
	cache.removeFromPolicy(chunkKey(2, 0)) // simulates an eviction by another chunk
	release()
	bothWritten := func() bool { return counters.get("disk_chunks_written_total") == 2 }
	require.Eventually(t, bothWritten, 5*time.Second, time.Millisecond)
	assert.False(t, cache.store.Contains(chunkKey(2, 0)))
	assert.True(t, cache.store.Contains(chunkKey(3, 0)))
}
