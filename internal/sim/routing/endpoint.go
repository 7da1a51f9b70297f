package routing

import (
	"cmp"
	"maps"
	"slices"

	"cairnfront/routing"
)

type chunkKey struct{ object, chunk int }

// compare orders keys by object, then by chunk.
func (k chunkKey) compare(other chunkKey) int {
	return cmp.Or(cmp.Compare(k.object, other.object), cmp.Compare(k.chunk, other.chunk))
}

type cachedChunk struct {
	key      chunkKey
	rank     int // lower ranks are evicted first
	lastUsed float64
	sizeKB   float64
}

// endpoint models an edge cache, a parent cache, the origin or a network link by its capacity.
type endpoint struct {
	id           routing.EndpointID
	kind         int
	capacity     float64 // number of concurrent transfers at full rate
	inFlight     float64
	sizeKB       float64
	cachedKB     float64
	cached       map[chunkKey]*cachedChunk
	filling      map[chunkKey][]func(filled bool) // callbacks of attempts that wait for a running fill
	unresponsive bool                             // the endpoint answers nothing
	failing      bool                             // the endpoint answers every attempt with an error
}

// beginTransfer starts a transfer and returns its duration in seconds, which grows with the transfers in flight.
func (e *endpoint) beginTransfer(sizeKB float64) float64 {
	e.inFlight++
	return sizeKB / transferKBPerS * max(1, e.inFlight/e.capacity)
}

func (e *endpoint) endTransfer() { e.inFlight-- }

func (e *endpoint) rejectsAttempts() bool { return e.inFlight >= rejectLoadFactor*e.capacity }

// store caches a copy of a chunk unless its rank is 0, and evicts other copies if the cache is full.
func (e *endpoint) store(key chunkKey, rank int, now, sizeKB float64) {
	if rank == 0 {
		return
	}
	if cachedCopy := e.cached[key]; cachedCopy != nil {
		cachedCopy.rank, cachedCopy.lastUsed = rank, now
		return
	}
	e.cached[key] = &cachedChunk{
		key:      key,
		rank:     rank,
		lastUsed: now,
		sizeKB:   sizeKB,
	}
	e.cachedKB += sizeKB
	for e.cachedKB > e.sizeKB {
		e.removeCopy(e.evictionCandidate())
	}
}

func (e *endpoint) removeCopy(cachedCopy *cachedChunk) {
	e.cachedKB -= cachedCopy.sizeKB
	delete(e.cached, cachedCopy.key)
}

// purge removes the copies of an object group in the order of their keys. The order matters because it affects the last
// bits of the floating-point sum of sizes.
func (e *endpoint) purge(group int) {
	for _, key := range slices.SortedFunc(maps.Keys(e.cached), chunkKey.compare) {
		if key.object%objectGroups == group {
			e.removeCopy(e.cached[key])
		}
	}
}

// evictionCandidate returns the copy with the lowest rank and, among copies of equal rank, the least recently used one.
func (e *endpoint) evictionCandidate() *cachedChunk {
	var next *cachedChunk
	for _, cachedCopy := range e.cached {
		if next == nil || cachedCopy.evictedBefore(next) {
			next = cachedCopy
		}
	}
	return next
}

func (c *cachedChunk) evictedBefore(other *cachedChunk) bool {
	switch {
	case c.rank != other.rank:
		return c.rank < other.rank
	case c.lastUsed != other.lastUsed:
		return c.lastUsed < other.lastUsed
	}
	return c.key.compare(other.key) < 0
}

// restartEmpty ends an outage of the endpoint, which comes back with an empty cache.
func (e *endpoint) restartEmpty() {
	e.unresponsive = false
	e.cached = map[chunkKey]*cachedChunk{}
	e.cachedKB = 0
}
