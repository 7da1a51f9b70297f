// Package placement says which routers hold which shard, and which replica is replaced next.
//
// Shards are placed by rendezvous hashing and spread over zones, so that one router more or less
// moves few shards, and the loss of a zone leaves each shard a majority of its replicas where that
// can be. The package owns no state but the times of a rebalancer's changes, and does no I/O.
// Carrying a change out is the job of the shard's leader.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the fixed number of shards that keys fall into. It is part of the format on disk.
// With 64 a router of 300 holds under one shard in five, and the heartbeats of all shards are fewer
// than the membership's probes.
const ShardCount = 64

// Node is a router that may hold shards.
type Node struct {
	Name string
	Zone string
}

// ShardOf is the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// weight is a node's preference for a shard; the highest come first.
func weight(shard int, name string) uint64 {
	digest := xxhash.New() // takes all that is written
	_, _ = digest.Write([]byte{byte(shard), byte(shard >> 8)})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// byWeight gives the nodes in the order of their weight for a shard.
func byWeight(shard int, nodes []Node) []Node {
	type weightedNode struct {
		Node
		weight uint64
	}
	weighted := make([]weightedNode, len(nodes))
	for i, node := range nodes {
		weighted[i] = weightedNode{node, weight(shard, node.Name)}
	}
	slices.SortFunc(weighted, func(a, b weightedNode) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	ordered := make([]Node, len(nodes))
	for i, node := range weighted {
		ordered[i] = node.Node
	}
	return ordered
}

// PreferredNodes are the nodes that should hold a shard's replicas, best first. No zone has more of
// them than its even share, rounded up, as long as other zones have nodes left.
func PreferredNodes(shard int, nodes []Node, replicas int) []string {
	ordered := byWeight(shard, nodes)
	replicas = min(replicas, len(ordered))
	var preferred []string
	perZone := map[string]int{}
	taken := make([]bool, len(ordered))
	for maxPerZone := 1; len(preferred) < replicas; maxPerZone++ {
		for i, node := range ordered {
			if len(preferred) < replicas && !taken[i] && perZone[node.Zone] < maxPerZone {
				taken[i] = true
				perZone[node.Zone]++
				preferred = append(preferred, node.Name)
			}
		}
	}
	return preferred
}

// FaultTolerance says how many of the present nodes, and how many of their zones, may be lost so
// that a majority of all replicas is still present. Both are -1 where there is no majority now. The
// largest zones are taken to be lost first.
func FaultTolerance(replicas int, present []Node) (nodes, zones int) {
	majority := replicas/2 + 1
	nodes = len(present) - majority
	if nodes < 0 {
		return -1, -1
	}
	perZone := map[string]int{}
	for _, node := range present {
		perZone[node.Zone]++
	}
	sizes := make([]int, 0, len(perZone))
	for _, size := range perZone {
		sizes = append(sizes, size)
	}
	slices.SortFunc(sizes, func(a, b int) int { return b - a })
	remaining := len(present)
	for _, size := range sizes {
		remaining -= size
		if remaining < majority {
			break
		}
		zones++
	}
	return nodes, zones
}
