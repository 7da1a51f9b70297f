// Every decision of the router. New starts an instance from its seed and its records; Decide takes one event
// with the clock and returns the actions, in order. Events, actions and their types are in interface.go. A
// txn's wanted state is the hops that should be out, whether it is held, a verdict and a wake time. Handlers
// change only what is wanted; settle works out the difference to what is and emits it.
package routing

import (
	"cmp"
	"math"
	"slices"
)

const (
	alpha        = 0.75    // cost of a fill over that of a pass, under 1: a pass uses as much and leaves nothing
	gamma        = 0.25    // weight of the newest gap, from the design's source
	firstHorizon = 10.0    // s, T before any idle time was seen, from the design
	hubFactor    = 2.0     // times as seldom first in hash order a hub on the way: a fill costs so much more
	leastHorizon = 1.0     // s, T at least: a purge told late must not close the cache to new parts
	fillRank     = 2       // rank of 1 to 3 on a serve: the middle one
	keptSamples  = 10      // samples kept of a member's ends and idle times: few, so that a change shows soon
	keptSizes    = 64      // sending times kept a remap rule: sizes vary widely, the mean needs more of them
	sizesNeeded  = 8       // samples before their mean is believed
	heldAge      = 3.0     // T, idle time after which a part leaves the held list: surely displaced by then
	forgetAfter  = 60.0    // s, idle time after which an object is forgotten: several T
	sweepEvery   = 5.0     // s between sweeps of what is forgotten
	mostObjects  = 1 << 17 // objects remembered at most, some tens of MB; beyond it forgetting is faster
	endMargin    = 0.006   // s before the time limit at which a txn is given up: a few ticks
	windowMargin = 0.25    // s kept free of a keyed txn's window for the way to the member
	lateBase     = 0.5     // share of the SLA time, without its stretch, after which a hop is looked at
	lateStretch  = 1.3     // sending times added to that: a busy link stretches a transfer
	quiet        = 0.35    // s without a sign of life at least before silence is suspected: over usual pauses
	lostMore     = 1.3     // times as slow, for its size, as any of late is silent or lost: a jam slows all
	silences     = 4.0     // usual times between signs of life that tell of silence: by chance one wait in fifty
	lookOdds     = 0.1     // odds of a hit where none was expected that make a look worth its hop
	lookAgain    = 0.1     // s between looks at a late hop, and before a txn asks again where it failed
	benchFirst   = 1.0     // s on the bench at first: some dozens of txns would go there in it
	benchMost    = 4.0     // s on the bench at most: a member that is back is wanted soon
	ownWord      = 0.004   // s in which only the cache itself can have refused: sources are a hub away
	badShare     = 0.5     // share of failed ends that benches: below it hops cost less than a lost cache
	badLeast     = 4       // failed ends at least for that: chance
	doubtTimes   = 2.0     // times on the bench that others' failures there count for
	doubtful     = 0.5     // doubt by others at which one own failed end benches: two who are no liars say so
	freshRoom    = 2.0     // hops in flight at a member just back; one more for each answer
	burst        = 1.0     // of the root of a cache's share, added to it: one router's traffic swings so much
	leastRoom    = 0.1     // hops in flight that a share starts at, for members without weight
	leastShare   = 0.2     // of its starting share that a gate always lets through: it must go on learning
	stretchRoom  = 1.5     // hops in flight a transfer of capacity: the SLA's stretch leaves that and a margin
	jamShare     = 0.15    // share of late ones among the last few that tells of a jam: single ones are chance
	jamLasts     = 1.0     // s after a cut for which old copies will do: jams pass slower than that
	together     = 0.5     // hops added in a round of answers, by the root of the sharers: more outruns the cuts
	roomCut      = 0.8     // what a late or refused hop leaves of a gate's room
	cutEvery     = 0.25    // s between cuts: the hops then out all tell of the same jam
	inTime       = 0.8     // share of the SLA time beyond which a hop tells of a jam; at 1 more came late
	holdStretch  = 2.0     // sending times that a hop needs where ways are so full that txns are held
	mostTries    = 12      // held txns looked at after each end, densest first: bounds the work
	coldSpend    = 1.0     // share of a cold member's present capacity that is used: half of what topples it
	ageMargin    = 1e-4    // s by which a copy must be younger than the purge: rounding
	mostPurges   = 1 << 14 // purges that count, some MB: hours of them; boxes may return with a disk
	leastAge     = 2e-6    // s, an age that is never rounded to 0, which means any
	againAfter   = 1.5     // s a rejected client is told to stay away: jams last seconds, a repeat adds to one
)

