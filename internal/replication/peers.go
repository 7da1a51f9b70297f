package replication

import (
	"slices"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/transport"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// handlePeerState notes that a peer was connected, or its connection ended.
func (n *Node) handlePeerState(peer string, connected bool) {
	n.connected[peer] = connected
	if connected {
		n.config.Transport.Send(peer, n.hello())
	}
	for id, status := range n.statuses {
		if status.Node != peer || id == n.replicaID {
			continue
		}
		status.Up = connected && n.lastSeenReplica(peer) == id
		if !status.Up {
			status.LastSeen = n.secondsSinceStart()
		}
		n.statuses[id] = status
	}
}

// lastSeenReplica is the replica of a router that said hello last, 0 for none.
//
// It guards against a router that was given another disk: which of its replicas is up can't be known from when they
// were last seen, as both were when their connection ended. The new one would count as down until it says hello again.
func (n *Node) lastSeenReplica(name string) uint64 { return n.lastHello[name] }

// hello introduces this router's replica and its shards. It names no replica while the disk takes no writes.
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

// sendHelloToAll sends all connected peers what is held here now.
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
	n.retireOtherReplicas(from, frame.Replica)
	if frame.Replica == 0 {
		return // its disk takes no writes
	}
	n.statuses[frame.Replica] = placement.ReplicaStatus{
		ID:       frame.Replica,
		Node:     from,
		Zone:     frame.Zone,
		Up:       true,
		LastSeen: n.secondsSinceStart(),
	}
	n.emptyPeers[from] = len(frame.ShardVoters) == 0
	for number, voters := range frame.ShardVoters {
		if len(voters) > 0 {
			n.shardVoters[number] = voters
		}
	}
	n.beginShards()
}

// retireOtherReplicas notes that a router's earlier replicas are gone: it has another disk.
func (n *Node) retireOtherReplicas(name string, current uint64) {
	for id, status := range n.statuses {
		if status.Node == name && id != current && status.Up {
			status.Up = false
			status.LastSeen = n.secondsSinceStart()
			n.statuses[id] = status
		}
	}
}

// handleRaftMessage hands a message to its replica. One for a shard that is not held here makes a
// replica, as the sender added it to the members.
func (n *Node) handleRaftMessage(from string, frame transport.Frame) {
	message := &pb.Message{}
	if proto.Unmarshal(frame.Payload, message) != nil {
		return
	}
	if n.wal == nil || message.GetTo() != n.replicaID || n.statuses[message.GetFrom()].Node != from {
		return // no replica is up here, or it is for an earlier disk, or from a replica that did not say hello
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

// beginShards begins the shards once all initial members are up and none of them holds anything, or
// joins those that began already.
func (n *Node) beginShards() {
	if n.wal == nil || len(n.replicas) > 0 || !slices.Contains(n.config.InitialMembers, n.config.Name) {
		return
	}
	nodes, replicaIDs, ok := n.initialMembers()
	if !ok {
		return
	}
	var batch []shard.Ready
	begun := map[int][]uint64{}
	for number := range placement.ShardCount {
		var voters []uint64
		for _, name := range placement.PreferredNodes(number, nodes, n.config.ReplicaCount) {
			voters = append(voters, replicaIDs[name])
		}
		if known := n.shardVoters[number]; known != nil && !sameMembers(known, voters) {
			return // begun with another disk of this router, or long ago: its members add this replica
		}
		if slices.Contains(voters, n.replicaID) {
			begun[number] = voters
			batch = append(batch, shard.Ready{Shard: number, Snapshot: shard.InitialSnapshot(voters), MustSync: true})
		}
		n.shardVoters[number] = voters
	}
	if n.failure = n.wal.Write(batch); n.failure != nil {
		return
	}
	if n.failure = n.addInitialReplicas(begun); n.failure != nil {
		return
	}
	n.config.Logger.Info("shards initialized", "shards", len(begun), "replica", n.replicaID)
	n.sendHelloToAll()
}

// initialMembers are the routers that begin the shards, with their replicas. It is not ok while one
// of them is not up, or holds shards that this router does not know.
func (n *Node) initialMembers() (nodes []placement.Node, replicaIDs map[string]uint64, ok bool) {
	replicaIDs = map[string]uint64{n.config.Name: n.replicaID}
	for _, name := range n.config.InitialMembers {
		if name == n.config.Name {
			nodes = append(nodes, placement.Node{Name: name, Zone: n.config.Zone})
			continue
		}
		id := n.lastSeenReplica(name)
		if id == 0 || !n.statuses[id].Up || !n.emptyPeers[name] && n.shardVoters[0] == nil {
			return nil, nil, false
		}
		nodes = append(nodes, placement.Node{Name: name, Zone: n.statuses[id].Zone})
		replicaIDs[name] = id
	}
	return nodes, replicaIDs, true
}

func (n *Node) addInitialReplicas(begun map[int][]uint64) error {
	for number, voters := range begun {
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
