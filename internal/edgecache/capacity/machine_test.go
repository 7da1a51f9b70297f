package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAColdMachineDoesLess(t *testing.T) {
	m := &Machine{Numbers: Numbers{Cores: 4, Work: 0.01, ColdShare: 0.25, Cold: 10}, Started: 100}
	assert.Equal(t, 0.25, m.Warmth(100))
	assert.Equal(t, 0.625, m.Warmth(105))
	took := func(now float64) (n int) {
		m.core = 0
		for ok := true; ok; n++ {
			_, ok = m.Do(now)
		}
		return n
	}
	assert.Less(t, took(100)*3, took(200))
}

func TestALinkCarriesInOrder(t *testing.T) {
	m := &Machine{Numbers: Numbers{Link: 100, Latency: 0.01}}
	assert.InDelta(t, 1.01, m.Send(0, 100*1024), 1e-9)
	assert.InDelta(t, 2.01, m.Send(0, 100*1024), 1e-9)
	assert.InDelta(t, 6.01, m.Send(5, 100*1024), 1e-9)
}
