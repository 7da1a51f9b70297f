package routing

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestColdBudgetHoldsOverAnyWindow(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	c := r.findOrAddEndpoint("c0")
	c.StartedAt = 100
	req := &request{RequestArrived: RequestArrived{SizeKB: 100}, sendSeconds: 0.1}
	r.class(0).sendSecondsSamples = []float64{.1, .1, .1, .1, .1, .1, .1, .1}
	budget := coldBudgetShare * 0.25 * 4 * 2 // share, capacity and window, one router
	c.recentWork = []workSample{{100, budget - 0.1}}
	r.now = 100
	assert.True(t, r.withinColdBudget(req, c))
	c.recentWork = []workSample{{100, budget - 0.09}}
	assert.False(t, r.withinColdBudget(req, c))
	r.now = 102.01 // the window has passed
	assert.True(t, r.withinColdBudget(req, c))
}

func TestColdParentIsChargedForFillsAndSharedByAllRouters(t *testing.T) {
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
	assert.LessOrEqual(t, total, 2*coldBudgetShare*0.1*20*2/2)
}

// All caches and a parent start again at once, and the routers send all that they have. What arrives at each stays,
// in every window, below what topples it, and each is used.
func TestColdZoneIsNotOverloadedWhenItReturns(t *testing.T) {
	const routersSharing = 6
	rows := []Endpoint{
		{ID: "o", Kind: 2, Weight: 1},
		{ID: "p0", Kind: 1, Weight: 20, StartedAt: 100},
		{ID: "p1", Kind: 1, Weight: 20},
	}
	for _, id := range []string{"c0", "c1", "c2"} {
		rows = append(rows, Endpoint{ID: EndpointID(id), Zone: 1, Weight: 8, StartedAt: 100})
	}
	came := map[EndpointID][]float64{} // times at which an attempt, or a fill, came to an endpoint
	for i := range routersSharing {
		settings := testSettings(WithIdempotencyKey)
		settings[SettingRouters] = strconv.Itoa(routersSharing)
		settings[SettingRoutersByZone] = "0," + settings[SettingRouters]
		r := New(uint64(i), settings)
		r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: rows})
		for n := range 300 { // 50 a second for 6 s, each answered a tenth of a second later by a fill
			now := 100 + float64(n)/50
			arrived := newArrival(RequestID(fmt.Sprint(n)), fmt.Sprint("x", n))
			arrived.Deadline = now + 5
			for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
				came[start.Endpoint] = append(came[start.Endpoint], now)
				if start.Source != start.Endpoint {
					came[start.Source] = append(came[start.Source], now)
				}
			}
			if n >= 5 {
				end := AttemptEnded{Detail: Filled, ElapsedSeconds: 0.1, RequestDone: true}
				end.Request = RequestID(fmt.Sprint(n - 5))
				for _, start := range actionsOf[StartAttempt](r.Decide(now, end)) {
					came[start.Endpoint] = append(came[start.Endpoint], now)
				}
			}
		}
	}
	coldShareAndSeconds := map[EndpointID][2]float64{
		"c0": {0.25, 10}, "c1": {0.25, 10}, "c2": {0.25, 10}, "p0": {0.1, 20},
	}
	for id, cold := range coldShareAndSeconds {
		weight := map[bool]float64{true: 20, false: 8}[id == "p0"]
		assert.NotEmpty(t, came[id])
		for _, end := range came[id] {
			sum := 0.0
			for _, at := range came[id] {
				sum += 0.1 * indicator(at > end-2 && at <= end)
			}
			able := (cold[0] + (1-cold[0])*(end-100)/cold[1]) * weight * 2
			assert.LessOrEqual(t, sum, 2*able, "%s at %v", id, end)
		}
	}
}

func TestRestartedEndpointIsEmptyAndStartsAtColdLimit(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	c, p := r.findOrAddEndpoint("c0"), &chunk{}
	c.addCached(&cachedChunk{chunk: p}, 0)
	restarted := Endpoint{ID: "c0", Zone: 1, Weight: 4, StartedAt: 99}
	r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{restarted}})
	assert.Empty(t, c.cached)
	assert.Equal(t, coldLimit, c.limiter.limit)
	c.limiter.increase()
	assert.Equal(t, coldLimit+1, c.limiter.limit)
}

func TestColdBudgetHoldsWithoutSizesOrLinks(t *testing.T) {
	r := New(7, testSettings(WithIdempotencyKey))
	r.settings[SettingZoneLinkRate], r.settings[SettingTransferRate] = "", ""
	r.Decide(100, EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{
		{ID: "o", Kind: 2, Weight: 1, StartedAt: 100},
		{ID: "c", Zone: 1, Weight: 4, StartedAt: 100},
		{ID: "p", Kind: 1, Weight: 40, StartedAt: 100},
	}})
	for i := range 40 {
		r.Decide(100, RequestArrived{Request: RequestID(fmt.Sprint(i)), Object: fmt.Sprint("x", i), Deadline: 105})
	}
	for _, e := range r.endpoints {
		assert.LessOrEqual(t, e.workSince(98), coldBudgetShare*r.warmShare(e)*e.Weight*2/e.routersSharing, e.ID)
	}
	assert.Positive(t, r.findOrAddEndpoint("c").limiter.inFlight)
}

// The least number of samples is held here, apart from that of the miss rate, which is as large.
func TestWorkIsTheMeanSendingTimeFromEightSamples(t *testing.T) {
	r := newTestRouter(Idempotent)
	req, cache := &request{sendSeconds: 0.3}, r.findOrAddEndpoint("c0")
	r.class(0).sendSecondsSamples = []float64{.1, .1, .1, .1, .1, .1, .1}
	assert.InDelta(t, 0.5, r.workOf(req, cache), 1e-9, "the objective, as too few sending times are known")
	r.class(0).sendSecondsSamples = append(r.class(0).sendSecondsSamples, .1)
	assert.InDelta(t, 0.1, r.workOf(req, cache), 1e-9)
}
