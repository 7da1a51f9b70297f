package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Whatever transitions are tried, a connection that accepts no more attempts must never accept any again, and a closed
// connection stays closed.
func TestConnectionStateNeverGoesBack(t *testing.T) {
	for from := range connStateCount {
		for to := range connStateCount {
			c := &Connection{state: from}
			moved := c.setStateLocked(to)
			assert.Equal(t, moved, c.state == to && from != to, "%d to %d", from, to)
			assert.GreaterOrEqual(t, c.state, from, "%d to %d", from, to)
			if !from.takesAttempts() {
				assert.False(t, c.state.takesAttempts(), "%d to %d", from, to)
			}
		}
		assert.Equal(t, from != connClosed, (&Connection{state: from}).setStateLocked(connClosed), "%d can close", from)
	}
}
