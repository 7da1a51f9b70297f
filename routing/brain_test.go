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
	x := &request{chunk: &chunk{requested: true, lastRequest: 90, averageGap: 8}}
	r.updateGap(x, r.findOrAddEndpoint("c0"))
	assert.InDelta(t, 0.25*10+0.75*8, x.chunk.averageGap, 1e-9)
	assert.Equal(t, 100.0, x.chunk.lastRequest)
}

func TestFirstRequestSetsGapToHorizon(t *testing.T) {
	r := router("keyed")
	x := &request{chunk: &chunk{}}
	r.findOrAddEndpoint("c0").idleSamples = []float64{4, 6}
	r.updateGap(x, r.findOrAddEndpoint("c0"))
	assert.Equal(t, 5.0, x.chunk.averageGap)
}

func TestUnseenPartTakesLargestHeldGap(t *testing.T) {
	r := router("keyed")
	c, o := r.findOrAddEndpoint("c0"), r.findOrAddObject("x", 0)
	for i, dt := range []float64{4, 12, 40} {
		p := o.findOrAddChunk(i)
		p.requested, p.averageGap, p.lastRequest = true, dt, 100
		if i < 2 {
			c.addCached(&cachedChunk{chunk: p, sizeKB: 1}, p.gapKey())
		}
	}
	assert.InDelta(t, 9, r.gapOf(&request{object: o, chunk: o.findOrAddChunk(9), firstOfChunk: true}, c), 1e-9)
	assert.True(t, math.IsInf(r.gapOf(&request{object: o, chunk: o.findOrAddChunk(9), firstOfChunk: true}, r.findOrAddEndpoint("c1")), 1))
}

// With T = 10 and a part of 100 KB, serving costs 100 CF and what it displaces; passing 100 CR and 100 T/gap.
func TestChoiceComparesServingWithPassing(t *testing.T) {
	cf, cr := 2*fillCostRatio/(fillCostRatio+1), 2/(fillCostRatio+1)
	for _, gap := range []float64{2, 8, 60} {
		for _, old := range []float64{1, 5, 20} {
			r := router("keyed")
			c := r.findOrAddEndpoint("c0")
			p := &chunk{requested: true, lastRequest: 100, averageGap: old / 0.75}
			c.addCached(&cachedChunk{chunk: p, sizeKB: 300, lastUsed: 100}, p.gapKey())
			x := &request{RequestArrived: RequestArrived{SizeKB: 100}, chunk: &chunk{requested: true, lastRequest: 100, averageGap: gap / 0.75}}
			want := 100*cf+100*10/old*min(cf, cr) < 100*cr+100*10/gap*min(cf, cr)
			assert.Equal(t, want, r.shouldStore(x, c), "gap %v against %v", gap, old)
		}
	}
}

func TestUncacheableRuleIsPassed(t *testing.T) {
	r := router("keyed")
	r.settings["uncacheable"] = "true,true"
	assert.False(t, r.shouldStore(&request{RequestArrived: RequestArrived{SizeKB: 1}, chunk: &chunk{requested: true, lastRequest: 100, averageGap: 0.1}}, r.findOrAddEndpoint("c0")))
}

func TestHashOrderIsStableAndSkips(t *testing.T) {
	r := router("keyed")
	all, _ := r.hashOrder(r.findOrAddObject("x", 0))
	less := sortByHash("x", all[1:])
	assert.Equal(t, []EndpointID{all[1].ID, all[2].ID}, []EndpointID{less[0].ID, less[1].ID})
	all[0].inFlight = all[0].limit // its gate is full
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.Equal(t, all[1].ID, h[0].Endpoint)
}

func TestPassNamesSourceAndKeepsNothing(t *testing.T) {
	r := router("keyed")
	for _, c := range r.caches { // full of what is wanted all the time
		p := &chunk{requested: true, lastRequest: 100, averageGap: 0.1}
		c.addCached(&cachedChunk{chunk: p, sizeKB: 1e6, lastUsed: 100}, p.gapKey())
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
		r.plan(x)
		assert.Nil(t, x.finalAction, "before its time")
		r.now = 105 - deadlineMargin
		x.attempts = x.attempts[:1]
		r.plan(x)
		assert.IsType(t, c.want, x.finalAction, c.effect)
	}
}

