package diskcache

import (
	"context"
	"errors"
	"io"
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

// running is a cache that runs and has caught up with an event stream of one event.
func running(t *testing.T, fs vfs.FS, p Config) (*Cache, *counts, func()) {
	t.Helper()
	c := &counts{}
	x, _, err := OpenCache(fs, p, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = x.Run(ctx); close(done) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	x.StreamOpened()
	x.Apply(validity.Event{Number: 1, Checksum: 1})
	x.Apply(validity.Event{Heartbeat: true})
	return x, c, stop
}

func admitted(t *testing.T, x *Cache, o int, dated int64) {
	t.Helper()
	for range 2 { // the first request is not admitted
		x.Admit(meta(k(o, 0), dated), body(k(o, 0), dated, 300), x.Epoch())
	}
	require.Eventually(t, func() bool { return x.store.Contains(k(o, 0)) }, 5*time.Second, time.Millisecond)
}

// TestRestartKeepsChunksNotPurgedMeanwhile restarts a cache while purges go on. A cache that drops everything at a
// restart is cold when it is needed; one that keeps everything serves purged copies. Those purged meanwhile must be
// invalid, the others valid.
func TestRestartKeepsChunksNotPurgedMeanwhile(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	x, _, stop := running(t, fs, testConfig)
	for o := range 5 {
		admitted(t, x, o, 100)
	}
	_, v, err := x.Get(k(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Valid, v)
	stop()
	require.NoError(t, x.Close())

	x, _, _ = running(t, fs, testConfig)
	x.Apply(validity.Event{Number: 2, Purge: true, Object: 1, PurgedAt: 150})
	x.Apply(validity.Event{Number: 3, Purge: true, ByGroup: true, Group: 2, PurgedAt: 150})
	_, _, err = x.Get(k(1, 0))
	require.ErrorIs(t, err, ErrInvalidated)
	_, _, err = x.Get(k(2, 0))
	require.ErrorIs(t, err, ErrInvalidated)
	p, v, err := x.Get(k(3, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Valid, v)
	assert.Equal(t, body(k(3, 0), 100, 300), p.Body)
}

// TestFlushedPurgeSurvivesPowerLoss loses the power after a purge was flushed. An acknowledged purge that is
// forgotten has its copy served again. The copy must be invalid after the restart, and the last event must be
// requested again.
func TestFlushedPurgeSurvivesPowerLoss(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	x, _, stop := running(t, fs, testConfig)
	admitted(t, x, 1, 100)
	require.NoError(t, x.store.Sync())
	x.Apply(validity.Event{Number: 2, Checksum: 9, Purge: true, Object: 1, PurgedAt: 150})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, x.Flush(ctx))
	fs.PowerLossAfter = 1
	_ = x.store.Sync()
	stop()
	fs.Restart()
	x, _, err := OpenCache(fs, testConfig, &counts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	assert.Equal(t, validity.Invalidated, x.Evaluate(validity.Copy{Object: 1, IssuedAt: 100, Seq: 1}))
	assert.Equal(t, uint64(1), x.ResumeAfter(), "the last event is requested again")
}

// While a disk hangs, reads are misses after their timeout, or at once when the queue is full. Chunks are not stored,
// and purges apply.
func TestHangingDiskCostsOnlyMisses(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	x, c, stop := running(t, fs, testConfig)
	for o := range 30 {
		admitted(t, x, o, 100)
	}
	release := fs.Hang()
	slow, busy := 0, 0
	for o := range 30 {
		_, _, err := x.Get(k(o, 0))
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
	for o := range 500 {
		for range 2 {
			x.Admit(meta(k(1000+o, 0), 100), body(k(1000+o, 0), 100, 300), x.Epoch())
		}
	}
	assert.Positive(t, c.get("disk_offer_queue_full_total"))
	assert.LessOrEqual(t, len(x.writes), testConfig.WriteQueue)
	x.Apply(validity.Event{Number: 2, Purge: true, Object: 3, PurgedAt: 150})
	assert.Equal(
		t,
		validity.Invalidated,
		x.Evaluate(validity.Copy{Object: 3, IssuedAt: 100, Seq: 1}),
		"purges do not wait for the disk",
	)
	release()
	readable := func() bool {
		_, _, err := x.Get(k(1, 0))
		return err == nil
	}
	require.Eventually(t, readable, 5*time.Second, time.Millisecond)
	stop()
	require.NoError(t, x.Close())
}

// TestPurgeAppliesToChunkBeingWritten purges a chunk while a hanging disk holds up its write. The chunk would be on
// the disk after its purge, as if it were newer. It must not be readable.
func TestPurgeAppliesToChunkBeingWritten(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	x, _, _ := running(t, fs, testConfig)
	release := fs.Hang()
	for range 2 {
		x.Admit(meta(k(1, 0), 100), body(k(1, 0), 100, 300), x.Epoch())
	}
	x.Apply(validity.Event{Number: 2, Purge: true, Object: 1, PurgedAt: 150})
	release()
	admitted(t, x, 2, 200)
	_, _, err := x.Get(k(1, 0))
	assert.Error(t, err)
}

// TestFillRequestedInEarlierEpochIsNotStored offers a chunk that was requested before a gap in the events. It may be
// older than a purge that was missed, and with a new sequence number it would count as newer. It must be refused,
// and older copies must be unconfirmed until they are confirmed.
func TestFillRequestedInEarlierEpochIsNotStored(t *testing.T) {
	x, _, _ := running(t, vfs.NewFaultFS(1), testConfig)
	admitted(t, x, 1, 100)
	before := x.Epoch()
	x.Apply(validity.Event{Number: 9}) // a gap
	assert.False(t, x.Admit(meta(k(2, 0), 100), body(k(2, 0), 100, 300), before))
	_, v, err := x.Get(k(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Unconfirmed, v)
	x.Confirm(k(1, 0), x.store.LastSeq(), x.Epoch())
	_, v, _ = x.Get(k(1, 0))
	assert.Equal(t, validity.Valid, v)
}

// TestSpaceStaysWithinBound admits far more than fits. Dead records that are not reclaimed would fill the disk of
// the machine. The folder must stay within its space and one segment.
func TestSpaceStaysWithinBound(t *testing.T) {
	p := testConfig
	p.SpaceBytes = 64 << 10
	x, _, _ := running(t, vfs.NewFaultFS(1), p)
	for i := range 3000 {
		o := i % 400
		x.Admit(meta(k(o, 0), 100), body(k(o, 0), 100, 300), x.Epoch())
		if i%50 == 0 {
			x.compact(context.Background())
			_, all := x.store.Sizes()
			require.LessOrEqual(t, all, p.SpaceBytes+p.SegmentBytes, strconv.Itoa(i))
		}
	}
}

// TestFullRecordQueueRewritesPurgeLog sends more purges than may wait for a hanging disk. Purges that are dropped
// from the queue would be forgotten at a restart. The complete log must be written instead.
func TestFullRecordQueueRewritesPurgeLog(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	x, _, stop := running(t, fs, testConfig)
	release := fs.Hang()
	for n := range uint64(maxPendingRecords + 10) {
		x.Apply(validity.Event{Number: 2 + n, Purge: true, Object: n % 1000, PurgedAt: int64(n)})
	}
	release()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	require.NoError(t, x.Flush(ctx))
	stop()
	require.NoError(t, x.Close())
	y, _, err := OpenCache(fs, testConfig, &counts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	assert.Equal(t, uint64(maxPendingRecords+10), y.ResumeAfter())
}

// A chunk that is evicted while it waits for the disk is not written: the policy would not count it.
func TestChunkEvictedWhileWaitingIsNotWritten(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	x, c, _ := running(t, fs, testConfig)
	release := fs.Hang()
	for range 2 {
		x.Admit(meta(k(1, 0), 100), body(k(1, 0), 100, 300), x.Epoch())
		x.Admit(meta(k(2, 0), 100), body(k(2, 0), 100, 300), x.Epoch())
		x.Admit(meta(k(3, 0), 100), body(k(3, 0), 100, 300), x.Epoch())
	}
	x.removeFromPolicy(k(2, 0)) // as if another chunk had displaced it
	release()
	bothWritten := func() bool { return c.get("disk_chunks_written_total") == 2 }
	require.Eventually(t, bothWritten, 5*time.Second, time.Millisecond)
	assert.False(t, x.store.Contains(k(2, 0)))
	assert.True(t, x.store.Contains(k(3, 0)))
}
