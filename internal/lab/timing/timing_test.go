package timing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWaitUntilEnds: a scenario that waits for a process that never starts must return an error, and one with a
// canceled context must stop sleeping.
func TestWaitUntilEnds(t *testing.T) {
	calls := 0
	require.NoError(t, WaitUntil(time.Minute, func() bool {
		calls++
		return calls == 2
	}))
	err := WaitUntil(time.Millisecond, func() bool { return false })
	require.ErrorIs(t, err, ErrNoSuccess)
	require.ErrorContains(t, err, "no success within 1ms")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, Sleep(ctx, time.Hour), context.Canceled)
}
