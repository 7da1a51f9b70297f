package diskcache

import (
	"context"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/telemetry"
)

// minSyncInterval bounds how often the active segment is synced.
const minSyncInterval = 10 * time.Millisecond

// writeRequest is a chunk that waits to be written.
type writeRequest struct {
	meta Meta
	body []byte
}

// Touch records a request that memory answered. A chunk that the disk lacks is offered for admission: most chunks are
// worth keeping only once they have been requested again.
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

// Admit offers a chunk that was fetched. If the eviction policy admits it, it is written in the background. epoch is
// what Epoch returned when the source was asked: a copy requested before purges may have been missed is not stored.
func (c *Cache) Admit(m Meta, body []byte, epoch uint16) (admitted bool) {
	if c.Epoch() != epoch || c.writesPaused() {
		return false
	}
	c.Delete(m.Key) // an older copy, if any
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

// writesPaused says that a write failed just now. While a disk is full or broken, each further write would fail after a
// wait; chunks are not offered to it for retryPause.
func (c *Cache) writesPaused() bool { return int64(c.now()) < c.writesPausedUntil.Load() }

// Delete removes a chunk.
func (c *Cache) Delete(key eviction.Key) {
	c.store.Delete(key)
	c.removeFromPolicy(key)
}

// Confirm records that a chunk's source has confirmed the copy with that sequence number, requested in that epoch.
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

// writeLoop writes admitted chunks and syncs them at the configured interval.
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

// write writes a chunk unless it was purged or evicted while it waited, and reports whether it did.
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
		c.writesPausedUntil.Store(int64(c.now().Add(retryPause)))
		c.counter.Inc(telemetry.DiskWritesFailed)
		return false
	}
	if !c.inPolicy(key) { // evicted meanwhile: what the policy does not count must not take space
		c.store.Delete(key)
	}
	c.counter.Inc(telemetry.DiskChunksWritten)
	c.counter.IncBy(telemetry.DiskBytesWritten, int64(len(request.body)))
	return true
}
