package replication

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRestartedRouterAnswersRequests restarts a router, with its disk, so fast that it reconnects
// before the other routers have noticed the end of its earlier connection. If that end were
// attributed to the new connection, the router would be connected but receive no frames, and its
// requests would get no answer.
func TestRestartedRouterAnswersRequests(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	for restart := range 3 {
		disk := c.stop(0)
		disk.Restart()
		c.start(0, disk)
		c.nodes[0].lastRequest = uint64(100 * (restart + 1)) // above the request numbers used before the restart
		assert.True(t, c.reserve(0, fmt.Sprint("k", restart), "g1").Granted)
	}
}
