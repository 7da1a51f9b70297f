package eviction

import "math"

// The baselines stand beside the choice for comparison only; nothing that serves uses them.

// lru is a disk whose parts go by last use.
type lru struct {
	capacity, bytes int64
	parts           map[Key]*entry
	order           list
}

func newLRU(capacity int64) lru {
	l := lru{capacity: capacity, parts: map[Key]*entry{}}
	return l
}

func (l *lru) use(now float64, k Key) bool {
	e := l.parts[k]
	if e == nil {
		return false
	}
	l.order.cut(e)
	e.last = now
	l.order.push(e)
	return true
}

func (l *lru) add(now float64, k Key, size int64) Decision {
	if size > l.capacity {
		return Decision{}
	}
	c := Decision{Admit: true}
	for l.bytes+size > l.capacity {
		x := l.order.oldest()
		l.order.cut(x)
		delete(l.parts, x.key)
		l.bytes -= x.size
		c.Evict = append(c.Evict, x.key)
	}
	e := &entry{key: k, size: size, last: now}
	l.parts[k] = e
	l.order.push(e)
	l.bytes += size
	return c
}

// LRU keeps everything it is asked for and drops what was used longest ago.
type LRU struct{ lru }

// NewLRU makes an empty one.
func NewLRU(capacity int64) *LRU {
	p := &LRU{newLRU(capacity)}
	p.order.init()
	return p
}

// Ask implements Policy.
func (p *LRU) Request(now float64, k Key, size int64) Decision {
	if p.use(now, k) {
		return Decision{Cached: true}
	}
	return p.add(now, k, size)
}

// viewGap is the pause in seconds after which a request for an object is a new view. The paper's requests are whole
// ranges; here a view asks part by part, and without this a view's second part would count as a popular object.
const viewGap = 30.0

// XLRU is the paper's xLRU (section 5): popularity by object, the time between its last two views; parts by last use.
type XLRU struct {
	lru
	alpha  float64
	viewed map[uint64]*view
	swept  float64
}

type view struct {
	last  float64
	serve bool // the verdict on the view under way
}

// NewXLRU makes an empty one.
func NewXLRU(capacity int64, alpha float64) *XLRU {
	p := &XLRU{lru: newLRU(capacity), alpha: alpha, viewed: map[uint64]*view{}}
	p.order.init()
	return p
}

// Ask implements Policy (the paper's Figure 1 with Eq. 5).
func (p *XLRU) Request(now float64, k Key, size int64) Decision {
	age := math.Inf(1) // while the disk is not full
	if x := p.order.oldest(); x != nil && p.bytes+size > p.capacity {
		age = now - x.last
	}
	v := p.viewed[k.Object]
	switch {
	case v == nil:
		v = &view{last: now}
		p.viewed[k.Object] = v
	case now-v.last > viewGap:
		v.serve = (now-v.last)*p.alpha <= age
	}
	v.last = now
	p.sweep(now, age)
	if p.use(now, k) {
		return Decision{Cached: true}
	}
	if !v.serve {
		return Decision{}
	}
	return p.add(now, k, size)
}

// sweep forgets views too old to pass the test again.
func (p *XLRU) sweep(now, age float64) {
	if math.IsInf(age, 1) || now < p.swept+max(age, 60) {
		return
	}
	p.swept = now
	for o, v := range p.viewed {
		if now-v.last > age {
			delete(p.viewed, o)
		}
	}
}
