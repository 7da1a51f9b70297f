package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// applyChanges applies changes as the shards would.
func applyChanges(led []LedShard, changes []ConfChange) {
	without := func(ids []uint64, removed uint64) []uint64 {
		return slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return id == removed })
	}
	for _, change := range changes {
		shard := &led[slices.IndexFunc(led, func(shard LedShard) bool { return shard.Shard == change.Shard })]
		switch {
		case change.Remove != 0:
			shard.Voters = without(shard.Voters, change.Remove)
			shard.Learners = without(shard.Learners, change.Remove)
		case slices.Contains(shard.Learners, change.Add):
			shard.Learners = without(shard.Learners, change.Add)
			shard.Voters = append(slices.Clone(shard.Voters), change.Add)
		default:
			shard.Learners = append(slices.Clone(shard.Learners), change.Add)
		}
	}
}

// statusesOf returns the status of one replica per node, with IDs from 1.
func statusesOf(nodes []Node) []ReplicaStatus {
	var statuses []ReplicaStatus
	for i, node := range nodes {
		statuses = append(statuses, ReplicaStatus{ID: uint64(i + 1), Node: node.Name, Zone: node.Zone, Up: true})
	}
	return statuses
}

// allLed returns all shards as led shards, with their preferred replicas as voters.
func allLed(nodes []Node) []LedShard {
	var led []LedShard
	for number := range ShardCount {
		shard := LedShard{Shard: number}
		for _, name := range PreferredNodes(number, nodes, 3) {
			index := slices.IndexFunc(nodes, func(node Node) bool { return node.Name == name })
			shard.Voters = append(shard.Voters, uint64(index+1))
		}
		led = append(led, shard)
	}
	return led
}

// TestLostNodeIsReplacedShardByShard loses a node. For replaceAfterSeconds nothing may change. Then
// each shard must get another replica before the lost one is removed, a few shards at a time, and
// in the end all replicas must be on their preferred nodes.
func TestLostNodeIsReplacedShardByShard(t *testing.T) {
	nodes := nodesInZones(9, 3)
	statuses := statusesOf(nodes)
	led := allLed(nodes)
	rebalancer := NewRebalancer(3, 30)
	assert.Empty(t, rebalancer.Changes(100, statuses, led), "all replicas are up")
	statuses[4].Up = false
	statuses[4].LastSeen = 100
	assert.Empty(t, rebalancer.Changes(120, statuses, led), "the lost node may still return")
	now, changeCount := 131.0, 0
	for ; ; now++ {
		changes := rebalancer.Changes(now, statuses, led)
		if len(changes) == 0 {
			break
		}
		assert.LessOrEqual(t, len(changes), maxChangesPerCall)
		changeCount += len(changes)
		applyChanges(led, changes)
		for _, shard := range led {
			assert.GreaterOrEqual(t, len(shard.Voters), 3)
		}
		require.Less(t, now, 400.0)
	}
	for _, shard := range led {
		assert.Len(t, shard.Voters, 3)
		assert.NotContains(t, shard.Voters, uint64(5))
	}
	t.Logf("%d changes in %.0f s", changeCount, now-131)

	// The node returns with an empty disk: a new replica with the old name, which must become a
	// member again.
	statuses = append(statuses, ReplicaStatus{ID: 50, Node: "n4", Zone: statuses[4].Zone, Up: true, LastSeen: now})
	for ; now < 800; now++ {
		applyChanges(led, rebalancer.Changes(now, statuses, led))
	}
	held := 0
	for _, shard := range led {
		assert.Len(t, shard.Voters, 3)
		if slices.Contains(shard.Voters, 50) {
			held++
		}
	}
	assert.Positive(t, held)
}

// TestLostLearnerIsRemoved loses a router while its replica is still a learner. A learner that
// never catches up would block every further change of the shard, so it must be removed.
func TestLostLearnerIsRemoved(t *testing.T) {
	statuses := statusesOf(nodesInZones(4, 1))
	statuses[3].Up = false
	statuses[3].LastSeen = 0
	led := []LedShard{{Shard: 1, Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}
	assert.Equal(t, []ConfChange{{Shard: 1, Remove: 4}}, NewRebalancer(3, 30).Changes(100, statuses, led))
}
