package routing

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// An endpoint in slow start fails if it gets more than its budget within an overload window. Counting the budget in
// fixed windows would allow twice as much across a boundary. Work above the budget must be refused, counted over the
// last window, and allowed again once that has passed.
func TestSlowStartBudgetAppliesToAnyWindow(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	c := r.findOrAddEndpoint("c0")
	c.StartedAt = 100
	req := &request{RequestArrived: RequestArrived{SizeKB: 100}, sendSeconds: 0.1}
	r.class(0).sampledChunks = sampledChunks(minSendSamples, 0.1)
	budget := slowStartShare * 0.25 * 4 * 2 // capacity share, capacity and window, for a single router
	c.recentWork = []workSample{{100, budget - 0.1}}
	r.now = 100
	assert.True(t, r.withinSlowStartBudget(req, c))
	c.recentWork = []workSample{{100, budget - 0.09}}
	assert.False(t, r.withinSlowStartBudget(req, c))
	r.now = 102.01 // the window has passed
	assert.True(t, r.withinSlowStartBudget(req, c))
}

// A parent in slow start gets its load as fills through caches. If only direct attempts counted, the fills of all
// routers would overload it. Fills must be charged to it, and its budget must be divided by the routers that share it.
func TestSlowStartParentIsChargedForFillsOfAllRouters(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	for _, id := range []string{"p0", "p1"} {
		r.findOrAddEndpoint(EndpointID(id)).StartedAt = 100
	}
	total := 0.0
	for i := range 50 {
		r.Decide(100, newArrival(RequestID(fmt.Sprint("t", i)), fmt.Sprint("x", i)))
	}
	for _, s := range append(r.findOrAddEndpoint("p0").recentWork, r.findOrAddEndpoint("p1").recentWork...) {
		total += s.seconds
	}
	assert.Positive(t, total)
	assert.LessOrEqual(t, total, 2*slowStartShare*0.1*20*2/2)
}

// All caches and a parent restart at once, and the routers send their usual load. In every window, the work that
// arrives at each must stay below its overload threshold, and each must be used.
func TestRestartedZoneIsNotOverloaded(t *testing.T) {
	const routersSharing = 6
	arrivals := arrivalTimes{}
	for seed := range uint64(routersSharing) {
		arrivals.addRouter(newColdZoneRouter(seed, routersSharing))
	}
	for id, cold := range map[EndpointID]coldEndpoint{
		"c0": {weight: 8, coldShare: 0.25, warmUpSeconds: 10},
		"c1": {weight: 8, coldShare: 0.25, warmUpSeconds: 10},
		"c2": {weight: 8, coldShare: 0.25, warmUpSeconds: 10},
		"p0": {weight: 20, coldShare: 0.1, warmUpSeconds: 20},
	} {
		assert.NotEmpty(t, arrivals[id])
		for _, end := range arrivals[id] {
			work, most := arrivals.workWithin(id, end-2, end), 2*cold.capacityOfTwoSeconds(end)
			assert.LessOrEqual(t, work, most, "%s at %v", id, end)
		}
	}
}

// coldEndpoint is an endpoint that started at time 100.
type coldEndpoint struct {
	weight        float64 // concurrent transfers
	coldShare     float64 // initial share of its capacity
	warmUpSeconds float64
}

// capacityOfTwoSeconds returns the seconds of sending that the endpoint can do within the overload window of two
// seconds.
func (c coldEndpoint) capacityOfTwoSeconds(now float64) float64 {
	return (c.coldShare + (1-c.coldShare)*(now-100)/c.warmUpSeconds) * c.weight * 2
}

// arrivalTimes holds the times at which attempts or fills arrived at each endpoint.
type arrivalTimes map[EndpointID][]float64

// workWithin returns the seconds of sending that arrived at an endpoint after one time and up to another, at a tenth of
// a second per arrival.
func (a arrivalTimes) workWithin(id EndpointID, after, upTo float64) float64 {
	sum := 0.0
	for _, at := range a[id] {
		sum += 0.1 * indicator(at > after && at <= upTo)
	}
	return sum
}

