package replication

import (
	"slices"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/transport"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// handlePeerState updates the statuses of a peer's replicas after it connected or disconnected.
func (n *Node) handlePeerState(peer string, connected bool) {
	n.connected[peer] = connected
	if connected {
		n.config.Transport.Send(peer, n.hello())
	}
	for id, status := range n.statuses {
		if status.Node != peer || id == n.replicaID {
			continue
		}
		status.Up = connected && n.currentReplica(peer) == id
		if !status.Up {
			status.LastSeen = n.secondsSinceStart()
		}
		n.statuses[id] = status
	}
}

// currentReplica returns the replica ID in a router's last hello frame, or 0 if there was none.
//
// After a router's disk is replaced, two replicas have its name. Their last-seen times do not show
// which of them is up, because both were last seen when the connection ended. If the replica were
// chosen by these times, the new one could count as down until its next hello frame.
func (n *Node) currentReplica(name string) uint64 { return n.lastHello[name] }

// hello returns the frame that announces this router's replica and its shards. It has no replica ID
// while the disk accepts no writes.
func (n *Node) hello() transport.Frame {
	if n.wal == nil {
		return transport.Frame{Kind: transport.KindHello, Zone: n.config.Zone, SeenStartCounts: n.startCounts}
	}
	frame := transport.Frame{
		Kind:            transport.KindHello,
		Replica:         n.replicaID,
		StartCount:      n.identity.StartCount,
		Zone:            n.config.Zone,
		ShardVoters:     map[int][]uint64{},
		SeenStartCounts: n.startCounts,
	}
	for number, replica := range n.replicas {
		frame.ShardVoters[number], _ = replica.Members()
	}
	return frame
}

// sendHelloToAll announces the current replica and shards to all connected peers.
func (n *Node) sendHelloToAll() {
	for peer, connected := range n.connected {
		if connected {
			n.config.Transport.Send(peer, n.hello())
		}
	}
}

func (n *Node) handleHello(from string, frame transport.Frame) {
	if frame.SeenStartCounts[n.replicaID] > n.identity.StartCount {
		n.failure = ErrStaleFolder
		return
	}
	if n.startCounts[frame.Replica] < frame.StartCount {
		n.startCounts[frame.Replica] = frame.StartCount
	}
	n.lastHello[from] = frame.Replica
	n.markOtherReplicasDown(from, frame.Replica)
	if frame.Replica == 0 {
		return // the peer's disk accepts no writes
	}
	n.statuses[frame.Replica] = placement.ReplicaStatus{
		ID:       frame.Replica,
		Node:     from,
		Zone:     frame.Zone,
		Up:       true,
		LastSeen: n.secondsSinceStart(),
	}
	n.peersWithoutShards[from] = len(frame.ShardVoters) == 0
	for number, voters := range frame.ShardVoters {
		if len(voters) > 0 {
			n.shardVoters[number] = voters
		}
	}
	n.beginShards()
}

// markOtherReplicasDown marks a router's other replicas as down: the router now has another disk, or
// its disk accepts no writes.
func (n *Node) markOtherReplicasDown(name string, current uint64) {
	for id, status := range n.statuses {
		if status.Node == name && id != current && status.Up {
			status.Up = false
			status.LastSeen = n.secondsSinceStart()
			n.statuses[id] = status
		}
	}
}

// handleRaftMessage passes a raft message to the replica of its shard. If there is no local replica
// of the shard yet, it creates one, because the sender has added this router to the shard's
// members.
func (n *Node) handleRaftMessage(from string, frame transport.Frame) {
	message := &pb.Message{}
	if proto.Unmarshal(frame.Payload, message) != nil {
		return
	}
	if n.wal == nil || message.GetTo() != n.replicaID || n.statuses[message.GetFrom()].Node != from {
		return // no local replica is up, the message is for an earlier disk, or its sender has not sent a hello frame
	}
	replica := n.replicas[frame.Shard]
	if replica == nil {
		var err error
		if replica, err = shard.New(frame.Shard, n.replicaID, shard.PersistentState{}, nil); err != nil {
			n.config.Logger.Error("replica creation failed", "shard", frame.Shard, "error", err.Error())
			return
		}
		n.replicas[frame.Shard] = replica
	}
	replica.Step(message)
}

// beginShards creates the shards once all initial members are up and none of them replicates any
// shard, or joins shards that were created before.
func (n *Node) beginShards() {
	if n.wal == nil || len(n.replicas) > 0 || !slices.Contains(n.config.InitialMembers, n.config.Name) {
		return
	}
	nodes, replicaIDs, ok := n.initialMembers()
	if !ok {
		return
	}
	var batch []shard.Ready
	initialVoters := map[int][]uint64{}
	for number := range placement.ShardCount {
		var voters []uint64
		for _, name := range placement.PreferredNodes(number, nodes, n.config.ReplicaCount) {
			voters = append(voters, replicaIDs[name])
		}
		if known := n.shardVoters[number]; known != nil && !sameMembers(known, voters) {
			return // created by an earlier disk of this router or long ago: the existing members add this replica
		}
		if slices.Contains(voters, n.replicaID) {
			initialVoters[number] = voters
			batch = append(batch, shard.Ready{Shard: number, Snapshot: shard.InitialSnapshot(voters), MustSync: true})
		}
		n.shardVoters[number] = voters
	}
	if n.failure = n.wal.Write(batch); n.failure != nil {
		return
	}
	if n.failure = n.addInitialReplicas(initialVoters); n.failure != nil {
		return
	}
	n.config.Logger.Info("shards initialized", "shards", len(initialVoters), "replica", n.replicaID)
	n.sendHelloToAll()
}

// initialMembers returns the routers that create the shards, with their replica IDs. ok is false
// while one of them is down, or replicates shards that this router does not know.
func (n *Node) initialMembers() (nodes []placement.Node, replicaIDs map[string]uint64, ok bool) {
	replicaIDs = map[string]uint64{n.config.Name: n.replicaID}
	for _, name := range n.config.InitialMembers {
		if name == n.config.Name {
			nodes = append(nodes, placement.Node{Name: name, Zone: n.config.Zone})
			continue
		}
		id := n.currentReplica(name)
		if id == 0 || !n.statuses[id].Up || !n.peersWithoutShards[name] && n.shardVoters[0] == nil {
			return nil, nil, false
		}
		nodes = append(nodes, placement.Node{Name: name, Zone: n.statuses[id].Zone})
		replicaIDs[name] = id
	}
	return nodes, replicaIDs, true
}

func (n *Node) addInitialReplicas(initialVoters map[int][]uint64) error {
	for number, voters := range initialVoters {
		saved := shard.PersistentState{Snapshot: shard.InitialSnapshot(voters)}
		replica, err := shard.New(number, n.replicaID, saved, nil)
		if err != nil {
			return err
		}
		n.replicas[number] = replica
	}
	return nil
}

func sameMembers(a, b []uint64) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
