package frontend

import (
	"maps"
	"slices"
)

// maxSparseStreams bounds the used stream ids that are remembered one by one. Beyond it the lower half of them, and all
// ids below those, count as used.
const maxSparseStreams = 4096

// streamWindow knows which stream ids of a connection are used. An id is used once. Clients use ids roughly in
// ascending order, so nearly all used ids lie below nextID.
type streamWindow struct {
	nextID uint32 // lowest id that is not used
	sparse map[uint32]bool
}

func newStreamWindow() streamWindow {
	return streamWindow{
		nextID: 1,
		sparse: map[uint32]bool{},
	}
}

// use marks an id as used and reports whether it was new.
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