// New starts a router that knows nothing but its records.
func New(seed uint64, rec Settings) *Router {
	return &Router{rec: rec, pcg: seed, nums: map[string]float64{}, rules: map[ClassIndex]*rule{},
		txns: map[RequestID]*txn{}, bySeq: map[uint64]*txn{}, objects: map[string]*object{},
		purges: map[void]float64{}}
}

// Decide takes one event and returns what is to be done. The slice is good until the next call.
func (r *Router) Decide(now float64, ev Event) []Action {
	r.now, r.acts = now, r.acts[:0]
	switch ev := ev.(type) {
	case EndpointUpdate:
		r.listing(ev)
	case RequestArrived:
		r.arrive(ev)
	case AttemptEnded:
		r.outcome(ev)
	case ClientDisconnected:
		if t := r.txns[ev.Request]; t != nil {
			t.over = true
			r.settle(t)
		}
	case TimerFired:
		if t := r.bySeq[ev.Token]; t != nil {
			t.armed = 0
			r.think(t)
		}
	case Purge:
		r.purged(ev)
	case AttemptStalled:
		if t := r.txns[ev.Request]; t != nil && ev.Attempt >= 0 && ev.Attempt < len(t.hops) {
			t.hops[ev.Attempt].stuck = true
			r.think(t)
		}
	case HealthObservation: // it takes nothing out by itself: a hop of our own has to fail too
		if m := r.known(ev.Endpoint); m != nil {
			m.doubted = r.now + ev.ValidSeconds*flag(ev.Suspicion >= doubtful)
		}
	case RetryBudgetChanged:
		if m := r.known(ev.Endpoint); m != nil {
			m.spentUp = !ev.Available
		} else if ev.Endpoint == "" {
			r.rule(ev.Class).spentUp = !ev.Available
		}
	}
	return r.acts
}

// settle emits the difference between what is wanted for a txn and what is.
func (r *Router) settle(t *txn) {
	done := t.over || t.verdict != nil
	for i, h := range t.hops {
		if h.out && (done || !h.wanted) && !h.stop && r.rec.Bool("may_cancel") {
			h.stop = true
			r.acts = append(r.acts, CancelAttempt{t.Request, i})
		}
		if h.wanted && !h.begun && !done {
			h.begun, h.out, h.sent = true, true, r.now
			r.acts = append(r.acts, StartAttempt{Request: t.Request, Endpoint: h.to.ID, Deadline: t.Deadline, Source: h.source.ID,
				RetentionRank: h.rank, MaxAgeSeconds: h.maxAge, JoinFill: r.rec.Bool("may_join"), CacheOnly: h.sibling || h.look,
				Revalidate: r.rule(t.Class).fresh > 0})
			h.to.out++
			for _, g := range h.gates {
				g.out += h.load
			}
			for _, m := range [2]*member{h.to, h.source} {
				if r.warmth(m) < 1 && (m == h.to || h.fill) {
					m.spent = append(m.spent, sample{r.now, r.cost(t, m)})
				}
			}
		}
	}
	r.enqueue(t, t.held && !done)
	if t.verdict != nil && !t.over {
		t.over = true
		r.acts = append(r.acts, t.verdict)
	}
	if t.over && !slices.ContainsFunc(t.hops, func(h *hop) bool { return h.out }) {
		delete(r.txns, t.Request)
		delete(r.bySeq, t.seq)
	} else if !t.over && (t.armed == 0 || t.wake < t.armed) {
		t.armed = t.wake
		r.acts = append(r.acts, SetTimer{max(t.wake-r.now, 0), t.seq})
	}
}

// open says whether a gate lets one more through. A share of less than one hop is spent in turns, with rests.
func (g *gate) open(now float64) bool { return g.out < g.room && now >= g.rest }

func (g *gate) release(now, load, took float64, used bool) {
	if g.out = max(g.out-load, 0); used && g.room < load {
		g.rest = now + took*(load/g.room-1)
	}
}

