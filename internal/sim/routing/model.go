// Package model plays the decision module with as many routers as wanted over one small town of caches, on virtual
// time: what the same traffic costs where each router sees less of it. Caches, parents, links and the archive are
// numbers; the module is the one that serves.
package routing

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/clock"
	"cairnfront/routing"
)

// The town. Campuses are alike: a link in, caches behind it. What a hop costs follows from how many are under way.
const (
	campuses    = 3
	caches      = 4 // a campus
	hubs        = 2 // on a ring; campuses take turns with them
	parents     = 4 // half of them at each hub
	objects     = 1500
	parts       = 8
	groups      = 16
	exponent    = 0.8    // of Zipf's law: as request logs of videos show
	leastKB     = 200.0  // of a part
	mostKB      = 1800.0 // of a part
	pace        = 4000.0 // KB/s of one transfer alone
	cacheCarry  = 14.0   // transfers at full pace
	linkCarry   = 16.0
	parentCarry = 16.0
	originCarry = 20.0
	fullAt      = 4.0     // times what a member carries, it turns hops away
	cacheKB     = 400e3   // kept by a cache: a twentieth of all
	parentKB    = 1.2e6   // kept by a parent
	latency     = 0.002   // s to a member of the campus and back
	hubLatency  = 0.015   // s more to the hub and back
	farLatency  = 0.040   // s more to the archive and back
	viewStays   = 0.7     // odds that a client goes on to the next part
	burstFrom   = 45.0    // s
	burstTo     = 52.0    // s
	burstTimes  = 1.5     // the traffic
	lostAnswer  = 0.8     // s until a cache says that its source does not answer
	purgeAt     = 46.0    // s: one group of objects in sixteen
	lasts       = 80.0    // s
	judgedFrom  = 30.0    // s, caches are empty before
	txnsPerS    = 200.0   // of the whole town, whatever the number of routers
	clock0      = 1.7e9   // Unix s, as a service has it
	giveUpAfter = 2.0     // s, the client's time over the SLA time of the size
	slaBase     = 0.30    // s
	slaStretch  = 2.0     // sending times
	gossipLeast = 0.2     // s until a word has reached another router, as seen among 60 on virtual time
	gossipMost  = 1.5     // s
	cancelled   = 0.00001 // s until the end of a hop that was given up is heard
)

// Phase is a stretch of the run.
type Phase struct {
	Name     string
	From, To float64
}

// Phases are judged apart.
var Phases = []Phase{{"calm", judgedFrom, burstFrom}, {"trouble", burstFrom, burstTo}, {"after", burstTo, lasts}}

// Result is what came of a run, by phase.
type Result struct {
	Routers                                             int
	Requests, OnTime, Late, Rejected, Aborted, Attempts map[string]int
	Unanswered, AnsweredTwice                           int
	Fills, StoredFills                                  int       // fills at caches, and those of them that were kept
	FailingCacheAttempts                                int       // hops that a bad box failed
	OnTimePerSecond                                     []float64 // share in time, second by second

	sent, good []int // by second
}

type copyHeld struct {
	rank int
	used float64
	kb   float64
}

type key struct {
	object, part int
}

// station is a cache, a parent, the archive or a link by numbers.
type station struct {
	id      routing.EndpointID
	carry   float64
	out     float64
	keeps   float64
	held    map[key]*copyHeld
	holdsKB float64
	lost    bool // nothing that is sent to it is answered
	bad     bool // what is sent to it fails
	filling map[key][]func(bool)
}

// transfer takes so many KB and says how long it lasts; others under way slow it down.
func (s *station) transfer(kb float64) float64 {
	s.out++
	return kb / pace * max(1, s.out/s.carry)
}

func (s *station) full() bool { return s.out >= fullAt*s.carry }

// keep holds a part; what is ranked lowest goes first, then what was used longest ago.
func (s *station) keep(k key, rank int, now, kb float64) {
	if rank == 0 {
		return
	}
	if c := s.held[k]; c != nil {
		c.rank, c.used = rank, now
		return
	}
	s.held[k] = &copyHeld{rank, now, kb}
	for s.holdsKB += kb; s.holdsKB > s.keeps; {
		var worst key
		var found *copyHeld
		for x, c := range s.held {
			if found == nil || c.rank < found.rank || c.rank == found.rank && (c.used < found.used ||
				c.used == found.used && (x.object < worst.object || x.object == worst.object && x.part < worst.part)) {
				worst, found = x, c
			}
		}
		s.holdsKB -= found.kb
		delete(s.held, worst)
	}
}

