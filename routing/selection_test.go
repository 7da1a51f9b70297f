package routing

import (
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// If the removal of one cache reordered the others, requests would miss what these have cached. The remaining caches
// must keep their order, and a request must skip a cache at its limit for the next one in that order.
func TestHashOrderIsStableAndSkipsFullCaches(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	all := highestByHash("x", r.caches.endpoints, 3)
	less := highestByHash("x", slices.DeleteFunc(slices.Clone(r.caches.endpoints), func(e *endpoint) bool {
		return e == all[0]
	}), 3)
	assert.Equal(t, []EndpointID{all[1].ID, all[2].ID}, []EndpointID{less[0].ID, less[1].ID})
	all[0].limiter.inFlight = all[0].limiter.limit // at its limit
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.Equal(t, all[1].ID, starts[0].Endpoint)
}

// A draining endpoint stops soon, and attempts sent to it are lost. It must get no attempt, as target or as source,
// even if it is known to have the chunk.
func TestDrainingAndRemovedEndpointsAreNeverUsed(t *testing.T) {
	for _, status := range []EndpointStatus{Draining, Removed} {
		r := newTestRouter(WithIdempotencyKey)
		r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{
			{ID: "c0", Zone: 1, Weight: 4, Status: status},
			{ID: "c1", Zone: 1, Weight: 4, Status: status},
			{ID: "p0", Kind: 1, Weight: 20, Status: status},
		}})
		p := r.findOrAddChunk(r.findOrAddObject("x", 0), 0)
		r.findOrAddEndpoint("c0").addCached(&cachedChunk{chunk: p, sizeKB: 1, lastUsedAt: 100}, p.gapKey())
		for i := range 5 {
			starts := actionsOf[StartAttempt](r.Decide(100, newArrival(RequestID(strconv.Itoa(i)), "x")))
			assert.Len(t, starts, 1)
			for _, start := range starts {
				assert.Equal(t, EndpointID("c2"), start.Endpoint)
				assert.Equal(t, EndpointID("p1"), start.Source)
			}
		}
	}
}

// Fills from distant parents are slower, but if all objects used the nearest parent, the others would have nothing
// cached. The nearer parent must get more objects, in proportion to the distance factor.
func TestHashOrderPrefersNearerParents(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.findOrAddEndpoint("p1").Zone, r.settings[SettingParentZoneOf], r.numbers[SettingZone] = 1, "0,1,0", 2
	r.classifyEndpoints()
	near := 0
	for i := range 300 {
		if highestByHash(strconv.Itoa(i), r.parents.endpoints, 1)[0].ID == "p0" {
			near++
		}
	}
	assert.InDelta(t, 300*zoneDistanceFactor/(1+zoneDistanceFactor), near, 40)
}

// While the zone's link is at its limit, a request for a cached chunk would wait needlessly, and a second cache-only
// attempt would only repeat the first miss. One attempt without a fill must be sent, and after a miss the request must
// be queued until the link has capacity.
func TestFullLinkAllowsOneCacheOnlyAttempt(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.zoneLink.limit, r.missSamples = 0, []float64{1, 0, 0, 0, 1, 0, 0, 0}
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.Equal(t, starts[0].Endpoint, starts[0].Source, "no fill source")
	actions := r.Decide(100.01, AttemptEnded{Request: "t", Endpoint: starts[0].Endpoint, Result: CacheMiss})
	assert.Empty(t, actionsOf[StartAttempt](actions), "queued, no second cache-only attempt")
	r.zoneLink.limit = 5
	assert.Len(t, actionsOf[StartAttempt](r.Decide(100.11, TimerFired{r.requests["t"].token})), 1)
}

// If attempts that mostly hit counted as one fill each, they would exhaust the link's limit while the link is idle.
// Attempts must count with the miss rate, both at the link and in the gap of a chunk without earlier requests.
func TestMissRateScalesUnseenGapAndFillLoad(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.missSamples = []float64{1, 0, 0, 0, 1, 0, 0, 0}
	req := &request{object: r.findOrAddObject("y", 0), chunk: &chunk{}, firstForChunk: true}
	assert.InDelta(t, initialHorizonSeconds/0.75, r.gapOf(req, r.findOrAddEndpoint("c0")), 1e-9)
	require.Len(t, actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x"))), 1)
	assert.InDelta(t, 0.25, r.zoneLink.inFlight, 1e-9)
	r.Decide(100.1, AttemptEnded{Request: "t", Endpoint: "c0", Result: Completed, Detail: CacheHit, RequestDone: true})
	assert.Zero(t, r.zoneLink.inFlight)
}

// While the origin is at its limit, a parent may have the chunk. The attempt must be cache-only with a parent as its
// source, and must be allowed to fill if a parent is known to have the chunk.
func TestFullOriginAllowsCacheOnlyAttemptUpToTheParent(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.findOrAddEndpoint("o").limiter.limit = 0
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.True(t, starts[0].CacheOnly)
	assert.Contains(t, []EndpointID{"p0", "p1"}, starts[0].Source)
	r.requests["t"].chunk.filledSincePurge = true // a parent has the chunk: the origin is not used
	assert.False(t, actionsOf[StartAttempt](r.Decide(100, newArrival("u", "x")))[0].CacheOnly)
}

// The decision traces do not cover these constants, so this test checks their values.
func TestMissRateRequiresEightSamples(t *testing.T) {
	r := newTestRouter(Idempotent)
	r.missSamples = []float64{0, 0, 0, 0, 0, 0, 0}
	//nolint:testifylint // exact by intent
	assert.Equal(t, 1.0, r.missRate(), "each attempt may miss until there are enough samples")
	r.missSamples = append(r.missSamples, 1)
	assert.InDelta(t, 1.0/8, r.missRate(), 1e-9)
}

// A weight of zero would divide by zero in the score. Such an endpoint must count with the minimum weight, and a weight
// just above the minimum must be unchanged.
func TestEndpointWithoutWeightHasMinimumHashWeight(t *testing.T) {
	assert.InDelta(t, math.Log(0.5)*1000, hashScore(0.5, &endpoint{}), 1e-9)
	assert.InDelta(t, math.Log(0.5)*1000, hashScore(0.5, &endpoint{Endpoint: Endpoint{Weight: 0.001}}), 1e-9)
	assert.InDelta(t, math.Log(0.5)*500, hashScore(0.5, &endpoint{Endpoint: Endpoint{Weight: 0.002}}), 1e-9)
}

// Without a bound, the work per request grows with the list of caches; with too low a bound, a request finds no
// capacity although there is some. A selection must try exactly 64 candidates.
func TestSelectionTriesSixtyFourCandidates(t *testing.T) {
	r := newBenchmarkRouter(100)
	caches := r.cacheCandidates(r.findOrAddObject("x", 0))
	for rank := range 64 {
		assert.NotNil(t, caches.at(rank), "rank %d", rank)
	}
	assert.Nil(t, caches.at(64))
}
