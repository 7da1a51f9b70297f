package routing

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// What a router keeps, and the plain mechanics of keeping it. What is done with it is decided in brain.go.

type chunk struct {
	index                   int
	averageGap, lastRequest float64
	requested               bool // requested before
	filledByParent          bool // filled by a parent since its last purge
}

type object struct {
	id               string
	group            int
	chunks           []*chunk
	lastRequest      float64
	caches, parents  []*endpoint // in hash order, as of a version of the list
	endpointsVersion int
}

// holding is a part that answers showed held at a cache. key orders by gap, largest gap first, at any time.
type cachedChunk struct {
	chunk                              *chunk
	sizeKB, gapKey, lastUsed, filledAt float64
	sequence                           uint64
}

// gate bounds what this router has in flight at a member, a link or the way to the origin. It grows with
// answers in time, by one each up to what is proven, and shrinks with late and refused ones.
type limiter struct {
	limit, provenLimit, inFlight, decreasedAt float64
	pausedUntil                               float64   // closed until then
	minLimit, growthStep                      float64   // what is always let through; what an answer in time adds
	lateSamples                               []float64 // the last few answers, 1 for a late one
}

type workSample struct{ at, seconds float64 }

// role is what a member is to this router.
type role int

const (
	otherZone role = iota // a cache of another location
	edgeCache
	parentCache
	originServer
)

type endpoint struct {
	Endpoint
	limiter
	role             role
	zonesAway        float64   // hubs on the way
	sharers          float64   // routers that can send to it
	signsOfLife      []float64 // times of its last few signs of life
	recentFailures   []float64 // the last few ends laid to it, 1 for a failed one
	ejectedUntil     float64   // nothing is sent before this time if there is another
	removedAt        float64   // when the list first told that it is gone, 0 if it does not
	retryBudgetSpent bool      // gets no further hops for now
	suspectedUntil   float64   // until when others' word makes one own failed end enough
	ejections        int       // times on the bench since it was last proven
	recentWork       []workSample
	cached           map[*chunk]*cachedChunk
	byGap            []*cachedChunk
	idleSamples      []float64
}

type attempt struct {
	target, source                       *endpoint
	fillLimiters                         []*limiter // of the ways behind the cache
	retentionRank                        int
	maxAge, sentAt, suspectAt, endedAt   float64
	expectedFills                        float64  // places taken in the gates: the odds of a fill
	originLimiter                        *limiter // the origin's, of one thought to reach it
	fromPeer, expectMiss                 bool     // filled by a sibling; thought to miss
	cacheOnly                            bool     // is not to reach behind its source
	wanted, started, inFlight, cancelled bool
	stalled                              bool // its connection is silent though its member is not
	sourceMayBeAtFault, failedAtTarget   bool // its failure may be its source's; failed by a fault of its own or of its txn
	result                               AttemptResult
}

// rule is a remap rule as the records have it, read once, and the last few sending times seen of it.
type class struct {
	objective, objectiveStretch, priority, latePriority, idempotencyWindow float64
	freshSeconds, staleSeconds, stalePriority                              float64 // old: share of the importance past the fresh time
	effect, deduplicationScope                                             string
	uncacheable, retryBudgetSpent                                          bool
	sendSamples                                                            []float64
}

type request struct {
	RequestArrived
	token                                 uint64
	arrivedAt, sendSeconds, priorityPerKB float64
	objective                             float64 // the SLA time of its size
	chunk                                 *chunk
	object                                *object
	firstOfChunk, queued                  bool
	inQueue                               bool
	attempts                              []*attempt
	finalAction                           Action
	done                                  bool
	wakeAt, timerAt                       float64
}

// void names what a purge voids: an object, or a group where there is none.
type purgeKey struct {
	object string
	group  int
}

// Router decides for one instance.
type Router struct {
	settings             Settings
	randomState          uint64
	now                  float64
	actions              []Action
	numbers              map[string]float64 // records read as numbers
	classes              map[ClassIndex]*class
	endpoints            []*endpoint // in order of their ids
	localCaches          []*endpoint // caches of this location, whatever their status
	caches               []*endpoint // ready
	parents              []*endpoint // ready
	origins              []*endpoint // ready
	endpointsVersion     int         // version of these lists
	zoneLink             limiter     // the location's link in
	requests             map[RequestID]*request
	requestsByToken      map[uint64]*request
	queue                []*request // held, densest in importance first
	sequence             uint64
	objects              map[string]*object
	sweptAt              float64
	purges               map[purgeKey]float64 // when each was told to be void, the newest of each
	purgesForgottenUntil float64              // purges up to then are not remembered
	slownessSamples      []float64            // the last few times to an answer, over those after which hops are looked at
	unansweredSamples    []float64            // the last few hops slower than any of those, 1 for one that had no answer until it was given up
	missSamples          []float64            // the last few hops thought to miss, 1 for one that was filled
}