// share gives a gate its starting share of what n routers use together.
func (g *gate) share(room, n float64) {
	g.room, g.part = max(room, leastRoom), min(together/math.Sqrt(n), 1)
	g.proven, g.least = g.room, leastShare*g.room
}

// ease raises the least of a way behind the caches: few sharers see most of its answers, no deep cuts needed.
func (g *gate) ease(n float64) { g.least = max(leastShare, 1/math.Sqrt(n)) * g.room }

// grow takes an answer in time.
func (g *gate) grow() {
	g.lates = keep(g.lates, 0, keptSamples)
	if g.room < g.proven {
		g.room = min(g.room+1, g.proven)
	} else if g.room < 1 || g.out > g.room/2 {
		g.room += g.part / max(g.room, 1)
	}
}

// shrink takes a sign of a jam: late answers count when they are many of the last few, a refusal at once.
func (g *gate) shrink(now float64, refused bool) {
	g.lates = keep(g.lates, 1, keptSamples)
	if now > g.cut+cutEvery && (refused || mean(g.lates) >= jamShare) {
		g.room, g.cut = max(g.room*roomCut, g.least), now
		g.proven = g.room
	}
}

// listing takes news of the members. A member that starts again is empty, cold and unjudged.
func (r *Router) listing(l EndpointUpdate) {
	if l.Kind == Unavailable || (l.Kind == Restored && r.rec["list"] == "asked") {
		r.acts = append(r.acts, SubscribeEndpoints{})
	}
	for _, m := range r.take(l) {
		share := stretchRoom * m.Weight / m.sharers
		m.share(share+flag(m.role == cache)*burst*math.Sqrt(share*(1-1/m.sharers)), m.sharers)
		if m.role == parent {
			m.ease(m.sharers)
		}
		if r.warmth(m) < 1 {
			m.room = freshRoom
		}
	}
	if r.link.room == 0 {
		flow := r.rec.FloatItem("link_in_kb_s", int(r.num("location", 0)), 0) / max(r.num("pace_kb_s", 0), 1)
		sum := 0.0
		for _, m := range r.caches {
			if sum += stretchRoom * m.Weight / m.sharers; flow > 0 {
				sum = stretchRoom * flow / m.sharers
			}
			r.link.share(sum, m.sharers)
			r.link.ease(m.sharers)
		}
		for _, m := range r.origins { // its weight says nothing: as much as the link, until it tells
			m.share(sum, m.sharers)
		}
	}
}

// warmth is the share of its capacity that a member surely has: a line from the cold share up to all of it.
func (r *Router) warmth(m *member) float64 {
	if m.StartedAt <= 0 || m.role == origin {
		return 1
	}
	floor, over := r.num("cold_share", 1), r.num("cold_s", 0)
	if m.role == parent {
		floor, over = r.num("parent_cold_share", 1), r.num("parent_cold_s", 0)
	}
	if over <= 0 || r.now >= m.StartedAt+over {
		return 1
	}
	return floor + (1-floor)*max(r.now-m.StartedAt, 0)/over
}

// cost is the work in sending seconds that a hop counts for: its rule's mean, at a parent its own if more.
func (r *Router) cost(t *txn, m *member) float64 {
	u := r.rule(t.Class)
	return max(believed(u.sizes, max(t.send, u.sla)), flag(m.role == parent)*t.send)
}

// affords guards cold members (rule 4): in any window this router spends no more than its even part of what a
// cache, or a parent with its fills, can do then. It could harm where other routers are idle.
func (r *Router) affords(t *txn, m *member) bool {
	warm, window := r.warmth(m), r.num("fall_s", 1)
	return warm >= 1 || r.cost(t, m)+m.spentSince(r.now-window) <= coldSpend*warm*m.Weight*window/m.sharers
}

