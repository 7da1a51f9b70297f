package replication

import (
	"cairnfront/internal/replication/shard"
)

// shardTime is the time of a shard as of the last command that a local replica applied.
type shardTime struct {
	unixSeconds float64
	appliedAt   float64 // when it was applied, in seconds since the node's start
}

// commandTime returns the time for a new command of a shard: the last known time of the shard,
// advanced by the monotonic clock. A shard without a known time uses the wall clock.
//
// This protects against a leader with a wrong wall clock. A clock that is ahead would make
// reservations expire too early, and a request could run in two groups; a clock that is behind
// would make them expire too late. While no replica of a shard is running, the shard's time does
// not advance, so its reservations last longer by that time.
func (n *Node) commandTime(number int) float64 {
	known, ok := n.shardTimes[number]
	if !ok {
		return n.unixSeconds()
	}
	return known.unixSeconds + n.secondsSinceStart() - known.appliedAt
}

// recordShardTime records the time of the last command that a replica applied, if it is later than
// the known time of the shard.
func (n *Node) recordShardTime(replica *shard.Replica) {
	number, applied := replica.Shard(), replica.State().Now()
	if applied == 0 {
		return
	}
	if _, ok := n.shardTimes[number]; ok && applied <= n.commandTime(number) {
		return
	}
	n.shardTimes[number] = shardTime{unixSeconds: applied, appliedAt: n.secondsSinceStart()}
}
