package routing

import (
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A mean that follows only the newest gap would drop a popular chunk after one pause. The new mean is a quarter of the
// newest gap plus three quarters of the old mean.
func TestUpdateGapAveragesWithTheNewestGap(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	req := &request{chunk: &chunk{requested: true, lastRequestAt: 90, averageGapSeconds: 8}}
	r.updateGap(req, r.findOrAddEndpoint("c0"))
	assert.InDelta(t, 0.25*10+0.75*8, req.chunk.averageGapSeconds, 1e-9)
	assert.Equal(t, 100.0, req.chunk.lastRequestAt) //nolint:testifylint // exact by intent
}

// The first request for a chunk has no gap. An initial mean of zero would store every such chunk, an infinite one none:
// it must be the cache's horizon.
func TestUpdateGapStartsAtTheHorizon(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	req := &request{chunk: &chunk{}}
	r.findOrAddEndpoint("c0").idleSeconds = []float64{4, 6}
	r.updateGap(req, r.findOrAddEndpoint("c0"))
	assert.Equal(t, 5.0, req.chunk.averageGapSeconds) //nolint:testifylint // exact by intent
}

// A chunk without earlier requests has no gap, so the next chunks of a popular object would all be passed through. Its
// estimate is the largest gap of the object's chunks at that cache, and infinite if the cache has none.
func TestGapOfUnseenChunkIsTheLargestCachedOfItsObject(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	c, o := r.findOrAddEndpoint("c0"), r.findOrAddObject("x", 0)
	for i, dt := range []float64{4, 12, 40} {
		p := r.findOrAddChunk(o, i)
		p.requested, p.averageGapSeconds, p.lastRequestAt = true, dt, 100
		if i < 2 {
			c.addCached(&cachedChunk{chunk: p, sizeKB: 1}, p.gapKey())
		}
	}
	unseen := &request{object: o, chunk: r.findOrAddChunk(o, 9), firstForChunk: true}
	assert.InDelta(t, 9, r.gapOf(unseen, c), 1e-9)
	assert.True(t, math.IsInf(r.gapOf(unseen, r.findOrAddEndpoint("c1")), 1))
}

// With a horizon of 10 s and a chunk of 100 KB, a stored fill costs 100 times the fill cost plus the cost of what it
// evicts; a pass costs 100 times the pass cost plus 100 times 10/gap times the refetch cost.
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

// The origin forbids storing some classes: no purge would invalidate their copies. Even the most popular chunk of such
// a class must be passed through.
func TestShouldStoreRefusesUncacheableClass(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.settings[SettingUncacheable] = "true,true"
	popular := &chunk{requested: true, lastRequestAt: 100, averageGapSeconds: 0.1}
	req := &request{RequestArrived: RequestArrived{SizeKB: 1}, chunk: popular}
	assert.False(t, r.shouldStore(req, r.findOrAddEndpoint("c0")))
}

// Storing a chunk that is requested once would evict popular chunks from a full cache, which are then fetched again.
// The attempt must name a source, and have retention rank 0, which stores nothing.
func TestPassThroughNamesSourceAndStoresNothing(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	for _, c := range r.caches.endpoints { // caches are full of frequently requested chunks
		p := &chunk{requested: true, lastRequestAt: 100, averageGapSeconds: 0.1}
		c.addCached(&cachedChunk{chunk: p, sizeKB: 1e6, lastUsedAt: 100}, p.gapKey())
	}
	starts := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, starts, 1)
	assert.Equal(t, 0, starts[0].RetentionRank)
	assert.Contains(t, []EndpointID{"p0", "p1"}, starts[0].Source)
}

// The decision traces do not reach the maximum number of objects, so this test covers it. Above the maximum, the idle
// time after which objects are dropped is halved until at most half of the maximum remains.
func TestObjectsAreLimitedToMaximumNumber(t *testing.T) {
	const remembered = 131072
	r := newTestRouter(Idempotent)
	r.sweptAt = r.now // the next sweep for idle objects is not due
	for i := range remembered - 1 {
		o := r.findOrAddObject(strconv.Itoa(i), 0)
		o.lastRequestAt = r.now - 60*float64(i)/remembered
	}
	r.evictIdleObjects()
	assert.Len(t, r.objects, remembered-1)
	r.findOrAddObject("one more", 0).lastRequestAt = r.now - 60
	r.evictIdleObjects()
	assert.Len(t, r.objects, remembered/2)
}

// Guards against memory, and work for each request, that grow with the chunks of one object that clients ask for.
func TestChunksAreLimited(t *testing.T) {
	r := newTestRouter(Idempotent)
	r.LimitMemory(3*maxObjectChunks, 1)
	for i := range 10 * maxObjectChunks {
		arrived := newArrival(RequestID(strconv.Itoa(i)), "object"+strconv.Itoa(i%5))
		arrived.Chunk = i
		arrived.Deadline = 200
		r.Decide(100+float64(i)/1000, arrived)
		r.Decide(100+float64(i)/1000, ClientDisconnected{Request: arrived.Request})
		count := 0
		for _, o := range r.objects {
			assert.LessOrEqual(t, len(o.chunks), maxObjectChunks)
			count += len(o.chunks)
		}
		require.Equal(t, count, r.chunkCount)
		require.LessOrEqual(t, r.chunkCount, 3*maxObjectChunks)
	}
}
