package routing

import (
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A mean that follows the newest gap alone would drop a popular chunk after one pause. A quarter of the newest gap and
// three quarters of the mean must make the new mean.
func TestUpdateGapAveragesWithTheNewestGap(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	req := &request{chunk: &chunk{requested: true, lastRequestAt: 90, averageGapSeconds: 8}}
	r.updateGap(req, r.findOrAddEndpoint("c0"))
	assert.InDelta(t, 0.25*10+0.75*8, req.chunk.averageGapSeconds, 1e-9)
	assert.Equal(t, 100.0, req.chunk.lastRequestAt) //nolint:testifylint // exact by intent
}

// A chunk that is seen for the first time has no gap. A start at zero would store every such chunk, an infinite one
// would store none: the mean must start at the cache's horizon.
func TestUpdateGapStartsAtTheHorizon(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	req := &request{chunk: &chunk{}}
	r.findOrAddEndpoint("c0").idleSeconds = []float64{4, 6}
	r.updateGap(req, r.findOrAddEndpoint("c0"))
	assert.Equal(t, 5.0, req.chunk.averageGapSeconds) //nolint:testifylint // exact by intent
}

// The next chunk of a popular object was never asked for. Without an estimate it would be passed, chunk after chunk.
// The largest gap of the object's chunks at that cache must stand for it, and a cache without any must give none.
func TestGapOfUnseenChunkIsTheLargestCachedOfItsObject(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	c, o := r.findOrAddEndpoint("c0"), r.findOrAddObject("x", 0)
	for i, dt := range []float64{4, 12, 40} {
		p := o.findOrAddChunk(i)
		p.requested, p.averageGapSeconds, p.lastRequestAt = true, dt, 100
		if i < 2 {
			c.addCached(&cachedChunk{chunk: p, sizeKB: 1}, p.gapKey())
		}
	}
	unseen := &request{object: o, chunk: o.findOrAddChunk(9), firstOfChunk: true}
	assert.InDelta(t, 9, r.gapOf(unseen, c), 1e-9)
	assert.True(t, math.IsInf(r.gapOf(unseen, r.findOrAddEndpoint("c1")), 1))
}

// With a horizon of 10 s and a chunk of 100 KB, a stored fill costs 100 times the fill cost and what it evicts, a pass
// 100 times the pass cost and 100 times 10/gap.
func TestShouldStoreComparesStoringWithPassing(t *testing.T) {
	cf, cr := 2*fillCostRatio/(fillCostRatio+1), 2/(fillCostRatio+1)
	for _, gap := range []float64{2, 8, 60} {
		for _, old := range []float64{1, 5, 20} {
			r := newTestRouter(WithIdempotencyKey)
			c := r.findOrAddEndpoint("c0")
			p := &chunk{requested: true, lastRequestAt: 100, averageGapSeconds: old / 0.75}
			c.addCached(&cachedChunk{chunk: p, sizeKB: 300, lastUsedAt: 100}, p.gapKey())
			missing := &chunk{requested: true, lastRequestAt: 100, averageGapSeconds: gap / 0.75}
			req := &request{RequestArrived: RequestArrived{SizeKB: 100}, chunk: missing}
			want := 100*cf+100*10/old*min(cf, cr) < 100*cr+100*10/gap*min(cf, cr)
			assert.Equal(t, want, r.shouldStore(req, c), "gap %v against %v", gap, old)
		}
	}
}

// The origin forbids storing some classes. Storing them all the same would serve copies that nobody purges. Even the
// most popular chunk of such a class must be passed.
func TestShouldStoreRefusesUncacheableClass(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.settings[SettingUncacheable] = "true,true"
	popular := &chunk{requested: true, lastRequestAt: 100, averageGapSeconds: 0.1}
	req := &request{RequestArrived: RequestArrived{SizeKB: 1}, chunk: popular}
	assert.False(t, r.shouldStore(req, r.findOrAddEndpoint("c0")))
}

// A cache that is full of popular chunks loses them to a chunk that is asked for once, and they are fetched again. The
// attempt must name a source, and retention rank 0, which stores nothing.
func TestPassedFillNamesItsSourceAndStoresNothing(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	for _, c := range r.caches.endpoints { // full of what is wanted all the time
		p := &chunk{requested: true, lastRequestAt: 100, averageGapSeconds: 0.1}
		c.addCached(&cachedChunk{chunk: p, sizeKB: 1e6, lastUsedAt: 100}, p.gapKey())
	}
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.Equal(t, 0, starts[0].RetentionRank)
	assert.Contains(t, []EndpointID{"p0", "p1"}, starts[0].Source)
}

// The traces do not fill the memory of objects: its size is held here. Above it the time of
// forgetting is halved until half of the number is left.
func TestObjectsAreRememberedUpToTheirNumber(t *testing.T) {
	const remembered = 131072
	r := newTestRouter(Idempotent)
	r.sweptAt = r.now // the next sweep for idle objects is not due
	for i := range remembered - 1 {
		o := r.findOrAddObject(strconv.Itoa(i), 0)
		o.lastRequestAt = r.now - 60*float64(i)/remembered
	}
	r.forgetIdleObjects()
	assert.Len(t, r.objects, remembered-1)
	r.findOrAddObject("one more", 0).lastRequestAt = r.now - 60
	r.forgetIdleObjects()
	assert.Len(t, r.objects, remembered/2)
}
