package routing

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestGapIsAveraged(t *testing.T) {
	r := router("keyed")
	x := &txn{p: &part{seen: true, last: 90, dt: 8}}
	r.request(x, r.member("c0"))
	assert.InDelta(t, 0.25*10+0.75*8, x.p.dt, 1e-9)
	assert.Equal(t, 100.0, x.p.last)
}

func TestFirstRequestSetsGapToHorizon(t *testing.T) {
	r := router("keyed")
	x := &txn{p: &part{}}
	r.member("c0").idles = []float64{4, 6}
	r.request(x, r.member("c0"))
	assert.Equal(t, 5.0, x.p.dt)
}

func TestUnseenPartTakesLargestHeldGap(t *testing.T) {
	r := router("keyed")
	c, o := r.member("c0"), r.object("x", 0)
	for i, dt := range []float64{4, 12, 40} {
		p := o.part(i)
		p.seen, p.dt, p.last = true, dt, 100
		if i < 2 {
			c.list(&holding{p: p, kb: 1}, p.key())
		}
	}
	assert.InDelta(t, 9, r.gap(&txn{obj: o, p: o.part(9), unseen: true}, c), 1e-9)
	assert.True(t, math.IsInf(r.gap(&txn{obj: o, p: o.part(9), unseen: true}, r.member("c1")), 1))
}

// With T = 10 and a part of 100 KB, serving costs 100 CF and what it displaces; passing 100 CR and 100 T/gap.
func TestChoiceComparesServingWithPassing(t *testing.T) {
	cf, cr := 2*alpha/(alpha+1), 2/(alpha+1)
	for _, gap := range []float64{2, 8, 60} {
		for _, old := range []float64{1, 5, 20} {
			r := router("keyed")
			c := r.member("c0")
			p := &part{seen: true, last: 100, dt: old / 0.75}
			c.list(&holding{p: p, kb: 300, used: 100}, p.key())
			x := &txn{RequestArrived: RequestArrived{SizeKB: 100}, p: &part{seen: true, last: 100, dt: gap / 0.75}}
			want := 100*cf+100*10/old*min(cf, cr) < 100*cr+100*10/gap*min(cf, cr)
			assert.Equal(t, want, r.serves(x, c), "gap %v against %v", gap, old)
		}
	}
}

func TestUncacheableRuleIsPassed(t *testing.T) {
	r := router("keyed")
	r.rec["uncacheable"] = "true,true"
	assert.False(t, r.serves(&txn{RequestArrived: RequestArrived{SizeKB: 1}, p: &part{seen: true, last: 100, dt: 0.1}}, r.member("c0")))
}

func TestHashOrderIsStableAndSkips(t *testing.T) {
	r := router("keyed")
	all, _ := r.ordered(r.object("x", 0))
	less := inOrder("x", all[1:])
	assert.Equal(t, []EndpointID{all[1].ID, all[2].ID}, []EndpointID{less[0].ID, less[1].ID})
	all[0].out = all[0].room // its gate is full
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.Equal(t, all[1].ID, h[0].Endpoint)
}

func TestPassNamesSourceAndKeepsNothing(t *testing.T) {
	r := router("keyed")
	for _, c := range r.caches { // full of what is wanted all the time
		p := &part{seen: true, last: 100, dt: 0.1}
		c.list(&holding{p: p, kb: 1e6, used: 100}, p.key())
	}
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.Equal(t, 0, h[0].RetentionRank)
	assert.Contains(t, []EndpointID{"p0", "p1"}, h[0].Source)
}

func TestAnswerAtTheTimeLimit(t *testing.T) {
	for _, c := range []struct {
		effect string
		out    bool
		want   any
	}{{"repeatable", true, RejectRequest{}}, {"keyed", true, RejectRequest{}}, {"unrepeatable", true, AbortRequest{}}, {"unrepeatable", false, RejectRequest{}}} {
		r := router(c.effect)
		x := sent(r, Overloaded, c.out)
		r.now = 104.9
		r.think(x)
		assert.Nil(t, x.verdict, "before its time")
		r.now = 105 - endMargin
		x.hops = x.hops[:1]
		r.think(x)
		assert.IsType(t, c.want, x.verdict, c.effect)
	}
}

func TestNothingIsSentAfterTheEnd(t *testing.T) {
	r := router("repeatable")
	sent(r, 0, true)
	r.Decide(100.1, ClientDisconnected{"t"})
	acts := r.Decide(100.2, AttemptEnded{Request: "t", Endpoint: "c0", Result: ServerError, RequestDone: true})
	assert.Empty(t, of[StartAttempt](acts))
	assert.Empty(t, r.txns)
}

