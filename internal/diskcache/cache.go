package diskcache

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/telemetry"

	"golang.org/x/sync/errgroup"
)

// Config configures a Cache. The values come from the configuration file.
type Config struct {
	SpaceBytes         int64 // maximum total size of all segments
	SegmentBytes       int64
	Alpha              float64 // relative cost of a cache fill, see eviction.Config
	DailyWriteBytes    int64   // write limit per day; 0 means no limit
	MaxUncachedEntries int     // maximum number of uncached chunks whose access history is retained
	MaxPurges          int     // maximum number of purged objects that are remembered
	Readers            int
	ReadQueue          int           // maximum number of queued reads
	ReadTimeout        time.Duration // a slower read counts as a cache miss
	WriteQueue         int           // maximum number of chunks queued for writing
	SyncInterval       time.Duration
	SnapshotInterval   time.Duration // 0 disables periodic snapshots
}

const (
	// liveSpaceShare is the share of the space for live chunks. The rest holds dead records until they are compacted.
	liveSpaceShare = 0.85
	// restoredMeanGapSeconds is the mean time between requests assumed for a chunk whose access history was lost in a
	// crash. It is short enough that the chunk is not evicted immediately.
	restoredMeanGapSeconds = 600
	// writeRetryDelay is the delay after a failed write before the next write.
	writeRetryDelay = time.Second
)

// Counter increments telemetry counters.
type Counter interface {
	Inc(c telemetry.Counter)
	IncBy(c telemetry.Counter, n int64)
}

// Cache is the disk cache as used by the request path. Only Close waits for the disk without a time limit. It is safe
// for concurrent use.
type Cache struct {
	config  Config
	store   *Store
	counter Counter
	log     *slog.Logger
	now     func() clock.Instant

	policyMu sync.Mutex
	policy   *eviction.Cafe

	trackerMu sync.Mutex
	tracker   *validity.Tracker

	reads  chan *readRequest
	writes chan writeRequest

	purgeRecords purgeQueue

	writesPausedUntil atomic.Int64 // a clock.Instant; no chunk is admitted before it
}

// OpenCache opens a cache folder and recovers its index. Queued reads and writes are executed only once Run is called.
func OpenCache(fs vfs.FS, config Config, counter Counter, log *slog.Logger) (*Cache, RecoveryReport, error) {
	config.Readers = max(config.Readers, 1)
	config.ReadQueue = max(config.ReadQueue, 1)
	config.WriteQueue = max(config.WriteQueue, 1)
	c := &Cache{
		config:  config,
		counter: counter,
		log:     log,
		now:     clock.Now,
		tracker: validity.NewTracker(config.MaxPurges),
		policy: eviction.NewCafe(eviction.Config{
			Alpha:              config.Alpha,
			CapacityBytes:      int64(float64(config.SpaceBytes) * liveSpaceShare),
			MaxUncachedEntries: config.MaxUncachedEntries,
			DailyWriteBytes:    config.DailyWriteBytes,
		}),
		reads:  make(chan *readRequest, config.ReadQueue),
		writes: make(chan writeRequest, config.WriteQueue),
	}
	c.purgeRecords.init()
	store, report, err := OpenStore(fs, StoreOptions{SegmentBytes: config.SegmentBytes}, true, c.reportFault)
	if err != nil {
		return nil, report, err
	}
	c.store = store
	now := c.now()
	c.purgeRecords.enqueue(c.tracker.Restore(report.Records, store.LastSeq(), now.UnixMillis()))
	c.restorePolicy(report.AccessHistories, now.Seconds())
	report.AccessHistories, report.Records = nil, nil
	return c, report, nil
}

// restorePolicy adds all chunks on the disk to the eviction policy. A chunk without an access history is treated as
// requested now.
func (c *Cache) restorePolicy(known map[eviction.Key]eviction.AccessHistory, now float64) {
	type stored struct {
		key  eviction.Key
		size int64
	}
	var all []stored
	c.store.Each(func(key eviction.Key, size int64, _ uint8) bool {
		all = append(all, stored{key, size})
		return true
	})
	for _, chunk := range all {
		history, ok := known[chunk.key]
		if !ok || history.LastAccess > now {
			history = eviction.AccessHistory{MeanGap: restoredMeanGapSeconds, LastAccess: now}
		}
		for _, evicted := range c.policy.Restore(chunk.key, chunk.size, history) {
			c.store.Delete(evicted)
		}
	}
}

func (c *Cache) reportFault(fault StoreError) {
	c.counter.Inc(telemetry.DiskFaults.With(fault.Code))
	c.log.Warn("disk cache fault",
		"reason", fault.Code.String(),
		"file", fault.File,
		"offset", fault.Offset,
		"error", fault.Err.Error())
}

// Run starts the goroutines that read, write and maintain the folder. It returns when the context is cancelled and all
// of them have ended.
func (c *Cache) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	start := func(loop func(context.Context)) {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	for range c.config.Readers {
		start(c.readLoop)
	}
	start(c.writeLoop)
	start(c.purgeRecordLoop)
	start(c.maintenanceLoop)
	return g.Wait()
}

// Close writes the queued chunks, the queued purge records and a snapshot, then releases the folder. Run must have
// returned before.
func (c *Cache) Close() error {
	for len(c.writes) > 0 {
		c.write(<-c.writes)
	}
	c.writePendingRecords()
	c.writeSnapshot()
	return c.store.Close()
}

// Status describes the state of a Cache for operators.
type Status struct {
	validity.Status
	Chunks          int
	LiveBytes       int64
	DiskBytes       int64
	WriteBudget     float64 // bytes that may be written now
	UncachedEntries int     // uncached chunks whose access history is retained
	IndexBytes      int64
	PendingRecords  int // purge records queued for writing
	PendingWrites   int // chunks queued for writing
}

// Status returns the current state.
func (c *Cache) Status() Status {
	now := c.now()
	var s Status
	c.trackerMu.Lock()
	s.Status = c.tracker.Status(now.UnixMillis())
	c.trackerMu.Unlock()
	s.Chunks = c.store.Chunks()
	s.LiveBytes, s.DiskBytes = c.store.Sizes()
	c.policyMu.Lock()
	s.WriteBudget = c.policy.WriteBudget(now.Seconds())
	s.UncachedEntries = c.policy.UncachedEntries()
	c.policyMu.Unlock()
	s.IndexBytes = int64(s.Chunks) * IndexBytesPerChunk
	s.PendingRecords = c.purgeRecords.count()
	s.PendingWrites = len(c.writes)
	return s
}
