package replication

import (
	"cairnfront/internal/replication/shard"
)

// shardTime is a shard's time when a replica here had applied it.
type shardTime struct {
	unixSeconds float64
	appliedAt   float64 // seconds since the node's start
}

// commandTime is the time of a command for a shard: the shard's own, moved on by the monotonic clock. A shard without
// any takes the wall clock's.
//
// It guards against a leader whose wall clock is wrong. Ahead, it would end reservations early, and a request could run
// in two groups; behind, it would keep them. While no replica of a shard runs, the shard's time stands still, and what
// is reserved lasts longer by as much.
func (n *Node) commandTime(number int) float64 {
	known, ok := n.shardTimes[number]
	if !ok {
		return n.unixSeconds()
	}
	return known.unixSeconds + n.secondsSinceStart() - known.appliedAt
}

// noteShardTime notes what a replica has applied, where its shard's time is ahead of what is known here.
func (n *Node) noteShardTime(replica *shard.Replica) {
	number, applied := replica.Shard(), replica.State().Now()
	if applied == 0 {
		return
	}
	if _, ok := n.shardTimes[number]; ok && applied <= n.commandTime(number) {
		return
	}
	n.shardTimes[number] = shardTime{unixSeconds: applied, appliedAt: n.secondsSinceStart()}
}
