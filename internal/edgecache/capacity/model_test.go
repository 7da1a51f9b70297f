package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestColdStartReducesThroughput compares the throughput of the model at the start with that after the warm-up. A model
// with full capacity from the start would hide the overload of a cold cache in lab runs.
func TestColdStartReducesThroughput(t *testing.T) {
	m := &Model{Params: Params{Cores: 4, WorkSeconds: 0.01, InitialCoreShare: 0.25, WarmUpSeconds: 10}, StartedAt: 100}
	assert.Equal(t, 0.25, m.AvailableCoreShare(100))  //nolint:testifylint // exact by intent
	assert.Equal(t, 0.625, m.AvailableCoreShare(105)) //nolint:testifylint // exact by intent
	accepted := func(now float64) (n int) {
		m.coresFreeAt = 0
		for ok := true; ok; n++ {
			_, ok = m.Process(now, now+60)
		}
		return n
	}
	assert.Less(t, accepted(100)*3, accepted(200))
}

// TestWorkThatEndsTooLateIsRefusedAtOnce offers work whose requester will not wait for its end, behind other work. It
// must be refused as it arrives and take no time of the cores, so that one with more time is still accepted.
func TestWorkThatEndsTooLateIsRefusedAtOnce(t *testing.T) {
	m := &Model{Params: Params{Cores: 1, WorkSeconds: 0.1}}
	_, accepted := m.Process(10, 10.05)
	assert.False(t, accepted, "the work itself takes longer")
	doneAt, accepted := m.Process(10, 10.15)
	assert.True(t, accepted)
	assert.InDelta(t, 10.1, doneAt, 1e-9)
	_, accepted = m.Process(10, 10.15)
	assert.False(t, accepted, "it would wait for the first one")
	doneAt, accepted = m.Process(10, 10.25)
	assert.True(t, accepted)
	assert.InDelta(t, 10.2, doneAt, 1e-9)
}

// TestLinkTransmitsInOrder sends several bodies over the modelled link. Each must wait until the previous one has been
// transmitted; a link that transmitted them in parallel would show no congestion.
func TestLinkTransmitsInOrder(t *testing.T) {
	m := &Model{Params: Params{LinkKBps: 100, LatencySeconds: 0.01}}
	assert.InDelta(t, 1.01, m.Transmit(0, 100*1024), 1e-9)
	assert.InDelta(t, 2.01, m.Transmit(0, 100*1024), 1e-9)
	assert.InDelta(t, 6.01, m.Transmit(5, 100*1024), 1e-9)
}
