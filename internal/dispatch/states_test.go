package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStatesOnlyGoForward: an attempt ends once, and a request has one final response.
func TestStatesOnlyGoForward(t *testing.T) {
	for from := range sendStateCount {
		for to := range sendStateCount {
			a := &attempt{state: from}
			assert.Equal(t, to > from, a.move(to), "attempt: %d to %d", from, to)
			assert.Equal(t, max(from, to), a.state, "attempt: %d to %d", from, to)
		}
	}
	for from := range requestStateCount {
		for to := range requestStateCount {
			o := &openRequest{state: from}
			assert.Equal(t, to > from, o.move(to), "request: %d to %d", from, to)
			assert.Equal(t, max(from, to), o.state, "request: %d to %d", from, to)
		}
	}
}

// TestAttemptEndsByTheEarlierDeadline: its own counts where it has one.
func TestAttemptEndsByTheEarlierDeadline(t *testing.T) {
	assert.Equal(t, 3.0, attemptEndsBy(3, 0))
	assert.Equal(t, 2.0, attemptEndsBy(3, 2))
	assert.Equal(t, 3.0, attemptEndsBy(3, 4))
}

// TestTimesThatHavePassedAreNotWaitedFor: nor is a purge in the future.
func TestTimesThatHavePassedAreNotWaitedFor(t *testing.T) {
	assert.Equal(t, time.Second, waitUntil(3, 2))
	assert.Zero(t, waitUntil(2, 3))
	assert.Equal(t, 1.0, purgeAge(2, 3))
	assert.Zero(t, purgeAge(3, 2))
}
