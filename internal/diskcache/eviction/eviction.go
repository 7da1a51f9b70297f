// Package eviction decides which chunks a disk admits and which it evicts. The policy that serves is [Cafe], after the
// Cafe Cache of the paper (section 6); [LRU] and [XLRU] are baselines for comparison.
//
// The package owns the set of cached chunks, their access history and the budget of writes. It does no I/O and has no
// clock: every call passes the time in. A caller makes one request per access to a chunk, carries out the decision, and
// reports with [Cafe.Remove] what it could not carry out.
package eviction

import "cmp"

// Key names a chunk of an object.
type Key struct {
	Object uint64
	Chunk  uint32
}

// Compare orders keys by object, then by chunk.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Object, other.Object), cmp.Compare(k.Chunk, other.Chunk))
}

// Decision says what is to be done with a requested chunk.
type Decision struct {
	Cached bool  // it was cached already
	Admit  bool  // it is to be written and counts as cached from now on
	Evict  []Key // chunks to delete for it
}

// Policy is a cache policy. A request passes the time in seconds and the chunk's size in bytes.
type Policy interface {
	Request(now float64, key Key, size int64) Decision
}
