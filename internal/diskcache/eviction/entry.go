package eviction

// gapWeight is the weight of the newest gap between requests in the moving average (Eq. 8 of the paper, with the value
// of all its experiments).
const gapWeight = 0.25

// EntryBytes is the approximate memory per entry in bytes: the entry itself and its references in the map, the tree and
// the list of its object.
const EntryBytes = 208

// entry is the access history of a chunk. Entries of uncached chunks are known as ghost entries in the literature.
type entry struct {
	key        Key
	size       int64   // bytes
	meanGap    float64 // moving average of the seconds between requests, as of the last request
	lastAccess float64 // Unix seconds
	sortKey    float64 // in ascending order of it, entries have descending gaps at any time (Theorem 1 of the paper)
	cached     bool
	prev       *entry // neighbours in the entryList that contains the entry, nil if there is none
	next       *entry
}

// gap returns the mean gap between requests as of now, in seconds.
func (e *entry) gap(now float64) float64 {
	return gapWeight*(now-e.lastAccess) + (1-gapWeight)*e.meanGap
}

func (e *entry) updateSortKey() { e.sortKey = gapWeight*e.lastAccess - (1-gapWeight)*e.meanGap }

// byDescendingGap reports whether a has a larger mean gap than b, or the same gap and a smaller key.
func byDescendingGap(a, b *entry) bool {
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.key.Compare(b.key) < 0
}

// entryList is a doubly linked list of entries, least recently used first. Call init before use.
type entryList struct {
	root  entry
	count int
}

func (l *entryList) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *entryList) pushBack(e *entry) {
	e.prev, e.next = l.root.prev, &l.root
	e.prev.next, e.next.prev = e, e
	l.count++
}

func (l *entryList) remove(e *entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	e.prev, e.next = nil, nil
	l.count--
}

// front returns the least recently used entry, or nil if the list is empty.
func (l *entryList) front() *entry {
	if l.count == 0 {
		return nil
	}
	return l.root.next
}