func TestNothingIsSentAfterTheEnd(t *testing.T) {
	r := router("repeatable")
	sent(r, 0, true)
	r.Decide(100.1, ClientDisconnected{"t"})
	acts := r.Decide(100.2, AttemptEnded{Request: "t", Endpoint: "c0", Result: ServerError, RequestDone: true})
	assert.Empty(t, of[StartAttempt](acts))
	assert.Empty(t, r.requests)
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
	r.now = 105 - idempotencyMargin
	assert.True(t, r.mayRetry(x))
	r.now += 0.001
	assert.False(t, r.mayRetry(x))
	x.attempts[0].result = Overloaded
	assert.True(t, r.mayRetry(x))
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	r := router("keyed")
	r.settings["remap.1.group"] = "cell"
	x := sent(r, ConnectionBroken, false)
	r.findOrAddEndpoint("c1").Cell = 5
	assert.False(t, r.inDeduplicationScope(x, r.findOrAddEndpoint("c1")))
	assert.True(t, r.inDeduplicationScope(x, r.findOrAddEndpoint("c2")))
}

func TestNoSecondHopBesideOneThatIsOut(t *testing.T) {
	r := router("repeatable")
	r.settings["may_double"] = "false"
	x := sent(r, 0, true)
	x.attempts[0].suspectAt = 100.3
	r.now = 100.4
	r.plan(x) // silent: cancelled, and the end is awaited
	assert.Equal(t, []CancelAttempt{{"t", 0}}, of[CancelAttempt](r.actions))
	assert.Len(t, x.attempts, 1)
	acts := r.Decide(100.41, AttemptEnded{Request: "t", Endpoint: "c0", Result: Cancelled})
	require.Len(t, of[StartAttempt](acts), 1)
	assert.NotEqual(t, EndpointID("c0"), of[StartAttempt](acts)[0].Endpoint)
}

func TestUnrepeatableIsNotCancelledWhenSilent(t *testing.T) {
	r := router("unrepeatable")
	r.settings["may_double"] = "false"
	x := sent(r, 0, true)
	r.now = 101
	r.plan(x)
	assert.Empty(t, of[CancelAttempt](r.actions))
	assert.Nil(t, x.finalAction)
}

func TestDrainingAndGoneAreNeverUsed(t *testing.T) {
	for _, status := range []EndpointStatus{Draining, Removed} {
		r := router("keyed")
		r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{{ID: "c0", Zone: 1, Weight: 4, Status: status},
			{ID: "c1", Zone: 1, Weight: 4, Status: status}, {ID: "p0", Kind: 1, Weight: 20, Status: status}}})
		p := r.findOrAddObject("x", 0).findOrAddChunk(0)
		r.findOrAddEndpoint("c0").addCached(&cachedChunk{chunk: p, sizeKB: 1, lastUsed: 100}, p.gapKey())
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
	c := r.findOrAddEndpoint("c0")
	c.StartedAt = 100
	x := &request{RequestArrived: RequestArrived{SizeKB: 100}, sendSeconds: 0.1}
	r.class(0).sendSamples = []float64{.1, .1, .1, .1, .1, .1, .1, .1}
	budget := coldBudgetShare * 0.25 * 4 * 2 // share, capacity and window, one router
	c.recentWork = []workSample{{100, budget - 0.1}}
	r.now = 100
	assert.True(t, r.withinColdBudget(x, c))
	c.recentWork = []workSample{{100, budget - 0.09}}
	assert.False(t, r.withinColdBudget(x, c))
	r.now = 102.01 // the window has passed
	assert.True(t, r.withinColdBudget(x, c))
}

func TestColdParentIsChargedForFillsAndSharedByAllRouters(t *testing.T) {
	r := router("keyed")
	for _, id := range []string{"p0", "p1"} {
		r.findOrAddEndpoint(EndpointID(id)).StartedAt = 100
	}
	total := 0.0
	for i := range 50 {
		r.Decide(100, arrival(RequestID(fmt.Sprint("t", i)), fmt.Sprint("x", i)))
	}
	for _, s := range append(r.findOrAddEndpoint("p0").recentWork, r.findOrAddEndpoint("p1").recentWork...) {
		total += s.seconds
	}
	assert.Positive(t, total)
	assert.LessOrEqual(t, total, 2*coldBudgetShare*0.1*20*2/2)
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
				sum += 0.1 * indicator(at > end-2 && at <= end)
			}
			able := (most[0] + (1-most[0])*(end-100)/most[1]) * weight * 2
			assert.LessOrEqual(t, sum, 2*able, "%s at %v", id, end)
		}
	}
}

