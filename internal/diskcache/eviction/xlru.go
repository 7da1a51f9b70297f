package eviction

import "math"

const (
	// viewPause is the pause in seconds after which a request for an object begins a new view. The paper's requests are
	// complete ranges. Here a view requests chunk by chunk, and without the pause its second chunk would count as a
	// second view.
	viewPause = 30.0
	// minSweepPause is the least time in seconds between two sweeps of old views.
	minSweepPause = 60.0
)

// XLRU is a baseline, the paper's xLRU (section 5): an object's popularity is the time between its last two views, and
// chunks are evicted by last use.
type XLRU struct {
	lruCache
	alpha   float64
	views   map[uint64]*view
	sweptAt float64 // Unix seconds
}

// view is the last view of an object.
type view struct {
	lastRequest float64 // Unix seconds
	admit       bool    // decided when the view began
}

// NewXLRU returns an empty XLRU of a capacity in bytes.
func NewXLRU(capacity int64, alpha float64) *XLRU {
	return &XLRU{lruCache: newLRUCache(capacity), alpha: alpha, views: map[uint64]*view{}}
}

// Request implements Policy (the paper's Figure 1 with Eq. 5).
func (p *XLRU) Request(now float64, key Key, size int64) Decision {
	age := math.Inf(1) // while the disk is not full
	if oldest := p.order.front(); oldest != nil && p.bytes+size > p.capacity {
		age = now - oldest.lastAccess
	}
	v := p.views[key.Object]
	switch {
	case v == nil:
		v = &view{}
		p.views[key.Object] = v
	case now-v.lastRequest > viewPause:
		v.admit = (now-v.lastRequest)*p.alpha <= age
	}
	v.lastRequest = now
	p.sweep(now, age)
	if p.touch(now, key) {
		return Decision{Cached: true}
	}
	if !v.admit {
		return Decision{}
	}
	return p.add(now, key, size)
}

// sweep forgets views too old to be admitted again.
func (p *XLRU) sweep(now, age float64) {
	if math.IsInf(age, 1) || now < p.sweptAt+max(age, minSweepPause) {
		return
	}
	p.sweptAt = now
	for object, v := range p.views {
		if now-v.lastRequest > age {
			delete(p.views, object)
		}
	}
}