// addRouter adds the attempts that a router sends for 50 requests per second during 6 s, each answered after a tenth of
// a second by a fill.
func (a arrivalTimes) addRouter(r *Router) {
	for n := range 300 {
		now := 100 + float64(n)/50
		arrived := newArrival(RequestID(strconv.Itoa(n)), fmt.Sprint("x", n))
		arrived.Deadline = now + 5
		for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
			a[start.Endpoint] = append(a[start.Endpoint], now)
			if start.Source != start.Endpoint {
				a[start.Source] = append(a[start.Source], now)
			}
		}
		if n < 5 {
			continue
		}
		end := AttemptEnded{Detail: Filled, ElapsedSeconds: 0.1, RequestDone: true}
		end.Request = RequestID(strconv.Itoa(n - 5))
		for _, start := range actionsOf[StartAttempt](r.Decide(now, end)) {
			a[start.Endpoint] = append(a[start.Endpoint], now)
		}
	}
}

// newColdZoneRouter returns a router of a zone whose caches started at time 100, as did one of its two parents.
func newColdZoneRouter(seed uint64, routersSharing int) *Router {
	settings := testSettings(WithIdempotencyKey)
	settings[SettingRouters] = strconv.Itoa(routersSharing)
	settings[SettingRoutersByZone] = "0," + settings[SettingRouters]
	r := New(seed, settings)
	rows := []Endpoint{
		{ID: "o", Kind: 2, Weight: 1},
		{ID: "p0", Kind: 1, Weight: 20, StartedAt: 100},
		{ID: "p1", Kind: 1, Weight: 20},
	}
	for _, id := range []string{"c0", "c1", "c2"} {
		rows = append(rows, Endpoint{ID: EndpointID(id), Zone: 1, Weight: 8, StartedAt: 100})
	}
	r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: rows})
	return r
}

// A restarted cache has lost its copies. A router that relies on them, or on the previous limit, sends the cache its
// usual load during slow start. The known contents of the cache must be cleared, and its limit must start at the
// slow-start limit.
func TestRestartedEndpointIsEmptyAndStartsAtSlowStartLimit(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	c, p := r.findOrAddEndpoint("c0"), &chunk{}
	c.addCached(&cachedChunk{chunk: p}, 0)
	restarted := Endpoint{ID: "c0", Zone: 1, Weight: 4, StartedAt: 99}
	r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{restarted}})
	assert.Empty(t, c.cached)
	assert.Equal(t, slowStartLimit, c.limiter.limit) //nolint:testifylint // exact by intent
	c.limiter.increase()
	assert.Equal(t, slowStartLimit+1, c.limiter.limit) //nolint:testifylint // exact by intent
}

// If neither sizes nor rates are known, the work of an attempt is an estimate. An estimate of zero would admit any load
// to an endpoint in slow start. The budget must still apply, and requests must still be sent.
func TestSlowStartBudgetAppliesWithoutSizesOrLinks(t *testing.T) {
	r := New(7, testSettings(WithIdempotencyKey))
	r.settings[SettingZoneLinkRate], r.settings[SettingTransferRate] = "", ""
	r.Decide(100, EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{
		{ID: "o", Kind: 2, Weight: 1, StartedAt: 100},
		{ID: "c", Zone: 1, Weight: 4, StartedAt: 100},
		{ID: "p", Kind: 1, Weight: 40, StartedAt: 100},
	}})
	for i := range 40 {
		r.Decide(100, RequestArrived{Request: RequestID(strconv.Itoa(i)), Object: fmt.Sprint("x", i), Deadline: 105})
	}
	for _, e := range r.endpoints {
		assert.LessOrEqual(t, e.workSince(98), slowStartShare*r.capacityShare(e)*e.Weight*2/e.routersSharing, e.ID)
	}
	assert.Positive(t, r.findOrAddEndpoint("c").limiter.inFlight)
}

