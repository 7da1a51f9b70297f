package routing

import (
	"cmp"
	"maps"
	"slices"

	"cairnfront/routing"
)

type chunkKey struct{ object, chunk int }

// compare orders keys by their object, then by their chunk.
func (k chunkKey) compare(other chunkKey) int {
	return cmp.Or(cmp.Compare(k.object, other.object), cmp.Compare(k.chunk, other.chunk))
}

type cachedChunk struct {
	key      chunkKey
	rank     int // lower ranks are evicted first
	lastUsed float64
	sizeKB   float64
}

// endpoint is a cache, a parent, the origin or a link by its capacity.
type endpoint struct {
	id       routing.EndpointID
	kind     int
	capacity float64 // transfers at full rate
	inFlight float64
	sizeKB   float64
	cachedKB float64
	cached   map[chunkKey]*cachedChunk
	filling  map[chunkKey][]func(filled bool) // attempts that wait for a fill
	lost     bool                             // nothing that is sent to it is answered
	failing  bool                             // what is sent to it is answered with an error
}

// beginTransfer takes a transfer and says how many seconds it lasts; others in flight slow it down.
func (e *endpoint) beginTransfer(sizeKB float64) float64 {
	e.inFlight++
	return sizeKB / transferKBPerS * max(1, e.inFlight/e.capacity)
}

func (e *endpoint) endTransfer() { e.inFlight-- }

func (e *endpoint) refuses() bool { return e.inFlight >= refuseAt*e.capacity }

// store keeps a copy unless its rank is 0, and evicts others for it.
func (e *endpoint) store(key chunkKey, rank int, now, sizeKB float64) {
	if rank == 0 {
		return
	}
	if copied := e.cached[key]; copied != nil {
		copied.rank, copied.lastUsed = rank, now
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
		e.drop(e.nextEvicted())
	}
}

func (e *endpoint) drop(copied *cachedChunk) {
	e.cachedKB -= copied.sizeKB
	delete(e.cached, copied.key)
}

// purge drops the copies of an object group, in the order of their keys: the sum of sizes depends on it in its last
// bits.
func (e *endpoint) purge(group int) {
	for _, key := range slices.SortedFunc(maps.Keys(e.cached), chunkKey.compare) {
		if key.object%objectGroups == group {
			e.drop(e.cached[key])
		}
	}
}

// nextEvicted is the copy of the lowest rank, of these the one that was used longest ago.
func (e *endpoint) nextEvicted() *cachedChunk {
	var next *cachedChunk
	for _, copied := range e.cached {
		if next == nil || copied.evictedBefore(next) {
			next = copied
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

// returnEmpty ends an outage. The endpoint has lost its copies.
func (e *endpoint) returnEmpty() {
	e.lost = false
	e.cached = map[chunkKey]*cachedChunk{}
	e.cachedKB = 0
}
