// Every decision of the router. New starts an instance from its seed and its records; Decide takes one event
// with the clock and returns the actions, in order. The types of both are in interface.go.
//
// A txn's wanted state is a set of hops that should be out, a verdict and a wake time. The event handlers
// change only what is wanted; settle works out the difference to what is and emits it.
package brain

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

const (
	alpha        = 1.0     // cost of a fill over that of a pass: the common preference, a pass uses the link too
	gamma        = 0.25    // weight of the newest gap, from the design's source
	firstHorizon = 10.0    // s, T before any idle time was seen, from the design
	fillRank     = 2       // rank of 1 to 3 on a serve: the middle one
	keptSamples  = 10      // samples kept of a member's ends and idle times: few, so that a change shows soon
	keptSizes    = 64      // sending times kept a remap rule: sizes vary widely, the mean needs more of them
	sizesNeeded  = 8       // sending times before their mean is believed
	heldAge      = 3.0     // T, idle time after which a part leaves the held list: surely displaced by then
	forgetAfter  = 60.0    // s, idle time after which an object is forgotten: several T
	sweepEvery   = 5.0     // s between sweeps of what is forgotten
	mostObjects  = 1 << 17 // objects remembered at most, some tens of MB; beyond it forgetting is faster
	endMargin    = 0.006   // s before the time limit at which a txn is given up: a few ticks
	windowMargin = 0.25    // s kept free of a keyed txn's window for the way to the member
	lateBase     = 0.5     // share of the SLA time, without its stretch, after which a hop is looked at
	lateStretch  = 1.3     // sending times added to that: a busy link stretches a transfer
	quiet        = 0.35    // s without a sign of life at least before silence is suspected: over usual pauses
	lookAgain    = 0.1     // s between looks at a hop that is late
	benchFirst   = 1.0     // s on the bench at first: some dozens of txns would go there in it
	benchMost    = 4.0     // s on the bench at most: a member that is back is wanted soon
	badShare     = 0.5     // share of failed ends that benches: failing hops cost less than a lost cache below it
	badLeast     = 4       // failed ends at least for that: chance
	freshCap     = 2       // hops in flight at a member just back; one more for each answer
	fullCap      = 24      // cap at which a member counts as proven: above usual needs of one router
	coldSpend    = 0.7     // share of a cold member's present capacity that is used: it serves no more in time
	fillBound    = 1.5     // s of a member's link in fills under way before the hash order passes it by
	busyBound    = 3.0     // s of a member's link in all hops out before the same
	ageMargin    = 1e-4    // s by which a copy must be younger than the purge: rounding
	leastAge     = 2e-6    // s, an age that is never rounded to 0, which means any
	againAfter   = 0.5     // s a rejected client is told to stay away: queues of that length drain
)

type part struct {
	no        int
	dt, last  float64
	requested bool
}

type object struct {
	group int
	parts []*part
	last  float64
}

// holding is a part that answers showed held at a cache. key orders by gap, largest gap first, at any time.
type holding struct {
	p          *part
	kb         float64
	key        float64
	used, fill float64 // last use, last fill
	seq        uint64
}

type sample struct {
	at  float64
	bad bool
}

type spend struct{ at, cost float64 }

type member struct {
	Row
	heard   float64  // last sign of life
	ends    []sample // the last few ends laid to it
	benched float64  // nothing but trials before this time
	strikes int      // times on the bench since it was last proven
	room    int      // cap on hops in flight, 0 for none
	out     int
	outKB   float64
	fillKB  float64
	spent   []spend
	held    map[*part]*holding
	order   []*holding
	idles   []float64
}

type hop struct {
	to, source *member
	sent, late float64
	rank       int
	maxAge     float64
	sibling    bool
	fill       bool // it was thought to miss
	wanted     bool
	begun, out bool
	stopped    bool
	end        Code
}

type txn struct {
	Arrival
	seq         uint64
	came, send  float64
	p           *part
	obj         *object
	firstSight  bool
	hops        []*hop
	verdict     Action
	over        bool
	wake, armed float64
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
	members map[string]*member
	all     []*member // in order of their ids
	txns    map[string]*txn
	bySeq   map[uint64]*txn
	seq     uint64
	objects map[string]*object
	swept   float64
	sizes   map[int][]float64
	purges  []purge
	started bool
}

