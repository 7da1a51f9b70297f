package upstream

import (
	"testing"
	"time"

	"cairnfront/internal/clock"

	"github.com/stretchr/testify/assert"
)

// TestIdleConnectionsCloseBeforeTheirEndpointsDo: and never where endpoints close none.
func TestIdleConnectionsCloseBeforeTheirEndpointsDo(t *testing.T) {
	assert.Less(t, idleCloseTimeout(10*time.Second), 10*time.Second)
	assert.Greater(t, idleCloseTimeout(10*time.Second), 5*time.Second)
	assert.Zero(t, idleCloseTimeout(0))
}

// TestSilenceCountsFromTheFirstUnansweredAttempt: input after it, or too short a wait, is no silence.
func TestSilenceCountsFromTheFirstUnansweredAttempt(t *testing.T) {
	writtenAt := clock.FromSeconds(10)
	late := writtenAt.Add(2 * time.Second)
	assert.True(t, isSilentFor(writtenAt.Add(-time.Second), writtenAt, late, time.Second))
	assert.False(t, isSilentFor(writtenAt.Add(time.Second), writtenAt, late, time.Second))
	assert.False(t, isSilentFor(writtenAt.Add(-time.Second), writtenAt, late, 2*time.Second))
}