func TestFurtherHopByEffectAndEnd(t *testing.T) {
	proves := map[AttemptResult]bool{Overloaded: true, ConnectFailed: true, NotSent: true, CacheMiss: true}
	for _, end := range []AttemptResult{ServerError, Overloaded, TimedOut, ConnectFailed, ConnectionBroken, Cancelled, NotSent, CacheMiss} {
		for _, effect := range []string{"repeatable", "keyed", "unrepeatable"} {
			r := router(effect)
			x := sent(r, 0, true)
			acts := r.Decide(100.2, AttemptEnded{Request: "t", Endpoint: "c0", Result: end})
			allowed := effect != "unrepeatable" || proves[end]
			assert.Equal(t, allowed, len(of[StartAttempt](acts)) == 1, "%s after %v", effect, end)
			assert.Equal(t, !allowed, len(of[AbortRequest](acts)) == 1, "%s after %v", effect, end)
			assert.Empty(t, of[RejectRequest](acts), x.Request)
		}
	}
}

func TestKeyedWindowCountsFromTheHopThatMayHaveRun(t *testing.T) {
	r := router("keyed")
	x := sent(r, ConnectionBroken, false)
	r.now = 105 - windowMargin
	assert.True(t, r.mayRepeat(x))
	r.now += 0.001
	assert.False(t, r.mayRepeat(x))
	x.hops[0].end = Overloaded
	assert.True(t, r.mayRepeat(x))
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	r := router("keyed")
	r.rec["remap.1.group"] = "cell"
	x := sent(r, ConnectionBroken, false)
	r.member("c1").Cell = 5
	assert.False(t, r.inGroup(x, r.member("c1")))
	assert.True(t, r.inGroup(x, r.member("c2")))
}

func TestNoSecondHopBesideOneThatIsOut(t *testing.T) {
	r := router("repeatable")
	r.rec["may_double"] = "false"
	x := sent(r, 0, true)
	x.hops[0].late = 100.3
	r.now = 100.4
	r.think(x) // silent: cancelled, and the end is awaited
	assert.Equal(t, []CancelAttempt{{"t", 0}}, of[CancelAttempt](r.acts))
	assert.Len(t, x.hops, 1)
	acts := r.Decide(100.41, AttemptEnded{Request: "t", Endpoint: "c0", Result: Cancelled})
	require.Len(t, of[StartAttempt](acts), 1)
	assert.NotEqual(t, EndpointID("c0"), of[StartAttempt](acts)[0].Endpoint)
}

func TestUnrepeatableIsNotCancelledWhenSilent(t *testing.T) {
	r := router("unrepeatable")
	r.rec["may_double"] = "false"
	x := sent(r, 0, true)
	r.now = 101
	r.think(x)
	assert.Empty(t, of[CancelAttempt](r.acts))
	assert.Nil(t, x.verdict)
}

func TestDrainingAndGoneAreNeverUsed(t *testing.T) {
	for _, status := range []EndpointStatus{Draining, Removed} {
		r := router("keyed")
		r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{{ID: "c0", Zone: 1, Weight: 4, Status: status},
			{ID: "c1", Zone: 1, Weight: 4, Status: status}, {ID: "p0", Kind: 1, Weight: 20, Status: status}}})
		p := r.object("x", 0).part(0)
		r.member("c0").list(&holding{p: p, kb: 1, used: 100}, p.key())
		for i := range 5 {
			hops := of[StartAttempt](r.Decide(100, arrival(RequestID(fmt.Sprint(i)), "x")))
			assert.Len(t, hops, 1)
			for _, h := range hops {
				assert.Equal(t, EndpointID("c2"), h.Endpoint)
				assert.Equal(t, EndpointID("p1"), h.Source)
			}
		}
	}
}

func TestAllDrainedIsAnsweredAtOnce(t *testing.T) {
	r := router("keyed")
	r.Decide(100, EndpointUpdate{Kind: Snapshot})
	assert.Len(t, of[RejectRequest](r.Decide(100, arrival("t", "x"))), 1)
}

func TestColdBudgetOverAnyWindow(t *testing.T) {
	r := router("keyed")
	c := r.member("c0")
	c.StartedAt = 100
	x := &txn{RequestArrived: RequestArrived{SizeKB: 100}, send: 0.1}
	r.rule(0).sizes = []float64{.1, .1, .1, .1, .1, .1, .1, .1}
	budget := coldSpend * 0.25 * 4 * 2 // share, capacity and window, one router
	c.spent = []sample{{100, budget - 0.1}}
	r.now = 100
	assert.True(t, r.affords(x, c))
	c.spent = []sample{{100, budget - 0.09}}
	assert.False(t, r.affords(x, c))
	r.now = 102.01 // the window has passed
	assert.True(t, r.affords(x, c))
}

