package eviction

import "math"

const (
	// minViewInterval is the time in seconds without requests for an object after which a request begins a new view.
	// In the paper, a request covers a complete range. Here a view requests one chunk at a time; without this
	// interval, its second chunk would count as a second view.
	minViewInterval = 30.0
	// minSweepInterval is the minimum time in seconds between two removals of old views.
	minSweepInterval = 60.0
)

// XLRU is a baseline policy, xLRU of the paper (section 5): the popularity of an object is the time between its last
// two views, and the least recently used chunks are evicted.
type XLRU struct {
	lruCache
	alpha       float64
	views       map[uint64]*view
	lastSweepAt float64 // Unix seconds
}

// view is the most recent view of an object.
type view struct {
	lastRequest float64 // Unix seconds
	admit       bool    // whether the view's chunks are admitted, decided at its first request
}

// NewXLRU returns an empty XLRU with a capacity in bytes. alpha is the same as in Config.
func NewXLRU(capacity int64, alpha float64) *XLRU {
	return &XLRU{lruCache: newLRUCache(capacity), alpha: alpha, views: map[uint64]*view{}}
}

// Request implements Policy (Figure 1 of the paper with Eq. 5).
func (p *XLRU) Request(now float64, key Key, size int64) Decision {
	age := math.Inf(1) // cache age, infinite while the disk is not full
	if oldest := p.order.front(); oldest != nil && p.bytes+size > p.capacity {
		age = now - oldest.lastAccess
	}
	v := p.views[key.Object]
	switch {
	case v == nil:
		v = &view{}
		p.views[key.Object] = v
	case now-v.lastRequest > minViewInterval:
		v.admit = (now-v.lastRequest)*p.alpha <= age
	}
	v.lastRequest = now
	p.removeOldViews(now, age)
	if p.touch(now, key) {
		return Decision{Cached: true}
	}
	if !v.admit {
		return Decision{}
	}
	return p.add(now, key, size)
}

// removeOldViews removes views that are too old to lead to an admission.
func (p *XLRU) removeOldViews(now, age float64) {
	if math.IsInf(age, 1) || now < p.lastSweepAt+max(age, minSweepInterval) {
		return
	}
	p.lastSweepAt = now
	for object, v := range p.views {
		if now-v.lastRequest > age {
			delete(p.views, object)
		}
	}
}
