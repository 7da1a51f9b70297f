package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A router starts with a wall clock that is an hour ahead, and comes to lead shards. By its clock all reservations
// would have ended, and a second group would get their keys, though a first attempt may have run: an effect twice.
func TestLeaderWithAWrongClockEndsNoReservation(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	const keys = 64
	for k := range keys {
		require.True(t, c.reserve(1, fmt.Sprint("k", k), "g1").Granted)
	}
	c.ahead[0] = time.Hour
	disk := c.stop(0)
	disk.Restart()
	c.start(0, disk)
	c.waitUntilHealthy()
	disk = c.stop(1) // what it led goes to the others
	firstLeads := func() bool {
		return slices.ContainsFunc(c.report(0).Shards, func(s ShardReport) bool { return s.IsLeader })
	}
	require.Eventually(t, firstLeads, testTimeout, 10*time.Millisecond)
	disk.Restart()
	c.start(1, disk)
	c.waitUntilHealthy()
	c.nodes[1].lastRequest = 1 << 20 // its numbers go on
	granted := 0
	for k := range keys {
		if c.reserve(1, fmt.Sprint("k", k), "g2").Granted {
			granted++
		}
	}
	assert.Zero(t, granted, "of %d reservations were ended early", keys)
}