func TestRestartedMemberIsEmptyColdAndCapped(t *testing.T) {
	r := router("keyed")
	c, p := r.findOrAddEndpoint("c0"), &chunk{}
	c.addCached(&cachedChunk{chunk: p}, 0)
	r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{{ID: "c0", Zone: 1, Weight: 4, StartedAt: 99}}})
	assert.Empty(t, c.cached)
	assert.Equal(t, coldLimit, c.limit)
	c.increase()
	assert.Equal(t, coldLimit+1, c.limit)
}

// A box that was down when a purge was told may return with a disk, long after running boxes dropped their copies.
func TestPurgeBoundsTheAgeHoweverLongAgo(t *testing.T) {
	r := router("keyed")
	p := r.findOrAddObject("x", 3).findOrAddChunk(0)
	r.findOrAddEndpoint("c0").addCached(&cachedChunk{chunk: p, sizeKB: 1}, 0)
	r.Decide(100, Purge{AgeSeconds: 0.2, ObjectGroup: 3, Object: "x"})
	assert.Empty(t, r.findOrAddEndpoint("c0").cached)
	x, y := &request{RequestArrived: RequestArrived{Object: "x", ObjectGroup: 3}}, &request{RequestArrived: RequestArrived{Object: "y", ObjectGroup: 3}}
	h := &attempt{target: r.findOrAddEndpoint("c0"), source: r.findOrAddEndpoint("p0")}
	assert.InDelta(t, 0.2-purgeAgeMargin, r.maxCopyAge(x, h), 1e-9)
	assert.Zero(t, r.maxCopyAge(y, h))
	r.now = 3700
	assert.InDelta(t, 3600.2-purgeAgeMargin, r.maxCopyAge(x, h), 1e-9)
	r.Decide(3710, Purge{ObjectGroup: 3})
	assert.Equal(t, minCopyAge, r.maxCopyAge(y, h), "never 0, which means any")
}

// Purges are forgotten in the end; what started since is then trusted with nothing from before them.
func TestForgottenPurgesBoundWhatAMemberThatStartedSinceMayGive(t *testing.T) {
	r := router("keyed")
	for i := range maxPurges + 1 {
		r.Decide(100+float64(i)/100, Purge{Object: string(rune(i + 1000))})
	}
	assert.LessOrEqual(t, len(r.purges), maxPurges)
	h := &attempt{target: r.findOrAddEndpoint("c0"), source: r.findOrAddEndpoint("p0")}
	x := &request{RequestArrived: RequestArrived{Object: "never purged", ObjectGroup: 3}}
	assert.Zero(t, r.maxCopyAge(x, h))
	h.target.StartedAt = r.purgesForgottenUntil + 1
	assert.InDelta(t, r.now-r.purgesForgottenUntil-purgeAgeMargin, r.maxCopyAge(x, h), 1e-9)
	h.target, h.source = h.source, h.target
	assert.Positive(t, r.maxCopyAge(x, h), "as a source of fills too")
}

func TestOldCopiesWillDoInAJamButNeverPurgedOnes(t *testing.T) {
	r := router("keyed")
	r.settings["fresh_s"], r.settings["stale_s"], r.settings["stale_importance"] = "5,0", "10,0", "0.5,0.5"
	x, h := &request{RequestArrived: RequestArrived{Object: "x", ObjectGroup: 3}}, &attempt{target: r.findOrAddEndpoint("c0"), source: r.findOrAddEndpoint("p0")}
	assert.Zero(t, r.maxCopyAge(x, h))
	r.zoneLink.decreasedAt = 100
	assert.Equal(t, 15.0, r.maxCopyAge(x, h))
	r.purges[purgeKey{object: "x"}] = 97
	assert.InDelta(t, 3-purgeAgeMargin, r.maxCopyAge(x, h), 1e-9)
	r.class(0).latePriority, r.purges = 0.6, nil
	assert.Zero(t, r.maxCopyAge(x, h), "a late answer is worth more")
}