func TestColdParentIsChargedForFillsAndSharedByAllRouters(t *testing.T) {
	r := router("keyed")
	for _, id := range []string{"p0", "p1"} {
		r.member(EndpointID(id)).StartedAt = 100
	}
	total := 0.0
	for i := range 50 {
		r.Decide(100, arrival(RequestID(fmt.Sprint("t", i)), fmt.Sprint("x", i)))
	}
	for _, s := range append(r.member("p0").spent, r.member("p1").spent...) {
		total += s.cost
	}
	assert.Positive(t, total)
	assert.LessOrEqual(t, total, 2*coldSpend*0.1*20*2/2)
}

// TestAZoneThatReturnsColdIsNotPushedOver: all caches and a parent start again at once, and the routers, told so, bring all
// that they have. What stand-ins of the members count stays, in every window, under what topples them; each is used.
func TestAZoneThatReturnsColdIsNotPushedOver(t *testing.T) {
	const sharers = 6
	rows := []Endpoint{{ID: "o", Kind: 2, Weight: 1}, {ID: "p0", Kind: 1, Weight: 20, StartedAt: 100}, {ID: "p1", Kind: 1, Weight: 20}}
	for _, id := range []string{"c0", "c1", "c2"} {
		rows = append(rows, Endpoint{ID: EndpointID(id), Zone: 1, Weight: 8, StartedAt: 100})
	}
	came := map[EndpointID][]float64{} // times at which a hop, or a fill, came to a member
	for i := range sharers {
		rec := records("keyed")
		rec["routers"], rec["routers_at"] = strconv.Itoa(sharers), "0,"+strconv.Itoa(sharers)
		r := New(uint64(i), rec)
		r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: rows})
		for n := range 300 { // 50 a second for 6 s, each answered a tenth of a second later by a fill
			now := 100 + float64(n)/50
			for _, h := range of[StartAttempt](r.Decide(now, RequestArrived{Request: RequestID(fmt.Sprint(n)), Object: fmt.Sprint("x", n), SizeKB: 100, Deadline: now + 5})) {
				came[h.Endpoint] = append(came[h.Endpoint], now)
				if h.Source != h.Endpoint {
					came[h.Source] = append(came[h.Source], now)
				}
			}
			if n >= 5 {
				for _, h := range of[StartAttempt](r.Decide(now, AttemptEnded{Request: RequestID(fmt.Sprint(n - 5)), Detail: Filled, ElapsedSeconds: 0.1, RequestDone: true})) {
					came[h.Endpoint] = append(came[h.Endpoint], now)
				}
			}
		}
	}
	for id, most := range map[EndpointID][2]float64{"c0": {0.25, 10}, "c1": {0.25, 10}, "c2": {0.25, 10}, "p0": {0.1, 20}} {
		weight := map[bool]float64{true: 20, false: 8}[id == "p0"]
		assert.NotEmpty(t, came[id])
		for _, end := range came[id] {
			sum := 0.0
			for _, at := range came[id] {
				sum += 0.1 * flag(at > end-2 && at <= end)
			}
			able := (most[0] + (1-most[0])*(end-100)/most[1]) * weight * 2
			assert.LessOrEqual(t, sum, 2*able, "%s at %v", id, end)
		}
	}
}

func TestRestartedMemberIsEmptyColdAndCapped(t *testing.T) {
	r := router("keyed")
	c, p := r.member("c0"), &part{}
	c.list(&holding{p: p}, 0)
	r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{{ID: "c0", Zone: 1, Weight: 4, StartedAt: 99}}})
	assert.Empty(t, c.held)
	assert.Equal(t, freshRoom, c.room)
	c.grow()
	assert.Equal(t, freshRoom+1, c.room)
}

// A box that was down when a purge was told may return with a disk, long after running boxes dropped their copies.
func TestPurgeBoundsTheAgeHoweverLongAgo(t *testing.T) {
	r := router("keyed")
	p := r.object("x", 3).part(0)
	r.member("c0").list(&holding{p: p, kb: 1}, 0)
	r.Decide(100, Purge{AgeSeconds: 0.2, ObjectGroup: 3, Object: "x"})
	assert.Empty(t, r.member("c0").held)
	x, y := &txn{RequestArrived: RequestArrived{Object: "x", ObjectGroup: 3}}, &txn{RequestArrived: RequestArrived{Object: "y", ObjectGroup: 3}}
	h := &hop{to: r.member("c0"), source: r.member("p0")}
	assert.InDelta(t, 0.2-ageMargin, r.oldest(x, h), 1e-9)
	assert.Zero(t, r.oldest(y, h))
	r.now = 3700
	assert.InDelta(t, 3600.2-ageMargin, r.oldest(x, h), 1e-9)
	r.Decide(3710, Purge{ObjectGroup: 3})
	assert.Equal(t, leastAge, r.oldest(y, h), "never 0, which means any")
}