// chance is the next of a permuted congruential generator, from 0 up to 1.
func (r *Router) nextRandom() float64 {
	old := r.randomState
	r.randomState = old*6364136223846793005 + 1442695040888963407
	x := uint32((old>>18 ^ old) >> 27)
	rot := uint32(old >> 59)
	return float64(x>>rot|x<<(-rot&31)) / (1 << 32)
}

// keep appends to the last few samples.
func appendSample[S any](list []S, s S, most int) []S {
	if len(list) >= most {
		list = append(list[:0], list[len(list)-most+1:]...)
	}
	return append(list, s)
}

func compareGapKeys(a, b *cachedChunk) int {
	return cmp.Or(cmp.Compare(a.gapKey, b.gapKey), cmp.Compare(a.sequence, b.sequence))
}

func (m *endpoint) addCached(h *cachedChunk, key float64) {
	h.gapKey = key
	at, _ := slices.BinarySearchFunc(m.byGap, h, compareGapKeys)
	m.byGap = slices.Insert(m.byGap, at, h)
	m.cached[h.chunk] = h
}

// unlist takes a part out of the order and, if it is gone, off the held list.
func (m *endpoint) removeCached(p *chunk, gone bool) {
	if h := m.cached[p]; h != nil {
		if at, found := slices.BinarySearchFunc(m.byGap, h, compareGapKeys); found {
			m.byGap = slices.Delete(m.byGap, at, at+1)
		}
		if gone {
			delete(m.cached, p)
		}
	}
}

// unit maps a text to a number between 0 and 1. FNV alone leaves texts alike alike in their high bits.
func hashToUnit(text string) float64 {
	f := fnv.New64a()
	f.Write([]byte(text))
	x := f.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>11) + 0.5) / (1 << 53)
}

// ordered gives the caches and the parents in the order of an object's hash.
func (r *Router) hashOrder(o *object) (caches, parents []*endpoint) {
	if o.endpointsVersion != r.endpointsVersion {
		o.endpointsVersion, o.caches, o.parents = r.endpointsVersion, sortByHash(o.id, r.caches), sortByHash(o.id, r.parents)
	}
	return o.caches, o.parents
}

func sortByHash(id string, list []*endpoint) []*endpoint {
	score := make([]float64, len(list))
	list = slices.Clone(list)
	for i, m := range list {
		x := hashScore(id, m)
		at := i
		for ; at > 0 && score[at-1] < x; at-- {
			score[at], list[at] = score[at-1], list[at-1]
		}
		score[at], list[at] = x, m
	}
	return list
}

// enqueue puts a txn among the held ones, densest in importance first, or takes it out.
func (r *Router) setQueued(t *request, held bool) {
	if held == t.inQueue {
		return
	}
	at, _ := slices.BinarySearchFunc(r.queue, t, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.priorityPerKB, a.priorityPerKB), cmp.Compare(a.token, b.token))
	})
	if t.inQueue = held; held {
		r.queue = slices.Insert(r.queue, at, t)
	} else {
		r.queue = slices.Delete(r.queue, at, at+1)
	}
}

// spentSince adds up what was sent to a member after a time, and forgets the rest.
func (m *endpoint) workSince(then float64) (sum float64) {
	m.recentWork = slices.DeleteFunc(m.recentWork, func(s workSample) bool { return s.at <= then })
	for _, s := range m.recentWork {
		sum += s.seconds
	}
	return sum
}

// slowness is how long a hop is out over the time after which it is looked at, which goes by its size.
func (r *Router) slownessOf(h *attempt) float64 { return (r.now - h.sentAt) / (h.suspectAt - h.sentAt) }

// slowest is the greatest slowness of the last few hops that had an answer, 1 at least.
func (r *Router) greatestSlowness() float64 {
	most := 1.0
	for _, x := range r.slownessSamples {
		most = max(most, x)
	}
	return most
}