// arrive takes a txn and decides its first hop.
func (r *Router) arrive(a RequestArrived) {
	r.seq++
	a.SizeKB = cmp.Or(max(a.SizeKB, 0), 1) // where sizes are not told parts are counted
	t := &txn{RequestArrived: a, seq: r.seq, came: r.now}
	if pace := r.num("pace_kb_s", 0); pace > 0 {
		t.send = a.SizeKB / pace
	}
	u := r.rule(t.Class)
	t.sla, t.dense = u.sla+t.send*u.stretch, u.importance/a.SizeKB
	r.txns[t.Request], r.bySeq[t.seq] = t, t
	u.sizes = keep(u.sizes, t.send, keptSizes)
	r.sweep()
	t.obj = r.object(a.Object, a.ObjectGroup)
	t.obj.last, t.p = r.now, t.obj.part(a.Chunk)
	t.unseen = !t.p.seen
	r.think(t)
}

func (p *part) gap(now float64) float64 { return gamma*(now-p.last) + (1-gamma)*p.dt }

// key orders parts by their gaps, largest first, the same at any time.
func (p *part) key() float64 { return gamma*p.last - (1-gamma)*p.dt }

// gap is the averaged gap of a txn's part; an unseen part has the largest of its object's parts held at m.
// Where none is held it may be another router's repeat, with a gap of T: T/gap is the odds of that.
func (r *Router) gap(t *txn, m *member) float64 {
	if !t.unseen {
		return t.p.gap(r.now)
	}
	largest := 0.0
	for _, p := range t.obj.parts {
		if m.held[p] != nil {
			largest = max(largest, p.gap(r.now))
		}
	}
	return cmp.Or(largest, r.horizon(m)/(1-r.odds()))
}

// request updates the part's gap, once a txn, and its place in the held lists.
func (r *Router) request(t *txn, m *member) {
	p, dt := t.p, r.horizon(m)
	if p.seen {
		dt = p.gap(r.now)
	}
	for _, c := range r.local {
		c.unlist(p, false)
	}
	p.seen, p.dt, p.last = true, dt, r.now
	for _, c := range r.local {
		if h := c.held[p]; h != nil {
			c.list(h, p.key())
		}
	}
}

// horizon is T: the mean idle time before a miss of what was thought held.
func (r *Router) horizon(m *member) float64 {
	if len(m.idles) == 0 {
		return firstHorizon
	}
	return max(mean(m.idles), leastHorizon)
}

func (r *Router) uncacheable(t *txn) bool {
	return t.Write || r.rule(t.Class).uncacheable
}

// serves is the design's choice: true to fill and keep a missing part at m, false to pass it unkept.
func (r *Router) serves(t *txn, m *member) bool {
	if r.uncacheable(t) {
		return false
	}
	T := r.horizon(m)
	for len(m.order) > 0 && r.now-m.order[0].used > heldAge*T {
		m.unlist(m.order[0].p, true)
	}
	if m.held[t.p] != nil {
		return true
	}
	cf, cr, need := 2*alpha/(alpha+1), 2/(alpha+1), t.SizeKB
	serve, pass := need*cf, need*cr+need*T/r.gap(t, m)*min(cf, cr)
	for _, h := range m.order {
		if need <= 0 || serve >= pass {
			break
		}
		serve += min(h.kb, need) * T / h.p.gap(r.now) * min(cf, cr)
		need -= h.kb
	}
	return serve < pass
}

// place orders members by the hash of an object; a larger one, or one at a nearer hub, is first more often.
func place(id string, m *member) float64 {
	return math.Log(unit(id+" "+string(m.ID))) / max(m.Weight, 1e-3) * math.Pow(hubFactor, m.away)
}

// usable says whether a txn may use a member: at level 0 if it has not failed it, at level 1 if it is not on
// the bench, at level 2 anyhow if all are. Cold guards and gates hold at all levels; writes pass the gates.
func (r *Router) usable(t *txn, m *member, level int, used func(*hop, *member) bool) bool {
	barred := m.spentUp && len(t.hops) > 0 || m.benched > r.now && (level < 2 || r.spare(m))
	if barred || !(m.open(r.now) || (t.Write && m.proven <= m.room)) {
		return false
	}
	for _, h := range t.hops {
		if used(h, m) && (level == 0 || r.now < h.over+lookAgain) {
			return false
		}
	}
	return r.affords(t, m)
}