// Purges are forgotten in the end; what started since is then trusted with nothing from before them.
func TestForgottenPurgesBoundWhatAMemberThatStartedSinceMayGive(t *testing.T) {
	r := router("keyed")
	for i := range mostPurges + 1 {
		r.Decide(100+float64(i)/100, Purge{Object: string(rune(i + 1000))})
	}
	assert.LessOrEqual(t, len(r.purges), mostPurges)
	h := &hop{to: r.member("c0"), source: r.member("p0")}
	x := &txn{RequestArrived: RequestArrived{Object: "never purged", ObjectGroup: 3}}
	assert.Zero(t, r.oldest(x, h))
	h.to.StartedAt = r.forgot + 1
	assert.InDelta(t, r.now-r.forgot-ageMargin, r.oldest(x, h), 1e-9)
	h.to, h.source = h.source, h.to
	assert.Positive(t, r.oldest(x, h), "as a source of fills too")
}

func TestOldCopiesWillDoInAJamButNeverPurgedOnes(t *testing.T) {
	r := router("keyed")
	r.rec["fresh_s"], r.rec["stale_s"], r.rec["stale_importance"] = "5,0", "10,0", "0.5,0.5"
	x, h := &txn{RequestArrived: RequestArrived{Object: "x", ObjectGroup: 3}}, &hop{to: r.member("c0"), source: r.member("p0")}
	assert.Zero(t, r.oldest(x, h))
	r.link.cut = 100
	assert.Equal(t, 15.0, r.oldest(x, h))
	r.purges[void{object: "x"}] = 97
	assert.InDelta(t, 3-ageMargin, r.oldest(x, h), 1e-9)
	r.rule(0).late, r.purges = 0.6, nil
	assert.Zero(t, r.oldest(x, h), "a late answer is worth more")
}

func TestNearerParentIsMoreOftenFirst(t *testing.T) {
	r := router("keyed")
	r.member("p1").Zone, r.rec["hub_of"], r.nums["location"] = 1, "0,1,0", 2
	r.relist()
	near := 0
	for i := range 300 {
		if inOrder(fmt.Sprint(i), r.parents)[0].ID == "p0" {
			near++
		}
	}
	assert.InDelta(t, 300*hubFactor/(1+hubFactor), near, 40)
}

func TestSilenceBenchesAndSendsElsewhere(t *testing.T) {
	r := router("repeatable")
	x := sent(r, 0, true)
	x.hops[0].late = 100.25
	r.now = 100 + quiet + 0.01
	r.think(x)
	assert.Greater(t, r.member("c0").benched, r.now)
	require.Len(t, x.hops, 2)
	assert.NotEqual(t, EndpointID("c0"), x.hops[1].to.ID)
	assert.Empty(t, of[CancelAttempt](r.acts), "a second copy runs beside the first")
}

// TestALongTransferIsNotSilence: a router that hears a cache once in a while hears nothing during a long transfer. It is
// taken for lost only once it is slower for its size, by the margin, than any of late.
func TestALongTransferIsNotSilence(t *testing.T) {
	for _, slow := range [][]float64{nil, {0.7, 2, 0.9}} {
		r := router("repeatable")
		r.slow = slow
		c, h := r.member("c0"), sent(r, 0, true).hops[0]
		h.late = 102 // for its size it may take two seconds
		bar := 2 * lostMore * r.slowest()
		r.now = 100 + bar - 0.01
		assert.False(t, r.silent(h))
		assert.Zero(t, c.benched)
		r.now = 100 + bar + 0.01
		assert.True(t, r.silent(h))
		assert.Greater(t, c.benched, r.now)
	}
}

func TestHeardMemberIsNotSilent(t *testing.T) {
	r := router("repeatable")
	x := sent(r, 0, true)
	r.member("c0").hear(100.1)
	r.now = 101
	assert.False(t, r.silent(x.hops[0]))
}

func TestEjectionNeverEmptiesTheField(t *testing.T) {
	r := router("keyed")
	for _, m := range r.all {
		m.benched = 200
	}
	assert.Len(t, of[StartAttempt](r.Decide(100, arrival("t", "x"))), 1)
}

func TestOneHopLooksWhereTheWaysAreClosed(t *testing.T) {
	r := router("keyed")
	r.link.room, r.misses = 0, []float64{1, 0, 0, 0, 1, 0, 0, 0}
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.Equal(t, h[0].Endpoint, h[0].Source, "nothing is filled")
	acts := r.Decide(100.01, AttemptEnded{Request: "t", Endpoint: h[0].Endpoint, Result: CacheMiss})
	assert.Empty(t, of[StartAttempt](acts), "held, not looked for again")
	r.link.room = 5
	assert.Len(t, of[StartAttempt](r.Decide(100.11, TimerFired{r.txns["t"].seq})), 1)
}