// New starts a router that knows nothing but its records.
func New(seed uint64, rec Records) *Router {
	return &Router{rec: rec, pcg: seed, members: map[string]*member{}, txns: map[string]*txn{},
		bySeq: map[uint64]*txn{}, objects: map[string]*object{}, sizes: map[int][]float64{}}
}

// Decide takes one event and returns what is to be done. The slice is good until the next call.
func (r *Router) Decide(now float64, ev Event) []Action {
	r.now, r.acts = now, r.acts[:0]
	switch ev := ev.(type) {
	case Listing:
		r.listing(ev)
	case Arrival:
		r.arrive(ev)
	case Outcome:
		r.outcome(ev)
	case ClientGone:
		if t := r.txns[ev.Txn]; t != nil {
			t.over = true
			r.settle(t)
		}
	case Bell:
		if t := r.bySeq[ev.Token]; t != nil {
			t.armed = 0
			r.think(t)
			r.settle(t)
		}
	case Purge:
		r.purged(ev)
	}
	return r.acts
}

// settle emits the difference between what is wanted for a txn and what is.
func (r *Router) settle(t *txn) {
	done, out := t.over || t.verdict != nil, 0
	for i, h := range t.hops {
		if h.out && (done || !h.wanted) && !h.stopped && r.rec.Is("may_cancel") {
			h.stopped = true
			r.acts = append(r.acts, Cancel{t.Txn, i})
		}
		if h.wanted && !h.begun && !done {
			h.begun, h.out, h.sent = true, true, r.now
			r.acts = append(r.acts, Hop{Txn: t.Txn, To: h.to.Member, Until: t.Limit, Source: h.source.Member, Rank: h.rank,
				MaxAge: h.maxAge, Join: r.rec.Is("may_join"), NoFetch: h.sibling,
				Renew: h.maxAge == 0 && r.rec.NumItem("fresh_s", t.Rule, 0) > 0})
			r.load(t, h, 1)
		}
		if h.out {
			out++
		}
	}
	if t.verdict != nil && !t.over {
		t.over = true
		r.acts = append(r.acts, t.verdict)
	}
	if t.over && out == 0 {
		delete(r.txns, t.Txn)
		delete(r.bySeq, t.seq)
		return
	}
	if !t.over && (t.armed == 0 || t.wake < t.armed) {
		t.armed = t.wake
		r.acts = append(r.acts, Timer{max(t.wake-r.now, 0), t.seq})
	}
}

// load keeps account of what is out at the members that a hop uses.
func (r *Router) load(t *txn, h *hop, sign float64) {
	h.to.out += int(sign)
	h.to.outKB += sign * t.KB
	if h.fill {
		h.to.fillKB += sign * t.KB
		if h.source != h.to {
			h.source.fillKB += sign * t.KB
		}
	}
	if sign > 0 {
		r.charge(h.to, r.cost(t, h.to))
		if h.fill && h.source != h.to {
			r.charge(h.source, r.cost(t, h.source))
		}
	}
}

// listing takes news of the members. A member that starts again is empty, cold and unjudged.
func (r *Router) listing(l Listing) {
	if l.Kind == Failed || (!r.started && r.rec["list"] == "asked") {
		r.acts = append(r.acts, Subscribe{})
	}
	r.started = true
	if l.Kind == Failed {
		return
	}
	if l.Kind != Changes {
		for _, m := range r.all {
			m.Status = Gone
		}
	}
	for _, row := range l.Rows {
		m := r.members[row.Member]
		if m == nil {
			m = &member{Row: row, held: map[*part]*holding{}}
			r.members[row.Member] = m
			at, _ := slices.BinarySearchFunc(r.all, m, func(a, b *member) int { return cmp.Compare(a.Member, b.Member) })
			r.all = slices.Insert(r.all, at, m)
			r.renew(m)
		}
		again := row.Started > m.Started
		m.Row = row
		if again {
			r.renew(m)
		}
	}
}

func (r *Router) renew(m *member) {
	m.ends, m.benched, m.strikes, m.room = nil, 0, 0, 0
	m.held, m.order, m.idles = map[*part]*holding{}, nil, nil
	if r.warmth(m) < 1 {
		m.room = freshCap
	}
}