type txn struct {
	k       key
	kb      float64
	sent    float64
	sla     float64
	limit   float64
	answers int
	hops    []*hop
	over    bool
	phase   string
}

type hop struct {
	over bool
	sent float64
	to   routing.EndpointID
}

type router struct {
	t      *town
	brain  routing.Decider
	campus int
	open   map[routing.RequestID]*txn
	talk   *observation.Tracker
	seq    uint32
}

type town struct {
	*clock.Scheduler
	members map[routing.EndpointID]*station
	links   [campuses]*station
	sizes   map[key]float64
	cum     []float64
	routers []*router
	res     *Result
	n       int
	trouble Fault
	gossip  *rand.Rand // of its own, so that the traffic is the same with words and without
}

func records(me, routers, campus int) routing.Settings {
	at, links, hubOf := zeros(), zeros(), zeros() // hubs are the first locations
	for i := range hubs + campuses {
		if hubOf[i] = strconv.Itoa(i % hubs); i >= hubs {
			at[i], links[i] = strconv.Itoa(routers/campuses), strconv.Itoa(int(linkCarry*pace))
		}
	}
	return routing.Settings{"router": strconv.Itoa(me), "routers": strconv.Itoa(routers), "location": strconv.Itoa(hubs + campus),
		"routers_at": strings.Join(at, ","), "hub_of": strings.Join(hubOf, ","), "parent_kind": "1", "origin_kind": "2",
		"pace_kb_s": strconv.Itoa(int(pace)), "siblings": "location", "tells": "hit", "may_cancel": "true", "may_join": "true", "max_hops": "5",
		"tells_retry": "true", "max_retry_s": "2", "cold_s": "2", "cold_share": "0.5", "fall_multiple": "2", "fall_s": "1", "purge_done_s": "6",
		"link_in_kb_s": strings.Join(links, ","), "fresh_s": "0", "uncacheable": "false", "remap.0.effect": "repeatable", "remap.0.group": "all",
		"remap.0.sla_s": fmt.Sprint(slaBase), "remap.0.sla_stretch": fmt.Sprint(slaStretch), "remap.0.importance": "1"}
}

func zeros() []string { return strings.Split("0"+strings.Repeat(",0", hubs+campuses-1), ",") }

func cacheID(campus, i int) routing.EndpointID {
	return routing.EndpointID(fmt.Sprintf("c%d-%d", campus, i))
}
func parentID(i int) routing.EndpointID { return routing.EndpointID(fmt.Sprintf("p%d", i)) }

const originID = "origin"

// Trouble is what happens in the second phase.
type Fault int

// The troubles: half as much traffic again and a purge, or half of the parents lost, which come back empty.
const (
	TrafficBurst Fault = iota
	ParentZoneLost
	FailingCache // one cache answers all it is sent as failed
)

// Talk is what routers tell each other of members.
type Gossip struct {
	Enabled       bool
	FaultyRouters int // routers that slander every member, all the time; as many may lie by the terms
}

// Play runs the town once with so many routers, a multiple of the campuses, that tell each other nothing.
func Run(seed uint64, routers int, trouble Fault) (*Result, error) {
	return RunWithGossip(seed, routers, trouble, Gossip{})
}

