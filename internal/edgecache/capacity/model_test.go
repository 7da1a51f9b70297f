package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestColdStartReducesThroughput(t *testing.T) {
	m := &Model{Params: Params{Cores: 4, WorkSeconds: 0.01, ColdShare: 0.25, ColdSeconds: 10}, StartedAt: 100}
	assert.Equal(t, 0.25, m.WarmShare(100))
	assert.Equal(t, 0.625, m.WarmShare(105))
	accepted := func(now float64) (n int) {
		m.coresFreeAt = 0
		for ok := true; ok; n++ {
			_, ok = m.Process(now)
		}
		return n
	}
	assert.Less(t, accepted(100)*3, accepted(200))
}

func TestLinkTransmitsInOrder(t *testing.T) {
	m := &Model{Params: Params{LinkKBps: 100, LatencySeconds: 0.01}}
	assert.InDelta(t, 1.01, m.Transmit(0, 100*1024), 1e-9)
	assert.InDelta(t, 2.01, m.Transmit(0, 100*1024), 1e-9)
	assert.InDelta(t, 6.01, m.Transmit(5, 100*1024), 1e-9)
}
