package routing

import (
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When one cache goes, an order that shuffles the others would lose what they have cached. The rest must keep their
// order, and a request must skip a cache without room for the next in that order.
func TestHashOrderIsStableAndSkipsFullCaches(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	all := highestByHash("x", r.caches.endpoints, 3)
	less := highestByHash("x", slices.DeleteFunc(slices.Clone(r.caches.endpoints), func(e *endpoint) bool {
		return e == all[0]
	}), 3)
	assert.Equal(t, []EndpointID{all[1].ID, all[2].ID}, []EndpointID{less[0].ID, less[1].ID})
	all[0].limiter.inFlight = all[0].limiter.limit // it has no room
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.Equal(t, all[1].ID, starts[0].Endpoint)
}

// A draining endpoint ends soon, and what is sent to it is lost. Neither as target nor as source may it get an attempt,
// even if it is known to have the chunk.
func TestDrainingAndRemovedEndpointsAreNeverUsed(t *testing.T) {
	for _, status := range []EndpointStatus{Draining, Removed} {
		r := newTestRouter(WithIdempotencyKey)
		r.Decide(100, EndpointUpdate{Kind: Incremental, Endpoints: []Endpoint{
			{ID: "c0", Zone: 1, Weight: 4, Status: status},
			{ID: "c1", Zone: 1, Weight: 4, Status: status},
			{ID: "p0", Kind: 1, Weight: 20, Status: status},
		}})
		p := r.findOrAddObject("x", 0).findOrAddChunk(0)
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

// A fill from a far parent takes the longer path. If all objects went to the nearest parent, the others would stay
// empty. The nearer parent must get more objects, in proportion to the distance factor.
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

// While the zone's link is full, a request for a cached chunk would wait for nothing, and a second cache-only attempt
// would only repeat the first miss. One attempt without a fill must be made, and after a miss the request must be
// queued until the link has room.
func TestFullLinkAllowsOneCacheOnlyAttempt(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.zoneLink.limit, r.missSamples = 0, []float64{1, 0, 0, 0, 1, 0, 0, 0}
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.Equal(t, starts[0].Endpoint, starts[0].Source, "nothing is filled")
	actions := r.Decide(100.01, AttemptEnded{Request: "t", Endpoint: starts[0].Endpoint, Result: CacheMiss})
	assert.Empty(t, actionsOf[StartAttempt](actions), "queued, no second cache-only attempt")
	r.zoneLink.limit = 5
	assert.Len(t, actionsOf[StartAttempt](r.Decide(100.11, TimerFired{r.requests["t"].token})), 1)
}

// Counted as a fill each, attempts that mostly hit would exhaust the link's limit while the link is idle. An attempt
// must count with the miss rate, for the link and for the gap of a chunk that was never seen.
func TestMissRateScalesUnseenGapAndFillLoad(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.missSamples = []float64{1, 0, 0, 0, 1, 0, 0, 0}
	req := &request{object: r.findOrAddObject("y", 0), chunk: &chunk{}, firstOfChunk: true}
	assert.InDelta(t, initialHorizonSeconds/0.75, r.gapOf(req, r.findOrAddEndpoint("c0")), 1e-9)
	require.Len(t, actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x"))), 1)
	assert.InDelta(t, 0.25, r.zoneLink.inFlight, 1e-9)
	r.Decide(100.1, AttemptEnded{Request: "t", Endpoint: "c0", Result: Completed, Detail: CacheHit, RequestDone: true})
	assert.Zero(t, r.zoneLink.inFlight)
}

// While the origin is full, a parent may still have the chunk. The attempt must be cache-only with a parent as its
// source, and free to fill once a parent is known to have the chunk.
func TestFullOriginAllowsCacheOnlyAttemptUpToTheParent(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.findOrAddEndpoint("o").limiter.limit = 0
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.True(t, starts[0].CacheOnly)
	assert.Contains(t, []EndpointID{"p0", "p1"}, starts[0].Source)
	r.requests["t"].chunk.filledByParent = true // a parent has it: the origin is not reached
	assert.False(t, actionsOf[StartAttempt](r.Decide(100, newArrival("u", "x")))[0].CacheOnly)
}

// The traces do not notice these numbers: their values are held here.
func TestMissRateCountsFromEightSamples(t *testing.T) {
	r := newTestRouter(Idempotent)
	r.missSamples = []float64{0, 0, 0, 0, 0, 0, 0}
	//nolint:testifylint // exact by intent
	assert.Equal(t, 1.0, r.missRate(), "each attempt may miss until enough are known")
	r.missSamples = append(r.missSamples, 1)
	assert.InDelta(t, 1.0/8, r.missRate(), 1e-9)
}

// A weight of zero would divide by zero in the score. Such an endpoint must count with the minimum weight, and a weight
// just above the minimum must count as it is.
func TestEndpointWithoutWeightCountsForALittleInTheHashOrder(t *testing.T) {
	assert.InDelta(t, math.Log(0.5)*1000, hashScore(0.5, &endpoint{}), 1e-9)
	assert.InDelta(t, math.Log(0.5)*1000, hashScore(0.5, &endpoint{Endpoint: Endpoint{Weight: 0.001}}), 1e-9)
	assert.InDelta(t, math.Log(0.5)*500, hashScore(0.5, &endpoint{Endpoint: Endpoint{Weight: 0.002}}), 1e-9)
}

// Without a bound the work for one request grows with the list of caches, and with too low a bound a request finds no
// room although there is some. The choice must try 64 candidates and no more.
func TestChoiceTriesSixtyFourCandidates(t *testing.T) {
	r := newBenchmarkRouter(100)
	caches := r.cacheCandidates(r.findOrAddObject("x", 0))
	for rank := range 64 {
		assert.NotNil(t, caches.at(rank), "rank %d", rank)
	}
	assert.Nil(t, caches.at(64))
}