// PlayTalking is Play with routers that tell each other what they saw of members.
func RunWithGossip(seed uint64, routers int, trouble Fault, talk Gossip) (*Result, error) {
	if routers < campuses || routers%campuses != 0 {
		return nil, fmt.Errorf("%d routers: a multiple of %d is needed", routers, campuses)
	}
	res := &Result{Routers: routers, Requests: map[string]int{}, OnTime: map[string]int{}, Late: map[string]int{}, Rejected: map[string]int{},
		Aborted: map[string]int{}, Attempts: map[string]int{}, sent: make([]int, int(lasts)+1), good: make([]int, int(lasts)+1)}
	t := &town{Scheduler: clock.New(seed, 0x7417, clock0), members: map[routing.EndpointID]*station{}, sizes: map[key]float64{}, res: res,
		gossip: rand.New(rand.NewPCG(seed, 0x60551))}
	sum := 0.0
	for i := range objects {
		sum += math.Pow(float64(i+1), -exponent)
		t.cum = append(t.cum, sum)
		for p := range parts {
			t.sizes[key{i, p}] = leastKB + (mostKB-leastKB)*math.Pow(t.Rand.Float64(), 2)
		}
	}
	var rows []routing.Endpoint
	add := func(id routing.EndpointID, location, kind int, carry, keeps float64) {
		t.members[id] = &station{id: id, carry: carry, keeps: keeps, held: map[key]*copyHeld{}, filling: map[key][]func(bool){}}
		rows = append(rows, routing.Endpoint{ID: id, Zone: location, Kind: kind, Weight: carry})
	}
	for c := range campuses {
		t.links[c] = &station{carry: linkCarry}
		for i := range caches {
			add(cacheID(c, i), hubs+c, 0, cacheCarry, cacheKB)
		}
	}
	for i := range parents {
		add(parentID(i), i%hubs, 1, parentCarry, parentKB)
	}
	add(originID, 0, 2, originCarry, 0)
	for i := range routers {
		r := &router{t: t, campus: i % campuses, open: map[routing.RequestID]*txn{}}
		r.brain = routing.New(seed+uint64(i)*977, records(i, routers, r.campus))
		if t.routers = append(t.routers, r); talk.Enabled {
			r.talk = observation.New(swim.MemberID(i), fmt.Sprint("campus-", r.campus), talk.FaultyRouters, 1)
		}
		r.decide(routing.EndpointUpdate{Kind: routing.Restored, Endpoints: rows})
	}
	if talk.Enabled {
		t.spread(talk.FaultyRouters)
	}
	t.trouble = trouble
	switch trouble {
	case FailingCache:
		bad := t.members[cacheID(0, 0)]
		t.At(clock0+burstFrom, func() { bad.bad = true })
		t.At(clock0+burstTo, func() { bad.bad = false })
	case TrafficBurst:
		t.At(clock0+purgeAt, func() { t.purge(int(seed % groups)) })
	case ParentZoneLost:
		for i := 0; i < parents; i += hubs {
			p := t.members[parentID(i)]
			t.At(clock0+burstFrom, func() { p.lost = true })
			t.At(clock0+burstTo, func() { p.lost, p.held, p.holdsKB = false, map[key]*copyHeld{}, 0 })
		}
	}
	t.arrive(-1, key{})
	t.RunUntil(clock0 + lasts + slaBase + giveUpAfter + slaStretch*mostKB/pace + 1)
	for _, r := range t.routers {
		for _, x := range r.open {
			if x.answers == 0 {
				res.Unanswered++
			}
		}
	}
	for i, n := range res.sent[:int(lasts)] {
		res.OnTimePerSecond = append(res.OnTimePerSecond, float64(res.good[i])/max(float64(n), 1))
	}
	return res, nil
}

// arrive brings the next txn of a client, or of a new one, and sets the one after it. Clients keep to their router.
func (t *town) arrive(at int, k key) {
	now := t.Now() - clock0
	if now >= lasts {
		return
	}
	rate := txnsPerS * (1 - viewStays)
	if t.trouble == TrafficBurst && now >= burstFrom && now < burstTo {
		rate *= burstTimes
	}
	if at < 0 {
		t.After(t.Rand.ExpFloat64()/rate, func() { t.arrive(-1, key{}) })
		at, k = t.Rand.IntN(len(t.routers)), key{sort.SearchFloat64s(t.cum, t.Rand.Float64()*t.cum[len(t.cum)-1]), 0}
	}
	t.routers[at].ask(k)
	if k.part+1 < parts && t.Rand.Float64() < viewStays {
		t.After(0.3+0.4*t.Rand.Float64(), func() { t.arrive(at, key{k.object, k.part + 1}) })
	}
}

// purge voids a group: running members drop it, and every router is told.
func (t *town) purge(group int) {
	for _, m := range t.members {
		for k, c := range m.held {
			if k.object%groups == group {
				m.holdsKB -= c.kb
				delete(m.held, k)
			}
		}
	}
	for _, r := range t.routers {
		r.decide(routing.Purge{ObjectGroup: group})
	}
}