func TestShareUnderOneHopIsSpentInTurns(t *testing.T) {
	g := gate{room: 0.25, proven: 0.25, part: 0.1}
	require.True(t, g.open(100))
	g.out++
	assert.False(t, g.open(100))
	g.release(101, 1, 1, true) // out for 1 s: three more of rest
	assert.False(t, g.open(103.9))
	assert.True(t, g.open(104))
	g.rest = 0
	g.release(105, 1, 1, false) // nothing went through
	assert.True(t, g.open(105))
}

func TestOneLateAnswerDoesNotShrinkAGate(t *testing.T) {
	g := gate{room: 10, proven: 10, lates: []float64{0, 0, 0, 0, 0, 0}}
	g.shrink(100, false)
	assert.Equal(t, 10.0, g.room)
	g.shrink(100, true)
	assert.Equal(t, 10*roomCut, g.room)
	g.shrink(100.1, true)
	assert.Equal(t, 10*roomCut, g.room, "all that was out tells of the same jam")
}

// TestAGateNarrowsWhileOneAnswerInFiveIsLate: what is in time between the late ones must not widen it faster than they
// narrow it, however many routers share the way.
func TestAGateNarrowsWhileOneAnswerInFiveIsLate(t *testing.T) {
	for _, sharers := range []float64{3, 30, 300} {
		var g gate
		g.share(10, sharers)
		g.out = 8
		for i := range 200 {
			if i%5 == 4 {
				g.shrink(100+float64(i)/10, false)
			} else {
				g.grow()
			}
		}
		assert.Less(t, g.room, 8.0, "%v routers", sharers)
	}
}

// TestUntoldLateFillNarrowsTheLinkToo: one source late tells as well of the link before it.
func TestUntoldLateFillNarrowsTheLinkToo(t *testing.T) {
	r := router("repeatable")
	r.rec["tells"] = "hit"
	x := sent(r, 0, true)
	h := x.hops[0]
	h.source, h.fill, h.late = r.member("p0"), true, 100.2
	r.link.least = 1
	before := [2]float64{h.source.room, r.link.room}
	r.tune(x, h, AttemptEnded{ElapsedSeconds: 0.6}, true)
	assert.Less(t, h.source.room, before[0])
	assert.Less(t, r.link.room, before[1])
}

// TestHopsThatNeverAnswerNarrowTheirWays: in a jam so deep that nothing answers in time, no answer is left to tell of it.
func TestHopsThatNeverAnswerNarrowTheirWays(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*hop)
		narrower bool
	}{
		"out at the end of its time": {func(*hop) {}, true},
		"sent shortly before it":     {func(h *hop) { h.sent = 104.8 }, false},
		"taken for lost":             {func(h *hop) { h.late = math.Inf(1) }, false},
		"given up before":            {func(h *hop) { h.out, h.end = false, Cancelled }, false},
	} {
		r := router("repeatable")
		r.rec["tells"] = "hit"
		x := sent(r, 0, true)
		h, o := x.hops[0], r.member("o")
		h.source, h.fill, h.far, h.late = r.member("p0"), true, &o.gate, 100.4
		cache := h.to.room
		ways := []*gate{&h.source.gate, &r.link, &o.gate}
		var before []float64
		for _, g := range ways {
			g.least = 0.1
			before = append(before, g.room)
		}
		c.change(h)
		r.now = x.Deadline
		r.think(x)
		assert.IsType(t, RejectRequest{}, x.verdict, name)
		for i, g := range ways {
			assert.Equal(t, c.narrower, g.room < before[i], "%s, way %d", name, i)
		}
		assert.Equal(t, cache, h.to.room, "%s: a fill is not laid to the cache", name)
	}
}

func TestFailureAtTheOriginIsNotLaidToTheParent(t *testing.T) {
	r := router("repeatable")
	x := sent(r, 0, true)
	p, o := r.member("p0"), r.member("o")
	x.hops[0].source, x.hops[0].fill = p, true
	o.room, p.room = 10, 10
	for range 6 {
		r.learn(x, x.hops[0], AttemptEnded{Result: ServerError, Detail: OriginFailed})
	}
	assert.Less(t, o.room, 10.0)
	assert.Equal(t, 10.0, p.room)
	assert.Zero(t, p.benched)
}

