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

// findOrAddChunk returns the chunk of the object with the index, and adds it if it is not known.
func (o *object) findOrAddChunk(index int) *chunk {
	at, found := slices.BinarySearchFunc(o.chunks, index, func(c *chunk, index int) int {
		return cmp.Compare(c.index, index)
	})
	if !found {
		o.chunks = slices.Insert(o.chunks, at, &chunk{index: index})
	}
	return o.chunks[at]
}
