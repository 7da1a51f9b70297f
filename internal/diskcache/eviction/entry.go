package eviction

// gapWeight is the weight of the newest gap in the mean (Eq. 8; the paper's value in all experiments).
const gapWeight = 0.25

// EntryBytes is the approximate memory that a cached or remembered chunk takes: the entry and its places in the map,
// the tree and its object's list.
const EntryBytes = 208

// entry is a cached chunk, or a ghost: a chunk that is not cached and whose access history is remembered.
type entry struct {
	key        Key
	size       int64   // bytes
	meanGap    float64 // seconds between requests, as of the last one
	lastAccess float64 // Unix seconds
	rank       float64 // order by gap; the order is the same at any time (Theorem 1)
	cached     bool
	prev       *entry // in the list of ghosts, by last access
	next       *entry
}

// gap is the mean gap as of now, in seconds.
func (e *entry) gap(now float64) float64 {
	return gapWeight*(now-e.lastAccess) + (1-gapWeight)*e.meanGap
}

func (e *entry) updateRank() { e.rank = gapWeight*e.lastAccess - (1-gapWeight)*e.meanGap }

// byRank orders entries by descending gap.
func byRank(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.key.Compare(b.key) < 0
}

// entryList is a doubly linked list of entries, least recently used first. It has to be initialized with init.
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

// front returns the least recently used entry, nil if the list is empty.
func (l *entryList) front() *entry {
	if l.count == 0 {
		return nil
	}
	return l.root.next
}
