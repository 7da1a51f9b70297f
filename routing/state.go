package routing

import (
	"cmp"
	"hash/fnv"
	"maps"
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
	id              string
	group           int
	parts           []*part
	last            float64
	caches, parents []*member // in hash order, as of a version of the list
	listed          int
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
	rest                   float64   // closed until then
	least, part            float64   // what is always let through; what an answer in time adds
	lates                  []float64 // the last few answers, 1 for a late one
}

type sample struct{ at, cost float64 }

// role is what a member is to this router.
type role int

const (
	elsewhere role = iota // a cache of another location
	cache
	parent
	origin
)

type member struct {
	Endpoint
	gate
	role    role
	away    float64   // hubs on the way
	sharers float64   // routers that can send to it
	signs   []float64 // times of its last few signs of life
	ends    []float64 // the last few ends laid to it, 1 for a failed one
	benched float64   // nothing is sent before this time if there is another
	gone    float64   // when the list first told that it is gone, 0 if it does not
	spentUp bool      // gets no further hops for now
	doubted float64   // until when others' word makes one own failed end enough
	strikes int       // times on the bench since it was last proven
	spent   []sample
	held    map[*part]*holding
	order   []*holding
	idles   []float64
}

type hop struct {
	to, source               *member
	gates                    []*gate // of the ways behind the cache
	rank                     int
	maxAge, sent, late, over float64
	load                     float64 // places taken in the gates: the odds of a fill
	far                      *gate   // the origin's, of one thought to reach it
	sibling, fill            bool    // filled by a sibling; thought to miss
	look                     bool    // is not to reach behind its source
	wanted, begun, out, stop bool
	stuck                    bool // its connection is silent though its member is not
	blind, accused           bool // its failure may be its source's; failed by a fault of its own or of its txn
	end                      AttemptResult
}

// rule is a remap rule as the records have it, read once, and the last few sending times seen of it.
type rule struct {
	sla, stretch, importance, late, window float64
	fresh, stale, old                      float64 // old: share of the importance past the fresh time
	effect, group                          string
	uncacheable, spentUp                   bool
	sizes                                  []float64
}

type txn struct {
	RequestArrived
	seq               uint64
	came, send, dense float64
	sla               float64 // the SLA time of its size
	p                 *part
	obj               *object
	unseen, held      bool
	queued            bool
	hops              []*hop
	verdict           Action
	over              bool
	wake, armed       float64
}

// void names what a purge voids: an object, or a group where there is none.
type void struct {
	object string
	group  int
}

