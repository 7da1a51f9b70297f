package routing

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a mean sending time that is not that of the class's chunks. If each answer counted, clients that ask
// for one small chunk again and again would make it too small, as would answers without a body; answers that wait for a
// fill, or that congestion stretches, would make it too large.
func TestSendingTimesAreTheShortestOfEachChunk(t *testing.T) {
	for name, test := range map[string]struct {
		uncacheable bool
		sameChunk   bool
		end         AttemptEnded
		want        []float64 // sending times of the first chunk and, where there is one, of the other
	}{
		"another chunk":       {false, false, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.4}, []float64{0.2, 0.4}},
		"a stale copy":        {false, false, AttemptEnded{Detail: StaleHit, ElapsedSeconds: 0.4}, []float64{0.2, 0.4}},
		"the chunk, slower":   {false, true, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.9}, []float64{0.2}},
		"the chunk, faster":   {false, true, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.1}, []float64{0.1}},
		"not modified":        {false, false, AttemptEnded{Detail: CacheHit, NotModified: true}, []float64{0.2}},
		"filled":              {false, false, AttemptEnded{Detail: Filled, ElapsedSeconds: 0.4}, []float64{0.2}},
		"joined a fill":       {false, false, AttemptEnded{Detail: JoinedFill, ElapsedSeconds: 0.4}, []float64{0.2}},
		"an uncacheable one":  {true, false, AttemptEnded{ElapsedSeconds: 0.4}, []float64{0.2, 0.4}},
		"claims another size": {false, true, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.2}, []float64{0.2}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(Idempotent)
			c := r.class(0)
			c.uncacheable = test.uncacheable
			first, sent := &chunk{sendSeconds: 0.2}, &chunk{}
			if test.sameChunk {
				sent = first
			}
			c.sampledChunks = []*chunk{first}
			r.observeSendTime(&request{chunk: sent, sendSeconds: 7}, test.end)
			var got []float64
			for _, sampled := range c.sampledChunks {
				got = append(got, sampled.sendSeconds)
			}
			assert.Equal(t, test.want, got)
		})
	}
}

// Guards against memory that grows with the chunks that clients ask for: only the latest ones are sampled.
func TestSendingTimesAreBounded(t *testing.T) {
	c := &class{}
	for n := range 2 * maxSendSamples {
		c.recordSendTime(&chunk{}, float64(n))
	}
	assert.Len(t, c.sampledChunks, maxSendSamples)
	assert.InDelta(t, 1.5*maxSendSamples-0.5, c.meanSendSeconds(), 1e-9)
}

// Guards against clients that claim small sizes for large chunks: their answers would count as late and lower the
// limits of all, and their requests would come first in the queue. A claim must be raised to the largest one for its
// chunk as far as answers bear it out, and nothing else may change a size.
func TestSmallClaimIsRaisedAsFarAsAnswersAllow(t *testing.T) {
	for name, test := range map[string]struct {
		claimedKB, largestKB, sendSeconds float64 // 0.3 s are 300 KB
		uncacheable                       bool
		want                              float64
	}{
		"small":                              {1e-30, 250, 0.3, false, 250},
		"true":                               {250, 250, 0.3, false, 250},
		"large":                              {1e30, 250, 0.3, false, 1e30},
		"small, after a large one":           {1, 1e30, 0.3, false, 300},
		"small, without an answer":           {1, 250, 0, false, 1},
		"small, without any other claim":     {1, 0, 0.3, false, 1},
		"small, of an uncacheable class":     {1, 250, 0.3, true, 1},
		"none: all chunks count the same":    {0, 250, 0.3, false, unknownSizeKB},
		"negative: all chunks count as same": {-1, 250, 0.3, false, unknownSizeKB},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(Idempotent)
			r.class(0).uncacheable = test.uncacheable
			req := &request{
				RequestArrived: RequestArrived{SizeKB: test.claimedKB},
				chunk:          &chunk{largestClaimKB: test.largestKB, sendSeconds: test.sendSeconds},
			}
			r.setSize(req)
			assert.InEpsilon(t, test.want, req.SizeKB, 1e-9)
			assert.Equal(t, test.claimedKB > 0, req.sizeKnown)
		})
	}
}

// Reproduces clients that claim small sizes for a chunk which others ask for too. Its answers take as long as ever, so
// they must not lower the limit of the cache, whatever these clients claim.
func TestSmallClaimsDoNotLowerLimits(t *testing.T) {
	limitAfter := func(claimedKB float64) float64 {
		r := newTestRouter(Idempotent)
		var cache *endpoint
		for n := range 60 {
			now, id := 100+float64(n), RequestID(strconv.Itoa(n))
			arrived := RequestArrived{Request: id, Object: "x", SizeKB: 1000, Deadline: now + 5}
			if n >= 20 {
				arrived.SizeKB = claimedKB
			}
			for _, start := range actionsOf[StartAttempt](r.Decide(now, arrived)) {
				cache = r.findOrAddEndpoint(start.Endpoint)
				end := AttemptEnded{Request: id, Endpoint: start.Endpoint, Detail: CacheHit, RequestDone: true}
				end.ElapsedSeconds = 1.1 // 1 s to send
				r.Decide(now+end.ElapsedSeconds, end)
			}
		}
		return cache.limiter.limit
	}
	trueLimit := limitAfter(1000)
	for _, claimedKB := range []float64{1e-30, 1, 100} {
		assert.InDelta(t, trueLimit, limitAfter(claimedKB), 1e-9, "claimed size %v KB", claimedKB)
	}
}
