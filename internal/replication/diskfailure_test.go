package replication

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A disk takes nothing for a while. The write-ahead log takes nothing more then, and the node ends; it has to come
// back by itself once the disk takes writes again, as what it held is still there.
func TestNodeGoesOnAfterADiskThatFailedForAWhile(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	disk := c.stop(0)
	disk.Restart()
	var full atomic.Bool
	disk.ShortWrite = full.Load
	c.start(0, disk)
	c.waitUntilHealthy()
	full.Store(true)
	for k := range 20 {
		assert.True(t, c.reserve(1, fmt.Sprint("during", k), "g1").Granted)
	}
	full.Store(false)
	answered := func() bool {
		command := reserveCommand("r0", 1<<40, "after", "g1")
		return (<-c.nodes[0].Propose(command, time.Now().Add(time.Second))).Err == nil
	}
	assert.Eventually(t, answered, 10*time.Second, 100*time.Millisecond, "the node does not come back")
}
