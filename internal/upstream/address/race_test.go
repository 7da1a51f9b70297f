package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A dial that ends twice, or ends before it began, makes a race count dials that do not exist, and it would be waited
// for in vain. A dial begins once and ends once.
func TestDialStatesFollowTheTable(t *testing.T) {
	for from := range dialStateCount {
		for to := range dialStateCount {
			r := &Race{states: []dialState{from}}
			moved := r.moveDial(0, to)
			begins := from == dialWaiting && to == dialUnderWay
			ends := from == dialUnderWay && (to == dialFailed || to == dialEstablished)
			assert.Equal(t, begins || ends, moved, "%d to %d", from, to)
			assert.Equal(t, moved, r.states[0] == to && from != to, "%d to %d", from, to)
		}
	}
}

// A second dial succeeds after a race was won or stopped. Its connection would be used too. Neither changes what was
// decided.
func TestRaceIsDecidedOnce(t *testing.T) {
	for _, first := range []raceOutcome{raceWon, raceStopped} {
		for _, second := range []raceOutcome{raceWon, raceStopped} {
			r := &Race{}
			assert.True(t, r.decide(first))
			assert.False(t, r.decide(second))
			assert.Equal(t, first, r.outcome)
			assert.Equal(t, first == raceWon, r.Won())
		}
	}
}
