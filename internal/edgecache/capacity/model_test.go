package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestColdStartReducesThroughput asks the model for its throughput at the start and later. A model that is warm at
// once would hide the overload of a cold cache from the laboratory.
func TestColdStartReducesThroughput(t *testing.T) {
	m := &Model{Params: Params{Cores: 4, WorkSeconds: 0.01, ColdShare: 0.25, ColdSeconds: 10}, StartedAt: 100}
	assert.Equal(t, 0.25, m.WarmShare(100))  //nolint:testifylint // exact by intent
	assert.Equal(t, 0.625, m.WarmShare(105)) //nolint:testifylint // exact by intent
	accepted := func(now float64) (n int) {
		m.coresFreeAt = 0
		for ok := true; ok; n++ {
			_, ok = m.Process(now)
		}
		return n
	}
	assert.Less(t, accepted(100)*3, accepted(200))
}

// TestLinkTransmitsInOrder sends bodies over the modelled link. A link that sends them side by side would show no
// congestion. Each must wait for the one before it.
func TestLinkTransmitsInOrder(t *testing.T) {
	m := &Model{Params: Params{LinkKBps: 100, LatencySeconds: 0.01}}
	assert.InDelta(t, 1.01, m.Transmit(0, 100*1024), 1e-9)
	assert.InDelta(t, 2.01, m.Transmit(0, 100*1024), 1e-9)
	assert.InDelta(t, 6.01, m.Transmit(5, 100*1024), 1e-9)
}