func TestNearerParentIsMoreOftenFirst(t *testing.T) {
	r := router("keyed")
	r.findOrAddEndpoint("p1").Zone, r.settings["hub_of"], r.numbers["location"] = 1, "0,1,0", 2
	r.classifyEndpoints()
	near := 0
	for i := range 300 {
		if sortByHash(fmt.Sprint(i), r.parents)[0].ID == "p0" {
			near++
		}
	}
	assert.InDelta(t, 300*zoneDistanceFactor/(1+zoneDistanceFactor), near, 40)
}

func TestSilenceBenchesAndSendsElsewhere(t *testing.T) {
	r := router("repeatable")
	x := sent(r, 0, true)
	x.attempts[0].suspectAt = 100.25
	r.now = 100 + minSilence + 0.01
	r.plan(x)
	assert.Greater(t, r.findOrAddEndpoint("c0").ejectedUntil, r.now)
	require.Len(t, x.attempts, 2)
	assert.NotEqual(t, EndpointID("c0"), x.attempts[1].target.ID)
	assert.Empty(t, of[CancelAttempt](r.actions), "a second copy runs beside the first")
}

// TestALongTransferIsNotSilence: a router that hears a cache once in a while hears nothing during a long transfer. It is
// taken for lost only once it is slower for its size, by the margin, than any of late.
func TestALongTransferIsNotSilence(t *testing.T) {
	for _, slow := range [][]float64{nil, {0.7, 2, 0.9}} {
		r := router("repeatable")
		r.slownessSamples = slow
		c, h := r.findOrAddEndpoint("c0"), sent(r, 0, true).attempts[0]
		h.suspectAt = 102 // for its size it may take two seconds
		bar := 2 * lostSlownessFactor * r.greatestSlowness()
		r.now = 100 + bar - 0.01
		assert.False(t, r.isSilent(h))
		assert.Zero(t, c.ejectedUntil)
		r.now = 100 + bar + 0.01
		assert.True(t, r.isSilent(h))
		assert.Greater(t, c.ejectedUntil, r.now)
	}
}

func TestHeardMemberIsNotSilent(t *testing.T) {
	r := router("repeatable")
	x := sent(r, 0, true)
	r.findOrAddEndpoint("c0").recordSign(100.1)
	r.now = 101
	assert.False(t, r.isSilent(x.attempts[0]))
}

func TestEjectionNeverEmptiesTheField(t *testing.T) {
	r := router("keyed")
	for _, m := range r.endpoints {
		m.ejectedUntil = 200
	}
	assert.Len(t, of[StartAttempt](r.Decide(100, arrival("t", "x"))), 1)
}

func TestOneHopLooksWhereTheWaysAreClosed(t *testing.T) {
	r := router("keyed")
	r.zoneLink.limit, r.missSamples = 0, []float64{1, 0, 0, 0, 1, 0, 0, 0}
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.Equal(t, h[0].Endpoint, h[0].Source, "nothing is filled")
	acts := r.Decide(100.01, AttemptEnded{Request: "t", Endpoint: h[0].Endpoint, Result: CacheMiss})
	assert.Empty(t, of[StartAttempt](acts), "held, not looked for again")
	r.zoneLink.limit = 5
	assert.Len(t, of[StartAttempt](r.Decide(100.11, TimerFired{r.requests["t"].token})), 1)
}

func TestShareUnderOneHopIsSpentInTurns(t *testing.T) {
	g := limiter{limit: 0.25, provenLimit: 0.25, growthStep: 0.1}
	require.True(t, g.hasRoom(100))
	g.inFlight++
	assert.False(t, g.hasRoom(100))
	g.release(101, 1, 1, true) // out for 1 s: three more of rest
	assert.False(t, g.hasRoom(103.9))
	assert.True(t, g.hasRoom(104))
	g.pausedUntil = 0
	g.release(105, 1, 1, false) // nothing went through
	assert.True(t, g.hasRoom(105))
}

