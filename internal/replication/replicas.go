package replication

import (
	"slices"
	"time"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/transport"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maintainLedShards rebalances the members of the shards that this router leads, and periodically
// advances the time of these shards.
func (n *Node) maintainLedShards() {
	var led []placement.LedShard
	advanceTime := time.Since(n.lastTimeAdvance) > advanceTimeInterval
	for number, replica := range n.replicas {
		if isLeader, _ := replica.Leadership(); !isLeader {
			continue
		}
		voters, learners := replica.Members()
		led = append(led, placement.LedShard{Shard: number, Voters: voters, Learners: learners})
		if advanceTime {
			// A rejected proposal is repeated at the next interval.
			_ = replica.Propose(statemachine.Command{Op: statemachine.OpAdvanceTime, Now: n.commandTime(number)})
		}
	}
	if advanceTime {
		n.lastTimeAdvance = time.Now()
	}
	slices.SortFunc(led, func(a, b placement.LedShard) int { return a.Shard - b.Shard })
	n.rebalance(led)
}

// rebalance proposes the membership changes that are due.
func (n *Node) rebalance(led []placement.LedShard) {
	changes := n.rebalancer.Changes(n.secondsSinceStart(), placement.SortedByID(n.statuses), led)
	for _, change := range changes {
		if n.replicas[change.Shard].ProposeConfChange(change.Add, change.Remove) != nil {
			continue // the rebalancer decides again at the next interval
		}
		n.config.Logger.Info("configuration change proposed",
			"shard", change.Shard,
			"added_peer", n.statuses[change.Add].Node,
			"removed_peer", n.statuses[change.Remove].Node)
	}
}

// advanceReplicas writes the pending state of all replicas with a single sync, then sends the
// resulting messages and responses. It repeats this until no replica has anything pending.
func (n *Node) advanceReplicas() error {
	for {
		var batch []shard.Ready
		for _, replica := range n.replicas {
			if ready, ok := replica.Ready(); ok {
				batch = append(batch, ready)
			}
		}
		if len(batch) == 0 {
			return nil
		}
		if err := n.wal.Write(batch); err != nil {
			return err
		}
		n.syncCount = n.closedLogSyncs + n.wal.SyncCount
		votersChanged := false
		for _, ready := range batch {
			changed, err := n.advanceReplica(ready)
			if err != nil {
				return err
			}
			votersChanged = votersChanged || changed
		}
		if votersChanged {
			n.sendHelloToAll()
		}
	}
}

// advanceReplica sends the messages and responses of a Ready that is on disk, and reports whether
// the shard's voters changed.
func (n *Node) advanceReplica(ready shard.Ready) (votersChanged bool, err error) {
	replica := n.replicas[ready.Shard]
	for _, message := range ready.Messages {
		n.sendRaftMessage(replica, message)
	}
	before, _ := replica.Members()
	responses, err := replica.Advance(ready)
	if err != nil {
		return false, err
	}
	n.recordShardTime(replica)
	after, _ := replica.Members()
	for _, response := range responses {
		n.respond(response)
	}
	snapshot, err := replica.Compact()
	if err != nil {
		return false, err
	}
	if snapshot != nil {
		if err := n.wal.SaveSnapshot(ready.Shard, snapshot); err != nil {
			return false, err
		}
	}
	return !slices.Equal(before, after), nil
}

// sendRaftMessage sends a message to another replica and notifies raft if it could not be sent.
func (n *Node) sendRaftMessage(replica *shard.Replica, message *pb.Message) {
	sent := n.trySend(replica.Shard(), message)
	if message.GetType() == pb.MessageType_MsgSnap {
		replica.ReportSnapshot(message.GetTo(), sent)
	} else if !sent {
		replica.ReportUnreachable(message.GetTo())
	}
}

func (n *Node) trySend(number int, message *pb.Message) bool {
	to := n.statuses[message.GetTo()]
	if !to.Up {
		return false
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		return false
	}
	return n.config.Transport.Send(to.Node, transport.Frame{Kind: transport.KindRaft, Shard: number, Payload: payload})
}