// next decides a further hop, or nil if nobody has room now. Where a way is closed and the part not known to
// be before it, one hop only looks, at the cache or as far as the parent; a wrong guess costs one short hop.
func (r *Router) next(t *txn) *hop {
	caches, parents := r.ordered(t.obj)
	direct, write := r.rec.Bool("may_go_direct"), r.uncacheable(t)
	sources := [2][]*member{parents, r.origins}
	if write {
		sources = [2][]*member{r.origins, parents}
	}
	h := &hop{load: 1}
	for level := 0; level < 3 && h.to == nil; level++ {
		lists := [3][]*member{caches}
		if direct && write {
			lists = [3][]*member{sources[0], sources[1], caches}
		} else if direct && level > 0 && r.link.open(r.now) {
			lists = [3][]*member{caches, sources[0], sources[1]}
		}
		for _, list := range lists {
			for _, m := range list {
				if h.to == nil && r.usable(t, m, level, sentTo) && r.inGroup(t, m) {
					h.to = m
				}
			}
		}
	}
	if h.to == nil {
		return nil
	}
	if h.source = h.to; h.to.role != cache {
		if h.fill = true; write && len(r.origins) > 0 {
			h.source = r.origins[0]
		}
		h.gates = []*gate{&r.link}
		return h
	}
	h.fill = h.to.held[t.p] == nil
	if m := r.sibling(t, h.to); m != nil {
		h.source, h.sibling, h.gates = m, true, []*gate{&m.gate}
		return h
	}
	for level := 0; level < 3 && h.source == h.to; level++ {
		for _, list := range sources {
			for _, m := range list {
				if h.source == h.to && r.usable(t, m, level, filledFrom) {
					h.source = m
				}
			}
		}
	}
	if !h.fill {
		return h
	}
	if h.load = r.odds(); !t.p.near {
		h.far = r.wayToOrigin()
	}
	closed := h.source == h.to || (!t.Write && !r.link.open(r.now))
	if closed || (!t.Write && h.far != nil && !h.far.open(r.now)) {
		if h.far, h.look = nil, true; closed || h.source.role == origin {
			h.source, h.fill = h.to, false
		}
		if write || slices.ContainsFunc(t.hops, looked) || (h.source == h.to && r.odds() > 1-lookOdds) {
			return nil
		} else if h.source == h.to {
			return h
		}
	}
	if h.gates = []*gate{&h.source.gate, &r.link}; h.far != nil && h.far != &h.source.gate {
		h.gates = append(h.gates, h.far)
	}
	return h
}

// odds is the share of the last few hops thought to miss that did.
func (r *Router) odds() float64 { return believed(r.misses, 1) }

// sibling names another cache of the location that answers showed holding a part which the chosen one lacks:
// after restarts, ejections and skips. Link and parent are spared; a wrong guess costs one short hop.
func (r *Router) sibling(t *txn, to *member) *member {
	s, fresh := r.rec["siblings"], r.rule(t.Class).fresh
	if (s != "location" && s != "any") || to.held[t.p] != nil || r.uncacheable(t) ||
		slices.ContainsFunc(t.hops, func(h *hop) bool { return h.sibling }) {
		return nil
	}
	for _, m := range r.caches {
		if h := m.held[t.p]; h != nil && m != to && m.benched <= r.now && m.open(r.now) && r.affords(t, m) &&
			r.now-h.used < r.horizon(m) && (fresh == 0 || r.now-h.fill < fresh/2) {
			return m
		}
	}
	return nil
}

// inGroup keeps a keyed txn that may have run within the group that drops its repeats (rule 2).
func (r *Router) inGroup(t *txn, m *member) bool {
	group := r.rule(t.Class).group
	return r.rule(t.Class).effect != "keyed" || !slices.ContainsFunc(t.hops, func(h *hop) bool {
		away := group == "zone" && h.to.Zone != m.Zone || group == "cell" && h.to.Cell != m.Cell
		return away && h.mayHaveRun()
	})
}

func (h *hop) mayHaveRun() bool {
	return h.begun && (h.out || !(h.end == Overloaded || h.end == ConnectFailed || h.end == NotSent || h.end == CacheMiss))
}

