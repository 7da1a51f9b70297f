package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestConnectionStatesOnlyGoForward: whatever moves are tried, a connection that takes no more attempts never does
// again, and one that has closed stays closed.
func TestConnectionStatesOnlyGoForward(t *testing.T) {
	for from := range connStateCount {
		for to := range connStateCount {
			c := &Connection{state: from}
			moved := c.moveLocked(to)
			assert.Equal(t, moved, c.state == to && from != to, "%d to %d", from, to)
			assert.GreaterOrEqual(t, c.state, from, "%d to %d", from, to)
			if !from.takesAttempts() {
				assert.False(t, c.state.takesAttempts(), "%d to %d", from, to)
			}
		}
		assert.Equal(t, from != connClosed, (&Connection{state: from}).moveLocked(connClosed), "%d can close", from)
	}
}
