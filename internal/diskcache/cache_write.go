package diskcache

import (
	"context"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/telemetry"
)

// minSyncInterval is the lower bound of the configured sync interval.
const minSyncInterval = 10 * time.Millisecond

// writeRequest is a chunk queued for writing.
type writeRequest struct {
	meta Meta
	body []byte
}

// Touch records a request served from memory. A chunk that is not on the disk is offered for admission, because the
// policy admits most chunks only after a repeated request.
func (c *Cache) Touch(m Meta, body []byte, epoch uint16) {
	c.policyMu.Lock()
	cached := c.policy.Contains(m.Key)
	if cached {
		c.policy.Request(c.now().Seconds(), m.Key, recordSize(len(m.ETag), len(body)))
	}
	c.policyMu.Unlock()
	if !cached {
		c.Admit(m, body, epoch)
	}
}

// Admit offers a fetched chunk to the eviction policy. An admitted chunk is written in the background. epoch is the
// value of Epoch when the chunk was requested: a copy from an earlier epoch may have missed a purge and is not stored.
// Admit does not wait for the write. It reports whether the chunk was queued for it.
func (c *Cache) Admit(m Meta, body []byte, epoch uint16) (queued bool) {
	if c.Epoch() != epoch || c.writesPaused() {
		return false
	}
	c.Delete(m.Key) // removes an older copy, if any
	size := recordSize(len(m.ETag), len(body))
	c.policyMu.Lock()
	decision := c.policy.Request(c.now().Seconds(), m.Key, size)
	c.policyMu.Unlock()
	for _, key := range decision.Evict {
		c.store.Delete(key)
	}
	if !decision.Admit {
		c.counter.Inc(telemetry.DiskOffersDeclined)
		return false
	}
	select {
	case c.writes <- writeRequest{m, body}:
		return true
	default:
		c.counter.Inc(telemetry.DiskOfferQueueFull)
		c.removeFromPolicy(m.Key)
		return false
	}
}

// writesPaused reports whether a write failed less than writeRetryDelay ago. While a disk is full or broken, every
// write would block and then fail, so no chunks are admitted during this time.
func (c *Cache) writesPaused() bool { return int64(c.now()) < c.writesPausedUntil.Load() }

// Delete removes a chunk from the index and from the eviction policy.
func (c *Cache) Delete(key eviction.Key) {
	c.store.Delete(key)
	c.removeFromPolicy(key)
}

// Confirm records that the upstream confirmed the copy with the given sequence number, on a request sent in epoch.
func (c *Cache) Confirm(key eviction.Key, seq uint64, epoch uint16) { c.store.Confirm(key, seq, epoch) }

func (c *Cache) inPolicy(key eviction.Key) bool {
	c.policyMu.Lock()
	defer c.policyMu.Unlock()
	return c.policy.Contains(key)
}

func (c *Cache) removeFromPolicy(key eviction.Key) {
	c.policyMu.Lock()
	defer c.policyMu.Unlock()
	c.policy.Remove(key)
}

// writeLoop writes admitted chunks and syncs the active segment at the configured interval.
func (c *Cache) writeLoop(ctx context.Context) {
	syncTicker := time.NewTicker(max(c.config.SyncInterval, minSyncInterval))
	defer syncTicker.Stop()
	dirty := false
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-c.writes:
			if c.write(request) {
				dirty = true
			}
		case <-syncTicker.C:
			if dirty {
				c.sync()
			}
			dirty = false
		}
	}
}

func (c *Cache) sync() {
	if err := c.store.Sync(); err != nil {
		c.counter.Inc(telemetry.DiskSyncsFailed)
	}
}

// write writes a chunk unless it was purged or evicted while queued, and reports whether it was written.
func (c *Cache) write(request writeRequest) bool {
	key := request.meta.Key
	if c.purged(request.meta) {
		c.removeFromPolicy(key)
		return false
	}
	if !c.inPolicy(key) {
		return false
	}
	if _, err := c.store.Put(request.meta, request.body); err != nil {
		c.removeFromPolicy(key)
		c.writesPausedUntil.Store(int64(c.now().Add(writeRetryDelay)))
		c.counter.Inc(telemetry.DiskWritesFailed)
		return false
	}
	if !c.inPolicy(key) { // evicted during the write: space must not be used by chunks that the policy does not count
		c.store.Delete(key)
	}
	c.counter.Inc(telemetry.DiskChunksWritten)
	c.counter.IncBy(telemetry.DiskBytesWritten, int64(len(request.body)))
	return true
}