// oldest is the oldest copy that will do (rule 5): younger than any purge. Running boxes drop what was purged
// soon; one that was down may return with it on a disk. So a purge counts while it is remembered, and of a
// member that started since the forgotten ones, nothing from before them will do. A copy past its fresh time
// will do if it earns more than a late answer and fills are jammed or one has failed.
func (r *Router) oldest(t *txn, h *hop) float64 {
	at := max(r.purges[void{object: t.Object}], r.purges[void{group: t.ObjectGroup}])
	for _, m := range [2]*member{h.to, h.source} {
		at = max(at, r.forgot*flag(m.StartedAt > r.forgot))
	}
	age := math.Inf(1)
	if at > 0 {
		age = max(r.now-at-ageMargin, leastAge)
	}
	u := r.rule(t.Class)
	jam := len(t.hops) > 0 || r.now < max(r.wayToOrigin().cut, r.link.cut)+jamLasts
	if jam && u.stale > 0 && u.old > u.late {
		return min(age, u.fresh+u.stale)
	} else if math.IsInf(age, 1) || (u.fresh > 0 && age > u.fresh) {
		return 0
	}
	return age
}

// think decides what is wanted for a txn now, and settles it.
func (r *Router) think(t *txn) {
	defer r.settle(t)
	if t.over || t.verdict != nil {
		return
	}
	t.held, t.wake = false, t.Deadline-endMargin
	if r.now >= t.wake {
		r.unanswered(t)
		r.giveUp(t)
		return
	}
	waiting, out := false, false
	for _, h := range t.hops {
		if !h.out {
			continue
		}
		out = true
		if h.wanted && (h.stuck || r.now >= h.late && r.silent(h)) {
			// A second copy beside it, else one after it; one that must not run twice is waited for.
			h.wanted = r.rec.Bool("may_double") || r.rule(t.Class).effect == "unrepeatable"
			h.late, h.stuck = math.Inf(1), false
		}
		if h.wanted && !math.IsInf(h.late, 1) {
			waiting = true
			t.wake = min(t.wake, max(h.late, r.now+lookAgain))
		}
	}
	if waiting || (out && !r.rec.Bool("may_double")) {
		return
	}
	if !r.mayRepeat(t) {
		if !out {
			r.giveUp(t)
		}
		return
	}
	if h := r.next(t); h != nil {
		if h.to.role == cache && r.serves(t, h.to) {
			h.rank = fillRank
		}
		if len(t.hops) == 0 {
			r.request(t, h.to)
		}
		h.maxAge, h.wanted = r.oldest(t, h), true
		h.late = r.now + lateBase*r.rule(t.Class).sla + lateStretch*t.send
		t.hops = append(t.hops, h)
		t.wake = min(t.wake, h.late)
		return
	}
	// Nobody has room: held while a hop on full ways could still be in time, then given up at once. One that
	// goes out later fills the ways of those that could.
	patience := t.came + inTime*t.sla - holdStretch*t.send
	if out || (r.now < patience && len(r.caches) > 0) {
		t.held, t.wake = true, min(t.wake, max(patience, r.now+lookAgain))
		return
	}
	r.giveUp(t)
}

// mayRepeat says whether a further hop is allowed (rule 2), and left in its remap rule's budget.
func (r *Router) mayRepeat(t *txn) bool {
	if float64(len(t.hops)) >= r.num("max_hops", 1) || (len(t.hops) > 0 && r.rule(t.Class).spentUp) {
		return false
	}
	effect, window := r.rule(t.Class).effect, r.rule(t.Class).window
	return effect == "repeatable" || !slices.ContainsFunc(t.hops, func(h *hop) bool {
		return h.mayHaveRun() && (effect != "keyed" || r.now > h.sent+window-windowMargin)
	})
}

// giveUp answers at once: rejected where trying again is harmless, aborted else (rule 2).
func (r *Router) giveUp(t *txn) {
	effect, all := r.rule(t.Class).effect, r.rule(t.Class).group == "all"
	t.verdict = AbortRequest{t.Request}
	if effect == "repeatable" || !slices.ContainsFunc(t.hops, (*hop).mayHaveRun) || (effect == "keyed" && all) {
		again := flag(r.rec.Bool("tells_retry")) * againAfter * (0.5 + r.chance())
		t.verdict = RejectRequest{t.Request, min(again, r.num("max_retry_s", 0))}
	}
}

