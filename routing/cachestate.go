package routing

import (
	"cmp"
	"slices"
)

// cachedChunk is a chunk that answers showed to be at a cache.
type cachedChunk struct {
	chunk      *chunk
	sizeKB     float64
	gapKey     float64 // orders chunks by their gaps, see chunk.gapKey
	lastUsedAt float64
	filledAt   float64
	sequence   uint64 // orders chunks of the same gap key
}

func compareGapKeys(a, b *cachedChunk) int {
	return cmp.Or(cmp.Compare(a.gapKey, b.gapKey), cmp.Compare(a.sequence, b.sequence))
}

// addCached adds a chunk to what is known to be cached, at its place in the order of gaps.
func (e *endpoint) addCached(c *cachedChunk, gapKey float64) {
	c.gapKey = gapKey
	at, _ := slices.BinarySearchFunc(e.byGap, c, compareGapKeys)
	e.byGap = slices.Insert(e.byGap, at, c)
	if e.cached[c.chunk] == nil {
		c.chunk.addCache(e)
	}
	e.cached[c.chunk] = c
}

// addCache notes that a cache has the chunk.
func (c *chunk) addCache(e *endpoint) {
	if at, found := slices.BinarySearchFunc(c.cachedBy, e.ID, compareIDs); !found {
		c.cachedBy = slices.Insert(c.cachedBy, at, e)
	}
}

// removeCache notes that a cache does not have the chunk.
func (c *chunk) removeCache(e *endpoint) {
	if at, found := slices.BinarySearchFunc(c.cachedBy, e.ID, compareIDs); found {
		c.cachedBy = slices.Delete(c.cachedBy, at, at+1)
	}
}

// forgetCached forgets all that is thought cached at an endpoint.
func (e *endpoint) forgetCached() {
	for c := range e.cached {
		c.removeCache(e)
	}
	clear(e.cached)
	e.byGap = nil
}

// removeCached takes a chunk out of the order of gaps and, if it is no longer cached, forgets it.
func (e *endpoint) removeCached(c *chunk, forget bool) {
	copied := e.cached[c]
	if copied == nil {
		return
	}
	if at, found := slices.BinarySearchFunc(e.byGap, copied, compareGapKeys); found {
		e.byGap = slices.Delete(e.byGap, at, at+1)
	}
	if forget {
		delete(e.cached, c)
		c.removeCache(e)
	}
}

// setGap notes a request for a chunk, with its mean gap, and moves the chunk in the caches' orders.
func (r *Router) setGap(c *chunk, gap float64) {
	for _, e := range c.cachedBy {
		e.removeCached(c, false)
	}
	c.requested, c.averageGapSeconds, c.lastRequestAt = true, gap, r.now
	for _, e := range c.cachedBy {
		e.addCached(e.cached[c], c.gapKey())
	}
}

// addCopy adds a chunk to what is known to be at a cache.
func (r *Router) addCopy(cache *endpoint, c *chunk) *cachedChunk {
	r.sequence++
	copied := &cachedChunk{chunk: c, sequence: r.sequence, filledAt: r.now}
	cache.addCached(copied, c.gapKey())
	return copied
}

// dropCached forgets what is thought cached of an object.
func (o *object) dropCached() {
	for _, c := range o.chunks {
		c.filledByParent = false
		for len(c.cachedBy) > 0 {
			c.cachedBy[len(c.cachedBy)-1].removeCached(c, true)
		}
	}
}