func TestOneLateAnswerDoesNotShrinkAGate(t *testing.T) {
	g := limiter{limit: 10, provenLimit: 10, lateSamples: []float64{0, 0, 0, 0, 0, 0}}
	g.decrease(100, false)
	assert.Equal(t, 10.0, g.limit)
	g.decrease(100, true)
	assert.Equal(t, 10*decreaseFactor, g.limit)
	g.decrease(100.1, true)
	assert.Equal(t, 10*decreaseFactor, g.limit, "all that was out tells of the same jam")
}

// TestAGateNarrowsWhileOneAnswerInFiveIsLate: what is in time between the late ones must not widen it faster than they
// narrow it, however many routers share the way.
func TestAGateNarrowsWhileOneAnswerInFiveIsLate(t *testing.T) {
	for _, sharers := range []float64{3, 30, 300} {
		var g limiter
		g.setShare(10, sharers)
		g.inFlight = 8
		for i := range 200 {
			if i%5 == 4 {
				g.decrease(100+float64(i)/10, false)
			} else {
				g.increase()
			}
		}
		assert.Less(t, g.limit, 8.0, "%v routers", sharers)
	}
}

// TestUntoldLateFillNarrowsTheLinkToo: one source late tells as well of the link before it.
func TestUntoldLateFillNarrowsTheLinkToo(t *testing.T) {
	r := router("repeatable")
	r.settings["tells"] = "hit"
	x := sent(r, 0, true)
	h := x.attempts[0]
	h.source, h.expectMiss, h.suspectAt = r.findOrAddEndpoint("p0"), true, 100.2
	r.zoneLink.minLimit = 1
	before := [2]float64{h.source.limit, r.zoneLink.limit}
	r.adjustLimits(x, h, AttemptEnded{ElapsedSeconds: 0.6}, true)
	assert.Less(t, h.source.limit, before[0])
	assert.Less(t, r.zoneLink.limit, before[1])
}

// TestHopsThatNeverAnswerNarrowTheirWays: in a jam so deep that nothing answers in time, no answer is left to tell of it.
func TestHopsThatNeverAnswerNarrowTheirWays(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*attempt)
		narrower bool
	}{
		"out at the end of its time": {func(*attempt) {}, true},
		"sent shortly before it":     {func(h *attempt) { h.sentAt = 104.8 }, false},
		"taken for lost":             {func(h *attempt) { h.suspectAt = math.Inf(1) }, false},
		"given up before":            {func(h *attempt) { h.inFlight, h.result = false, Cancelled }, false},
	} {
		r := router("repeatable")
		r.settings["tells"] = "hit"
		x := sent(r, 0, true)
		h, o := x.attempts[0], r.findOrAddEndpoint("o")
		h.source, h.expectMiss, h.originLimiter, h.suspectAt = r.findOrAddEndpoint("p0"), true, &o.limiter, 100.4
		cache := h.target.limit
		ways := []*limiter{&h.source.limiter, &r.zoneLink, &o.limiter}
		var before []float64
		for _, g := range ways {
			g.minLimit = 0.1
			before = append(before, g.limit)
		}
		c.change(h)
		r.now = x.Deadline
		r.plan(x)
		assert.IsType(t, RejectRequest{}, x.finalAction, name)
		for i, g := range ways {
			assert.Equal(t, c.narrower, g.limit < before[i], "%s, way %d", name, i)
		}
		assert.Equal(t, cache, h.target.limit, "%s: a fill is not laid to the cache", name)
	}
}

func TestFailureAtTheOriginIsNotLaidToTheParent(t *testing.T) {
	r := router("repeatable")
	x := sent(r, 0, true)
	p, o := r.findOrAddEndpoint("p0"), r.findOrAddEndpoint("o")
	x.attempts[0].source, x.attempts[0].expectMiss = p, true
	o.limit, p.limit = 10, 10
	for range 6 {
		r.learn(x, x.attempts[0], AttemptEnded{Result: ServerError, Detail: OriginFailed})
	}
	assert.Less(t, o.limit, 10.0)
	assert.Equal(t, 10.0, p.limit)
	assert.Zero(t, p.ejectedUntil)
}

