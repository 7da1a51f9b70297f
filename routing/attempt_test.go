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

// An end that the table of transitions refuses would leave an attempt in flight for good and take room from its
// endpoint. An ended attempt that could move again would release its room twice. Every state in flight must accept the
// end, and the ended state must accept nothing.
func TestAttemptInFlightMayAlwaysEndAndEndedStaysEnded(t *testing.T) {
	for from := range attemptStateCount {
		a := &attempt{state: from}
		assert.Equal(t, from.inFlight(), a.move(attemptEnded), "from state %d", from)
		ended := &attempt{state: attemptEnded}
		assert.False(t, ended.move(from), "to state %d", from)
		assert.Equal(t, attemptEnded, ended.state)
	}
}

// A second cancel, a second end or a stall after an attempt was given up must change nothing.
func TestAttemptMovesOnlyAsItsTableSays(t *testing.T) {
	for from := range attemptStateCount {
		for to := range attemptStateCount {
			a := &attempt{state: from, suspectAt: 1}
			moved := a.move(to)
			assert.Equal(t, attemptTransitions[from][to], moved)
			if !moved {
				assert.Equal(t, from, a.state)
			}
			lost := moved && (to == attemptLost || to == attemptAbandoned)
			assert.Equal(t, lost, math.IsInf(a.suspectAt, 1), "a lost attempt is not suspected again")
		}
		assert.Equal(t, from.inFlight() && from != attemptCancelled, attemptTransitions[from][attemptCancelled])
	}
}

// A queue that disagrees with the states holds a request twice, or one that has ended, and sends it again. After every
// move a request is in the queue exactly while its state is queued, and an ended request stays ended.
func TestRequestIsInTheQueueWhileItsStateSaysSo(t *testing.T) {
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

// The table in the comment is what is read at night: it must list just the transitions that the code has.
func TestAttemptTransitionsAreThoseOfTheComment(t *testing.T) {
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
