package routing

import (
	"cmp"
	"slices"
)

// chunk is a part of an object that is requested and cached separately. Its request gap is the time between requests
// for it. The field filledSincePurge is set by a completed attempt that was neither a known hit nor filled by a peer,
// and cleared by a purge.
type chunk struct {
	index             int
	averageGapSeconds float64 // mean request gap as of the last request
	lastRequestAt     float64
	requested         bool
	filledSincePurge  bool        // a parent cache is presumed to have it
	sendSeconds       float64     // duration of the shortest answer without a fill, 0 if there was none
	largestClaimKB    float64     // largest size that a client has claimed
	cachedBy          []*endpoint // caches of the zone known to have it, sorted by ID
	dropped           bool        // no longer tracked; requests that are open still refer to it
}

// object is the state that the router tracks for a requested object.
type object struct {
	id              string
	group           int
	chunks          []*chunk // sorted by index
	lastRequestAt   float64
	caches, parents hashOrder
}

// findOrAddObject returns the object with the ID, and adds it if it is not known.
func (r *Router) findOrAddObject(id string, group int) *object {
	if r.objects[id] == nil {
		r.objects[id] = &object{id: id, group: group}
	}
	return r.objects[id]
}

// findOrAddChunk returns the chunk of an object with the index, and adds it if it is not known. If the object has too
// many chunks, the oldest ones are dropped.
func (r *Router) findOrAddChunk(o *object, index int) *chunk {
	if at, found := o.searchChunk(index); found {
		return o.chunks[at]
	}
	if len(o.chunks) >= maxObjectChunks {
		r.evictOldestChunks(o)
	}
	added := &chunk{index: index}
	at, _ := o.searchChunk(index)
	o.chunks = slices.Insert(o.chunks, at, added)
	r.chunkCount++
	return added
}

// searchChunk returns where the chunk with the index is, or would be, in the object's chunks, and whether it is there.
func (o *object) searchChunk(index int) (at int, found bool) {
	return slices.BinarySearchFunc(o.chunks, index, func(c *chunk, index int) int {
		return cmp.Compare(c.index, index)
	})
}
