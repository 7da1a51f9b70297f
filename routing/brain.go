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
	fillCostRatio       = 0.75    // cost of a fill over that of a pass, under 1: a pass uses as much and leaves nothing
	newestGapWeight     = 0.25    // weight of the newest gap, from the design's source
	initialHorizon      = 10.0    // s, T before any idle time was seen, from the design
	zoneDistanceFactor  = 2.0     // times as seldom first in hash order a hub on the way: a fill costs so much more
	minHorizon          = 1.0     // s, T at least: a purge told late must not close the cache to new parts
	storedRank          = 2       // rank of 1 to 3 on a serve: the middle one
	recentSamples       = 10      // samples kept of a member's ends and idle times: few, so that a change shows soon
	longSamples         = 64      // sending times kept a remap rule: sizes vary widely, the mean needs more of them
	minSamples          = 8       // samples before their mean is believed
	cachedIdleHorizons  = 3.0     // T, idle time after which a part leaves the held list: surely displaced by then
	forgetAfter         = 60.0    // s, idle time after which an object is forgotten: several T
	sweepInterval       = 5.0     // s between sweeps of what is forgotten
	maxObjects          = 1 << 17 // objects remembered at most, some tens of MB; beyond it forgetting is faster
	deadlineMargin      = 0.006   // s before the time limit at which a txn is given up: a few ticks
	idempotencyMargin   = 0.25    // s kept free of a keyed txn's window for the way to the member
	suspectShare        = 0.5     // share of the SLA time, without its stretch, after which a hop is looked at
	suspectSendTimes    = 1.3     // sending times added to that: a busy link stretches a transfer
	minSilence          = 0.35    // s without a sign of life at least before silence is suspected: over usual pauses
	lostSlownessFactor  = 1.3     // times as slow, for its size, as any of late is silent or lost: a jam slows all
	silenceIntervals    = 4.0     // usual times between signs of life that tell of silence: by chance one wait in fifty
	minCacheOnlyHitRate = 0.1     // odds of a hit where none was expected that make a look worth its hop
	recheckInterval     = 0.1     // s between looks at a late hop, and before a txn asks again where it failed
	firstEjection       = 1.0     // s on the bench at first: some dozens of txns would go there in it
	maxEjection         = 4.0     // s on the bench at most: a member that is back is wanted soon
	localRefusal        = 0.004   // s in which only the cache itself can have refused: sources are a hub away
	ejectFailureShare   = 0.5     // share of failed ends that benches: below it hops cost less than a lost cache
	ejectFailureCount   = 4       // failed ends at least for that: chance
	suspicionEjections  = 2.0     // times on the bench that others' failures there count for
	suspicionThreshold  = 0.5     // doubt by others at which one own failed end benches: two who are no liars say so
	coldLimit           = 2.0     // hops in flight at a member just back; one more for each answer
	burstAllowance      = 1.0     // of the root of a cache's share, added to it: one router's traffic swings so much
	minStartingLimit    = 0.1     // hops in flight that a share starts at, for members without weight
	minLimitShare       = 0.2     // of its starting share that a gate always lets through: it must go on learning
	limitPerCapacity    = 1.5     // hops in flight a transfer of capacity: the SLA's stretch leaves that and a margin
	congestionShare     = 0.15    // share of late ones among the last few that tells of a jam: single ones are chance
	congestionLasts     = 1.0     // s after a cut for which old copies will do: jams pass slower than that
	growthPerRound      = 0.5     // hops added in a round of answers, by the root of the sharers: more outruns the cuts
	decreaseFactor      = 0.8     // what a late or refused hop leaves of a gate's room
	decreaseInterval    = 0.25    // s between cuts: the hops then out all tell of the same jam
	timelyShare         = 0.8     // share of the SLA time beyond which a hop tells of a jam; at 1 more came late
	queuedSendTimes     = 2.0     // sending times that a hop needs where ways are so full that txns are held
	maxQueueRetries     = 12      // held txns looked at after each end, densest first: bounds the work
	coldBudgetShare     = 1.0     // share of a cold member's present capacity that is used: half of what topples it
	purgeAgeMargin      = 1e-4    // s by which a copy must be younger than the purge: rounding
	maxPurges           = 1 << 14 // purges that count, some MB: hours of them; boxes may return with a disk
	minCopyAge          = 2e-6    // s, an age that is never rounded to 0, which means any
	retryAfterMean      = 1.5     // s a rejected client is told to stay away: jams last seconds, a repeat adds to one
)

// New starts a router that knows nothing but its records.
func New(seed uint64, rec Settings) *Router {
	return &Router{settings: rec, randomState: seed, numbers: map[string]float64{}, classes: map[ClassIndex]*class{},
		requests: map[RequestID]*request{}, requestsByToken: map[uint64]*request{}, objects: map[string]*object{},
		purges: map[purgeKey]float64{}}
}