// Router decides for one instance.
type Router struct {
	rec     Settings
	pcg     uint64
	now     float64
	acts    []Action
	nums    map[string]float64 // records read as numbers
	rules   map[ClassIndex]*rule
	all     []*member // in order of their ids
	local   []*member // caches of this location, whatever their status
	caches  []*member // ready
	parents []*member // ready
	origins []*member // ready
	listed  int       // version of these lists
	link    gate      // the location's link in
	txns    map[RequestID]*txn
	bySeq   map[uint64]*txn
	queue   []*txn // held, densest in importance first
	seq     uint64
	objects map[string]*object
	swept   float64
	purges  map[void]float64 // when each was told to be void, the newest of each
	forgot  float64          // purges up to then are not remembered
	slow    []float64        // the last few times to an answer, over those after which hops are looked at
	never   []float64        // the last few hops slower than any of those, 1 for one that had no answer until it was given up
	misses  []float64        // the last few hops thought to miss, 1 for one that was filled
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

// ordered gives the caches and the parents in the order of an object's hash.
func (r *Router) ordered(o *object) (caches, parents []*member) {
	if o.listed != r.listed {
		o.listed, o.caches, o.parents = r.listed, inOrder(o.id, r.caches), inOrder(o.id, r.parents)
	}
	return o.caches, o.parents
}

func inOrder(id string, list []*member) []*member {
	score := make([]float64, len(list))
	list = slices.Clone(list)
	for i, m := range list {
		x := place(id, m)
		at := i
		for ; at > 0 && score[at-1] < x; at-- {
			score[at], list[at] = score[at-1], list[at-1]
		}
		score[at], list[at] = x, m
	}
	return list
}

// enqueue puts a txn among the held ones, densest in importance first, or takes it out.
func (r *Router) enqueue(t *txn, held bool) {
	if held == t.queued {
		return
	}
	at, _ := slices.BinarySearchFunc(r.queue, t, func(a, b *txn) int {
		return cmp.Or(cmp.Compare(b.dense, a.dense), cmp.Compare(a.seq, b.seq))
	})
	if t.queued = held; held {
		r.queue = slices.Insert(r.queue, at, t)
	} else {
		r.queue = slices.Delete(r.queue, at, at+1)
	}
}

// spentSince adds up what was sent to a member after a time, and forgets the rest.
func (m *member) spentSince(then float64) (sum float64) {
	m.spent = slices.DeleteFunc(m.spent, func(s sample) bool { return s.at <= then })
	for _, s := range m.spent {
		sum += s.cost
	}
	return sum
}

// slowness is how long a hop is out over the time after which it is looked at, which goes by its size.
func (r *Router) slowness(h *hop) float64 { return (r.now - h.sent) / (h.late - h.sent) }

// slowest is the greatest slowness of the last few hops that had an answer, 1 at least.
func (r *Router) slowest() float64 {
	most := 1.0
	for _, x := range r.slow {
		most = max(most, x)
	}
	return most
}

func (m *member) hear(now float64) { m.signs = keep(m.signs, now, keptSamples) }

// heard is the time of the last sign of life, interval the mean time between the last few.
func (m *member) heard() float64 {
	if len(m.signs) == 0 {
		return 0
	}
	return m.signs[len(m.signs)-1]
}

func (m *member) interval() float64 {
	if len(m.signs) < 2 {
		return 0
	}
	return (m.heard() - m.signs[0]) / float64(len(m.signs)-1)
}

// object finds an object, or adds it.
func (r *Router) object(id string, group int) *object {
	if r.objects[id] == nil {
		r.objects[id] = &object{id: id, group: group}
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
func (r *Router) member(id EndpointID) *member {
	at, found := slices.BinarySearchFunc(r.all, id, func(m *member, id EndpointID) int {
		return cmp.Compare(m.ID, id)
	})
	if !found {
		r.all = slices.Insert(r.all, at, &member{Endpoint: Endpoint{ID: id}})
	}
	return r.all[at]
}

// known finds a member by its id; nil where there is none.
func (r *Router) known(id EndpointID) *member {
	at, found := slices.BinarySearchFunc(r.all, id, func(m *member, id EndpointID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return nil
	}
	return r.all[at]
}

// believed is the mean of samples once there are enough of them.
func believed(list []float64, otherwise float64) float64 {
	if len(list) < sizesNeeded {
		return otherwise
	}
	return mean(list)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// take brings the list up to date and returns the members that are new or have started again.
func (r *Router) take(l EndpointUpdate) (again []*member) {
	if l.Kind == Snapshot || l.Kind == Restored {
		for _, m := range r.all {
			m.Status = Removed
		}
	}
	for _, row := range l.Endpoints {
		m := r.member(row.ID)
		if m.held == nil || row.StartedAt > m.StartedAt {
			*m = member{held: map[*part]*holding{}, gate: gate{out: m.out}, spent: m.spent}
			again = append(again, m)
		}
		m.Endpoint = row
	}
	r.all = slices.DeleteFunc(r.all, func(m *member) bool {
		m.gone = flag(m.Status == Removed) * cmp.Or(m.gone, r.now)
		return m.gone > 0 && r.now >= m.gone+forgetAfter
	})
	r.relist()
	return again
}

// relist works out what each member is by the records, and who is in service.
func (r *Router) relist() {
	r.local, r.caches, r.parents, r.origins = nil, nil, nil, nil
	r.listed++
	here, all := int(r.num("location", 0)), max(r.num("routers", 1), 1)
	for _, m := range r.all {
		m.role, m.away, m.sharers = elsewhere, r.hubsAway(m), all
		list := new([]*member)
		switch kind := float64(m.Kind); {
		case kind == r.num("parent_kind", -1):
			m.role, list = parent, &r.parents
		case kind == r.num("origin_kind", -1):
			m.role, list = origin, &r.origins
		case m.Zone == here:
			m.role, list = cache, &r.caches
			m.sharers = max(r.rec.FloatItem("routers_at", here, all), 1)
			r.local = append(r.local, m)
		}
		if m.Status == Ready {
			*list = append(*list, m)
		}
	}
}

// spare says whether another of a member's role is ready and not on the bench.
func (r *Router) spare(m *member) bool {
	peers := r.parents
	if m.role == cache {
		peers = r.caches
	}
	return slices.ContainsFunc(peers, func(x *member) bool { return x != m && x.benched <= r.now })
}

// wayToOrigin is the gate of the first origin listed; one that is always open where there is none.
func (r *Router) wayToOrigin() *gate {
	if len(r.origins) > 0 {
		return &r.origins[0].gate
	}
	return &gate{room: math.Inf(1)}
}

func sentTo(h *hop, m *member) bool     { return h.to == m && !h.look }
func filledFrom(h *hop, m *member) bool { return h.source == m && !h.sibling && !h.look }
func looked(h *hop) bool                { return h.look }

// num reads a number of the records, once.
func (r *Router) num(name string, otherwise float64) float64 {
	x, ok := r.nums[name]
	if !ok {
		x = r.rec.Float(name, math.NaN())
		r.nums[name] = x
	}
	if math.IsNaN(x) {
		return otherwise
	}
	return x
}

// rule reads what the records say of a remap rule, once.
func (r *Router) rule(n ClassIndex) *rule {
	u := r.rules[n]
	if u == nil {
		num := func(name string, otherwise float64) float64 { return r.rec.Float(ClassSetting(n, name), otherwise) }
		u = &rule{sla: num("sla_s", 1), stretch: num("sla_stretch", 0), importance: num("importance", 1),
			late: num("late_importance", 0), window: num("window_s", 0),
			fresh: r.rec.FloatItem("fresh_s", int(n), 0), stale: r.rec.FloatItem("stale_s", int(n), 0),
			old: r.rec.FloatItem("stale_importance", int(n), 0), effect: r.rec[ClassSetting(n, "effect")],
			group: r.rec[ClassSetting(n, "group")], uncacheable: r.rec.ListItem("uncacheable", int(n)) == "true"}
		r.rules[n] = u
	}
	return u
}

// hubsAway is the number of hubs on the ring between this location's hub and a parent's.
func (r *Router) hubsAway(m *member) float64 {
	if float64(m.Kind) != r.num("parent_kind", -1) {
		return 0
	}
	own := int(r.rec.FloatItem("hub_of", int(r.num("location", 0)), float64(m.Zone)))
	ring := 0.0 // hubs come first among the locations and are their own
	for r.rec.FloatItem("hub_of", int(ring), -1) == ring {
		ring++
	}
	way := math.Abs(float64(own - m.Zone))
	return min(way, max(ring-way, 0))
}

// purged remembers a purge and forgets what was thought held.
func (r *Router) purged(p Purge) {
	v := void{object: p.Object}
	if p.Object == "" {
		v.group = p.ObjectGroup
	}
	if r.purges[v] = max(r.purges[v], r.now-p.AgeSeconds); len(r.purges) > mostPurges {
		r.forget()
	}
	for name, o := range r.objects {
		if name == p.Object || (p.Object == "" && o.group == p.ObjectGroup) {
			r.drop(o)
		}
	}
}

// forget drops the oldest eighth of the purges, so that it is not done for each one.
func (r *Router) forget() {
	times := make([]float64, 0, len(r.purges))
	for _, at := range r.purges {
		times = append(times, at)
	}
	slices.Sort(times)
	r.forgot = max(r.forgot, times[len(times)/8])
	maps.DeleteFunc(r.purges, func(_ void, at float64) bool { return at <= r.forgot })
}

// drop forgets what is thought held of an object.
func (r *Router) drop(o *object) {
	for _, p := range o.parts {
		p.near = false
		for _, m := range r.local {
			m.unlist(p, true)
		}
	}
}

// sweep forgets objects that were idle for long, sooner if there are too many.
func (r *Router) sweep() {
	if r.now < r.swept+sweepEvery && len(r.objects) < mostObjects {
		return
	}
	r.swept = r.now
	for age := forgetAfter; age == forgetAfter || len(r.objects) > mostObjects/2; age /= 2 {
		for name, o := range r.objects {
			if r.now-o.last >= age {
				r.drop(o)
				delete(r.objects, name)
			}
		}
	}
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