// TestHeldOnlyWhileAHopOnFullWaysIsInTime: one that nobody has room for is given up once twice its sending time would end
// past the share of the SLA time that tells of a jam, not sent out to be late; a large one at once.
func TestHeldOnlyWhileAHopOnFullWaysIsInTime(t *testing.T) {
	for kb, most := range map[float64]float64{20: inTime*0.54 - 0.04, 100: inTime*0.7 - 0.2, 4000: 0} {
		r := router("repeatable")
		for _, m := range r.all {
			m.room, m.proven = 0, 0
		}
		a := arrival("t", "x")
		a.SizeKB = kb // at 1000 KB a second, the SLA time being half a second and two sending times
		acts := r.Decide(100, a)
		if most > 0 {
			assert.Empty(t, of[RejectRequest](acts))
			r.now = 100 + most - 0.01
			r.think(r.txns["t"])
			assert.Nil(t, r.txns["t"].verdict)
			acts = r.Decide(100+most+0.01, TimerFired{r.txns["t"].seq})
		}
		assert.Len(t, of[RejectRequest](acts), 1, "%v KB", kb)
	}
}

func TestDensestIsReleasedFirst(t *testing.T) {
	r := router("keyed")
	for _, c := range r.caches {
		c.room, c.proven = 0, 0
	}
	big, small := arrival("big", "x"), arrival("small", "x")
	big.SizeKB = 400
	r.Decide(100, big)
	r.Decide(100, small)
	x := sent(r, 0, true)
	x.over = true
	for _, c := range r.caches {
		c.room = 0.5
	}
	acts := of[StartAttempt](r.Decide(100.05, AttemptEnded{Request: "t", Endpoint: "c0", Result: Cancelled}))
	require.NotEmpty(t, acts)
	assert.Equal(t, RequestID("small"), acts[0].Request)
}

