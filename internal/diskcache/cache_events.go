package diskcache

import (
	"context"
	"time"

	"cairnfront/internal/diskcache/validity"
)

// inFlightTime bounds the age of a copy that may still arrive: the purges of that time are not forgotten. It is an hour
// on the way, and an hour by which this machine's wall clock may have been ahead at the start.
const inFlightTime = 2 * time.Hour

// Evaluate says how a copy may be used now, wherever it is stored.
func (c *Cache) Evaluate(copied validity.Copy) validity.Verdict {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.Evaluate(c.now().UnixMillis(), copied)
}

func (c *Cache) purged(m Meta) bool {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return purged(c.tracker, m)
}

// Epoch returns the present epoch, see validity.Tracker.Epoch.
func (c *Cache) Epoch() uint16 {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.Epoch()
}

// ResumeAfter returns the number after which events have to be requested, see validity.Tracker.ResumeAfter.
func (c *Cache) ResumeAfter() uint64 {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.ResumeAfter()
}

// Position returns the number of the last event applied, see validity.Tracker.Position.
func (c *Cache) Position() (number uint64, continuous bool) {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	return c.tracker.Position()
}

// StreamOpened records that a new connection to the event stream was opened.
func (c *Cache) StreamOpened() {
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	c.tracker.StreamOpened()
}

// Apply applies an event, see validity.Tracker.Apply. It takes effect at once and is written in the background, in
// order. What was not written before a crash is requested again after it.
func (c *Cache) Apply(event validity.Event) (reconnect bool) {
	lastSeq := c.store.LastSeq()
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	records, reconnect := c.tracker.Apply(c.now().UnixMillis(), lastSeq, event)
	c.purgeRecords.enqueue(records) // under the lock: the order is that of the events
	return reconnect
}

// Flush waits until every event applied is on the disk, or the context ends.
func (c *Cache) Flush(ctx context.Context) error { return c.purgeRecords.flush(ctx) }

// purgeRecordLoop writes purge records, as many at once as wait.
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
			case <-time.After(retryPause):
			}
		}
	}
}

// writePendingRecords writes the records that wait and reports whether none is left.
func (c *Cache) writePendingRecords() (empty bool) {
	records, rewrite := c.purgeRecords.take()
	var err error
	if rewrite {
		err = c.store.RewritePurgeLog(c.shortestLog)
	} else if len(records) > 0 {
		err = c.store.AppendPurgeRecords(records)
	}
	return c.purgeRecords.finish(records, rewrite, err)
}

// shortestLog returns the shortest list of records that restores the tracker.
func (c *Cache) shortestLog() []validity.Record {
	now, oldest := c.now(), c.store.OldestIssuedAt()
	c.trackerMu.Lock()
	defer c.trackerMu.Unlock()
	c.tracker.PrunePurges(min(oldest, now.Add(-inFlightTime).UnixMillis()))
	return c.tracker.Records(now.UnixMillis())
}
