package diskcache

import (
	"context"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/telemetry"
)

const (
	maintenanceInterval = 500 * time.Millisecond
	checkpointInterval  = 10 * time.Second // between checkpoint records, which hold the clock and stream position
	maxPurgeLogBytes    = 4 << 20          // size above which the purge log is rewritten
)

// maintenanceLoop periodically compacts segments, requests rewrites of a long purge log, and writes checkpoints and
// snapshots.
func (c *Cache) maintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	checkpointAt, snapshotAt := c.now(), c.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.compact(ctx)
		now := c.now()
		if now.Sub(checkpointAt) > checkpointInterval {
			checkpointAt = now
			c.writeCheckpoint(now)
		}
		if c.store.PurgeLogBytes() > maxPurgeLogBytes {
			c.purgeRecords.requestRewrite()
			c.purgeRecords.enqueue([]validity.Record{{Kind: validity.Checkpoint}}) // wakes purgeRecordLoop
		}
		if c.config.SnapshotInterval > 0 && now.Sub(snapshotAt) > c.config.SnapshotInterval {
			snapshotAt = now
			c.writeSnapshot()
		}
	}
}

func (c *Cache) writeCheckpoint(now clock.Instant) {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	c.purgeRecords.enqueue([]validity.Record{c.tracker.Checkpoint(now.UnixMillis())})
}

func (c *Cache) writeSnapshot() {
	err := c.store.WriteSnapshot(func(key eviction.Key) (eviction.AccessHistory, bool) {
		c.policyMu.Lock()
		defer c.policyMu.Unlock()
		return c.policy.History(key)
	})
	if err == nil {
		c.counter.Inc(telemetry.DiskSnapshots)
	}
}

// compact compacts segments until none is below the threshold. Chunks that a purge has invalidated are dropped.
func (c *Cache) compact(ctx context.Context) {
	retain := func(m Meta) bool {
		if c.purged(m) {
			c.removeFromPolicy(m.Key)
			return false
		}
		return true
	}
	for ctx.Err() == nil {
		id, ok := PickCompaction(c.store.SegmentUsage(), c.config.SpaceBytes)
		if !ok {
			return
		}
		result, err := c.store.Compact(id, retain)
		c.counter.IncBy(telemetry.DiskBytesFreed, result.Freed)
		if err != nil {
			c.counter.Inc(telemetry.DiskCompactionsFailed)
			return
		}
		c.counter.Inc(telemetry.DiskSegmentsCompacted)
	}
}
