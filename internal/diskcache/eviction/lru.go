package eviction

// LRU is a baseline policy that admits every chunk and evicts the least recently used ones.
type LRU struct{ lruCache }

// NewLRU returns an empty LRU with a capacity in bytes.
func NewLRU(capacity int64) *LRU { return &LRU{newLRUCache(capacity)} }

// Request implements Policy.
func (p *LRU) Request(now float64, key Key, size int64) Decision {
	if p.touch(now, key) {
		return Decision{Cached: true}
	}
	return p.add(now, key, size)
}

// lruCache is a set of chunks ordered by last access.
type lruCache struct {
	capacity int64 // bytes
	bytes    int64
	entries  map[Key]*entry
	order    *entryList
}

func newLRUCache(capacity int64) lruCache {
	order := &entryList{}
	order.init()
	return lruCache{capacity: capacity, entries: map[Key]*entry{}, order: order}
}

// touch updates the last access of a chunk if it is cached, and reports whether it is.
func (l *lruCache) touch(now float64, key Key) bool {
	e := l.entries[key]
	if e == nil {
		return false
	}
	l.order.remove(e)
	e.lastAccess = now
	l.order.pushBack(e)
	return true
}

func (l *lruCache) add(now float64, key Key, size int64) Decision {
	if size > l.capacity {
		return Decision{}
	}
	decision := Decision{Admit: true}
	for l.bytes+size > l.capacity {
		oldest := l.order.front()
		l.order.remove(oldest)
		delete(l.entries, oldest.key)
		l.bytes -= oldest.size
		decision.Evict = append(decision.Evict, oldest.key)
	}
	e := &entry{key: key, size: size, lastAccess: now}
	l.entries[key] = e
	l.order.pushBack(e)
	l.bytes += size
	return decision
}