// TestHeldOnlyWhileAHopOnFullWaysIsInTime: one that nobody has room for is given up once twice its sending time would end
// past the share of the SLA time that tells of a jam, not sent out to be late; a large one at once.
func TestHeldOnlyWhileAHopOnFullWaysIsInTime(t *testing.T) {
	for kb, most := range map[float64]float64{20: timelyShare*0.54 - 0.04, 100: timelyShare*0.7 - 0.2, 4000: 0} {
		r := router("repeatable")
		for _, m := range r.endpoints {
			m.limit, m.provenLimit = 0, 0
		}
		a := arrival("t", "x")
		a.SizeKB = kb // at 1000 KB a second, the SLA time being half a second and two sending times
		acts := r.Decide(100, a)
		if most > 0 {
			assert.Empty(t, of[RejectRequest](acts))
			r.now = 100 + most - 0.01
			r.plan(r.requests["t"])
			assert.Nil(t, r.requests["t"].finalAction)
			acts = r.Decide(100+most+0.01, TimerFired{r.requests["t"].token})
		}
		assert.Len(t, of[RejectRequest](acts), 1, "%v KB", kb)
	}
}

func TestDensestIsReleasedFirst(t *testing.T) {
	r := router("keyed")
	for _, c := range r.caches {
		c.limit, c.provenLimit = 0, 0
	}
	big, small := arrival("big", "x"), arrival("small", "x")
	big.SizeKB = 400
	r.Decide(100, big)
	r.Decide(100, small)
	x := sent(r, 0, true)
	x.done = true
	for _, c := range r.caches {
		c.limit = 0.5
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
	c, h := r.findOrAddEndpoint("c0"), sent(r, 0, true).attempts[0]
	c.signsOfLife, h.suspectAt = []float64{96, 97, 98, 99}, 100.2
	for wait, want := range map[float64]bool{silenceIntervals - 0.1: false, silenceIntervals + 0.1: true} {
		r.now, c.ejectedUntil = 100+wait, 0
		assert.Equal(t, want, r.isSilent(h), "after %v s", wait)
		assert.Equal(t, want, c.ejectedUntil > r.now)
	}
}

func TestUnseenPartAndGatesGoByTheOddsOfAFill(t *testing.T) {
	r := router("keyed")
	r.missSamples = []float64{1, 0, 0, 0, 1, 0, 0, 0}
	x := &request{object: r.findOrAddObject("y", 0), chunk: &chunk{}, firstOfChunk: true}
	assert.InDelta(t, initialHorizon/0.75, r.gapOf(x, r.findOrAddEndpoint("c0")), 1e-9)
	require.Len(t, of[StartAttempt](r.Decide(100, arrival("t", "x"))), 1)
	assert.InDelta(t, 0.25, r.zoneLink.inFlight, 1e-9)
	r.Decide(100.1, AttemptEnded{Request: "t", Endpoint: "c0", Result: Completed, Detail: CacheHit, RequestDone: true})
	assert.Zero(t, r.zoneLink.inFlight)
}

func TestLookGoesAsFarAsTheParent(t *testing.T) {
	r := router("keyed")
	r.findOrAddEndpoint("o").limit = 0
	h := of[StartAttempt](r.Decide(100, arrival("t", "x")))
	require.Len(t, h, 1)
	assert.True(t, h[0].CacheOnly)
	assert.Contains(t, []EndpointID{"p0", "p1"}, h[0].Source)
	r.requests["t"].chunk.filledByParent = true // a parent has it: no need to look
	assert.False(t, of[StartAttempt](r.Decide(100, arrival("u", "x")))[0].CacheOnly)
}

func TestBlindRefusalIsLaidByItsTime(t *testing.T) {
	for took, link := range map[float64]bool{localRefusal / 2: true, localRefusal * 2: false} {
		r := router("repeatable")
		r.settings["tells"] = "hit"
		x := sent(r, 0, true)
		p := r.findOrAddEndpoint("p0")
		x.attempts[0].source, x.attempts[0].expectMiss = p, true
		r.zoneLink.minLimit = 1 // shared with others
		before, source := r.zoneLink.limit, p.limit
		r.learn(x, x.attempts[0], AttemptEnded{Result: Overloaded, ElapsedSeconds: took})
		assert.Equal(t, link, r.zoneLink.limit < before)
		assert.Equal(t, !link, p.limit < source)
	}
}

// TestRefusedFillsBenchTheirSource: a source behind which fills end as full, again and again, is left out for a while,
// whatever its cause; one refusal only narrows it.
func TestRefusedFillsBenchTheirSource(t *testing.T) {
	r := router("repeatable")
	r.settings["tells"] = "hit"
	p := r.findOrAddEndpoint("p0")
	for i := range ejectFailureCount {
		assert.Zero(t, p.ejectedUntil, "after %d", i)
		x := sent(r, 0, true)
		x.attempts[0].source, x.attempts[0].expectMiss = p, true
		r.learn(x, x.attempts[0], AttemptEnded{Result: Overloaded, ElapsedSeconds: 0.8})
	}
	assert.Greater(t, p.ejectedUntil, r.now)
	assert.Zero(t, r.findOrAddEndpoint("c0").ejectedUntil)
}

// TestImpossibleTxnIsNoMembersIllHealth: an error counts against a member once its txn is completed elsewhere.
func TestImpossibleTxnIsNoMembersIllHealth(t *testing.T) {
	for _, completed := range []bool{false, true} {
		r := router("repeatable")
		for range 2 * ejectFailureCount {
			x := sent(r, 0, true)
			r.Decide(100, AttemptEnded{Request: "t", Endpoint: "c0", Result: ServerError})
			require.Len(t, x.attempts, 2, "sent on")
			code := ServerError
			if completed {
				code = Completed
			}
			r.Decide(100.01, AttemptEnded{Request: "t", Attempt: 1, Endpoint: x.attempts[1].target.ID, Result: code, Detail: CacheHit, RequestDone: completed})
		}
		assert.Equal(t, completed, r.findOrAddEndpoint("c0").ejectedUntil > r.now)
	}
}

// TestAnswerThatNeverComes: a hop that takes longer than any of the last few dozen is sent elsewhere though its member
// is heard, once it is known that such hops mostly have no answer; the next one waits longer.
func TestAnswerThatNeverComes(t *testing.T) {
	for _, lost := range []bool{true, false} {
		r := router("repeatable")
		for range longSamples {
			r.slownessSamples = append(r.slownessSamples, 2)
		}
		late := func() *request {
			x := sent(r, 0, true)
			x.attempts[0].suspectAt = 100.25
			r.findOrAddEndpoint("c0").recordSign(100.2)
			return x
		}
		for range ejectFailureCount {
			code := Cancelled
			if !lost {
				code = ServerError // it came after all
			}
			r.learn(late(), r.requests["t"].attempts[0], AttemptEnded{Result: code, ElapsedSeconds: 0.75})
		}
		x := late()
		r.Decide(100.5, TimerFired{1})
		assert.Len(t, x.attempts, 1, "as long as others took")
		r.Decide(100.75, TimerFired{1})
		assert.Equal(t, lost, len(x.attempts) == 2)
		assert.Zero(t, r.findOrAddEndpoint("c0").ejectedUntil)
		if lost {
			assert.NotEqual(t, EndpointID("c0"), x.attempts[1].target.ID)
			assert.InDelta(t, 3*lostSlownessFactor, r.slownessSamples[len(r.slownessSamples)-1], 1e-6)
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
	assert.Len(t, r.endpoints, 6+1+2)
	assert.Len(t, r.caches, 4)
}

// However many routers there are said to be, a txn finds a way, and all shares together stay near the capacity.
func TestAnyToldCountOfRouters(t *testing.T) {
	for _, told := range []string{"", "0", "-3", "0.5", "1", "400"} {
		r := New(7, records("keyed"))
		r.settings["routers"], r.settings["routers_at"] = told, "0,"+told
		r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: []Endpoint{{ID: "o", Kind: 2, Weight: 1},
			{ID: "c", Zone: 1, Weight: 4}, {ID: "p", Kind: 1, Weight: 400}}})
		assert.Len(t, of[StartAttempt](r.Decide(100, arrival("t", "x"))), 1, "told %q", told)
		n := max(r.settings.Float("routers", 1), 1)
		assert.InDelta(t, limitPerCapacity*400, n*r.findOrAddEndpoint("p").limit, 1e-6, "told %q", told)
	}
}

func TestAllStartedAtOnceWithoutSizesOrLinks(t *testing.T) {
	r := New(7, records("keyed"))
	r.settings["link_in_kb_s"], r.settings["pace_kb_s"] = "", ""
	r.Decide(100, EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{{ID: "o", Kind: 2, Weight: 1, StartedAt: 100},
		{ID: "c", Zone: 1, Weight: 4, StartedAt: 100}, {ID: "p", Kind: 1, Weight: 40, StartedAt: 100}}})
	for i := range 40 {
		r.Decide(100, RequestArrived{Request: RequestID(fmt.Sprint(i)), Object: fmt.Sprint("x", i), Deadline: 105})
	}
	for _, m := range r.endpoints {
		assert.LessOrEqual(t, m.workSince(98), coldBudgetShare*r.warmShare(m)*m.Weight*2/m.sharers, m.ID)
	}
	assert.Positive(t, r.findOrAddEndpoint("c").inFlight)
}