// Reproduces a deployment with unknown sizes and weights, where 21 routers sent a cache 5.3 times its capacity 1.5 s
// after its start, because each attempt counted as a tenth of a millisecond of work. Routers that have learned how long
// their classes take, and those that have just started, must together stay within the capacity of the cache.
func TestColdCacheIsNotOverloadedWithUnknownSizes(t *testing.T) {
	const (
		routersSharing    = 21
		sendSeconds       = 0.43 // mean of an attempt
		transfers         = 4    // concurrent transfers of a warm cache; its weight is unknown
		coldShare         = 0.3
		warmUpSeconds     = 12
		overloadFactor    = 3 // over a window of one second
		startedSeconds    = 1.3
		requestsPerSecond = 10 // per router
	)
	for name, answersBefore := range map[string]int{"learned": 20, "just started": 0} {
		t.Run(name, func(t *testing.T) {
			work := 0.0
			for seed := range uint64(routersSharing) {
				r := newRouterWithoutSizes(seed, routersSharing)
				answerRequests(r, answersBefore, sendSeconds)
				started := Endpoint{ID: "c0", Zone: 1, Weight: 1, StartedAt: 200 - startedSeconds}
				r.Decide(200, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{started}})
				for n := range requestsPerSecond {
					now := 200 + float64(n)/requestsPerSecond
					id := RequestID(fmt.Sprint("cold", n))
					arrived := RequestArrived{Request: id, Object: string(id), Deadline: now + 5}
					for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
						work += sendSeconds * indicator(start.Endpoint == "c0")
					}
				}
			}
			capacity := transfers * (coldShare + (1-coldShare)*startedSeconds/warmUpSeconds)
			assert.LessOrEqual(t, work, overloadFactor*capacity)
		})
	}
}

// newRouterWithoutSizes returns a router of a zone with three warm caches, at time 100. Sizes and weights are unknown.
func newRouterWithoutSizes(seed uint64, routersSharing int) *Router {
	settings := testSettings(Idempotent)
	settings[SettingRouters] = strconv.Itoa(routersSharing)
	settings[SettingRoutersByZone] = "0," + settings[SettingRouters]
	settings[SettingOverloadFactor], settings[SettingOverloadWindow] = "3", "1"
	settings[SettingColdCapacity], settings[SettingWarmUp] = "0.3", "12"
	r := New(seed, settings)
	rows := []Endpoint{{ID: "o", Kind: 2, Weight: 1}, {ID: "p0", Kind: 1, Weight: 1}}
	for _, id := range []EndpointID{"c0", "c1", "c2"} {
		rows = append(rows, Endpoint{ID: id, Zone: 1, Weight: 1})
	}
	r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: rows})
	return r
}

// answerRequests sends sequential requests, each answered from a cache after some seconds.
func answerRequests(r *Router, count int, seconds float64) {
	for n := range count {
		now, id := 100+2*float64(n), RequestID(fmt.Sprint("warm", n))
		arrived := RequestArrived{Request: id, Object: string(id), Deadline: now + 5}
		for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
			r.Decide(now+seconds, AttemptEnded{
				Request: id, Endpoint: start.Endpoint, Detail: CacheHit, ElapsedSeconds: seconds, RequestDone: true,
			})
		}
	}
}

// A direct attempt to a parent in slow start has the parent as both target and source. Charging both would count the
// attempt twice and leave half of the endpoint's budget unused. It must count once, while a fill through a cold cache
// from a cold parent counts at both.
func TestSlowStartWorkIsChargedOncePerEndpoint(t *testing.T) {
	r := newTestRouter(Idempotent)
	cache, parent := r.findOrAddEndpoint("c0"), r.findOrAddEndpoint("p0")
	cache.StartedAt, parent.StartedAt = 100, 100
	req := &request{sendSeconds: 0.1}
	r.recordSlowStartWork(req, &attempt{target: parent, source: parent, fill: fillExpected})
	assert.Len(t, parent.recentWork, 1)
	r.recordSlowStartWork(req, &attempt{target: cache, source: parent, fill: fillExpected})
	assert.Equal(t, []int{1, 2}, []int{len(cache.recentWork), len(parent.recentWork)})
	r.recordSlowStartWork(req, &attempt{target: cache, source: parent, fill: hitExpected})
	assert.Equal(t, []int{2, 2}, []int{len(cache.recentWork), len(parent.recentWork)})
}