func TestBareRecordsAndOddLists(t *testing.T) {
	for name, rows := range map[string][]Endpoint{"empty": nil, "one cache": {{ID: "c"}}, "zero weight": {{ID: "c"}, {ID: "d"}}} {
		r := New(1, Settings{"unheard": "of", "remap.0.effect": "repeatable", "parent_kind": "-1"})
		r.Decide(5, EndpointUpdate{Kind: Restored, Endpoints: rows})
		acts := r.Decide(5, RequestArrived{Request: "t", Object: "x", Deadline: 6})
		acts = append([]Action{}, acts...)
		acts = append(acts, r.Decide(6, TimerFired{1})...)
		assert.Equal(t, 1, len(of[RejectRequest](acts))+len(of[AbortRequest](acts)), name)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (out []Action) {
		r := router("keyed")
		for i := range 60 {
			now := 100 + float64(i)/50
			out = append(out, r.Decide(now, arrival(RequestID(fmt.Sprint(i)), fmt.Sprint("x", i%7)))...)
			if i%3 == 0 {
				out = append(out, r.Decide(now, AttemptEnded{Request: RequestID(fmt.Sprint(i / 2)), Endpoint: "c0", Result: AttemptResult(i % 9)})...)
			}
		}
		return out
	}
	assert.Equal(t, run(), run())
}

func TestSilenceIsWeighedByTheUsualTimeBetweenSigns(t *testing.T) {
	r := router("repeatable")
	c, h := r.member("c0"), sent(r, 0, true).hops[0]
	c.signs, h.late = []float64{96, 97, 98, 99}, 100.2
	for wait, want := range map[float64]bool{silences - 0.1: false, silences + 0.1: true} {
		r.now, c.benched = 100+wait, 0
		assert.Equal(t, want, r.silent(h), "after %v s", wait)
		assert.Equal(t, want, c.benched > r.now)
	}
}

func TestUnseenPartAndGatesGoByTheOddsOfAFill(t *testing.T) {
	r := router("keyed")
	r.misses = []float64{1, 0, 0, 0, 1, 0, 0, 0}
	x := &txn{obj: r.object("y", 0), p: &part{}, unseen: true}
	assert.InDelta(t, firstHorizon/0.75, r.gap(x, r.member("c0")), 1e-9)
	require.Len(t, of[StartAttempt](r.Decide(100, arrival("t", "x"))), 1)
	assert.InDelta(t, 0.25, r.link.out, 1e-9)
	r.Decide(100.1, AttemptEnded{Request: "t", Endpoint: "c0", Result: Completed, Detail: CacheHit, RequestDone: true})
	assert.Zero(t, r.link.out)
}

func TestLookGoesAsFarAsTheParent(t *testing.T) {
	r := router("keyed")
	r.member("o").room = 0
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.True(t, h[0].CacheOnly)
	assert.Contains(t, []EndpointID{"p0", "p1"}, h[0].Source)
	r.txns["t"].p.near = true // a parent has it: no need to look
	assert.False(t, of[StartAttempt](r.Decide(100, arrival("u", "x")))[0].CacheOnly)
}

func TestBlindRefusalIsLaidByItsTime(t *testing.T) {
	for took, link := range map[float64]bool{ownWord / 2: true, ownWord * 2: false} {
		r := router("repeatable")
		r.rec["tells"] = "hit"
		x := sent(r, 0, true)
		p := r.member("p0")
		x.hops[0].source, x.hops[0].fill = p, true
		r.link.least = 1 // shared with others
		before, source := r.link.room, p.room
		r.learn(x, x.hops[0], AttemptEnded{Result: Overloaded, ElapsedSeconds: took})
		assert.Equal(t, link, r.link.room < before)
		assert.Equal(t, !link, p.room < source)
	}
}

// TestRefusedFillsBenchTheirSource: a source behind which fills end as full, again and again, is left out for a while,
// whatever its cause; one refusal only narrows it.
func TestRefusedFillsBenchTheirSource(t *testing.T) {
	r := router("repeatable")
	r.rec["tells"] = "hit"
	p := r.member("p0")
	for i := range badLeast {
		assert.Zero(t, p.benched, "after %d", i)
		x := sent(r, 0, true)
		x.hops[0].source, x.hops[0].fill = p, true
		r.learn(x, x.hops[0], AttemptEnded{Result: Overloaded, ElapsedSeconds: 0.8})
	}
	assert.Greater(t, p.benched, r.now)
	assert.Zero(t, r.member("c0").benched)
}

// TestImpossibleTxnIsNoMembersIllHealth: an error counts against a member once its txn is completed elsewhere.
func TestImpossibleTxnIsNoMembersIllHealth(t *testing.T) {
	for _, completed := range []bool{false, true} {
		r := router("repeatable")
		for range 2 * badLeast {
			x := sent(r, 0, true)
			r.Decide(100, AttemptEnded{Request: "t", Endpoint: "c0", Result: ServerError})
			require.Len(t, x.hops, 2, "sent on")
			code := ServerError
			if completed {
				code = Completed
			}
			r.Decide(100.01, AttemptEnded{Request: "t", Attempt: 1, Endpoint: x.hops[1].to.ID, Result: code, Detail: CacheHit, RequestDone: completed})
		}
		assert.Equal(t, completed, r.member("c0").benched > r.now)
	}
}

// TestAnswerThatNeverComes: a hop that takes longer than any of the last few dozen is sent elsewhere though its member
// is heard, once it is known that such hops mostly have no answer; the next one waits longer.
func TestAnswerThatNeverComes(t *testing.T) {
	for _, lost := range []bool{true, false} {
		r := router("repeatable")
		for range keptSizes {
			r.slow = append(r.slow, 2)
		}
		late := func() *txn {
			x := sent(r, 0, true)
			x.hops[0].late = 100.25
			r.member("c0").hear(100.2)
			return x
		}
		for range badLeast {
			code := Cancelled
			if !lost {
				code = ServerError // it came after all
			}
			r.learn(late(), r.txns["t"].hops[0], AttemptEnded{Result: code, ElapsedSeconds: 0.75})
		}
		x := late()
		r.Decide(100.5, TimerFired{1})
		assert.Len(t, x.hops, 1, "as long as others took")
		r.Decide(100.75, TimerFired{1})
		assert.Equal(t, lost, len(x.hops) == 2)
		assert.Zero(t, r.member("c0").benched)
		if lost {
			assert.NotEqual(t, EndpointID("c0"), x.hops[1].to.ID)
			assert.InDelta(t, 3*lostMore, r.slow[len(r.slow)-1], 1e-6)
		}
	}
}

// TestGoneMembersAreForgotten: on a long day members are always new.
func TestGoneMembersAreForgotten(t *testing.T) {
	r := router("repeatable")
	for i := range 20 {
		now := 100 + float64(i)*forgetAfter/2
		r.Decide(now, EndpointUpdate{Endpoints: []Endpoint{{ID: EndpointID("n" + strconv.Itoa(i)), Zone: 1, Weight: 4}, {ID: EndpointID("n" + strconv.Itoa(i-1)), Zone: 1, Status: Removed}}})
	}
	assert.Len(t, r.all, 6+1+2)
	assert.Len(t, r.caches, 4)
}

// However many routers there are said to be, a txn finds a way, and all shares together stay near the capacity.
func TestAnyToldCountOfRouters(t *testing.T) {
	for _, told := range []string{"", "0", "-3", "0.5", "1", "400"} {
		r := New(7, records("keyed"))
		r.rec["routers"], r.rec["routers_at"] = told, "0,"+told
		r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: []Endpoint{{ID: "o", Kind: 2, Weight: 1},
			{ID: "c", Zone: 1, Weight: 4}, {ID: "p", Kind: 1, Weight: 400}}})
		assert.Len(t, of[StartAttempt](r.Decide(100, arrival("t", "x"))), 1, "told %q", told)
		n := max(r.rec.Float("routers", 1), 1)
		assert.InDelta(t, stretchRoom*400, n*r.member("p").room, 1e-6, "told %q", told)
	}
}