func TestWaysBehindFewRoutersAreNotCutDeep(t *testing.T) {
	for n, least := range map[float64]float64{1: 10, 4: 5, 400: 10 * minLimitShare} {
		g := limiter{}
		g.setShare(10, n)
		g.raiseMinimum(n)
		for i := range 50 {
			g.decrease(float64(i), true)
		}
		assert.InDelta(t, least, g.limit, 1e-9, "%v routers", n)
	}
}

// A spent budget of further hops ends a txn that has had one, and leaves fresh ones alone; a member's bars it alone.
func TestASpentBudgetAllowsNoFurtherHop(t *testing.T) {
	r := router("keyed")
	fresh, once := &request{}, &request{attempts: []*attempt{{started: true, result: Overloaded}}}
	r.settings["max_hops"] = "6"
	assert.True(t, r.mayRetry(once))
	r.Decide(100, RetryBudgetChanged{Class: 0})
	assert.True(t, r.mayRetry(fresh))
	assert.False(t, r.mayRetry(once))
	r.Decide(100, RetryBudgetChanged{Class: 0, Available: true})
	assert.True(t, r.mayRetry(once))
	m := r.findOrAddEndpoint("c0")
	m.limit = 5
	once.attempts[0].target = r.findOrAddEndpoint("c1")
	used := func(*attempt, *endpoint) bool { return false }
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
		r.settings["may_double"] = "false"
		x := sent(r, 0, true)
		x.attempts[0].suspectAt = 200
		r.Decide(100.2, AttemptStalled{Request: "t", Attempt: 7})
		r.Decide(100.2, AttemptStalled{Request: "gone"})
		assert.True(t, x.attempts[0].wanted)
		r.Decide(100.2, AttemptStalled{Request: "t", Attempt: 0})
		assert.Equal(t, want, x.attempts[0].wanted, effect)
		assert.Zero(t, r.findOrAddEndpoint("c0").ejectedUntil)
	}
}

