package frontend

import (
	"maps"
	"slices"
)

// maxSparseStreams limits how many used stream IDs above nextID are stored individually. If there are more, the lower
// half of them, and all lower IDs, count as used.
const maxSparseStreams = 256

// streamWindow tracks which stream IDs of a connection are used. Each ID may be used once. Clients use IDs in roughly
// ascending order, so nearly all used IDs are below nextID.
type streamWindow struct {
	nextID uint32 // lowest unused ID; all lower ones count as used
	sparse map[uint32]bool
}

func newStreamWindow() streamWindow {
	return streamWindow{
		nextID: 1,
		sparse: map[uint32]bool{},
	}
}

// use marks an ID as used and reports whether it was unused before.
func (w *streamWindow) use(id uint32) bool {
	if id < w.nextID || w.sparse[id] {
		return false
	}
	w.sparse[id] = true
	if len(w.sparse) > maxSparseStreams {
		sorted := slices.Sorted(maps.Keys(w.sparse))
		w.nextID = sorted[len(sorted)/2]
		maps.DeleteFunc(w.sparse, func(id uint32, _ bool) bool { return id < w.nextID })
	}
	for w.sparse[w.nextID] {
		delete(w.sparse, w.nextID)
		w.nextID++
	}
	return true
}
