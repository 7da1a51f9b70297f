// Package placement decides which routers replicate which shard, and which replica is replaced
// next.
//
// Shards are placed by rendezvous hashing and spread over zones, so that adding or removing a
// router moves few shards, and the loss of a zone leaves each shard a majority of its replicas
// where possible. The only state of the package is the times of a rebalancer's changes, and it does
// no I/O. The leader of a shard carries out its changes.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the fixed number of shards to which keys are assigned. It is part of the format on
// disk. With 64 shards, a router of 300 has a replica of fewer than one shard in five, and the
// heartbeats of all shards are fewer than the probes of the membership protocol.
const ShardCount = 64

// Node is a router on which replicas may be placed.
type Node struct {
	Name string
	Zone string
}

// ShardOf returns the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// weight returns a node's rendezvous weight for a shard; nodes with the highest weights are
// preferred.
func weight(shard int, name string) uint64 {
	digest := xxhash.New() // its writes never fail
	_, _ = digest.Write([]byte{byte(shard), byte(shard >> 8)})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// byWeight sorts the nodes by descending weight for a shard.
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

// PreferredNodes returns the nodes that should replicate a shard, best first. No zone gets more
// than its even share of the replicas, rounded up, as long as other zones have nodes left.
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

// FaultTolerance returns how many of the present nodes, and how many of their zones, may be lost
// while a majority of all replicas remains present. Both are -1 if there is no majority now. Zones
// are assumed to be lost in descending order of size.
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
