package replication

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNodeRecoversFromTemporaryDiskFailure lets the disk of one router fail for some time. The
// write-ahead log accepts no writes after the first failure. The node must resume by itself once
// the disk accepts writes again, because the earlier data is still on it.
func TestNodeRecoversFromTemporaryDiskFailure(t *testing.T) {
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
	assert.Eventually(t, answered, 10*time.Second, 100*time.Millisecond, "the node does not recover")
}

// TestRequestsAreAnsweredDuringDiskFailure sends requests to a router whose disk accepts no writes.
// Replicas of other routers must answer them, each within the 2 s that reserve allows; otherwise
// the requests would have no answer while the disk fails.
func TestRequestsAreAnsweredDuringDiskFailure(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	disk := c.stop(0)
	disk.Restart()
	var full atomic.Bool
	disk.ShortWrite = full.Load
	c.start(0, disk)
	c.waitUntilHealthy()
	c.nodes[0].lastRequest = 100 // above the request numbers used before the restart
	full.Store(true)
	for k := range 20 {
		assert.True(t, c.reserve(0, fmt.Sprint("during", k), "g1").Granted)
	}
	full.Store(false)
	c.waitUntilHealthy()
	assert.False(t, c.reserve(0, "during3", "g2").Granted)
}

// TestReplicasOnFailedDiskAreReplaced lets the disk of one router fail permanently. The router is
// still connected. If its replicas counted as up, they would never be replaced, and each shard
// would tolerate one loss less.
func TestReplicasOnFailedDiskAreReplaced(t *testing.T) {
	c := newTestCluster(t, 4)
	c.waitUntilHealthy()
	disk := c.stop(3)
	disk.Restart()
	var full atomic.Bool
	disk.ShortWrite = full.Load
	c.start(3, disk)
	c.waitUntilHealthy()
	full.Store(true)
	for k := range 200 { // enough keys for a write in each shard
		c.reserve(1, fmt.Sprint("k", k), "g1")
	}
	replaced := func() bool {
		report := c.report(1) // the only router of its zone, so it has a replica of each shard
		return report.Health == HealthToleratesZoneLoss &&
			!slices.ContainsFunc(report.Shards, func(s ShardReport) bool { return slices.Contains(s.Replicas, "r3") })
	}
	assert.Eventually(t, replaced, testTimeout, 50*time.Millisecond)
}

// TestReservationsSurviveConcurrentSyncFailures lets the syncs of all disks fail at the same time
// for a while. Reservations acknowledged before and between the failures must still be known
// afterwards.
func TestReservationsSurviveConcurrentSyncFailures(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	var failing atomic.Bool
	for i := range 3 {
		disk := c.stop(i)
		disk.Restart()
		disk.FailSync = failing.Load
		c.start(i, disk)
	}
	c.waitUntilHealthy()
	for i := range 3 {
		c.nodes[i].lastRequest = 1 << 20
	}
	for round := range 3 {
		key := fmt.Sprint("k", round)
		assert.True(t, c.reserve(round, key, "g1").Granted)
		failing.Store(true)
		time.Sleep(300 * time.Millisecond)
		failing.Store(false)
		assert.False(t, c.reserve((round+1)%3, key, "g2").Granted)
	}
	var disks []*vfs.FaultFS
	for i := range 3 {
		disks = append(disks, c.stop(i))
	}
	for i := range 3 {
		disks[i].Restart()
		c.start(i, disks[i])
		c.nodes[i].lastRequest = 1 << 21
	}
	for round := range 3 {
		assert.False(t, c.reserve(0, fmt.Sprint("k", round), "g2").Granted)
	}
}

// TestReplicasThatAreNoMembersAreGivenUp replaces the replicas of a router while its disk fails,
// and lets them become members again once the disk has recovered. If the replicas that replaced
// them were not removed, they would stay on the disk of their router, and be announced to its
// peers, forever.
func TestReplicasThatAreNoMembersAreGivenUp(t *testing.T) {
	c := newTestCluster(t, 4)
	c.waitUntilHealthy()
	disk := c.stop(3)
	disk.Restart()
	var full atomic.Bool
	disk.ShortWrite = full.Load
	c.start(3, disk)
	c.waitUntilHealthy()
	full.Store(true)
	for k := range 200 { // enough keys for a write in each shard
		c.reserve(1, fmt.Sprint("k", k), "g1")
	}
	shardsOf := func(name string) map[int]bool { // reported by the only router of its zone
		members := map[int]bool{}
		for _, s := range c.report(1).Shards {
			if slices.Contains(append(s.Replicas, s.Learners...), name) {
				members[s.Shard] = true
			}
		}
		return members
	}
	require.Eventually(t, func() bool { return len(shardsOf("r3")) == 0 }, testTimeout, 50*time.Millisecond)
	full.Store(false)
	replacementCount := func() int { return len(shardsOf("r0")) }
	before := replacementCount()
	require.Eventually(t, func() bool { return replacementCount() < before }, testTimeout, 50*time.Millisecond)
	removed := func() bool { return len(c.report(0).Shards) <= replacementCount() }
	assert.Eventually(t, removed, 10*time.Second, 50*time.Millisecond)
}
