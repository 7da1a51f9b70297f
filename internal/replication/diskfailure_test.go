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

// A router whose disk takes nothing still has requests. They would have no answer while its disk fails; other replicas
// answer them, each within the 2 s that reserve gives one.
func TestRequestsAreAnsweredWhileTheDiskFails(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	disk := c.stop(0)
	disk.Restart()
	var full atomic.Bool
	disk.ShortWrite = full.Load
	c.start(0, disk)
	c.waitUntilHealthy()
	c.nodes[0].lastRequest = 100 // its numbers go on
	full.Store(true)
	for k := range 20 {
		assert.True(t, c.reserve(0, fmt.Sprint("during", k), "g1").Granted)
	}
	full.Store(false)
	c.waitUntilHealthy()
	assert.False(t, c.reserve(0, "during3", "g2").Granted)
}

// A disk fails and stays so. Its router is still connected; counted as up, its replicas would never be replaced, and
// each shard would bear one loss less.
func TestReplicasOnAFailedDiskAreReplaced(t *testing.T) {
	c := newTestCluster(t, 4)
	c.waitUntilHealthy()
	disk := c.stop(3)
	disk.Restart()
	var full atomic.Bool
	disk.ShortWrite = full.Load
	c.start(3, disk)
	c.waitUntilHealthy()
	full.Store(true)
	for k := range 200 { // each shard writes
		c.reserve(1, fmt.Sprint("k", k), "g1")
	}
	replaced := func() bool {
		report := c.report(1) // the only one of its zone, so it holds all shards
		return report.Health == HealthBearsZoneLoss &&
			!slices.ContainsFunc(report.Shards, func(s ShardReport) bool { return slices.Contains(s.Replicas, "r3") })
	}
	assert.Eventually(t, replaced, testTimeout, 50*time.Millisecond)
}

// The syncs of all disks fail at once for a while. What was acknowledged before and between is still known after.
func TestReservationsSurviveSyncsThatFailAtOnce(t *testing.T) {
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

// A router's replicas are replaced while its disk fails, and take their places again once it is back. Those that stood
// in for them would stay on their router's disk, and be shown to its peers, for ever.
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
	for k := range 200 { // each shard writes
		c.reserve(1, fmt.Sprint("k", k), "g1")
	}
	membersAt := func(name string) map[int]bool { // by the only router of its zone, which holds all shards
		members := map[int]bool{}
		for _, s := range c.report(1).Shards {
			if slices.Contains(append(s.Replicas, s.Learners...), name) {
				members[s.Shard] = true
			}
		}
		return members
	}
	require.Eventually(t, func() bool { return len(membersAt("r3")) == 0 }, testTimeout, 50*time.Millisecond)
	full.Store(false)
	standIns := func() int { return len(membersAt("r0")) }
	before := standIns()
	require.Eventually(t, func() bool { return standIns() < before }, testTimeout, 50*time.Millisecond)
	givenUp := func() bool { return len(c.report(0).Shards) <= standIns() }
	assert.Eventually(t, givenUp, 10*time.Second, 50*time.Millisecond)
}
