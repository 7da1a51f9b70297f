package routing

import (
	"cmp"
	"slices"
)

// chunk is a part of an object that is cached and requested by itself. Its gap is the time between requests for it.
type chunk struct {
	index             int
	averageGapSeconds float64 // as of the last request
	lastRequestAt     float64
	requested         bool
	filledByParent    bool        // since its last purge
	cachedBy          []*endpoint // caches of the zone that are known to have it, by id
}

// object is what is known of a requested object.
type object struct {
	id              string
	group           int
	chunks          []*chunk // by index
	lastRequestAt   float64
	caches, parents hashOrder
}

// findOrAddObject finds an object, or adds it.
func (r *Router) findOrAddObject(id string, group int) *object {
	if r.objects[id] == nil {
		r.objects[id] = &object{id: id, group: group}
	}
	return r.objects[id]
}

// findOrAddChunk finds a chunk of the object, or adds it.
func (o *object) findOrAddChunk(index int) *chunk {
	at, found := slices.BinarySearchFunc(o.chunks, index, func(c *chunk, index int) int {
		return cmp.Compare(c.index, index)
	})
	if !found {
		o.chunks = slices.Insert(o.chunks, at, &chunk{index: index})
	}
	return o.chunks[at]
}