func (r *Router) isParent(m *member) bool { return float64(m.Kind) == r.rec.Num("parent_kind", -1) }
func (r *Router) isOrigin(m *member) bool { return float64(m.Kind) == r.rec.Num("origin_kind", -1) }
func (r *Router) isCache(m *member) bool {
	return !r.isParent(m) && !r.isOrigin(m) && float64(m.Location) == r.rec.Num("location", 0)
}

// warmth is the share of its capacity that a member surely has: a line from the cold share up to all of it.
func (r *Router) warmth(m *member) float64 {
	floor, over := r.rec.Num("cold_share", 1), r.rec.Num("cold_s", 0)
	if r.isParent(m) {
		floor, over = r.rec.Num("parent_cold_share", 1), r.rec.Num("parent_cold_s", 0)
	}
	if m.Started <= 0 || r.isOrigin(m) || over <= 0 || r.now >= m.Started+over {
		return 1
	}
	return floor + (1-floor)*max(r.now-m.Started, 0)/over
}

// sharers is the number of routers that can send to a member.
func (r *Router) sharers(m *member) float64 {
	if r.isCache(m) {
		return max(r.rec.NumItem("routers_at", m.Location, r.rec.Num("routers", 1)), 1)
	}
	return max(r.rec.Num("routers", 1), 1)
}

// cost is the work in sending seconds that a hop is counted at: a cache's hops at the mean of their rule.
func (r *Router) cost(t *txn, m *member) float64 {
	sizes := r.sizes[t.Rule]
	if len(sizes) < sizesNeeded {
		return max(t.send, r.rec.Num(Remap(t.Rule, "sla_s"), 0))
	}
	sum := 0.0
	for _, s := range sizes {
		sum += s
	}
	if r.isParent(m) {
		return max(t.send, sum/float64(len(sizes))/2)
	}
	return sum / float64(len(sizes))
}

// affords guards cold members (rule 4): in any window of the stated length this router spends no more than its
// even part of a share of what the member can do then. It also covers a member that restarted unseen for a
// while, once the list tells. It could harm where the other routers are idle: the room they leave is not used.
func (r *Router) affords(t *txn, m *member) bool {
	warm := r.warmth(m)
	if warm >= 1 {
		return true
	}
	window := r.rec.Num("fall_s", 1)
	sum := r.cost(t, m)
	for _, s := range m.spent {
		if s.at > r.now-window {
			sum += s.cost
		}
	}
	return sum <= coldSpend*warm*m.Weight*window/r.sharers(m)
}

func (r *Router) charge(m *member, cost float64) {
	if r.warmth(m) >= 1 {
		m.spent = nil
		return
	}
	cut := r.now - r.rec.Num("fall_s", 1)
	m.spent = slices.DeleteFunc(m.spent, func(s spend) bool { return s.at <= cut })
	m.spent = append(m.spent, spend{r.now, cost})
}

// arrive takes a txn, keeps its part's gap and decides its first hop.
func (r *Router) arrive(a Arrival) {
	r.seq++
	t := &txn{Arrival: a, seq: r.seq, came: r.now}
	if pace := r.rec.Num("pace_kb_s", 0); pace > 0 {
		t.send = a.KB / pace
	}
	r.txns[t.Txn], r.bySeq[t.seq] = t, t
	r.sizes[t.Rule] = keep(r.sizes[t.Rule], t.send, keptSizes)
	r.sweep()
	t.obj = r.objects[a.Object]
	if t.obj == nil {
		t.obj = &object{group: a.Group}
		r.objects[a.Object] = t.obj
	}
	t.obj.last = r.now
	at, found := slices.BinarySearchFunc(t.obj.parts, a.Part, func(p *part, no int) int { return cmp.Compare(p.no, no) })
	if !found {
		t.obj.parts = slices.Insert(t.obj.parts, at, &part{no: a.Part})
	}
	t.p = t.obj.parts[at]
	t.firstSight = !t.p.requested
	r.think(t)
	r.settle(t)
}

// keep appends to the last few samples.
func keep[S any](list []S, s S, most int) []S {
	if len(list) >= most {
		list = append(list[:0], list[len(list)-most+1:]...)
	}
	return append(list, s)
}