func phaseOf(now float64) string {
	for _, p := range Phases {
		if now >= p.From && now < p.To {
			return p.Name
		}
	}
	return ""
}

func (r *router) ask(k key) {
	t := r.t
	t.n++
	kb := t.sizes[k]
	x := &txn{k: k, kb: kb, sent: t.Now(), sla: slaBase + slaStretch*kb/pace, phase: phaseOf(t.Now() - clock0)}
	x.limit = x.sent + x.sla + giveUpAfter
	id := routing.RequestID(strconv.Itoa(t.n))
	r.open[id] = x
	t.res.Requests[x.phase]++
	t.res.sent[int(x.sent-clock0)]++
	r.decide(routing.RequestArrived{Request: id, Object: strconv.Itoa(k.object), Chunk: k.part, ObjectGroup: k.object % groups, Deadline: x.limit, SizeKB: kb})
}

// decide brings an event to the module and carries its actions out, after the event as the service does.
func (r *router) decide(ev routing.Event) {
	for _, a := range append([]routing.Action(nil), r.brain.Decide(r.t.Now(), ev)...) {
		switch a := a.(type) {
		case routing.StartAttempt:
			r.hop(a)
		case routing.CancelAttempt:
			if x := r.open[a.Request]; x != nil && a.Attempt < len(x.hops) {
				h, no := x.hops[a.Attempt], a.Attempt
				r.t.After(cancelled, func() { r.end(a.Request, no, h, routing.Cancelled, routing.NoDetail) })
			}
		case routing.SetTimer:
			r.t.After(a.AfterSeconds, func() { r.decide(routing.TimerFired{Token: a.Token}) })
		case routing.RejectRequest:
			r.answer(a.Request, r.t.res.Rejected)
		case routing.AbortRequest:
			r.answer(a.Request, r.t.res.Aborted)
		}
	}
}

func (r *router) answer(id routing.RequestID, count map[string]int) {
	x := r.open[id]
	if x.answers++; x.answers > 1 {
		r.t.res.AnsweredTwice++
		return
	}
	count[x.phase]++
	x.over = true
	r.tidy(id, x)
}

func (r *router) tidy(id routing.RequestID, x *txn) {
	for _, h := range x.hops {
		if !h.over {
			return
		}
	}
	if x.over {
		delete(r.open, id)
	}
}

// end tells the module how a hop ended; the first completed one answers its txn.
func (r *router) end(id routing.RequestID, no int, h *hop, code routing.AttemptResult, remark routing.ResultDetail) {
	if h.over {
		return
	}
	h.over = true
	x, now := r.open[id], r.t.Now()
	r.saw(h.to, code, now-h.sent > x.sla)
	if code == routing.Completed && !x.over {
		x.over = true
		x.answers++
		if now <= x.sent+x.sla {
			r.t.res.OnTime[x.phase]++
			r.t.res.good[int(x.sent-clock0)]++
		} else {
			r.t.res.Late[x.phase]++
		}
	}
	r.decide(routing.AttemptEnded{Request: id, Attempt: no, Result: code, Detail: remark, ElapsedSeconds: now - h.sent, RequestDone: x.over})
	r.tidy(id, x)
}

// hop plays one: to the cache, and for a miss through the campus' link to its source.
func (r *router) hop(a routing.StartAttempt) {
	x, t := r.open[a.Request], r.t
	h, no := &hop{sent: t.Now(), to: a.Endpoint}, len(x.hops)
	x.hops = append(x.hops, h)
	t.res.Attempts[x.phase]++
	finish := func(code routing.AttemptResult, remark routing.ResultDetail) { r.end(a.Request, no, h, code, remark) }
	to := t.members[a.Endpoint]
	if to.bad {
		t.res.FailingCacheAttempts++
		t.After(latency, func() { finish(routing.ServerError, routing.NoDetail) })
		return
	}
	if to.full() {
		t.After(latency, func() { finish(routing.Overloaded, routing.NoDetail) })
		return
	}
	send := func(remark routing.ResultDetail) {
		t.After(to.transfer(x.kb)+latency, func() {
			to.out--
			finish(routing.Completed, remark)
		})
	}
	if c := to.held[x.k]; c != nil {
		c.used, c.rank = t.Now(), max(c.rank, a.RetentionRank)
		send(routing.CacheHit)
		return
	}
	if a.Source == a.Endpoint || a.CacheOnly && t.members[a.Source].held[x.k] == nil {
		t.After(latency, func() { finish(routing.CacheMiss, routing.NoDetail) })
		return
	}
	if waiting, ok := to.filling[x.k]; ok && a.JoinFill {
		to.filling[x.k] = append(waiting, func(ok bool) {
			if ok {
				send(routing.JoinedFill)
			} else {
				finish(routing.Overloaded, routing.NoDetail)
			}
		})
		return
	}
	to.filling[x.k] = nil
	t.fill(r.campus, to, a, x, func(ok bool) {
		waiting := to.filling[x.k]
		delete(to.filling, x.k)
		if ok {
			if t.res.Fills++; a.RetentionRank > 0 {
				t.res.StoredFills++
			}
			to.keep(x.k, a.RetentionRank, t.Now(), x.kb)
			finish(routing.Completed, routing.Filled)
		} else {
			finish(routing.Overloaded, routing.NoDetail)
		}
		for _, w := range waiting {
			w(ok)
		}
	})
}

