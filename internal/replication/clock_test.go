package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLeaderWithWrongClockExpiresNoReservation restarts a router with a wall clock that is an hour
// ahead and lets it become the leader of shards. If the leader used its own clock, all reservations
// would expire, and a second group could be granted their keys although a first attempt may have
// run: the request would take effect twice.
func TestLeaderWithWrongClockExpiresNoReservation(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	const keys = 64
	for k := range keys {
		require.True(t, c.reserve(1, fmt.Sprint("k", k), "g1").Granted)
	}
	c.clockOffsets[0] = time.Hour
	disk := c.stop(0)
	disk.Restart()
	c.start(0, disk)
	c.waitUntilHealthy()
	disk = c.stop(1) // other routers become leaders of its shards
	firstLeads := func() bool {
		return slices.ContainsFunc(c.report(0).Shards, func(s ShardReport) bool { return s.IsLeader })
	}
	require.Eventually(t, firstLeads, testTimeout, 10*time.Millisecond)
	disk.Restart()
	c.start(1, disk)
	c.waitUntilHealthy()
	c.nodes[1].lastRequest = 1 << 20 // above the request numbers used before the restart
	granted := 0
	for k := range keys {
		if c.reserve(1, fmt.Sprint("k", k), "g2").Granted {
			granted++
		}
	}
	assert.Zero(t, granted, "of %d reservations expired too early", keys)
}
