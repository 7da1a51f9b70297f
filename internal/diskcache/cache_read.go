package diskcache

import (
	"context"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/telemetry"
)

// readRequest is a queued read of a chunk.
type readRequest struct {
	key  eviction.Key
	done chan readResult // buffered, so that a reader never blocks on a caller that has timed out
}

type readResult struct {
	chunk Chunk
	err   error
}

// Contains reports whether a chunk is stored, without reading the disk.
func (c *Cache) Contains(key eviction.Key) bool { return c.store.Contains(key) }

// Get reads a chunk and waits for the disk up to the configured timeout. Callers treat every error as a cache miss:
// ErrNotFound, ErrReadQueueFull, ErrReadTimeout, ErrInvalidated or a StoreError. The verdict states whether the copy
// may be served without confirmation by the upstream.
func (c *Cache) Get(key eviction.Key) (Chunk, validity.Verdict, error) {
	if !c.store.Contains(key) {
		return Chunk{}, validity.Invalidated, ErrNotFound
	}
	request := &readRequest{key: key, done: make(chan readResult, 1)}
	select {
	case c.reads <- request:
	default:
		c.counter.Inc(telemetry.DiskReadQueueFull)
		return Chunk{}, validity.Invalidated, ErrReadQueueFull
	}
	timeout := time.NewTimer(c.config.ReadTimeout)
	defer timeout.Stop()
	select {
	case result := <-request.done:
		return c.evaluateRead(key, result)
	case <-timeout.C:
		c.counter.Inc(telemetry.DiskReadsSlow)
		return Chunk{}, validity.Invalidated, ErrReadTimeout
	}
}

// evaluateRead checks the validity of the result of a read. A chunk that is unreadable or purged is removed.
func (c *Cache) evaluateRead(key eviction.Key, result readResult) (Chunk, validity.Verdict, error) {
	if result.err != nil {
		c.removeFromPolicy(key)
		return Chunk{}, validity.Invalidated, result.err
	}
	verdict := c.Evaluate(validity.Copy{
		Object:         key.Object,
		Group:          result.chunk.Group,
		IssuedAt:       result.chunk.IssuedAt,
		Seq:            result.chunk.Seq,
		ConfirmedEpoch: result.chunk.ConfirmedEpoch,
	})
	if verdict == validity.Invalidated {
		c.counter.Inc(telemetry.DiskReadsInvalidated)
		c.Delete(key)
		return Chunk{}, verdict, ErrInvalidated
	}
	c.counter.Inc(telemetry.DiskReadsServed)
	return result.chunk, verdict, nil
}

func (c *Cache) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-c.reads:
			chunk, err := c.store.Get(request.key)
			request.done <- readResult{chunk, err}
		}
	}
}
