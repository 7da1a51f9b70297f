// Package shard implements one replica of one shard: a raft group member (go.etcd.io/raft/v3) that
// replicates the state of package statemachine.
//
// A replica owns its raft log in memory, its state and its list of members. It does no I/O and has
// no clock: Ready returns what has to be written to disk and then sent, in that order, and Advance
// continues once that is done. A router has many replicas; package wal writes the pending state of
// all of them together, with one sync.
//
// A replica's ID is drawn when its router's folder is created (package wal), so it identifies a
// disk and not a router. A router that returns with an empty disk is a new replica, which has no
// vote until it has been added as a member.
package shard

import (
	"errors"
	"fmt"
	"io"
	"log"
	"slices"

	"cairnfront/internal/replication/statemachine"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// TickSeconds is the time between two ticks.
const TickSeconds = 0.05

const (
	// electionTicks is the number of ticks without a message from the leader before an election.
	// Raft randomizes it to one to two times this value, 0.5 to 1 s.
	electionTicks = 10

	heartbeatTicks      = 2       // ticks between a leader's heartbeats
	maxInflightMessages = 64      // append messages in flight to a replica
	maxMessageBytes     = 1 << 18 // bytes of entries in a message
	maxUncommittedBytes = 4 << 20 // bytes of uncommitted entries; above it proposals are rejected with ErrBusy
	snapshotInterval    = 4096    // entries between snapshots
	trailingEntries     = 512     // entries retained in memory after a snapshot, for replicas that lag slightly
	maxLearnerLag       = 128     // entries that a learner may lack when it becomes a voter
)

// Errors of proposals and reads. After either one, nothing was written.
var (
	ErrNotLeader = errors.New("another replica leads the shard")
	ErrBusy      = errors.New("shard is busy")
)

// PersistentState is the state of a replica on disk, from which it is restored.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil if there is none
	Entries   []*pb.Entry
}

func (p PersistentState) isEmpty() bool {
	return p.HardState == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// Response is the result of a command or read that was submitted to this replica.
type Response struct {
	Requester     string
	RequestNumber uint64
	Result        statemachine.Result
}

// Replica is one replica of a shard. It is not safe for concurrent use.
type Replica struct {
	shard   int
	id      uint64
	node    *raft.RawNode
	storage *raft.MemoryStorage
	state   *statemachine.State
	members *pb.ConfState

	applied       uint64 // index of the last entry applied to state
	snapshotIndex uint64 // index of the last snapshot
	isLeader      bool
	leader        uint64 // 0 if unknown

	pendingConfChanges int
	pendingReads       []pendingRead
	lastReadNumber     uint64
	responses          []Response
}

// discardLogger discards raft's log lines. They add nothing to the counters and the caller's log.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// New restores a replica from its state on disk. If that state is empty and voters are given, it
// creates the shard with these initial voters.
func New(shard int, id uint64, saved PersistentState, voters []uint64) (*Replica, error) {
	r := &Replica{
		shard:   shard,
		id:      id,
		storage: raft.NewMemoryStorage(),
		state:   statemachine.New(),
		members: &pb.ConfState{},
	}
	if saved.isEmpty() && len(voters) > 0 {
		saved.Snapshot = InitialSnapshot(voters)
	}
	if saved.Snapshot != nil {
		if err := r.installSnapshot(saved.Snapshot); err != nil {
			return nil, err
		}
	}
	if saved.HardState != nil {
		if err := r.storage.SetHardState(saved.HardState); err != nil {
			return nil, fmt.Errorf("shard %d: restore hard state: %w", shard, err)
		}
	}
	if err := r.storage.Append(saved.Entries); err != nil {
		return nil, fmt.Errorf("shard %d: restore log: %w", shard, err)
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    discardLogger,
	})
	if err != nil {
		return nil, fmt.Errorf("shard %d: start raft: %w", shard, err)
	}
	r.node = node
	return r, nil
}

// InitialSnapshot returns the snapshot with which the initial voters create a shard. It is the same
// at each of them.
func InitialSnapshot(voters []uint64) *pb.Snapshot {
	data, err := statemachine.New().Snapshot()
	if err != nil {
		panic(err) // an empty state can always be encoded
	}
	return &pb.Snapshot{
		Data: data,
		Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(1),
			Term:      proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: slices.Sorted(slices.Values(voters))},
		},
	}
}

// installSnapshot replaces the replica's state by a snapshot.
func (r *Replica) installSnapshot(snapshot *pb.Snapshot) error {
	state, err := statemachine.Restore(snapshot.GetData())
	if err != nil {
		return fmt.Errorf("shard %d: restore snapshot: %w", r.shard, err)
	}
	if err := r.storage.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return fmt.Errorf("shard %d: restore snapshot: %w", r.shard, err)
	}
	index := snapshot.GetMetadata().GetIndex()
	r.state = state
	r.applied = index
	r.snapshotIndex = index
	r.members = snapshot.GetMetadata().GetConfState()
	return nil
}

// Shard returns the number of the replica's shard.
func (r *Replica) Shard() int { return r.shard }

// State returns the local state, which may be stale. Only Read is guaranteed to see the newest
// state.
func (r *Replica) State() *statemachine.State { return r.state }

// Leadership reports whether this replica is the leader, and returns the ID of the leader, or 0 if
// it is unknown.
func (r *Replica) Leadership() (isLeader bool, leader uint64) { return r.isLeader, r.leader }

// Tick advances the logical clock by TickSeconds.
func (r *Replica) Tick() { r.node.Tick() }

// Step processes a message of another replica. Raft ignores a message that does not fit its state.
func (r *Replica) Step(message *pb.Message) { _ = r.node.Step(message) }

// ReportUnreachable notifies raft that a message to a replica could not be sent.
func (r *Replica) ReportUnreachable(id uint64) { r.node.ReportUnreachable(id) }

// ReportSnapshot notifies raft whether a snapshot was sent to a replica.
func (r *Replica) ReportSnapshot(id uint64, sent bool) {
	status := raft.SnapshotFinish
	if !sent {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(id, status)
}