// gap is a part's averaged gap as read now; an unseen part has the largest of its object's parts held at m.
func (r *Router) gap(t *txn, m *member) float64 {
	if !t.firstSight {
		return gamma*(r.now-t.p.last) + (1-gamma)*t.p.dt
	}
	largest := 0.0
	for _, p := range t.obj.parts {
		if m.held[p] != nil {
			largest = max(largest, gamma*(r.now-p.last)+(1-gamma)*p.dt)
		}
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return largest
}

// request updates the part's gap, once a txn, and its place in the held lists.
func (r *Router) request(t *txn, m *member) {
	p := t.p
	if p.requested {
		p.dt = gamma*(r.now-p.last) + (1-gamma)*p.dt
	} else {
		p.requested, p.dt = true, r.horizon(m)
	}
	p.last = r.now
	for _, c := range r.all {
		if h := c.held[p]; h != nil {
			c.unlist(h)
			c.list(h)
		}
	}
}

func before(a, b *holding) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.seq, b.seq)) }

func (m *member) list(h *holding) {
	h.key = gamma*h.p.last - (1-gamma)*h.p.dt
	at, _ := slices.BinarySearchFunc(m.order, h, before)
	m.order = slices.Insert(m.order, at, h)
	m.held[h.p] = h
}

func (m *member) unlist(h *holding) {
	if at, found := slices.BinarySearchFunc(m.order, h, before); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
	delete(m.held, h.p)
}

// horizon is T: the mean idle time before a miss of what was thought held.
func (r *Router) horizon(m *member) float64 {
	if len(m.idles) == 0 {
		return firstHorizon
	}
	sum := 0.0
	for _, s := range m.idles {
		sum += s
	}
	return max(sum/float64(len(m.idles)), 1)
}

// serves is the design's choice: true to fill and keep a missing part at m, false to pass it unkept.
func (r *Router) serves(t *txn, m *member) bool {
	if t.Write || r.rec.Item("uncacheable", t.Rule) == "true" {
		return false
	}
	T := r.horizon(m)
	for len(m.order) > 0 && r.now-m.order[0].used > heldAge*T {
		m.unlist(m.order[0])
	}
	if m.held[t.p] != nil {
		return true
	}
	size := func(kb float64) float64 {
		if t.KB <= 0 {
			return 1
		}
		return kb
	}
	cf, cr := 2*alpha/(alpha+1), 2/(alpha+1)
	need := size(t.KB)
	serve, pass := need*cf, need*cr+need*T/r.gap(t, m)*min(cf, cr)
	for _, h := range m.order {
		if need <= 0 || serve >= pass {
			break
		}
		kb := size(h.kb)
		serve += min(kb, need) * T / (gamma*(r.now-h.p.last) + (1-gamma)*h.p.dt) * min(cf, cr)
		need -= kb
	}
	return serve < pass
}