// silent judges a late hop's cache, then its source: nothing was heard since it was sent, several times as
// long as usual, and it is slower for its size than any of late by a margin. It covers hangs, lost machines,
// cut ways. To a router that hears a member once in a while a long transfer is silent: taken for lost it is
// fetched twice and its cache benched. It could harm where all became slow at once.
func (r *Router) silent(h *hop) bool {
	m, wait := h.to, quiet
	if m.heard() >= h.sent && h.fill {
		m, wait = h.source, 2*quiet
	}
	usual := r.now-h.sent <= max(wait, silences*m.interval()) || r.slowness(h) <= lostMore*r.slowest()
	if usual || m.heard() >= h.sent {
		return r.lost(h)
	}
	r.bench(m)
	return true
}

// lost judges a late hop whose member is heard: it takes longer for its size than any of the last dozens, and
// most that did so lately never ended. It covers answers that never come; each one given up raises the bar.
func (r *Router) lost(h *hop) bool {
	if len(r.never) < badLeast || mean(r.never) < badShare || r.slowness(h) <= r.slowest() {
		return false
	}
	r.slow = keep(r.slow, lostMore*r.slowness(h), keptSizes)
	return true
}

// bench keeps hops from a member for a while, if another in its place is in service; else, as with the
// origin, its gate shrinks: where all seem sick the cause is common, and benches would close the field.
func (r *Router) bench(m *member) {
	if m.role == origin || !r.spare(m) {
		m.shrink(r.now, true)
	} else if m.benched <= r.now {
		times := float64(min(m.strikes, 8)) + doubtTimes*flag(r.now < m.doubted)
		m.benched = r.now + min(benchFirst*math.Pow(2, times), benchMost)
		m.ends, m.room, m.strikes = nil, 1, m.strikes+1
	}
}

// judge lays an end to a member. Failing ends bench it when they are half of the last few, or at once while
// it is on trial or others doubt it; it covers errors, refused fills, refused and broken connections.
func (r *Router) judge(m *member, bad bool) {
	if !bad && m.room >= m.proven {
		m.strikes = 0
	}
	m.ends = keep(m.ends, flag(bad), keptSamples)
	share := mean(m.ends)
	often := share*float64(len(m.ends)) >= badLeast && share >= badShare
	if bad && (m.strikes > 0 && share == 1 || r.now < m.doubted || often) {
		r.bench(m)
	}
}

// outcome learns from the end of a hop and decides what follows, here and for what is held.
func (r *Router) outcome(o AttemptEnded) {
	t := r.txns[o.Request]
	if t == nil || o.Attempt < 0 || o.Attempt >= len(t.hops) || !t.hops[o.Attempt].out {
		return
	}
	h := t.hops[o.Attempt]
	h.out, h.wanted, h.end, h.over = false, false, o.Result, r.now
	h.to.release(r.now, 1, o.ElapsedSeconds, true)
	for _, g := range h.gates {
		g.release(r.now, h.load, o.ElapsedSeconds, o.Result != Completed || (o.Detail != CacheHit && o.Detail != StaleHit))
	}
	r.learn(t, h, o)
	t.over = t.over || o.RequestDone
	r.think(t)
	for _, held := range slices.Clone(r.queue[:min(len(r.queue), mostTries)]) {
		r.think(held)
	}
}

