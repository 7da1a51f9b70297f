package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A dial that ends twice, or before it started, would make a race count dials that do not exist and wait for them in
// vain. Each dial starts once and ends once.
func TestDialStateTransitions(t *testing.T) {
	for from := range dialStateCount {
		for to := range dialStateCount {
			r := &Race{states: []dialState{from}}
			moved := r.moveDial(0, to)
			begins := from == dialWaiting && to == dialInProgress
			ends := from == dialInProgress && (to == dialFailed || to == dialEstablished)
			assert.Equal(t, begins || ends, moved, "%d to %d", from, to)
			assert.Equal(t, moved, r.states[0] == to && from != to, "%d to %d", from, to)
		}
	}
}

// A second dial succeeds after a race was won or stopped. Its connection must not be used too: the first outcome is
// final.
func TestRaceOutcomeIsFinal(t *testing.T) {
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
