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

type counts struct {
	mu sync.Mutex
	m  map[string]int64
}

func (c *counts) Inc(counter telemetry.Counter) { c.IncBy(counter, 1) }

func (c *counts) IncBy(counter telemetry.Counter, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]int64{}
	}
	c.m[counter.String()] += n
}

func (c *counts) get(name string) int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.m[name] }

var testConfig = Config{
	SpaceBytes: 1 << 20, SegmentBytes: 16 << 10, Alpha: 1, MaxGhosts: 1000, Readers: 2, ReadQueue: 4,
	ReadTimeout: 50 * time.Millisecond, WriteQueue: 64, SyncInterval: 20 * time.Millisecond,
}

// openStopped opens a cache that does not run.
func openStopped(t *testing.T, fs vfs.FS, config Config, counters *counts) *Cache {
	t.Helper()
	cache, _, err := OpenCache(fs, config, counters, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return cache
}

// running is a cache that runs and has caught up with an event stream of one event.
func running(t *testing.T, fs vfs.FS, config Config) (*Cache, *counts, func()) {
	t.Helper()
	counters := &counts{}
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

func admitted(t *testing.T, cache *Cache, object int, dated int64) {
	t.Helper()
	for range 2 { // the first request is not admitted
		cache.Admit(meta(k(object, 0), dated), body(k(object, 0), dated, 300), cache.Epoch())
	}
	require.Eventually(t, func() bool { return cache.store.Contains(k(object, 0)) }, 5*time.Second, time.Millisecond)
}

// TestRestartKeepsChunksNotPurgedMeanwhile restarts a cache while purges go on. A cache that drops everything at a
// restart is cold when it is needed; one that keeps everything serves purged copies. Those purged meanwhile must be
// invalid, the others valid.
func TestRestartKeepsChunksNotPurgedMeanwhile(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, _, stop := running(t, fs, testConfig)
	for object := range 5 {
		admitted(t, cache, object, 100)
	}
	_, verdict, err := cache.Get(k(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Valid, verdict)
	stop()
	require.NoError(t, cache.Close())

	cache, _, _ = running(t, fs, testConfig)
	cache.Apply(validity.Event{Number: 2, Purge: true, Object: 1, PurgedAt: 150})
	cache.Apply(validity.Event{Number: 3, Purge: true, ByGroup: true, Group: 2, PurgedAt: 150})
	_, _, err = cache.Get(k(1, 0))
	require.ErrorIs(t, err, ErrInvalidated)
	_, _, err = cache.Get(k(2, 0))
	require.ErrorIs(t, err, ErrInvalidated)
	chunk, verdict, err := cache.Get(k(3, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Valid, verdict)
	assert.Equal(t, body(k(3, 0), 100, 300), chunk.Body)
}

// TestFlushedPurgeSurvivesPowerLoss loses the power after a purge was flushed. An acknowledged purge that is
// forgotten has its copy served again. The copy must be invalid after the restart, and the last event must be
// requested again.
func TestFlushedPurgeSurvivesPowerLoss(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	cache, _, stop := running(t, fs, testConfig)
	admitted(t, cache, 1, 100)
	require.NoError(t, cache.store.Sync())
	cache.Apply(validity.Event{Number: 2, Checksum: 9, Purge: true, Object: 1, PurgedAt: 150})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, cache.Flush(ctx))
	fs.PowerLossAfter = 1
	_ = cache.store.Sync()
	stop()
	fs.Restart()
	cache = openStopped(t, fs, testConfig, &counts{})
	assert.Equal(t, validity.Invalidated, cache.Evaluate(validity.Copy{Object: 1, IssuedAt: 100, Seq: 1}))
	assert.Equal(t, uint64(1), cache.ResumeAfter(), "the last event is requested again")
}

// While a disk hangs, reads are misses after their timeout, or at once when the queue is full. Chunks are not stored,
// and purges apply.
func TestHangingDiskCostsOnlyMisses(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, counters, stop := running(t, fs, testConfig)
	for object := range 30 {
		admitted(t, cache, object, 100)
	}
	release := fs.Hang()
	slow, busy := 0, 0
	for object := range 30 {
		_, _, err := cache.Get(k(object, 0))
		switch {
		case errors.Is(err, ErrReadTimeout):
			slow++
		case errors.Is(err, ErrReadQueueFull):
			busy++
		default:
			t.Fatalf("a read from a hanging disk: %v", err)
		}
	}
	assert.LessOrEqual(t, slow, testConfig.Readers+testConfig.ReadQueue)
	assert.Equal(t, 30, slow+busy)
	for object := range 500 {
		for range 2 {
			cache.Admit(meta(k(1000+object, 0), 100), body(k(1000+object, 0), 100, 300), cache.Epoch())
		}
	}
	assert.Positive(t, counters.get("disk_offer_queue_full_total"))
	assert.LessOrEqual(t, len(cache.writes), testConfig.WriteQueue)
	cache.Apply(validity.Event{Number: 2, Purge: true, Object: 3, PurgedAt: 150})
	assert.Equal(
		t,
		validity.Invalidated,
		cache.Evaluate(validity.Copy{Object: 3, IssuedAt: 100, Seq: 1}),
		"purges do not wait for the disk",
	)
	release()
	readable := func() bool {
		_, _, err := cache.Get(k(1, 0))
		return err == nil
	}
	require.Eventually(t, readable, 5*time.Second, time.Millisecond)
	stop()
	require.NoError(t, cache.Close())
}

// TestPurgeAppliesToChunkBeingWritten purges a chunk while a hanging disk holds up its write. The chunk would be on
// the disk after its purge, as if it were newer. It must not be readable.
func TestPurgeAppliesToChunkBeingWritten(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, _, _ := running(t, fs, testConfig)
	release := fs.Hang()
	for range 2 {
		cache.Admit(meta(k(1, 0), 100), body(k(1, 0), 100, 300), cache.Epoch())
	}
	cache.Apply(validity.Event{Number: 2, Purge: true, Object: 1, PurgedAt: 150})
	release()
	admitted(t, cache, 2, 200)
	_, _, err := cache.Get(k(1, 0))
	assert.Error(t, err)
}

// TestFillRequestedInEarlierEpochIsNotStored offers a chunk that was requested before a gap in the events. It may be
// older than a purge that was missed, and with a new sequence number it would count as newer. It must be refused,
// and older copies must be unconfirmed until they are confirmed.
func TestFillRequestedInEarlierEpochIsNotStored(t *testing.T) {
	cache, _, _ := running(t, vfs.NewFaultFS(1), testConfig)
	admitted(t, cache, 1, 100)
	before := cache.Epoch()
	cache.Apply(validity.Event{Number: 9}) // a gap
	assert.False(t, cache.Admit(meta(k(2, 0), 100), body(k(2, 0), 100, 300), before))
	_, verdict, err := cache.Get(k(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Unconfirmed, verdict)
	cache.Confirm(k(1, 0), cache.store.LastSeq(), cache.Epoch())
	_, verdict, _ = cache.Get(k(1, 0))
	assert.Equal(t, validity.Valid, verdict)
}

// TestSpaceStaysWithinBound admits far more than fits. Dead records that are not reclaimed would fill the disk of
// the machine. The folder must stay within its space and one segment.
func TestSpaceStaysWithinBound(t *testing.T) {
	config := testConfig
	config.SpaceBytes = 64 << 10
	cache, _, _ := running(t, vfs.NewFaultFS(1), config)
	for i := range 3000 {
		object := i % 400
		cache.Admit(meta(k(object, 0), 100), body(k(object, 0), 100, 300), cache.Epoch())
		if i%50 == 0 {
			cache.compact(context.Background())
			_, all := cache.store.Sizes()
			require.LessOrEqual(t, all, config.SpaceBytes+config.SegmentBytes, strconv.Itoa(i))
		}
	}
}

// TestFullRecordQueueRewritesPurgeLog sends more purges than may wait for a hanging disk. Purges that are dropped
// from the queue would be forgotten at a restart. The complete log must be written instead.
func TestFullRecordQueueRewritesPurgeLog(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, _, stop := running(t, fs, testConfig)
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
	reopened := openStopped(t, fs, testConfig, &counts{})
	assert.Equal(t, uint64(maxPendingRecords+10), reopened.ResumeAfter())
}

// A chunk that is evicted while it waits for the disk is not written: the policy would not count it.
func TestChunkEvictedWhileWaitingIsNotWritten(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	cache, counters, _ := running(t, fs, testConfig)
	release := fs.Hang()
	for range 2 {
		cache.Admit(meta(k(1, 0), 100), body(k(1, 0), 100, 300), cache.Epoch())
		cache.Admit(meta(k(2, 0), 100), body(k(2, 0), 100, 300), cache.Epoch())
		cache.Admit(meta(k(3, 0), 100), body(k(3, 0), 100, 300), cache.Epoch())
	}
	cache.removeFromPolicy(k(2, 0)) // as if another chunk had displaced it
	release()
	bothWritten := func() bool { return counters.get("disk_chunks_written_total") == 2 }
	require.Eventually(t, bothWritten, 5*time.Second, time.Millisecond)
	assert.False(t, cache.store.Contains(k(2, 0)))
	assert.True(t, cache.store.Contains(k(3, 0)))
}
