package upstream

import (
	"testing"
	"time"

	"cairnfront/internal/clock"

	"github.com/stretchr/testify/assert"
)

// Idle connections must be closed before the endpoint's idle timeout, and never if endpoints do not close idle
// connections.
func TestIdleCloseTimeoutIsBelowEndpointIdleTimeout(t *testing.T) {
	assert.Less(t, idleCloseTimeout(10*time.Second), 10*time.Second)
	assert.Greater(t, idleCloseTimeout(10*time.Second), 5*time.Second)
	assert.Zero(t, idleCloseTimeout(0))
}

// Silence is measured from the first attempt without a response. It does not count if input has arrived since, or if
// the wait was too short.
func TestSilenceStartsAtFirstUnansweredAttempt(t *testing.T) {
	writtenAt := clock.FromSeconds(10)
	late := writtenAt.Add(2 * time.Second)
	assert.True(t, isSilentFor(writtenAt.Add(-time.Second), writtenAt, late, time.Second))
	assert.False(t, isSilentFor(writtenAt.Add(time.Second), writtenAt, late, time.Second))
	assert.False(t, isSilentFor(writtenAt.Add(-time.Second), writtenAt, late, 2*time.Second))
}
