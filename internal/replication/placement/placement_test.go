package placement

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// nodesInZones returns nodes spread evenly over zones.
func nodesInZones(count, zones int) []Node {
	var nodes []Node
	for i := range count {
		nodes = append(nodes, Node{fmt.Sprint("n", i), fmt.Sprint("z", i%zones)})
	}
	return nodes
}

func zoneOf(nodes []Node, name string) string {
	return nodes[slices.IndexFunc(nodes, func(node Node) bool { return node.Name == name })].Zone
}

// TestReplicasAreSpreadOverZones places the replicas of each shard for several cluster sizes. If
// two of three replicas were in one zone, the loss of that zone would stop the shard. No zone may
// have more replicas than an even spread requires.
func TestReplicasAreSpreadOverZones(t *testing.T) {
	for _, test := range []struct{ nodes, zones, replicas, maxPerZone int }{
		{9, 3, 3, 1},
		{9, 3, 5, 2},
		{20, 4, 3, 1},
		{5, 1, 3, 3},
		{3, 2, 3, 2},
		{2, 2, 3, 1},
	} {
		nodes := nodesInZones(test.nodes, test.zones)
		for shard := range ShardCount {
			perZone := map[string]int{}
			preferred := PreferredNodes(shard, nodes, test.replicas)
			assert.Len(t, preferred, min(test.replicas, test.nodes))
			for _, name := range preferred {
				perZone[zoneOf(nodes, name)]++
			}
			for zone, count := range perZone {
				assert.LessOrEqual(t, count, test.maxPerZone, "%+v: zone %s", test, zone)
			}
		}
	}
}

// TestRemovedNodeMovesOnlyItsOwnShards removes one of twenty routers. A placement that also moved
// other replicas would copy most of the data whenever a router is removed. Only shards of that
// router may move.
func TestRemovedNodeMovesOnlyItsOwnShards(t *testing.T) {
	nodes := nodesInZones(20, 4)
	fewer := slices.Delete(slices.Clone(nodes), 7, 8)
	moved := 0
	for shard := range ShardCount {
		before, after := PreferredNodes(shard, nodes, 3), PreferredNodes(shard, fewer, 3)
		for _, name := range after {
			if !slices.Contains(before, name) {
				moved++
				assert.Contains(t, before, "n7", "shard %d", shard)
			}
		}
	}
	assert.Less(t, moved, 2*ShardCount*3/20+8, "more than the share of the removed node moved")
}

// TestShardsAndKeysAreSpreadEvenly counts the shards per router and the keys per shard. A router
// with many times its share would be the first to run out of capacity. Both counts must be near the
// mean.
func TestShardsAndKeysAreSpreadEvenly(t *testing.T) {
	nodes := nodesInZones(20, 4)
	shardsPerNode := map[string]int{}
	for shard := range ShardCount {
		for _, name := range PreferredNodes(shard, nodes, 3) {
			shardsPerNode[name]++
		}
	}
	for name, count := range shardsPerNode {
		assert.Less(t, count, 3*ShardCount*3/20, name)
	}
	assert.Len(t, shardsPerNode, 20)
	keysPerShard := map[int]int{}
	for i := range 64_000 {
		keysPerShard[ShardOf(fmt.Sprint("key", i))]++
	}
	for shard := range ShardCount {
		assert.InDelta(t, 1000, keysPerShard[shard], 200)
	}
}

// TestFaultTolerance checks how many routers and zones a set of replicas can lose. Operators use
// this number to decide whether a machine may be removed. It must be exact, and -1 if the majority
// is already lost.
func TestFaultTolerance(t *testing.T) {
	for _, test := range []struct {
		zonesPresent           string // one letter per node
		replicas, nodes, zones int
	}{
		{"abc", 3, 1, 1},
		{"aab", 3, 1, 0},
		{"abcde", 5, 2, 2},
		{"aabbc", 5, 2, 1},
		{"a", 1, 0, 0},
		{"ab", 3, 0, 0},
		{"a", 3, -1, -1},
	} {
		var present []Node
		for i, zone := range test.zonesPresent {
			present = append(present, Node{strconv.Itoa(i), string(zone)})
		}
		nodes, zones := FaultTolerance(test.replicas, present)
		assert.Equal(t, []int{test.nodes, test.zones}, []int{nodes, zones}, test.zonesPresent)
	}
}
