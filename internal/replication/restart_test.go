package replication

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A router restarts with its disk while the others run, and is back before they have noticed the end of its earlier
// connection. That end counted as its own: it was connected, nobody sent it anything, and its requests had no answer.
func TestRestartedRouterTakesPartAgain(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	for restart := range 3 {
		disk := c.stop(0)
		disk.Restart()
		c.start(0, disk)
		c.nodes[0].lastRequest = uint64(100 * (restart + 1)) // its numbers go on
		assert.True(t, c.reserve(0, fmt.Sprint("k", restart), "g1").Granted)
	}
}