func (r *Router) learn(t *txn, h *hop, o AttemptEnded) {
	filled := o.Result == Completed && o.Detail != CacheHit && o.Detail != StaleHit
	x := o.ElapsedSeconds / (h.late - h.sent) // 0 for a hop that was taken for lost
	if len(r.slow) == keptSizes && x > slices.Max(r.slow) {
		r.never = keep(r.never, flag(o.Result == Cancelled || o.Result == TimedOut), keptSamples)
	}
	if o.Result == Completed || o.Result == ServerError || o.Result == Overloaded || o.Result == CacheMiss {
		h.to.hear(r.now)
	}
	switch o.Result {
	case Completed:
		for _, x := range t.hops { // not before: an error is the txn's own fault if it meets it everywhere
			if x.accused {
				if r.judge(x.to, true); x.blind {
					r.judge(x.source, true)
				}
			}
		}
		r.judge(h.to, false)
		r.slow = keep(r.slow, x, keptSizes)
		if filled && h.source != h.to {
			h.source.hear(r.now)
			r.judge(h.source, false)
		}
		t.p.near = t.p.near || filled && !h.sibling
		if h.fill && !h.sibling && !h.look && h.to.role == cache {
			r.misses = keep(r.misses, flag(filled), keptSizes)
		}
		r.hold(t, h, filled)
		r.tune(t, h, o, filled)
	case ServerError, Overloaded:
		switch o.Detail {
		case SourceRefused, SourceUnreachable, OriginFailed:
			// A source that was heard since is not the one that failed: the origin behind it is.
			if o.Detail == OriginFailed || (o.Detail == SourceUnreachable && h.far != nil && h.source.heard() > h.sent) {
				h.source.hear(r.now)
				r.wayToOrigin().shrink(r.now, true)
			} else if h.source.shrink(r.now, true); o.Detail == SourceUnreachable {
				r.judge(h.source, true)
			}
		case SourceCacheMiss:
			h.source.hear(r.now)
			h.source.unlist(t.p, true)
		default:
			h.blind = h.fill && h.source != h.to && r.rec["tells"] != "all"
			if o.Detail == FillSlotsExhausted || (o.Result == Overloaded && h.blind && o.ElapsedSeconds < ownWord) {
				r.link.shrink(r.now, true) // fills have taken all places
			} else if o.Result == Overloaded && h.blind {
				h.source.shrink(r.now, true)
				r.judge(h.source, true)
			} else if h.accused = o.Result == ServerError; !h.accused {
				h.to.shrink(r.now, true)
			}
		}
	case CacheMiss:
		if h.sibling {
			h.source.unlist(t.p, true)
		}
	case ConnectFailed, ConnectionBroken:
		r.judge(h.to, true)
	}
}

// tune moves the gates that a completed hop went through; a late one tells of a jam at the first it may be.
func (r *Router) tune(t *txn, h *hop, o AttemptEnded, filled bool) {
	if o.ElapsedSeconds <= inTime*t.sla {
		h.to.grow()
		for i := 0; filled && i < len(h.gates); i++ {
			h.gates[i].grow()
		}
		return
	}
	switch {
	case !filled:
		h.to.shrink(r.now, false)
	case o.Detail == FilledByOrigin && h.far != nil && o.FirstByteSeconds > lateBase*inTime*t.sla:
		h.far.shrink(r.now, false)
	case r.rec["tells"] != "all":
		h.source.shrink(r.now, false)
		r.link.shrink(r.now, false) // either may be to blame; few share the link and most of its fills are seen
	case o.FirstByteSeconds > lateBase*inTime*t.sla:
		h.source.shrink(r.now, false)
	case !h.sibling:
		r.link.shrink(r.now, false)
	}
}

// unanswered lays hops that are still out at the end of their txn's time to the ways they went. Answers alone tell of
// a jam only while some arrive: where none does, gates would stay as wide as they were. One taken for lost is left out.
// It could harm where answers are lost on the way back.
func (r *Router) unanswered(t *txn) {
	for _, h := range t.hops {
		took := r.now - h.sent
		if !h.out || !h.wanted || math.IsInf(h.late, 1) || took <= inTime*t.sla {
			continue
		}
		r.tune(t, h, AttemptEnded{ElapsedSeconds: took, FirstByteSeconds: took}, h.fill)
		if h.far != nil && h.far != &h.source.gate {
			h.far.shrink(r.now, false)
		}
	}
}

// hold keeps the held list of a cache: what answers showed there. A part filled though thought held was lost;
// its idle time before that miss is a sample of T.
func (r *Router) hold(t *txn, h *hop, filled bool) {
	if h.to.role != cache || r.uncacheable(t) {
		return
	}
	x := h.to.held[t.p]
	if x != nil && filled && r.rule(t.Class).fresh == 0 {
		h.to.idles = keep(h.to.idles, max(h.sent-x.used, 0), keptSamples)
	}
	if filled && h.rank == 0 {
		h.to.unlist(t.p, true)
		return
	}
	if x == nil {
		r.seq++
		x = &holding{p: t.p, seq: r.seq, fill: r.now}
		h.to.list(x, t.p.key())
	}
	if filled {
		x.fill = r.now
	}
	x.kb, x.used = t.SizeKB, r.now
}
