package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a mean sending time that is not that of the class's chunks. If each answer counted, clients that ask
// for one small chunk again and again would make it too small, as would answers without a body; answers that wait for a
// fill, or that congestion stretches, would make it too large.
func TestSendingTimesAreTheShortestOfEachChunk(t *testing.T) {
	small, other := &chunk{}, &chunk{}
	for name, test := range map[string]struct {
		uncacheable bool
		chunk       *chunk
		end         AttemptEnded
		want        []float64 // sending times of the first chunk and, where there is one, of the other
	}{
		"another chunk":       {false, other, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.4}, []float64{0.2, 0.4}},
		"a stale copy":        {false, other, AttemptEnded{Detail: StaleHit, ElapsedSeconds: 0.4}, []float64{0.2, 0.4}},
		"the chunk, slower":   {false, small, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.9}, []float64{0.2}},
		"the chunk, faster":   {false, small, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.1}, []float64{0.1}},
		"not modified":        {false, other, AttemptEnded{Detail: CacheHit, NotModified: true}, []float64{0.2}},
		"filled":              {false, other, AttemptEnded{Detail: Filled, ElapsedSeconds: 0.4}, []float64{0.2}},
		"joined a fill":       {false, other, AttemptEnded{Detail: JoinedFill, ElapsedSeconds: 0.4}, []float64{0.2}},
		"an uncacheable one":  {true, other, AttemptEnded{ElapsedSeconds: 0.4}, []float64{0.2, 0.4}},
		"claims another size": {false, small, AttemptEnded{Detail: CacheHit, ElapsedSeconds: 0.2}, []float64{0.2}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(Idempotent)
			c := r.class(0)
			c.uncacheable = test.uncacheable
			c.sendSamples = []sendSample{{small, 0.2}}
			r.observeSendTime(&request{chunk: test.chunk, sendSeconds: 7}, test.end)
			var got []float64
			for _, sample := range c.sendSamples {
				got = append(got, sample.seconds)
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
	assert.Len(t, c.sendSamples, maxSendSamples)
	assert.InDelta(t, 1.5*maxSendSamples-0.5, c.meanSendSeconds(), 1e-9)
}
