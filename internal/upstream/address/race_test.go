package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDialStatesFollowTheTable: a dial begins once and ends once.
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

// TestRaceIsDecidedOnce: neither a second dial that succeeds nor a stop changes what was decided.
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
