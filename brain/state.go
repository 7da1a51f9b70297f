package brain

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// What a router keeps, and the plain mechanics of keeping it. What is done with it is decided in brain.go.

type part struct {
	no       int
	dt, last float64
	seen     bool // requested before
	near     bool // filled by a parent since its last purge
}

type object struct {
	group int
	parts []*part
	last  float64
}

// holding is a part that answers showed held at a cache. key orders by gap, largest gap first, at any time.
type holding struct {
	p                   *part
	kb, key, used, fill float64
	seq                 uint64
}

// gate bounds what this router has in flight at a member, a link or the way to the origin. It grows with
// answers in time, by one each up to what is proven, and shrinks with late and refused ones.
type gate struct {
	room, proven, out, cut float64
	lates                  []float64 // the last few answers, 1 for a late one
}

type sample struct{ at, cost float64 }

type member struct {
	Row
	gate
	heard   float64   // last sign of life
	ends    []float64 // the last few ends laid to it, 1 for a failed one
	benched float64   // nothing is sent before this time if there is another
	strikes int       // times on the bench since it was last proven
	spent   []sample
	held    map[*part]*holding
	order   []*holding
	idles   []float64
}

type hop struct {
	to, source               *member
	gates                    []*gate
	rank                     int
	maxAge, sent, late, over float64
	far                      *gate // the origin's, of one thought to reach it
	sibling, fill            bool  // filled by a sibling; thought to miss
	wanted, begun, out, stop bool
	end                      Code
}

type txn struct {
	Arrival
	seq               uint64
	came, send, dense float64
	sla               float64 // the SLA time of its size
	p                 *part
	obj               *object
	unseen, held      bool
	hops              []*hop
	verdict           Action
	over              bool
	wake, armed       float64
}

type purge struct {
	Purge
	at float64
}

// Router decides for one instance.
type Router struct {
	rec     Records
	pcg     uint64
	now     float64
	acts    []Action
	all     []*member // in order of their ids
	link    gate      // the location's link in
	txns    map[string]*txn
	bySeq   map[uint64]*txn
	queue   []*txn // held, densest in importance first
	seq     uint64
	objects map[string]*object
	swept   float64
	sizes   map[int][]float64
	purges  []purge
}

// chance is the next of a permuted congruential generator, from 0 up to 1.
func (r *Router) chance() float64 {
	old := r.pcg
	r.pcg = old*6364136223846793005 + 1442695040888963407
	x := uint32((old>>18 ^ old) >> 27)
	rot := uint32(old >> 59)
	return float64(x>>rot|x<<(-rot&31)) / (1 << 32)
}

// keep appends to the last few samples.
func keep[S any](list []S, s S, most int) []S {
	if len(list) >= most {
		list = append(list[:0], list[len(list)-most+1:]...)
	}
	return append(list, s)
}

func before(a, b *holding) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.seq, b.seq)) }

func (m *member) list(h *holding, key float64) {
	h.key = key
	at, _ := slices.BinarySearchFunc(m.order, h, before)
	m.order = slices.Insert(m.order, at, h)
	m.held[h.p] = h
}

// unlist takes a part out of the order and, if it is gone, off the held list.
func (m *member) unlist(p *part, gone bool) {
	if h := m.held[p]; h != nil {
		if at, found := slices.BinarySearchFunc(m.order, h, before); found {
			m.order = slices.Delete(m.order, at, at+1)
		}
		if gone {
			delete(m.held, p)
		}
	}
}

// unit maps a text to a number between 0 and 1. FNV alone leaves texts alike alike in their high bits.
func unit(text string) float64 {
	f := fnv.New64a()
	f.Write([]byte(text))
	x := f.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>11) + 0.5) / (1 << 53)
}

// object finds an object, or adds it.
func (r *Router) object(id string, group int) *object {
	if r.objects[id] == nil {
		r.objects[id] = &object{group: group}
	}
	return r.objects[id]
}

// part finds a part of the object, or adds it.
func (o *object) part(no int) *part {
	at, found := slices.BinarySearchFunc(o.parts, no, func(p *part, no int) int { return cmp.Compare(p.no, no) })
	if !found {
		o.parts = slices.Insert(o.parts, at, &part{no: no})
	}
	return o.parts[at]
}

// member finds a member by its id, or adds one of which nothing is known.
func (r *Router) member(id string) *member {
	at, found := slices.BinarySearchFunc(r.all, id, func(m *member, id string) int { return cmp.Compare(m.Member, id) })
	if !found {
		r.all = slices.Insert(r.all, at, &member{Row: Row{Member: id}})
	}
	return r.all[at]
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// What a member is, by the records.
func (r *Router) isParent(m *member) bool { return float64(m.Kind) == r.rec.Num("parent_kind", -1) }
func (r *Router) isOrigin(m *member) bool { return float64(m.Kind) == r.rec.Num("origin_kind", -1) }
func (r *Router) isCache(m *member) bool {
	return !r.isParent(m) && !r.isOrigin(m) && float64(m.Location) == r.rec.Num("location", 0)
}

func (r *Router) ready(which func(*member) bool) []*member {
	var out []*member
	for _, m := range r.all {
		if m.Status == Ready && which(m) {
			out = append(out, m)
		}
	}
	return out
}

// hubsAway is the number of hubs on the ring between this location's hub and a parent's.
func (r *Router) hubsAway(m *member) float64 {
	if !r.isParent(m) {
		return 0
	}
	own := int(r.rec.NumItem("hub_of", int(r.rec.Num("location", 0)), float64(m.Location)))
	ring := 0.0 // hubs come first among the locations and are their own
	for r.rec.NumItem("hub_of", int(ring), -1) == ring {
		ring++
	}
	way := math.Abs(float64(own - m.Location))
	return min(way, max(ring-way, 0))
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
