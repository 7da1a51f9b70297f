// Package eviction implements admission and eviction policies for a disk cache. Production uses [Cafe], an
// implementation of the Cafe Cache of the paper (section 6); [LRU] and [XLRU] are baselines for comparison.
//
// The package owns the set of cached chunks, their access history and the write budget. It does no I/O and reads no
// clock: the caller passes the time to every call. A caller makes one Request per access that is to count as a use of a
// chunk, carries out the decision, and calls [Cafe.Remove] for a chunk that could not be written. The disk cache makes
// a Request for a chunk that is offered to it and for a hit in memory, but not for a chunk served from the disk.
package eviction

import "cmp"

// Key identifies a chunk of an object.
type Key struct {
	Object uint64
	Chunk  uint32
}

// Compare orders keys by object, then by chunk.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Object, other.Object), cmp.Compare(k.Chunk, other.Chunk))
}

// Decision is the result of a request for a chunk.
type Decision struct {
	Cached bool  // the chunk is already cached
	Admit  bool  // the caller must write the chunk, which counts as cached from now on
	Evict  []Key // chunks the caller must delete to make space
}

// Policy is an admission and eviction policy. now is the time in Unix seconds, size the chunk's size in bytes.
type Policy interface {
	Request(now float64, key Key, size int64) Decision
}