func (m *endpoint) recordSign(now float64) {
	m.signsOfLife = appendSample(m.signsOfLife, now, recentSamples)
}

// heard is the time of the last sign of life, interval the mean time between the last few.
func (m *endpoint) lastHeard() float64 {
	if len(m.signsOfLife) == 0 {
		return 0
	}
	return m.signsOfLife[len(m.signsOfLife)-1]
}

func (m *endpoint) signInterval() float64 {
	if len(m.signsOfLife) < 2 {
		return 0
	}
	return (m.lastHeard() - m.signsOfLife[0]) / float64(len(m.signsOfLife)-1)
}

// object finds an object, or adds it.
func (r *Router) findOrAddObject(id string, group int) *object {
	if r.objects[id] == nil {
		r.objects[id] = &object{id: id, group: group}
	}
	return r.objects[id]
}

// part finds a part of the object, or adds it.
func (o *object) findOrAddChunk(no int) *chunk {
	at, found := slices.BinarySearchFunc(o.chunks, no, func(p *chunk, no int) int { return cmp.Compare(p.index, no) })
	if !found {
		o.chunks = slices.Insert(o.chunks, at, &chunk{index: no})
	}
	return o.chunks[at]
}

// member finds a member by its id, or adds one of which nothing is known.
func (r *Router) findOrAddEndpoint(id EndpointID) *endpoint {
	at, found := slices.BinarySearchFunc(r.endpoints, id, func(m *endpoint, id EndpointID) int {
		return cmp.Compare(m.ID, id)
	})
	if !found {
		r.endpoints = slices.Insert(r.endpoints, at, &endpoint{Endpoint: Endpoint{ID: id}})
	}
	return r.endpoints[at]
}