// Decide takes one event and returns what is to be done. The slice is good until the next call.
func (r *Router) Decide(now float64, ev Event) []Action {
	r.now, r.actions = now, r.actions[:0]
	switch ev := ev.(type) {
	case EndpointUpdate:
		r.updateEndpoints(ev)
	case RequestArrived:
		r.requestArrived(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case ClientDisconnected:
		if t := r.requests[ev.Request]; t != nil {
			t.done = true
			r.reconcile(t)
		}
	case TimerFired:
		if t := r.requestsByToken[ev.Token]; t != nil {
			t.timerAt = 0
			r.plan(t)
		}
	case Purge:
		r.recordPurge(ev)
	case AttemptStalled:
		if t := r.requests[ev.Request]; t != nil && ev.Attempt >= 0 && ev.Attempt < len(t.attempts) {
			t.attempts[ev.Attempt].stalled = true
			r.plan(t)
		}
	case HealthObservation: // it takes nothing out by itself: a hop of our own has to fail too
		if m := r.findEndpoint(ev.Endpoint); m != nil {
			m.suspectedUntil = r.now + ev.ValidSeconds*indicator(ev.Suspicion >= suspicionThreshold)
		}
	case RetryBudgetChanged:
		if m := r.findEndpoint(ev.Endpoint); m != nil {
			m.retryBudgetSpent = !ev.Available
		} else if ev.Endpoint == "" {
			r.class(ev.Class).retryBudgetSpent = !ev.Available
		}
	}
	return r.actions
}

// settle emits the difference between what is wanted for a txn and what is.
func (r *Router) reconcile(t *request) {
	done := t.done || t.finalAction != nil
	for i, h := range t.attempts {
		if h.inFlight && (done || !h.wanted) && !h.cancelled && r.settings.Bool("may_cancel") {
			h.cancelled = true
			r.actions = append(r.actions, CancelAttempt{t.Request, i})
		}
		if h.wanted && !h.started && !done {
			h.started, h.inFlight, h.sentAt = true, true, r.now
			r.actions = append(r.actions, StartAttempt{Request: t.Request, Endpoint: h.target.ID, Deadline: t.Deadline, Source: h.source.ID,
				RetentionRank: h.retentionRank, MaxAgeSeconds: h.maxAge, JoinFill: r.settings.Bool("may_join"), CacheOnly: h.fromPeer || h.cacheOnly,
				Revalidate: r.class(t.Class).freshSeconds > 0})
			h.target.inFlight++
			for _, g := range h.fillLimiters {
				g.inFlight += h.expectedFills
			}
			for _, m := range [2]*endpoint{h.target, h.source} {
				if r.warmShare(m) < 1 && (m == h.target || h.expectMiss) {
					m.recentWork = append(m.recentWork, workSample{r.now, r.workOf(t, m)})
				}
			}
		}
	}
	r.setQueued(t, t.queued && !done)
	if t.finalAction != nil && !t.done {
		t.done = true
		r.actions = append(r.actions, t.finalAction)
	}
	if t.done && !slices.ContainsFunc(t.attempts, func(h *attempt) bool { return h.inFlight }) {
		delete(r.requests, t.Request)
		delete(r.requestsByToken, t.token)
	} else if !t.done && (t.timerAt == 0 || t.wakeAt < t.timerAt) {
		t.timerAt = t.wakeAt
		r.actions = append(r.actions, SetTimer{max(t.wakeAt-r.now, 0), t.token})
	}
}

// open says whether a gate lets one more through. A share of less than one hop is spent in turns, with rests.
func (g *limiter) hasRoom(now float64) bool { return g.inFlight < g.limit && now >= g.pausedUntil }

func (g *limiter) release(now, load, took float64, used bool) {
	if g.inFlight = max(g.inFlight-load, 0); used && g.limit < load {
		g.pausedUntil = now + took*(load/g.limit-1)
	}
}

// share gives a gate its starting share of what n routers use together.
func (g *limiter) setShare(room, n float64) {
	g.limit, g.growthStep = max(room, minStartingLimit), min(growthPerRound/math.Sqrt(n), 1)
	g.provenLimit, g.minLimit = g.limit, minLimitShare*g.limit
}

// ease raises the least of a way behind the caches: few sharers see most of its answers, no deep cuts needed.
func (g *limiter) raiseMinimum(n float64) { g.minLimit = max(minLimitShare, 1/math.Sqrt(n)) * g.limit }

// grow takes an answer in time.
func (g *limiter) increase() {
	g.lateSamples = appendSample(g.lateSamples, 0, recentSamples)
	if g.limit < g.provenLimit {
		g.limit = min(g.limit+1, g.provenLimit)
	} else if g.limit < 1 || g.inFlight > g.limit/2 {
		g.limit += g.growthStep / max(g.limit, 1)
	}
}

// shrink takes a sign of a jam: late answers count when they are many of the last few, a refusal at once.
func (g *limiter) decrease(now float64, refused bool) {
	g.lateSamples = appendSample(g.lateSamples, 1, recentSamples)
	if now > g.decreasedAt+decreaseInterval && (refused || mean(g.lateSamples) >= congestionShare) {
		g.limit, g.decreasedAt = max(g.limit*decreaseFactor, g.minLimit), now
		g.provenLimit = g.limit
	}
}

// listing takes news of the members. A member that starts again is empty, cold and unjudged.
func (r *Router) updateEndpoints(l EndpointUpdate) {
	if l.Kind == Unavailable || (l.Kind == Restored && r.settings["list"] == "asked") {
		r.actions = append(r.actions, SubscribeEndpoints{})
	}
	for _, m := range r.mergeEndpoints(l) {
		share := limitPerCapacity * m.Weight / m.sharers
		m.setShare(share+indicator(m.role == edgeCache)*burstAllowance*math.Sqrt(share*(1-1/m.sharers)), m.sharers)
		if m.role == parentCache {
			m.raiseMinimum(m.sharers)
		}
		if r.warmShare(m) < 1 {
			m.limit = coldLimit
		}
	}
	if r.zoneLink.limit == 0 {
		flow := r.settings.FloatItem("link_in_kb_s", int(r.number("location", 0)), 0) / max(r.number("pace_kb_s", 0), 1)
		sum := 0.0
		for _, m := range r.caches {
			if sum += limitPerCapacity * m.Weight / m.sharers; flow > 0 {
				sum = limitPerCapacity * flow / m.sharers
			}
			r.zoneLink.setShare(sum, m.sharers)
			r.zoneLink.raiseMinimum(m.sharers)
		}
		for _, m := range r.origins { // its weight says nothing: as much as the link, until it tells
			m.setShare(sum, m.sharers)
		}
	}
}

// warmth is the share of its capacity that a member surely has: a line from the cold share up to all of it.
func (r *Router) warmShare(m *endpoint) float64 {
	if m.StartedAt <= 0 || m.role == originServer {
		return 1
	}
	floor, over := r.number("cold_share", 1), r.number("cold_s", 0)
	if m.role == parentCache {
		floor, over = r.number("parent_cold_share", 1), r.number("parent_cold_s", 0)
	}
	if over <= 0 || r.now >= m.StartedAt+over {
		return 1
	}
	return floor + (1-floor)*max(r.now-m.StartedAt, 0)/over
}

// cost is the work in sending seconds that a hop counts for: its rule's mean, at a parent its own if more.
func (r *Router) workOf(t *request, m *endpoint) float64 {
	u := r.class(t.Class)
	return max(meanIfEnough(u.sendSamples, max(t.sendSeconds, u.objective)), indicator(m.role == parentCache)*t.sendSeconds)
}

// affords guards cold members (rule 4): in any window this router spends no more than its even part of what a
// cache, or a parent with its fills, can do then. It could harm where other routers are idle.
func (r *Router) withinColdBudget(t *request, m *endpoint) bool {
	warm, window := r.warmShare(m), r.number("fall_s", 1)
	return warm >= 1 || r.workOf(t, m)+m.workSince(r.now-window) <= coldBudgetShare*warm*m.Weight*window/m.sharers
}

// arrive takes a txn and decides its first hop.
func (r *Router) requestArrived(a RequestArrived) {
	r.sequence++
	a.SizeKB = cmp.Or(max(a.SizeKB, 0), 1) // where sizes are not told parts are counted
	t := &request{RequestArrived: a, token: r.sequence, arrivedAt: r.now}
	if pace := r.number("pace_kb_s", 0); pace > 0 {
		t.sendSeconds = a.SizeKB / pace
	}
	u := r.class(t.Class)
	t.objective, t.priorityPerKB = u.objective+t.sendSeconds*u.objectiveStretch, u.priority/a.SizeKB
	r.requests[t.Request], r.requestsByToken[t.token] = t, t
	u.sendSamples = appendSample(u.sendSamples, t.sendSeconds, longSamples)
	r.forgetIdleObjects()
	t.object = r.findOrAddObject(a.Object, a.ObjectGroup)
	t.object.lastRequest, t.chunk = r.now, t.object.findOrAddChunk(a.Chunk)
	t.firstOfChunk = !t.chunk.requested
	r.plan(t)
}

func (p *chunk) gap(now float64) float64 {
	return newestGapWeight*(now-p.lastRequest) + (1-newestGapWeight)*p.averageGap
}

// key orders parts by their gaps, largest first, the same at any time.
func (p *chunk) gapKey() float64 {
	return newestGapWeight*p.lastRequest - (1-newestGapWeight)*p.averageGap
}

// gap is the averaged gap of a txn's part; an unseen part has the largest of its object's parts held at m.
// Where none is held it may be another router's repeat, with a gap of T: T/gap is the odds of that.
func (r *Router) gap(t *request, m *endpoint) float64 {
	if !t.firstOfChunk {
		return t.chunk.gap(r.now)
	}
	largest := 0.0
	for _, p := range t.object.chunks {
		if m.cached[p] != nil {
			largest = max(largest, p.gap(r.now))
		}
	}
	return cmp.Or(largest, r.horizon(m)/(1-r.missRate()))
}

// request updates the part's gap, once a txn, and its place in the held lists.
func (r *Router) updateGap(t *request, m *endpoint) {
	p, dt := t.chunk, r.horizon(m)
	if p.requested {
		dt = p.gap(r.now)
	}
	for _, c := range r.localCaches {
		c.removeCached(p, false)
	}
	p.requested, p.averageGap, p.lastRequest = true, dt, r.now
	for _, c := range r.localCaches {
		if h := c.cached[p]; h != nil {
			c.addCached(h, p.gapKey())
		}
	}
}

// horizon is T: the mean idle time before a miss of what was thought held.
func (r *Router) horizon(m *endpoint) float64 {
	if len(m.idleSamples) == 0 {
		return initialHorizon
	}
	return max(mean(m.idleSamples), minHorizon)
}

func (r *Router) uncacheable(t *request) bool {
	return t.Write || r.class(t.Class).uncacheable
}

// serves is the design's choice: true to fill and keep a missing part at m, false to pass it unkept.
func (r *Router) shouldStore(t *request, m *endpoint) bool {
	if r.uncacheable(t) {
		return false
	}
	T := r.horizon(m)
	for len(m.byGap) > 0 && r.now-m.byGap[0].lastUsed > cachedIdleHorizons*T {
		m.removeCached(m.byGap[0].chunk, true)
	}
	if m.cached[t.chunk] != nil {
		return true
	}
	cf, cr, need := 2*fillCostRatio/(fillCostRatio+1), 2/(fillCostRatio+1), t.SizeKB
	serve, pass := need*cf, need*cr+need*T/r.gap(t, m)*min(cf, cr)
	for _, h := range m.byGap {
		if need <= 0 || serve >= pass {
			break
		}
		serve += min(h.sizeKB, need) * T / h.chunk.gap(r.now) * min(cf, cr)
		need -= h.sizeKB
	}
	return serve < pass
}

// place orders members by the hash of an object; a larger one, or one at a nearer hub, is first more often.
func hashScore(id string, m *endpoint) float64 {
	return math.Log(hashToUnit(id+" "+string(m.ID))) / max(m.Weight, 1e-3) * math.Pow(zoneDistanceFactor, m.zonesAway)
}

// usable says whether a txn may use a member: at level 0 if it has not failed it, at level 1 if it is not on
// the bench, at level 2 anyhow if all are. Cold guards and gates hold at all levels; writes pass the gates.
func (r *Router) usable(t *request, m *endpoint, level int, used func(*attempt, *endpoint) bool) bool {
	barred := m.retryBudgetSpent && len(t.attempts) > 0 || m.ejectedUntil > r.now && (level < 2 || r.hasAlternative(m))
	if barred || !(m.hasRoom(r.now) || (t.Write && m.provenLimit <= m.limit)) {
		return false
	}
	for _, h := range t.attempts {
		if used(h, m) && (level == 0 || r.now < h.endedAt+recheckInterval) {
			return false
		}
	}
	return r.withinColdBudget(t, m)
}

// next decides a further hop, or nil if nobody has room now. Where a way is closed and the part not known to
// be before it, one hop only looks, at the cache or as far as the parent; a wrong guess costs one short hop.
func (r *Router) chooseAttempt(t *request) *attempt {
	caches, parents := r.hashOrder(t.object)
	direct, write := r.settings.Bool("may_go_direct"), r.uncacheable(t)
	sources := [2][]*endpoint{parents, r.origins}
	if write {
		sources = [2][]*endpoint{r.origins, parents}
	}
	h := &attempt{expectedFills: 1}
	for level := 0; level < 3 && h.target == nil; level++ {
		lists := [3][]*endpoint{caches}
		if direct && write {
			lists = [3][]*endpoint{sources[0], sources[1], caches}
		} else if direct && level > 0 && r.zoneLink.hasRoom(r.now) {
			lists = [3][]*endpoint{caches, sources[0], sources[1]}
		}
		for _, list := range lists {
			for _, m := range list {
				if h.target == nil && r.usable(t, m, level, sentTo) && r.inDeduplicationScope(t, m) {
					h.target = m
				}
			}
		}
	}
	if h.target == nil {
		return nil
	}
	if h.source = h.target; h.target.role != edgeCache {
		if h.expectMiss = true; write && len(r.origins) > 0 {
			h.source = r.origins[0]
		}
		h.fillLimiters = []*limiter{&r.zoneLink}
		return h
	}
	h.expectMiss = h.target.cached[t.chunk] == nil
	if m := r.peerWithChunk(t, h.target); m != nil {
		h.source, h.fromPeer, h.fillLimiters = m, true, []*limiter{&m.limiter}
		return h
	}
	for level := 0; level < 3 && h.source == h.target; level++ {
		for _, list := range sources {
			for _, m := range list {
				if h.source == h.target && r.usable(t, m, level, filledFrom) {
					h.source = m
				}
			}
		}
	}
	if !h.expectMiss {
		return h
	}
	if h.expectedFills = r.missRate(); !t.chunk.filledByParent {
		h.originLimiter = r.originLimiter()
	}
	closed := h.source == h.target || (!t.Write && !r.zoneLink.hasRoom(r.now))
	if closed || (!t.Write && h.originLimiter != nil && !h.originLimiter.hasRoom(r.now)) {
		if h.originLimiter, h.cacheOnly = nil, true; closed || h.source.role == originServer {
			h.source, h.expectMiss = h.target, false
		}
		if write || slices.ContainsFunc(t.attempts, isCacheOnly) || (h.source == h.target && r.missRate() > 1-minCacheOnlyHitRate) {
			return nil
		} else if h.source == h.target {
			return h
		}
	}
	if h.fillLimiters = []*limiter{&h.source.limiter, &r.zoneLink}; h.originLimiter != nil && h.originLimiter != &h.source.limiter {
		h.fillLimiters = append(h.fillLimiters, h.originLimiter)
	}
	return h
}

// odds is the share of the last few hops thought to miss that did.
func (r *Router) missRate() float64 { return meanIfEnough(r.missSamples, 1) }

// sibling names another cache of the location that answers showed holding a part which the chosen one lacks:
// after restarts, ejections and skips. Link and parent are spared; a wrong guess costs one short hop.
func (r *Router) peerWithChunk(t *request, to *endpoint) *endpoint {
	s, fresh := r.settings["siblings"], r.class(t.Class).freshSeconds
	if (s != "location" && s != "any") || to.cached[t.chunk] != nil || r.uncacheable(t) ||
		slices.ContainsFunc(t.attempts, func(h *attempt) bool { return h.fromPeer }) {
		return nil
	}
	for _, m := range r.caches {
		if h := m.cached[t.chunk]; h != nil && m != to && m.ejectedUntil <= r.now && m.hasRoom(r.now) && r.withinColdBudget(t, m) &&
			r.now-h.lastUsed < r.horizon(m) && (fresh == 0 || r.now-h.filledAt < fresh/2) {
			return m
		}
	}
	return nil
}

// inGroup keeps a keyed txn that may have run within the group that drops its repeats (rule 2).
func (r *Router) inDeduplicationScope(t *request, m *endpoint) bool {
	group := r.class(t.Class).deduplicationScope
	return r.class(t.Class).effect != "keyed" || !slices.ContainsFunc(t.attempts, func(h *attempt) bool {
		away := group == "zone" && h.target.Zone != m.Zone || group == "cell" && h.target.Cell != m.Cell
		return away && h.mayHaveRun()
	})
}

func (h *attempt) mayHaveRun() bool {
	return h.started && (h.inFlight || !(h.result == Overloaded || h.result == ConnectFailed || h.result == NotSent || h.result == CacheMiss))
}

// oldest is the oldest copy that will do (rule 5): younger than any purge. Running boxes drop what was purged
// soon; one that was down may return with it on a disk. So a purge counts while it is remembered, and of a
// member that started since the forgotten ones, nothing from before them will do. A copy past its fresh time
// will do if it earns more than a late answer and fills are jammed or one has failed.
func (r *Router) maxCopyAge(t *request, h *attempt) float64 {
	at := max(r.purges[purgeKey{object: t.Object}], r.purges[purgeKey{group: t.ObjectGroup}])
	for _, m := range [2]*endpoint{h.target, h.source} {
		at = max(at, r.purgesForgottenUntil*indicator(m.StartedAt > r.purgesForgottenUntil))
	}
	age := math.Inf(1)
	if at > 0 {
		age = max(r.now-at-purgeAgeMargin, minCopyAge)
	}
	u := r.class(t.Class)
	jam := len(t.attempts) > 0 || r.now < max(r.originLimiter().decreasedAt, r.zoneLink.decreasedAt)+congestionLasts
	if jam && u.staleSeconds > 0 && u.stalePriority > u.latePriority {
		return min(age, u.freshSeconds+u.staleSeconds)
	} else if math.IsInf(age, 1) || (u.freshSeconds > 0 && age > u.freshSeconds) {
		return 0
	}
	return age
}

// think decides what is wanted for a txn now, and settles it.
func (r *Router) plan(t *request) {
	defer r.reconcile(t)
	if t.done || t.finalAction != nil {
		return
	}
	t.queued, t.wakeAt = false, t.Deadline-deadlineMargin
	if r.now >= t.wakeAt {
		r.blameUnanswered(t)
		r.giveUp(t)
		return
	}
	waiting, out := false, false
	for _, h := range t.attempts {
		if !h.inFlight {
			continue
		}
		out = true
		if h.wanted && (h.stalled || r.now >= h.suspectAt && r.isSilent(h)) {
			// A second copy beside it, else one after it; one that must not run twice is waited for.
			h.wanted = r.settings.Bool("may_double") || r.class(t.Class).effect == "unrepeatable"
			h.suspectAt, h.stalled = math.Inf(1), false
		}
		if h.wanted && !math.IsInf(h.suspectAt, 1) {
			waiting = true
			t.wakeAt = min(t.wakeAt, max(h.suspectAt, r.now+recheckInterval))
		}
	}
	if waiting || (out && !r.settings.Bool("may_double")) {
		return
	}
	if !r.mayRetry(t) {
		if !out {
			r.giveUp(t)
		}
		return
	}
	if h := r.chooseAttempt(t); h != nil {
		if h.target.role == edgeCache && r.shouldStore(t, h.target) {
			h.retentionRank = storedRank
		}
		if len(t.attempts) == 0 {
			r.updateGap(t, h.target)
		}
		h.maxAge, h.wanted = r.maxCopyAge(t, h), true
		h.suspectAt = r.now + suspectShare*r.class(t.Class).objective + suspectSendTimes*t.sendSeconds
		t.attempts = append(t.attempts, h)
		t.wakeAt = min(t.wakeAt, h.suspectAt)
		return
	}
	// Nobody has room: held while a hop on full ways could still be in time, then given up at once. One that
	// goes out later fills the ways of those that could.
	patience := t.arrivedAt + timelyShare*t.objective - queuedSendTimes*t.sendSeconds
	if out || (r.now < patience && len(r.caches) > 0) {
		t.queued, t.wakeAt = true, min(t.wakeAt, max(patience, r.now+recheckInterval))
		return
	}
	r.giveUp(t)
}

// mayRepeat says whether a further hop is allowed (rule 2), and left in its remap rule's budget.
func (r *Router) mayRetry(t *request) bool {
	if float64(len(t.attempts)) >= r.number("max_hops", 1) || (len(t.attempts) > 0 && r.class(t.Class).retryBudgetSpent) {
		return false
	}
	effect, window := r.class(t.Class).effect, r.class(t.Class).idempotencyWindow
	return effect == "repeatable" || !slices.ContainsFunc(t.attempts, func(h *attempt) bool {
		return h.mayHaveRun() && (effect != "keyed" || r.now > h.sentAt+window-idempotencyMargin)
	})
}

// giveUp answers at once: rejected where trying again is harmless, aborted else (rule 2).
func (r *Router) giveUp(t *request) {
	effect, all := r.class(t.Class).effect, r.class(t.Class).deduplicationScope == "all"
	t.finalAction = AbortRequest{t.Request}
	if effect == "repeatable" || !slices.ContainsFunc(t.attempts, (*attempt).mayHaveRun) || (effect == "keyed" && all) {
		again := indicator(r.settings.Bool("tells_retry")) * retryAfterMean * (0.5 + r.nextRandom())
		t.finalAction = RejectRequest{t.Request, min(again, r.number("max_retry_s", 0))}
	}
}

// silent judges a late hop's cache, then its source: nothing was heard since it was sent, several times as
// long as usual, and it is slower for its size than any of late by a margin. It covers hangs, lost machines,
// cut ways. To a router that hears a member once in a while a long transfer is silent: taken for lost it is
// fetched twice and its cache benched. It could harm where all became slow at once.
func (r *Router) isSilent(h *attempt) bool {
	m, wait := h.target, minSilence
	if m.lastHeard() >= h.sentAt && h.expectMiss {
		m, wait = h.source, 2*minSilence
	}
	usual := r.now-h.sentAt <= max(wait, silenceIntervals*m.signInterval()) || r.slownessOf(h) <= lostSlownessFactor*r.greatestSlowness()
	if usual || m.lastHeard() >= h.sentAt {
		return r.isLost(h)
	}
	r.eject(m)
	return true
}

// lost judges a late hop whose member is heard: it takes longer for its size than any of the last dozens, and
// most that did so lately never ended. It covers answers that never come; each one given up raises the bar.
func (r *Router) isLost(h *attempt) bool {
	if len(r.unansweredSamples) < ejectFailureCount || mean(r.unansweredSamples) < ejectFailureShare || r.slownessOf(h) <= r.greatestSlowness() {
		return false
	}
	r.slownessSamples = appendSample(r.slownessSamples, lostSlownessFactor*r.slownessOf(h), longSamples)
	return true
}

// bench keeps hops from a member for a while, if another in its place is in service; else, as with the
// origin, its gate shrinks: where all seem sick the cause is common, and benches would close the field.
func (r *Router) eject(m *endpoint) {
	if m.role == originServer || !r.hasAlternative(m) {
		m.decrease(r.now, true)
	} else if m.ejectedUntil <= r.now {
		times := float64(min(m.ejections, 8)) + suspicionEjections*indicator(r.now < m.suspectedUntil)
		m.ejectedUntil = r.now + min(firstEjection*math.Pow(2, times), maxEjection)
		m.recentFailures, m.limit, m.ejections = nil, 1, m.ejections+1
	}
}

// judge lays an end to a member. Failing ends bench it when they are half of the last few, or at once while
// it is on trial or others doubt it; it covers errors, refused fills, refused and broken connections.
func (r *Router) recordResult(m *endpoint, bad bool) {
	if !bad && m.limit >= m.provenLimit {
		m.ejections = 0
	}
	m.recentFailures = appendSample(m.recentFailures, indicator(bad), recentSamples)
	share := mean(m.recentFailures)
	often := share*float64(len(m.recentFailures)) >= ejectFailureCount && share >= ejectFailureShare
	if bad && (m.ejections > 0 && share == 1 || r.now < m.suspectedUntil || often) {
		r.eject(m)
	}
}

// outcome learns from the end of a hop and decides what follows, here and for what is held.
func (r *Router) attemptEnded(o AttemptEnded) {
	t := r.requests[o.Request]
	if t == nil || o.Attempt < 0 || o.Attempt >= len(t.attempts) || !t.attempts[o.Attempt].inFlight {
		return
	}
	h := t.attempts[o.Attempt]
	h.inFlight, h.wanted, h.result, h.endedAt = false, false, o.Result, r.now
	h.target.release(r.now, 1, o.ElapsedSeconds, true)
	for _, g := range h.fillLimiters {
		g.release(r.now, h.expectedFills, o.ElapsedSeconds, o.Result != Completed || (o.Detail != CacheHit && o.Detail != StaleHit))
	}
	r.learn(t, h, o)
	t.done = t.done || o.RequestDone
	r.plan(t)
	for _, held := range slices.Clone(r.queue[:min(len(r.queue), maxQueueRetries)]) {
		r.plan(held)
	}
}

func (r *Router) learn(t *request, h *attempt, o AttemptEnded) {
	filled := o.Result == Completed && o.Detail != CacheHit && o.Detail != StaleHit
	x := o.ElapsedSeconds / (h.suspectAt - h.sentAt) // 0 for a hop that was taken for lost
	if len(r.slownessSamples) == longSamples && x > slices.Max(r.slownessSamples) {
		r.unansweredSamples = appendSample(r.unansweredSamples, indicator(o.Result == Cancelled || o.Result == TimedOut), recentSamples)
	}
	if o.Result == Completed || o.Result == ServerError || o.Result == Overloaded || o.Result == CacheMiss {
		h.target.recordSign(r.now)
	}
	switch o.Result {
	case Completed:
		for _, x := range t.attempts { // not before: an error is the txn's own fault if it meets it everywhere
			if x.failedAtTarget {
				if r.recordResult(x.target, true); x.sourceMayBeAtFault {
					r.recordResult(x.source, true)
				}
			}
		}
		r.recordResult(h.target, false)
		r.slownessSamples = appendSample(r.slownessSamples, x, longSamples)
		if filled && h.source != h.target {
			h.source.recordSign(r.now)
			r.recordResult(h.source, false)
		}
		t.chunk.filledByParent = t.chunk.filledByParent || filled && !h.fromPeer
		if h.expectMiss && !h.fromPeer && !h.cacheOnly && h.target.role == edgeCache {
			r.missSamples = appendSample(r.missSamples, indicator(filled), longSamples)
		}
		r.recordCached(t, h, filled)
		r.adjustLimits(t, h, o, filled)
	case ServerError, Overloaded:
		switch o.Detail {
		case SourceRefused, SourceUnreachable, OriginFailed:
			// A source that was heard since is not the one that failed: the origin behind it is.
			if o.Detail == OriginFailed || (o.Detail == SourceUnreachable && h.originLimiter != nil && h.source.lastHeard() > h.sentAt) {
				h.source.recordSign(r.now)
				r.originLimiter().decrease(r.now, true)
			} else if h.source.decrease(r.now, true); o.Detail == SourceUnreachable {
				r.recordResult(h.source, true)
			}
		case SourceCacheMiss:
			h.source.recordSign(r.now)
			h.source.removeCached(t.chunk, true)
		default:
			h.sourceMayBeAtFault = h.expectMiss && h.source != h.target && r.settings["tells"] != "all"
			if o.Detail == FillSlotsExhausted || (o.Result == Overloaded && h.sourceMayBeAtFault && o.ElapsedSeconds < localRefusal) {
				r.zoneLink.decrease(r.now, true) // fills have taken all places
			} else if o.Result == Overloaded && h.sourceMayBeAtFault {
				h.source.decrease(r.now, true)
				r.recordResult(h.source, true)
			} else if h.failedAtTarget = o.Result == ServerError; !h.failedAtTarget {
				h.target.decrease(r.now, true)
			}
		}
	case CacheMiss:
		if h.fromPeer {
			h.source.removeCached(t.chunk, true)
		}
	case ConnectFailed, ConnectionBroken:
		r.recordResult(h.target, true)
	}
}

// tune moves the gates that a completed hop went through; a late one tells of a jam at the first it may be.
func (r *Router) adjustLimits(t *request, h *attempt, o AttemptEnded, filled bool) {
	if o.ElapsedSeconds <= timelyShare*t.objective {
		h.target.increase()
		for i := 0; filled && i < len(h.fillLimiters); i++ {
			h.fillLimiters[i].increase()
		}
		return
	}
	switch {
	case !filled:
		h.target.decrease(r.now, false)
	case o.Detail == FilledByOrigin && h.originLimiter != nil && o.FirstByteSeconds > suspectShare*timelyShare*t.objective:
		h.originLimiter.decrease(r.now, false)
	case r.settings["tells"] != "all":
		h.source.decrease(r.now, false)
		r.zoneLink.decrease(r.now, false) // either may be to blame; few share the link and most of its fills are seen
	case o.FirstByteSeconds > suspectShare*timelyShare*t.objective:
		h.source.decrease(r.now, false)
	case !h.fromPeer:
		r.zoneLink.decrease(r.now, false)
	}
}

// unanswered lays hops that are still out at the end of their txn's time to the ways they went. Answers alone tell of
// a jam only while some arrive: where none does, gates would stay as wide as they were. One taken for lost is left out.
// It could harm where answers are lost on the way back.
func (r *Router) blameUnanswered(t *request) {
	for _, h := range t.attempts {
		took := r.now - h.sentAt
		if !h.inFlight || !h.wanted || math.IsInf(h.suspectAt, 1) || took <= timelyShare*t.objective {
			continue
		}
		r.adjustLimits(t, h, AttemptEnded{ElapsedSeconds: took, FirstByteSeconds: took}, h.expectMiss)
		if h.originLimiter != nil && h.originLimiter != &h.source.limiter {
			h.originLimiter.decrease(r.now, false)
		}
	}
}

// hold keeps the held list of a cache: what answers showed there. A part filled though thought held was lost;
// its idle time before that miss is a sample of T.
func (r *Router) recordCached(t *request, h *attempt, filled bool) {
	if h.target.role != edgeCache || r.uncacheable(t) {
		return
	}
	x := h.target.cached[t.chunk]
	if x != nil && filled && r.class(t.Class).freshSeconds == 0 {
		h.target.idleSamples = appendSample(h.target.idleSamples, max(h.sentAt-x.lastUsed, 0), recentSamples)
	}
	if filled && h.retentionRank == 0 {
		h.target.removeCached(t.chunk, true)
		return
	}
	if x == nil {
		r.sequence++
		x = &cachedChunk{chunk: t.chunk, sequence: r.sequence, filledAt: r.now}
		h.target.addCached(x, t.chunk.gapKey())
	}
	if filled {
		x.filledAt = r.now
	}
	x.sizeKB, x.lastUsed = t.SizeKB, r.now
}
