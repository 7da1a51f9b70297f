package routing

import (
	"math"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against transitions that refuse the end of an attempt in flight, which would occupy capacity of its endpoint
// forever, and against an ended attempt that moves again, which would release its capacity twice. All states in flight
// accept the end; the ended state accepts no transition.
func TestAttemptInFlightCanAlwaysEndAndEndedIsFinal(t *testing.T) {
	for from := range attemptStateCount {
		a := &attempt{state: from}
		assert.Equal(t, from.inFlight(), a.move(attemptEnded), "from state %d", from)
		ended := &attempt{state: attemptEnded}
		assert.False(t, ended.move(from), "to state %d", from)
		assert.Equal(t, attemptEnded, ended.state)
	}
}

// Late events, such as a second cancel, a second end, or a stall after an attempt was given up, must have no effect.
func TestAttemptMovesOnlyAlongTransitionTable(t *testing.T) {
	for from := range attemptStateCount {
		for to := range attemptStateCount {
			a := &attempt{state: from, suspectAt: 1}
			moved := a.move(to)
			assert.Equal(t, attemptTransitions[from][to], moved)
			if !moved {
				assert.Equal(t, from, a.state)
			}
			lost := moved && (to == attemptLost || to == attemptAbandoned)
			assert.Equal(t, lost, math.IsInf(a.suspectAt, 1), "a lost attempt must not be suspected again")
		}
		assert.Equal(t, from.inFlight() && from != attemptCancelled, attemptTransitions[from][attemptCancelled])
	}
}

// Guards against a queue that disagrees with the request states: it would hold a request twice, or send one that has
// ended. After each move, a request is in the queue exactly if its state is queued, and an ended request stays ended.
func TestRequestIsInQueueExactlyWhileQueued(t *testing.T) {
	r := newTestRouter(Idempotent)
	req := addSentRequest(r, 0, true)
	for _, step := range []struct {
		to, want requestState
	}{
		{requestQueued, requestQueued},
		{requestQueued, requestQueued},
		{requestOpen, requestOpen},
		{requestQueued, requestQueued},
		{requestEnded, requestEnded},
		{requestQueued, requestEnded},
		{requestOpen, requestEnded},
	} {
		r.moveRequest(req, step.to)
		assert.Equal(t, step.want, req.state)
		assert.Equal(t, step.want == requestQueued, len(r.queue) == 1)
	}
}

// Operators rely on the table of transitions in the comment during incidents: it must list exactly the transitions of
// the code.
func TestAttemptTransitionsMatchDocComment(t *testing.T) {
	text, err := os.ReadFile("attempt.go")
	require.NoError(t, err)
	states := []string{"planned", "awaited", "stalled", "lost", "abandoned", "cancelled", "ended"}
	require.Len(t, states, int(attemptStateCount))
	var documented [attemptStateCount][attemptStateCount]bool
	for _, row := range regexp.MustCompile(`(?m)^//\t(\w+) +(\w+) +\S`).FindAllStringSubmatch(string(text), -1) {
		from, to := slices.Index(states, row[1]), slices.Index(states, row[2])
		if from >= 0 && to >= 0 {
			documented[from][to] = true
		}
	}
	assert.Equal(t, attemptTransitions, documented)
}
