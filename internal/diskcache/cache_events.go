package diskcache

import (
	"context"
	"time"

	"cairnfront/internal/diskcache/validity"
)

// maxTransitTime is the maximum age of a copy that may still arrive; purges of this period are not pruned. It consists
// of one hour in transit and one hour by which this machine's wall clock may have been ahead at the start.
const maxTransitTime = 2 * time.Hour

// Evaluate returns how a copy in memory or on the disk may be used now.
func (c *Cache) Evaluate(evaluated validity.Copy) validity.Verdict {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.Evaluate(c.now().UnixMillis(), evaluated)
}

func (c *Cache) purged(m Meta) bool {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return purged(c.tracker, m)
}

// Epoch returns the current validation epoch, see validity.Tracker.Epoch.
func (c *Cache) Epoch() uint16 {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.Epoch()
}

// ResumeAfter returns the event number to resume the event stream after, see validity.Tracker.ResumeAfter.
func (c *Cache) ResumeAfter() uint64 {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.ResumeAfter()
}

// Position returns the position in the event stream, see validity.Tracker.Position.
func (c *Cache) Position() (number uint64, continuous bool) {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.Position()
}

// StreamOpened records that a new connection to the event stream was opened, see validity.Tracker.StreamOpened.
func (c *Cache) StreamOpened() {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	c.tracker.StreamOpened()
}

// Apply applies an event, see validity.Tracker.Apply. The event takes effect immediately; its record is written in the
// background, in order. Events not written before a crash are requested again after the restart.
func (c *Cache) Apply(event validity.Event) (reconnect bool) {
	lastSeq := c.store.LastSeq()
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	records, reconnect := c.tracker.Apply(c.now().UnixMillis(), lastSeq, event)
	c.purgeRecords.enqueue(records) // under the lock, so that records stay in the order of the events
	return reconnect
}

// Flush waits until the records of all applied events are on the disk, or the context is cancelled.
func (c *Cache) Flush(ctx context.Context) error { return c.purgeRecords.flush(ctx) }

// purgeRecordLoop writes queued purge records to the purge log, all queued records in one write.
func (c *Cache) purgeRecordLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.purgeRecords.ready:
		}
		for !c.writePendingRecords() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(writeRetryDelay):
			}
		}
	}
}

// writePendingRecords writes the queued purge records and reports whether the queue is empty.
func (c *Cache) writePendingRecords() (empty bool) {
	records, rewrite := c.purgeRecords.take()
	var err error
	if rewrite {
		err = c.store.RewritePurgeLog(c.minimalPurgeLog)
	} else if len(records) > 0 {
		err = c.store.AppendPurgeRecords(records)
	}
	return c.purgeRecords.finish(records, rewrite, err)
}

// minimalPurgeLog prunes purges and returns the shortest list of records that restores the tracker's state.
func (c *Cache) minimalPurgeLog() []validity.Record {
	now, oldest := c.now(), c.store.OldestIssuedAt()
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	c.tracker.PrunePurges(min(oldest, now.Add(-maxTransitTime).UnixMillis()))
	return c.tracker.Records(now.UnixMillis())
}