// ordered puts members in the object's hash order; a larger member comes first more often.
func ordered(obj string, list []*member) []*member {
	type scored struct {
		m *member
		s float64
	}
	rank := make([]scored, 0, len(list))
	for _, m := range list {
		f := fnv.New64a()
		f.Write([]byte(obj))
		f.Write([]byte{0})
		f.Write([]byte(m.Member))
		x := f.Sum64() // fnv alone leaves ids alike in their high bits
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		x *= 0xc4ceb9fe1a85ec53
		x ^= x >> 33
		u := (float64(x>>11) + 0.5) / (1 << 53)
		w := m.Weight
		if w <= 0 {
			w = 1
		}
		rank = append(rank, scored{m, -w / math.Log(u)})
	}
	sort.SliceStable(rank, func(i, j int) bool { return rank[i].s > rank[j].s })
	out := make([]*member, len(rank))
	for i, x := range rank {
		out[i] = x.m
	}
	return out
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

// Levels of what is asked of a member; the drain and cold guards hold at all of them.
const (
	wellOff  = iota // proven, within its bounds and not failed for this txn
	bearable        // on no bench, within its cap
	anyone
)

func (r *Router) fits(t *txn, m *member, level int, failed func(*hop) bool) bool {
	if !r.affords(t, m) {
		return false
	}
	if level < anyone && (m.benched > r.now || (m.room > 0 && m.out >= m.room)) {
		return false
	}
	if level > wellOff {
		return true
	}
	if link := m.Weight * r.rec.Num("pace_kb_s", 0) / r.sharers(m); link > 0 &&
		(m.fillKB > fillBound*link || m.outKB > busyBound*link) {
		return false
	}
	return !slices.ContainsFunc(t.hops, failed)
}

// next decides a further hop, or nil if there is nobody to send to.
func (r *Router) next(t *txn) *hop {
	caches := ordered(t.Object, r.ready(r.isCache))
	parents := ordered(t.Object, r.ready(r.isParent))
	origin := r.ready(r.isOrigin)
	write := t.Write || r.rec.Item("uncacheable", t.Rule) == "true"
	if write && r.rec.Is("may_go_direct") {
		caches = append(slices.Clone(origin), parents...)
	}
	var to *member
	for level := wellOff; level <= anyone && to == nil; level++ {
		for _, m := range caches {
			if r.inGroup(t, m) && r.fits(t, m, level, func(h *hop) bool { return h.to == m && h.begun }) {
				to = m
				break
			}
		}
		if to == nil && level == bearable && r.rec.Is("may_go_direct") && !write {
			for _, m := range append(parents, origin...) {
				if r.fits(t, m, bearable, func(h *hop) bool { return h.to == m }) {
					return r.shape(t, &hop{to: m, source: m, fill: true})
				}
			}
		}
	}
	if to == nil {
		return nil
	}
	h := &hop{to: to, source: to, fill: to.held[t.p] == nil}
	if write && r.rec.Is("may_go_direct") {
		if len(origin) > 0 {
			h.source = origin[0]
		}
		return r.shape(t, h)
	}
	sources := append(parents, origin...)
	if write {
		sources = append(slices.Clone(origin), parents...)
	} else if sib := r.sibling(t, to); sib != nil {
		h.source, h.sibling = sib, true
		return r.shape(t, h)
	}
	for level := wellOff; level <= anyone && h.source == to; level++ {
		for _, m := range sources {
			if r.fits(t, m, level, func(h *hop) bool { return h.source == m && !h.sibling }) {
				h.source = m
				break
			}
		}
	}
	return r.shape(t, h)
}

// sibling names another cache of the location that answers showed holding a part which the chosen one lacks.
// It acts after restarts, ejections and skips, when the hash order's first cache is not the holder; the link
// and the parent are spared. A wrong guess costs one short hop.
func (r *Router) sibling(t *txn, to *member) *member {
	if s := r.rec["siblings"]; (s != "location" && s != "any") || to.held[t.p] != nil {
		return nil
	}
	fresh := r.rec.NumItem("fresh_s", t.Rule, 0)
	for _, h := range t.hops {
		if h.sibling {
			return nil
		}
	}
	for _, m := range r.all {
		if m == to || m.Status != Ready || !r.isCache(m) || m.benched > r.now || !r.affords(t, m) {
			continue
		}
		if h := m.held[t.p]; h != nil && r.now-h.used < r.horizon(m) && (fresh == 0 || r.now-h.fill < fresh/2) {
			return m
		}
	}
	return nil
}

// inGroup keeps a keyed txn that may have run within the group that drops its repeats (rule 2).
func (r *Router) inGroup(t *txn, m *member) bool {
	if r.rec[Remap(t.Rule, "effect")] != "keyed" {
		return true
	}
	group := r.rec[Remap(t.Rule, "group")]
	for _, h := range t.hops {
		if h.mayHaveRun() && (group == "zone" && h.to.Location != m.Location || group == "cell" && h.to.Cell != m.Cell) {
			return false
		}
	}
	return true
}

func (h *hop) mayHaveRun() bool {
	return h.begun && (h.out || !(h.end == Busy || h.end == NoConnect || h.end == Moot || h.end == Miss))
}

// shape adds what is the same for every hop: rank by the design's choice, oldest copy by purges, late time.
func (r *Router) shape(t *txn, h *hop) *hop {
	if r.isCache(h.to) && r.serves(t, h.to) {
		h.rank = fillRank
	}
	if !t.p.requested || t.p.last < t.came || len(t.hops) == 0 {
		r.request(t, h.to)
	}
	h.maxAge = r.oldest(t)
	h.late = r.now + lateBase*r.rec.Num(Remap(t.Rule, "sla_s"), 1) + lateStretch*t.send
	h.wanted = true
	t.hops = append(t.hops, h)
	return h
}

// oldest is the oldest copy that will do (rule 5): younger than any purge that copies may have outlived.
func (r *Router) oldest(t *txn) float64 {
	age := 0.0
	for _, p := range r.purges {
		if (p.Object == t.Object) || (p.Object == "" && p.Group == t.Group) {
			if a := max(r.now-p.at-ageMargin, leastAge); age == 0 || a < age {
				age = a
			}
		}
	}
	if fresh := r.rec.NumItem("fresh_s", t.Rule, 0); fresh > 0 && age > fresh {
		return 0
	}
	return age
}

// purged remembers a purge until all copies are dropped everywhere and forgets what was thought held.
func (r *Router) purged(p Purge) {
	done := r.rec.Num("purge_done_s", 0)
	r.purges = slices.DeleteFunc(r.purges, func(q purge) bool { return r.now > q.at+done+1 })
	r.purges = append(r.purges, purge{p, r.now - p.Ago})
	drop := func(o *object) {
		for _, x := range o.parts {
			for _, m := range r.all {
				if h := m.held[x]; h != nil {
					m.unlist(h)
				}
			}
		}
	}
	if p.Object != "" {
		if o := r.objects[p.Object]; o != nil {
			drop(o)
		}
		return
	}
	for _, o := range r.objects {
		if o.group == p.Group {
			drop(o)
		}
	}
}

// sweep forgets objects that were idle for long.
func (r *Router) sweep() {
	if r.now < r.swept+sweepEvery && len(r.objects) < mostObjects {
		return
	}
	r.swept = r.now
	for age := forgetAfter; age > 1e-3; age /= 2 {
		for name, o := range r.objects {
			if r.now-o.last > age {
				for _, m := range r.all {
					for _, p := range o.parts {
						if h := m.held[p]; h != nil {
							m.unlist(h)
						}
					}
				}
				delete(r.objects, name)
			}
		}
		if len(r.objects) < mostObjects/2 {
			return
		}
	}
}

// think decides what is wanted for a txn now.
func (r *Router) think(t *txn) {
	if t.over || t.verdict != nil {
		return
	}
	t.wake = t.Limit - endMargin
	if r.now >= t.wake {
		r.giveUp(t)
		return
	}
	waiting, out := false, false
	for _, h := range t.hops {
		if !h.out {
			continue
		}
		out = true
		if h.wanted && r.now >= h.late && r.silent(h) {
			h.wanted = r.rec.Is("may_double") // a second copy beside it, else one after it
			h.late = math.Inf(1)
			continue
		}
		if h.wanted && !math.IsInf(h.late, 1) {
			waiting = true
			t.wake = min(t.wake, max(h.late, r.now+lookAgain))
		}
	}
	if waiting || (out && !r.rec.Is("may_double")) {
		return
	}
	if !r.mayRepeat(t) || r.next(t) == nil {
		if !out {
			r.giveUp(t)
		}
		return
	}
	t.wake = min(t.wake, t.hops[len(t.hops)-1].late)
}

// mayRepeat says whether a further hop is allowed (rule 2).
func (r *Router) mayRepeat(t *txn) bool {
	if float64(len(t.hops)) >= r.rec.Num("max_hops", 1) {
		return false
	}
	for _, h := range t.hops {
		if !h.mayHaveRun() {
			continue
		}
		switch r.rec[Remap(t.Rule, "effect")] {
		case "repeatable":
		case "keyed":
			if r.now > h.sent+r.rec.Num(Remap(t.Rule, "window_s"), 0)-windowMargin {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// giveUp answers at once: rejected where trying again is harmless, aborted else (rule 2).
func (r *Router) giveUp(t *txn) {
	ran := slices.ContainsFunc(t.hops, (*hop).mayHaveRun)
	effect, all := r.rec[Remap(t.Rule, "effect")], r.rec[Remap(t.Rule, "group")] == "all"
	if effect == "repeatable" || !ran || (effect == "keyed" && all) {
		again := 0.0
		if r.rec.Is("tells_retry") {
			again = min(againAfter, r.rec.Num("max_retry_s", 0))
		}
		t.verdict = Reject{t.Txn, again}
		return
	}
	t.verdict = Abort{t.Txn}
}

// silent judges a late hop's cache, then its source: nothing at all was heard since the hop was sent. It covers
// hangs, vanished machines and cut ways. It could harm a member that only pauses longer than quiet.
func (r *Router) silent(h *hop) bool {
	if m := h.to; m.heard < h.sent && r.now-max(m.heard, h.sent) > quiet {
		r.bench(m)
		return true
	}
	if m := h.source; h.fill && m != h.to && m.heard < h.sent && r.now-max(m.heard, h.sent) > 2*quiet {
		r.bench(m)
		return true
	}
	return false
}

func (r *Router) bench(m *member) {
	if m.benched > r.now {
		return
	}
	m.benched = r.now + min(benchFirst*math.Pow(2, float64(min(m.strikes, 8))), benchMost)
	m.strikes++
	m.ends, m.room = nil, 1
}

// judge lays an end to a member. Failing ends bench it when they are half of the last few, or at once while it
// is on trial; it covers errors, refused and broken connections of any cause.
func (r *Router) judge(m *member, bad bool) {
	if !bad && m.room > 0 {
		if m.room++; m.room > fullCap {
			m.room, m.strikes = 0, 0
		}
	}
	m.ends = keep(m.ends, sample{r.now, bad}, keptSamples)
	failed := 0
	for _, s := range m.ends {
		if s.bad {
			failed++
		}
	}
	if bad && (m.room == 1 || failed >= badLeast && float64(failed) >= badShare*float64(len(m.ends))) {
		r.bench(m)
	}
}

// outcome learns from the end of a hop and decides what follows.
func (r *Router) outcome(o Outcome) {
	t := r.txns[o.Txn]
	if t == nil || o.Hop < 0 || o.Hop >= len(t.hops) || !t.hops[o.Hop].out {
		return
	}
	h := t.hops[o.Hop]
	h.out, h.wanted, h.end = false, false, o.Code
	r.load(t, h, -1)
	r.learn(t, h, o)
	if o.Final {
		t.over = true
	}
	r.think(t)
	r.settle(t)
}

func (r *Router) learn(t *txn, h *hop, o Outcome) {
	switch o.Code {
	case Completed:
		h.to.heard = r.now
		r.judge(h.to, false)
		if o.Remark == Hit || o.Remark == Old {
			r.hold(t, h, false)
			return
		}
		if h.source != h.to {
			h.source.heard = r.now
			r.judge(h.source, false)
		}
		r.hold(t, h, true)
	case Errored, Busy:
		h.to.heard = r.now
		switch o.Remark {
		case SourceRefused, SourceLost, OriginFailed:
			if o.Remark != SourceLost {
				h.source.heard = r.now
			}
			r.judge(h.source, true)
		case SourceLacks:
			h.source.heard = r.now
			if x := h.source.held[t.p]; x != nil {
				h.source.unlist(x)
			}
		default:
			r.judge(h.to, true)
			if o.Remark == Untold && h.fill && h.source != h.to && r.rec["tells"] != "all" {
				r.judge(h.source, true)
			}
		}
	case Miss:
		h.to.heard = r.now
		if x := h.source.held[t.p]; x != nil && h.sibling {
			h.source.unlist(x)
		}
	case NoConnect, Broken:
		r.judge(h.to, true)
	}
}

// hold keeps the held list of a cache: what answers showed there. A part filled though thought held was lost; its
// idle time before that miss is a sample of T.
func (r *Router) hold(t *txn, h *hop, filled bool) {
	if !r.isCache(h.to) || t.Write {
		return
	}
	x := h.to.held[t.p]
	if x != nil && filled && r.rec.NumItem("fresh_s", t.Rule, 0) == 0 {
		h.to.idles = keep(h.to.idles, max(h.sent-x.used, 0), keptSamples)
	}
	if filled && h.rank == 0 {
		if x != nil {
			h.to.unlist(x)
		}
		return
	}
	if x == nil {
		r.seq++
		x = &holding{p: t.p, seq: r.seq, fill: r.now}
		h.to.list(x)
	}
	if filled {
		x.fill = r.now
	}
	x.kb, x.used = t.KB, r.now
}