// known finds a member by its id; nil where there is none.
func (r *Router) findEndpoint(id EndpointID) *endpoint {
	at, found := slices.BinarySearchFunc(r.endpoints, id, func(m *endpoint, id EndpointID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return nil
	}
	return r.endpoints[at]
}

// believed is the mean of samples once there are enough of them.
func meanIfEnough(list []float64, otherwise float64) float64 {
	if len(list) < minSamples {
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
func (r *Router) mergeEndpoints(l EndpointUpdate) (again []*endpoint) {
	if l.Kind == Snapshot || l.Kind == Restored {
		for _, m := range r.endpoints {
			m.Status = Removed
		}
	}
	for _, row := range l.Endpoints {
		m := r.findOrAddEndpoint(row.ID)
		if m.cached == nil || row.StartedAt > m.StartedAt {
			*m = endpoint{cached: map[*chunk]*cachedChunk{}, limiter: limiter{inFlight: m.inFlight}, recentWork: m.recentWork}
			again = append(again, m)
		}
		m.Endpoint = row
	}
	r.endpoints = slices.DeleteFunc(r.endpoints, func(m *endpoint) bool {
		m.removedAt = indicator(m.Status == Removed) * cmp.Or(m.removedAt, r.now)
		return m.removedAt > 0 && r.now >= m.removedAt+forgetAfter
	})
	r.classifyEndpoints()
	return again
}

// relist works out what each member is by the records, and who is in service.
func (r *Router) classifyEndpoints() {
	r.localCaches, r.caches, r.parents, r.origins = nil, nil, nil, nil
	r.endpointsVersion++
	here, all := int(r.number("location", 0)), max(r.number("routers", 1), 1)
	for _, m := range r.endpoints {
		m.role, m.zonesAway, m.sharers = otherZone, r.zonesAway(m), all
		list := new([]*endpoint)
		switch kind := float64(m.Kind); {
		case kind == r.number("parent_kind", -1):
			m.role, list = parentCache, &r.parents
		case kind == r.number("origin_kind", -1):
			m.role, list = originServer, &r.origins
		case m.Zone == here:
			m.role, list = edgeCache, &r.caches
			m.sharers = max(r.settings.FloatItem("routers_at", here, all), 1)
			r.localCaches = append(r.localCaches, m)
		}
		if m.Status == Ready {
			*list = append(*list, m)
		}
	}
}

// spare says whether another of a member's role is ready and not on the bench.
func (r *Router) hasAlternative(m *endpoint) bool {
	peers := r.parents
	if m.role == edgeCache {
		peers = r.caches
	}
	return slices.ContainsFunc(peers, func(x *endpoint) bool { return x != m && x.ejectedUntil <= r.now })
}

// wayToOrigin is the gate of the first origin listed; one that is always open where there is none.
func (r *Router) originLimiter() *limiter {
	if len(r.origins) > 0 {
		return &r.origins[0].limiter
	}
	return &limiter{limit: math.Inf(1)}
}

func sentTo(h *attempt, m *endpoint) bool     { return h.target == m && !h.cacheOnly }
func filledFrom(h *attempt, m *endpoint) bool { return h.source == m && !h.fromPeer && !h.cacheOnly }
func isCacheOnly(h *attempt) bool             { return h.cacheOnly }

// num reads a number of the records, once.
func (r *Router) number(name string, otherwise float64) float64 {
	x, ok := r.numbers[name]
	if !ok {
		x = r.settings.Float(name, math.NaN())
		r.numbers[name] = x
	}
	if math.IsNaN(x) {
		return otherwise
	}
	return x
}

// rule reads what the records say of a remap rule, once.
func (r *Router) class(n ClassIndex) *class {
	u := r.classes[n]
	if u == nil {
		num := func(name string, otherwise float64) float64 {
			return r.settings.Float(ClassSetting(n, name), otherwise)
		}
		u = &class{objective: num("sla_s", 1), objectiveStretch: num("sla_stretch", 0), priority: num("importance", 1),
			latePriority: num("late_importance", 0), idempotencyWindow: num("window_s", 0),
			freshSeconds: r.settings.FloatItem("fresh_s", int(n), 0), staleSeconds: r.settings.FloatItem("stale_s", int(n), 0),
			stalePriority: r.settings.FloatItem("stale_importance", int(n), 0), effect: r.settings[ClassSetting(n, "effect")],
			deduplicationScope: r.settings[ClassSetting(n, "group")], uncacheable: r.settings.ListItem("uncacheable", int(n)) == "true"}
		r.classes[n] = u
	}
	return u
}

// hubsAway is the number of hubs on the ring between this location's hub and a parent's.
func (r *Router) zonesAway(m *endpoint) float64 {
	if float64(m.Kind) != r.number("parent_kind", -1) {
		return 0
	}
	own := int(r.settings.FloatItem("hub_of", int(r.number("location", 0)), float64(m.Zone)))
	ring := 0.0 // hubs come first among the locations and are their own
	for r.settings.FloatItem("hub_of", int(ring), -1) == ring {
		ring++
	}
	way := math.Abs(float64(own - m.Zone))
	return min(way, max(ring-way, 0))
}

// purged remembers a purge and forgets what was thought held.
func (r *Router) recordPurge(p Purge) {
	v := purgeKey{object: p.Object}
	if p.Object == "" {
		v.group = p.ObjectGroup
	}
	if r.purges[v] = max(r.purges[v], r.now-p.AgeSeconds); len(r.purges) > maxPurges {
		r.forgetOldestPurges()
	}
	for name, o := range r.objects {
		if name == p.Object || (p.Object == "" && o.group == p.ObjectGroup) {
			r.dropCached(o)
		}
	}
}

// forget drops the oldest eighth of the purges, so that it is not done for each one.
func (r *Router) forgetOldestPurges() {
	times := make([]float64, 0, len(r.purges))
	for _, at := range r.purges {
		times = append(times, at)
	}
	slices.Sort(times)
	r.purgesForgottenUntil = max(r.purgesForgottenUntil, times[len(times)/8])
	maps.DeleteFunc(r.purges, func(_ purgeKey, at float64) bool { return at <= r.purgesForgottenUntil })
}

// drop forgets what is thought held of an object.
func (r *Router) dropCached(o *object) {
	for _, p := range o.chunks {
		p.filledByParent = false
		for _, m := range r.localCaches {
			m.removeCached(p, true)
		}
	}
}

// sweep forgets objects that were idle for long, sooner if there are too many.
func (r *Router) forgetIdleObjects() {
	if r.now < r.sweptAt+sweepInterval && len(r.objects) < maxObjects {
		return
	}
	r.sweptAt = r.now
	for age := forgetAfter; age == forgetAfter || len(r.objects) > maxObjects/2; age /= 2 {
		for name, o := range r.objects {
			if r.now-o.lastRequest >= age {
				r.dropCached(o)
				delete(r.objects, name)
			}
		}
	}
}

func indicator(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