func TestAllStartedAtOnceWithoutSizesOrLinks(t *testing.T) {
	r := New(7, records("keyed"))
	r.rec["link_in_kb_s"], r.rec["pace_kb_s"] = "", ""
	r.Decide(100, EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{{ID: "o", Kind: 2, Weight: 1, StartedAt: 100},
		{ID: "c", Zone: 1, Weight: 4, StartedAt: 100}, {ID: "p", Kind: 1, Weight: 40, StartedAt: 100}}})
	for i := range 40 {
		r.Decide(100, RequestArrived{Request: RequestID(fmt.Sprint(i)), Object: fmt.Sprint("x", i), Deadline: 105})
	}
	for _, m := range r.all {
		assert.LessOrEqual(t, m.spentSince(98), coldSpend*r.warmth(m)*m.Weight*2/m.sharers, m.ID)
	}
	assert.Positive(t, r.member("c").out)
}

func TestWaysBehindFewRoutersAreNotCutDeep(t *testing.T) {
	for n, least := range map[float64]float64{1: 10, 4: 5, 400: 10 * leastShare} {
		g := gate{}
		g.share(10, n)
		g.ease(n)
		for i := range 50 {
			g.shrink(float64(i), true)
		}
		assert.InDelta(t, least, g.room, 1e-9, "%v routers", n)
	}
}

// A spent budget of further hops ends a txn that has had one, and leaves fresh ones alone; a member's bars it alone.
func TestASpentBudgetAllowsNoFurtherHop(t *testing.T) {
	r := router("keyed")
	fresh, once := &txn{}, &txn{hops: []*hop{{begun: true, end: Overloaded}}}
	r.rec["max_hops"] = "6"
	assert.True(t, r.mayRepeat(once))
	r.Decide(100, RetryBudgetChanged{Class: 0})
	assert.True(t, r.mayRepeat(fresh))
	assert.False(t, r.mayRepeat(once))
	r.Decide(100, RetryBudgetChanged{Class: 0, Available: true})
	assert.True(t, r.mayRepeat(once))
	m := r.member("c0")
	m.room = 5
	once.hops[0].to = r.member("c1")
	used := func(*hop, *member) bool { return false }
	r.Decide(100, RetryBudgetChanged{Endpoint: "c0"})
	assert.True(t, r.usable(fresh, m, 0, used))
	assert.False(t, r.usable(once, m, 0, used))
	r.Decide(100, RetryBudgetChanged{Endpoint: "never heard of"})
	r.Decide(100, RetryBudgetChanged{Endpoint: "c0", Available: true})
	assert.True(t, r.usable(once, m, 0, used))
}

// A hop whose way is silent is given up and its member is not benched for it; one that must not run twice is waited for.
func TestAStuckHopIsGivenUpWithoutABench(t *testing.T) {
	for effect, want := range map[string]bool{"repeatable": false, "keyed": false, "unrepeatable": true} {
		r := router(effect)
		r.rec["may_double"] = "false"
		x := sent(r, 0, true)
		x.hops[0].late = 200
		r.Decide(100.2, AttemptStalled{Request: "t", Attempt: 7})
		r.Decide(100.2, AttemptStalled{Request: "gone"})
		assert.True(t, x.hops[0].wanted)
		r.Decide(100.2, AttemptStalled{Request: "t", Attempt: 0})
		assert.Equal(t, want, x.hops[0].wanted, effect)
		assert.Zero(t, r.member("c0").benched)
	}
}

// TestDoubtTakesNobodyOut: others' word alone moves nothing; with it one own failed end is enough, and it runs out.
func TestDoubtTakesNobodyOut(t *testing.T) {
	for level, want := range map[float64]bool{0: false, doubtful / 2: false, doubtful: true, 1: true} {
		r := router("repeatable")
		c := r.member("c0")
		r.Decide(r.now, HealthObservation{Endpoint: "c0", Suspicion: level, ValidSeconds: 10})
		r.Decide(r.now, HealthObservation{Endpoint: "nobody", Suspicion: level, ValidSeconds: 10})
		assert.Zero(t, c.benched)
		r.judge(c, false)
		assert.Zero(t, c.benched, "level %v", level)
		r.judge(c, true)
		assert.Equal(t, want, c.benched > r.now, "level %v", level)
		if want {
			assert.InDelta(t, min(benchFirst*4, benchMost), c.benched-r.now, 1e-9, "as long as one who failed before: others found it so")
		}
	}
	r := router("repeatable")
	c := r.member("c0")
	r.Decide(r.now, HealthObservation{Endpoint: "c0", Suspicion: 1, ValidSeconds: 10})
	r.now += 11
	r.judge(c, true)
	assert.Zero(t, c.benched, "it has run out")
}
