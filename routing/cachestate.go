package routing

import (
	"cmp"
	"slices"
)

// cachedChunk is the record of a chunk that, according to earlier answers, a cache has stored.
type cachedChunk struct {
	chunk      *chunk
	sizeKB     float64
	gapKey     float64 // sort key by request gap, see chunk.gapKey
	lastUsedAt float64
	filledAt   float64
	sequence   uint64 // order among equal gap keys
}

func compareGapKeys(a, b *cachedChunk) int {
	return cmp.Or(cmp.Compare(a.gapKey, b.gapKey), cmp.Compare(a.sequence, b.sequence))
}

// addCached adds a chunk to the known contents of a cache, in order of its request gap.
func (e *endpoint) addCached(c *cachedChunk, gapKey float64) {
	c.gapKey = gapKey
	at, _ := slices.BinarySearchFunc(e.byGap, c, compareGapKeys)
	e.byGap = slices.Insert(e.byGap, at, c)
	if e.cached[c.chunk] == nil {
		c.chunk.addCache(e)
	}
	e.cached[c.chunk] = c
}

// addCache records that a cache has the chunk.
func (c *chunk) addCache(e *endpoint) {
	if at, found := slices.BinarySearchFunc(c.cachedBy, e.ID, compareIDs); !found {
		c.cachedBy = slices.Insert(c.cachedBy, at, e)
	}
}

// removeCache records that a cache does not have the chunk.
func (c *chunk) removeCache(e *endpoint) {
	if at, found := slices.BinarySearchFunc(c.cachedBy, e.ID, compareIDs); found {
		c.cachedBy = slices.Delete(c.cachedBy, at, at+1)
	}
}

// clearCached clears the known contents of a cache.
func (e *endpoint) clearCached() {
	for c := range e.cached {
		c.removeCache(e)
	}
	clear(e.cached)
	e.byGap = nil
}

// removeCached removes a chunk from the order of request gaps, and from the known contents of the cache if evicted is
// set.
func (e *endpoint) removeCached(c *chunk, evicted bool) {
	cachedCopy := e.cached[c]
	if cachedCopy == nil {
		return
	}
	if at, found := slices.BinarySearchFunc(e.byGap, cachedCopy, compareGapKeys); found {
		e.byGap = slices.Delete(e.byGap, at, at+1)
	}
	if evicted {
		delete(e.cached, c)
		c.removeCache(e)
	}
}

// setGap records a request for a chunk and its mean request gap, and updates its position in the caches' orders.
func (r *Router) setGap(c *chunk, gap float64) {
	for _, e := range c.cachedBy {
		e.removeCached(c, false)
	}
	c.requested, c.averageGapSeconds, c.lastRequestAt = true, gap, r.now
	for _, e := range c.cachedBy {
		e.addCached(e.cached[c], c.gapKey())
	}
}

// addCopy adds a chunk to the known contents of a cache as of now.
func (r *Router) addCopy(cache *endpoint, c *chunk) *cachedChunk {
	r.sequence++
	cachedCopy := &cachedChunk{chunk: c, sequence: r.sequence, filledAt: r.now}
	cache.addCached(cachedCopy, c.gapKey())
	return cachedCopy
}

// dropCached removes all chunks of an object from the known contents of the caches.
func (o *object) dropCached() {
	for _, c := range o.chunks {
		c.dropCached()
	}
}

// dropCached removes a chunk from the known contents of the caches.
func (c *chunk) dropCached() {
	c.filledSincePurge = false
	for len(c.cachedBy) > 0 {
		c.cachedBy[len(c.cachedBy)-1].removeCached(c, true)
	}
}