// TestDoubtTakesNobodyOut: others' word alone moves nothing; with it one own failed end is enough, and it runs out.
func TestDoubtTakesNobodyOut(t *testing.T) {
	for level, want := range map[float64]bool{0: false, suspicionThreshold / 2: false, suspicionThreshold: true, 1: true} {
		r := router("repeatable")
		c := r.findOrAddEndpoint("c0")
		r.Decide(r.now, HealthObservation{Endpoint: "c0", Suspicion: level, ValidSeconds: 10})
		r.Decide(r.now, HealthObservation{Endpoint: "nobody", Suspicion: level, ValidSeconds: 10})
		assert.Zero(t, c.ejectedUntil)
		r.recordResult(c, false)
		assert.Zero(t, c.ejectedUntil, "level %v", level)
		r.recordResult(c, true)
		assert.Equal(t, want, c.ejectedUntil > r.now, "level %v", level)
		if want {
			assert.InDelta(t, min(firstEjection*4, maxEjection), c.ejectedUntil-r.now, 1e-9, "as long as one who failed before: others found it so")
		}
	}
	r := router("repeatable")
	c := r.findOrAddEndpoint("c0")
	r.Decide(r.now, HealthObservation{Endpoint: "c0", Suspicion: 1, ValidSeconds: 10})
	r.now += 11
	r.recordResult(c, true)
	assert.Zero(t, c.ejectedUntil, "it has run out")
}