// fill brings a part over the link of a campus, from a sibling, a parent or the archive; a parent that lacks it asks the
// archive first and keeps it. A fill runs on when its txn is given up.
func (t *town) fill(campus int, to *station, a routing.StartAttempt, x *txn, done func(bool)) {
	from, link := t.members[a.Source], t.links[campus]
	if from.lost {
		t.After(lostAnswer, func() { done(false) })
		return
	}
	if from.full() || link.full() {
		t.After(latency, func() { done(false) })
		return
	}
	far := hubLatency
	carry := func() {
		if from.id == originID {
			far += farLatency
		}
		took := max(from.transfer(x.kb), link.transfer(x.kb))
		t.After(took+latency+far, func() {
			from.out--
			link.out--
			done(true)
		})
	}
	if from.id[0] != 'p' || from.held[x.k] != nil {
		if c := from.held[x.k]; c != nil {
			c.used = t.Now()
		}
		carry()
		return
	}
	origin := t.members[originID]
	if origin.full() {
		t.After(latency+hubLatency, func() { done(false) })
		return
	}
	t.After(origin.transfer(x.kb)+farLatency, func() {
		origin.out--
		from.keep(x.k, 1, t.Now(), x.kb)
		carry()
	})
}

// saw tells a router's rumours how a hop ended, and the module what comes of it.
func (r *router) saw(member routing.EndpointID, code routing.AttemptResult, late bool) {
	if r.talk == nil {
		return
	}
	now := r.t.Now() - clock0
	if says, ok := observation.Classify(code, late); ok {
		r.heed(r.talk.AttemptEnded(now, member, says))
	}
	for _, w := range r.talk.TakeUnsigned() {
		r.t.tell(w)
	}
}

func (r *router) heed(heeds []observation.Doubt) {
	now := r.t.Now() - clock0
	for _, h := range heeds {
		r.decide(routing.HealthObservation{Endpoint: h.Endpoint, Suspicion: h.Level, ValidSeconds: max(h.Until-now, 0)})
	}
}

// tell brings a word to all other routers, to each after a time as gossip takes it there.
func (t *town) tell(w observation.Observation) {
	for i, to := range t.routers {
		if swim.MemberID(i) != w.Witness {
			t.After(gossipLeast+t.gossip.Float64()*(gossipMost-gossipLeast), func() {
				heeds, _ := to.talk.HandleObservation(t.Now()-clock0, w)
				to.heed(heeds)
			})
		}
	}
}

// spread lets what ran out end, and the liars lie.
func (t *town) spread(liars int) {
	var each func()
	each = func() {
		for i, r := range t.routers {
			r.heed(r.talk.Tick(t.Now() - clock0))
			if i < liars {
				for _, m := range sortedNames(t.members) {
					r.seq++
					t.tell(observation.Observation{Witness: swim.MemberID(i), WitnessStartMillis: 2, Sequence: r.seq, Endpoint: m, Health: observation.Failing, Zone: fmt.Sprint("z", r.seq%7)})
				}
			}
		}
		if t.Now() < clock0+lasts {
			t.After(1, each)
		}
	}
	t.After(1, each)
}

func sortedNames(m map[routing.EndpointID]*station) []routing.EndpointID {
	return slices.Sorted(maps.Keys(m))
}