// Checks the minimum number of samples, separately from that of the miss rate, which has the same value.
func TestWorkIsMeanSendingTimeWithEightSamples(t *testing.T) {
	r := newTestRouter(Idempotent)
	req := &request{sendSeconds: 0.3}
	r.class(0).sampledChunks = sampledChunks(7, 0.1)
	assert.InDelta(t, 0.5, r.workOf(req), 1e-9, "the objective, as there are too few samples")
	r.class(0).sampledChunks = sampledChunks(8, 0.1)
	assert.InDelta(t, 0.1, r.workOf(req), 1e-9)
}

// sampledChunks returns chunks with one sending time.
func sampledChunks(count int, seconds float64) (sampled []*chunk) {
	for range count {
		sampled = append(sampled, &chunk{sendSeconds: seconds})
	}
	return sampled
}

// Reproduces clients whose requests claim a wrong size, before a cache restarts. If the claims count as sending times
// of the class, small ones let the cold cache get far more than it can do, so that it fails again (rule 4), and large
// ones leave it unused. Other clients' requests must use the cold cache as if these clients were not there.
func TestClaimedSizesDoNotChangeTheSlowStartBudget(t *testing.T) {
	quiet := attemptsAtColdCache(t, 0, 0)
	assert.InDelta(t, 0.4*4*2/0.3, quiet, 1, "two fifths of four transfers for two seconds, at 0.3 s each")
	for _, claimedKB := range []float64{1e-30, 1, 30, 100, 1000, 1e30} {
		assert.Equal(t, quiet, attemptsAtColdCache(t, 200, claimedKB), "claimed size %v KB", claimedKB)
	}
}

// attemptsAtColdCache returns how many of 100 usual requests, in the two seconds after the restart of the cache c0,
// have an attempt there. Before the restart, a number of requests claim a size: half of them fail at the caches, and
// half are for one object of the usual size and are answered from a copy.
func attemptsAtColdCache(t *testing.T, claims int, claimedKB float64) (attempts int) {
	t.Helper()
	const usualKB, usualSeconds = 300.0, 0.3
	r := newTestRouter(Idempotent)
	serve := func(now float64, arrived RequestArrived, end AttemptEnded) {
		arrived.Deadline = now + 5
		for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
			end.Request, end.Endpoint, end.RequestDone = arrived.Request, start.Endpoint, true
			r.Decide(now+end.ElapsedSeconds, end)
		}
	}
	hit := AttemptEnded{Detail: CacheHit, ElapsedSeconds: usualSeconds}
	for n := range 20 {
		id := RequestID(fmt.Sprint("usual", n))
		serve(100+float64(n), RequestArrived{Request: id, Object: string(id), SizeKB: usualKB}, hit)
	}
	for n := range claims {
		id := RequestID(fmt.Sprint("claim", n))
		if n%2 == 0 {
			serve(120+float64(n)/10, RequestArrived{Request: id, Object: string(id), SizeKB: claimedKB},
				AttemptEnded{Result: ServerError, ElapsedSeconds: 0.001})
			continue
		}
		serve(120+float64(n)/10, RequestArrived{Request: id, Object: "usual0", SizeKB: claimedKB}, hit)
	}
	restarted := Endpoint{ID: "c0", Zone: 1, Weight: 4, StartedAt: 200}
	r.Decide(200, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{restarted}})
	r.findOrAddEndpoint("c0").limiter.limit = 100 // only the budget limits the attempts
	for n := range 100 {
		now, id := 200+float64(n)/50, RequestID(fmt.Sprint("cold", n))
		arrived := RequestArrived{Request: id, Object: string(id), SizeKB: usualKB, Deadline: now + 5}
		for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
			if start.Endpoint == "c0" {
				attempts++
			}
		}
	}
	return attempts
}
