package diskcache

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type counts struct {
	mu sync.Mutex
	m  map[string]int64
}

func (c *counts) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]int64{}
	}
	c.m[name] += n
}

func (c *counts) get(name string) int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.m[name] }

var plan = Plan{Space: 1 << 20, SegmentBytes: 16 << 10, Alpha: 1, Ghosts: 1000, Readers: 2, ReadQueue: 4,
	ReadWait: 50 * time.Millisecond, WriteQueue: 64, SyncEvery: 20 * time.Millisecond}

// running is a tier that runs, caught up with a board that told one event.
func running(t *testing.T, fs vfs.FS, p Plan) (*Tier, *counts, func()) {
	t.Helper()
	c := &counts{}
	x, _, err := OpenTier(fs, p, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = x.Run(ctx); close(done) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	x.Connected()
	x.Hear(validity.Notice{Number: 1, Sum: 1})
	x.Hear(validity.Notice{Beat: true})
	return x, c, stop
}

func offered(t *testing.T, x *Tier, o, p int, dated int64) {
	t.Helper()
	for range 2 { // a first one is passed
		x.Offer(meta(k(o, p), dated), body(k(o, p), dated, 300), x.Doubts())
	}
	require.Eventually(t, func() bool { return x.store.Has(k(o, p)) }, 5*time.Second, time.Millisecond)
}

func TestTierKeepsThroughAStartWhatWasNotPurgedMeanwhile(t *testing.T) {
	fs := vfs.NewFaulty(1)
	x, _, stop := running(t, fs, plan)
	for o := range 5 {
		offered(t, x, o, 0, 100)
	}
	_, v, err := x.Get(k(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Sound, v)
	stop()
	require.NoError(t, x.Close())

	x, _, _ = running(t, fs, plan)
	x.Hear(validity.Notice{Number: 2, Purge: true, Object: 1, At: 150})
	x.Hear(validity.Notice{Number: 3, Purge: true, All: true, Group: 2, At: 150})
	_, _, err = x.Get(k(1, 0))
	assert.ErrorIs(t, err, ErrVoid)
	_, _, err = x.Get(k(2, 0))
	assert.ErrorIs(t, err, ErrVoid)
	p, v, err := x.Get(k(3, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Sound, v)
	assert.Equal(t, body(k(3, 0), 100, 300), p.Body)
}

func TestAPurgeThatIsSettledOutlastsAPowerCut(t *testing.T) {
	fs := vfs.NewFaulty(3)
	x, _, stop := running(t, fs, plan)
	offered(t, x, 1, 0, 100)
	require.NoError(t, x.store.Sync())
	x.Hear(validity.Notice{Number: 2, Sum: 9, Purge: true, Object: 1, At: 150})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, x.Settle(ctx))
	fs.CutAfter = 1
	_ = x.store.Sync()
	stop()
	fs.Restart()
	x, _, err := OpenTier(fs, plan, &counts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	assert.Equal(t, validity.Void, x.Judge(validity.Copy{Object: 1, Dated: 100, Seq: 1}))
	assert.Equal(t, uint64(1), x.Ask(), "the last one once more")
}

// A disk that hangs: reads are misses within their wait, full queues at once; parts are not kept; purges count.
func TestADiskThatHangsCostsMissesOnly(t *testing.T) {
	fs := vfs.NewFaulty(1)
	x, c, stop := running(t, fs, plan)
	for o := range 30 {
		offered(t, x, o, 0, 100)
	}
	release := fs.Stop()
	slow, busy := 0, 0
	for o := range 30 {
		switch _, _, err := x.Get(k(o, 0)); err {
		case ErrSlow:
			slow++
		case ErrBusy:
			busy++
		default:
			t.Fatalf("a read from a disk that hangs: %v", err)
		}
	}
	assert.LessOrEqual(t, slow, plan.Readers+plan.ReadQueue)
	assert.Equal(t, 30, slow+busy)
	for o := range 500 {
		for range 2 {
			x.Offer(meta(k(1000+o, 0), 100), body(k(1000+o, 0), 100, 300), x.Doubts())
		}
	}
	assert.Greater(t, c.get("tier.offer.queue-full"), int64(0))
	assert.LessOrEqual(t, len(x.writes), plan.WriteQueue)
	x.Hear(validity.Notice{Number: 2, Purge: true, Object: 3, At: 150})
	assert.Equal(t, validity.Void, x.Judge(validity.Copy{Object: 3, Dated: 100, Seq: 1}), "purges don't wait for the disk")
	release()
	require.Eventually(t, func() bool { _, _, err := x.Get(k(1, 0)); return err == nil }, 5*time.Second, time.Millisecond)
	stop()
	require.NoError(t, x.Close())
}

func TestAPurgeMeetsAPartThatIsBeingWritten(t *testing.T) {
	fs := vfs.NewFaulty(1)
	x, _, _ := running(t, fs, plan)
	release := fs.Stop()
	for range 2 {
		x.Offer(meta(k(1, 0), 100), body(k(1, 0), 100, 300), x.Doubts())
	}
	x.Hear(validity.Notice{Number: 2, Purge: true, Object: 1, At: 150})
	release()
	offered(t, x, 2, 0, 200)
	_, _, err := x.Get(k(1, 0))
	assert.Error(t, err)
}

func TestAFillAskedForBeforeADoubtIsNotKept(t *testing.T) {
	x, _, _ := running(t, vfs.NewFaulty(1), plan)
	offered(t, x, 1, 0, 100)
	before := x.Doubts()
	x.Hear(validity.Notice{Number: 9}) // a gap
	assert.False(t, x.Offer(meta(k(2, 0), 100), body(k(2, 0), 100, 300), before))
	_, v, err := x.Get(k(1, 0))
	require.NoError(t, err)
	assert.Equal(t, validity.Probation, v)
	x.Confirmed(k(1, 0), x.store.Top(), x.Doubts())
	_, v, _ = x.Get(k(1, 0))
	assert.Equal(t, validity.Sound, v)
}

func TestSpaceStaysWithinItsBound(t *testing.T) {
	p := plan
	p.Space = 64 << 10
	x, _, _ := running(t, vfs.NewFaulty(1), p)
	for i := range 3000 {
		o := i % 400
		x.Offer(meta(k(o, 0), 100), body(k(o, 0), 100, 300), x.Doubts())
		if i%50 == 0 {
			x.compact(context.Background())
			_, all := x.store.Sizes()
			require.LessOrEqual(t, all, p.Space+p.SegmentBytes, fmt.Sprint(i))
		}
	}
}

func TestAnEndlessWaitOfNoticesIsWrittenAnew(t *testing.T) {
	fs := vfs.NewFaulty(1)
	x, _, stop := running(t, fs, plan)
	release := fs.Stop()
	for n := range uint64(mostNotice + 10) {
		x.Hear(validity.Notice{Number: 2 + n, Purge: true, Object: n % 1000, At: int64(n)})
	}
	release()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	require.NoError(t, x.Settle(ctx))
	stop()
	require.NoError(t, x.Close())
	y, _, err := OpenTier(fs, plan, &counts{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	assert.Equal(t, uint64(mostNotice+10), y.Ask())
}

// A part that is displaced while it waits for the disk is not written: the choice would not count it.
func TestAPartDisplacedWhileItWaitsTakesNoSpace(t *testing.T) {
	fs := vfs.NewFaulty(1)
	x, c, _ := running(t, fs, plan)
	release := fs.Stop()
	for range 2 {
		x.Offer(meta(k(1, 0), 100), body(k(1, 0), 100, 300), x.Doubts())
		x.Offer(meta(k(2, 0), 100), body(k(2, 0), 100, 300), x.Doubts())
		x.Offer(meta(k(3, 0), 100), body(k(3, 0), 100, 300), x.Doubts())
	}
	x.lost(k(2, 0)) // as if another had taken its place
	release()
	require.Eventually(t, func() bool { return c.get("tier.write.parts") == 2 }, 5*time.Second, time.Millisecond)
	assert.False(t, x.store.Has(k(2, 0)))
	assert.True(t, x.store.Has(k(3, 0)))
}
