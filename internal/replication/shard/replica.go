// Package shard is one replica of one shard: a raft state machine (go.etcd.io/raft/v3) over the
// state of package statemachine.
//
// A replica owns its raft log in memory, its state and its members. It does no I/O and has no
// clock: Ready says what has to be written to disk and what has to be sent, in that order, and
// Advance continues once that was done. A router has many replicas; what they want written is
// written together, with one sync, by package wal.
//
// A replica's ID is drawn when its router's folder is made (package wal), so that it names a disk
// and not a router. A router that comes back with an empty disk is another replica, which has no
// vote until it was added as a member.
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
	// electionTicks of silence lead to an election. Raft draws one to two times as many, 0.5 to 1 s.
	electionTicks = 10

	heartbeatTicks      = 2       // between a leader's heartbeats
	maxInflightMessages = 64      // under way to a replica
	maxMessageBytes     = 1 << 18 // of entries in a message
	maxUncommittedBytes = 4 << 20 // of entries; beyond it a proposal is refused with ErrBusy
	snapshotInterval    = 4096    // entries between two snapshots
	trailingEntries     = 512     // that stay in memory after a snapshot: a replica that lags a little needs none
	maxLearnerLag       = 128     // entries that a learner may lack when it gets its vote
)

// Errors of proposals and reads. After either nothing was written.
var (
	ErrNotLeader = errors.New("another replica leads the shard")
	ErrBusy      = errors.New("shard is busy")
)

// PersistentState is what of a replica is on disk: where it was when it ended.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil for none
	Entries   []*pb.Entry
}

func (p PersistentState) isEmpty() bool {
	return p.HardState == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// Response is the result of a command or read that was proposed at this replica.
type Response struct {
	Requester     string
	RequestNumber uint64
	Result        statemachine.Result
}

// Replica is one replica of a shard. It belongs to one goroutine.
type Replica struct {
	shard   int
	id      uint64
	node    *raft.RawNode
	storage *raft.MemoryStorage
	state   *statemachine.State
	members *pb.ConfState

	applied       uint64 // index of the last entry in state
	snapshotIndex uint64 // of the last snapshot
	isLeader      bool
	leader        uint64 // 0 while unknown

	pendingConfChanges int
	pendingReads       []pendingRead
	lastReadNumber     uint64
	responses          []Response
}

// quiet discards raft's log lines, which say nothing that the counters and the caller's log do not.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// New makes a replica from what is on disk. With nothing on disk and voters given it begins the
// shard as one of them.
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
		if err := r.install(saved.Snapshot); err != nil {
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
		Logger:                    quiet,
	})
	if err != nil {
		return nil, fmt.Errorf("shard %d: start raft: %w", shard, err)
	}
	r.node = node
	return r, nil
}

// InitialSnapshot is the snapshot with which a shard begins at its first voters, the same at each.
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

// install takes a snapshot as the replica's state.
func (r *Replica) install(snapshot *pb.Snapshot) error {
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

// Shard is the number of the replica's shard.
func (r *Replica) Shard() int { return r.shard }

// State is the state as this replica has it. Only a read is sure to see the newest.
func (r *Replica) State() *statemachine.State { return r.state }

// Leadership says whether this replica leads, and which replica does as far as it knows, 0 for none.
func (r *Replica) Leadership() (isLeader bool, leader uint64) { return r.isLeader, r.leader }

// Tick lets TickSeconds pass.
func (r *Replica) Tick() { r.node.Tick() }

// Step takes a message of another replica. Raft ignores one that does not fit its state.
func (r *Replica) Step(message *pb.Message) { _ = r.node.Step(message) }

// ReportUnreachable says that a message could not be sent to a replica.
func (r *Replica) ReportUnreachable(id uint64) { r.node.ReportUnreachable(id) }

// ReportSnapshot says how the sending of a snapshot ended.
func (r *Replica) ReportSnapshot(id uint64, sent bool) {
	status := raft.SnapshotFinish
	if !sent {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(id, status)
}
