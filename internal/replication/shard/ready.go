package shard

import (
	"errors"
	"fmt"

	"cairnfront/internal/replication/statemachine"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Ready is the state that must be on disk before its messages are sent and its responses are
// delivered.
type Ready struct {
	Shard     int
	HardState *pb.HardState
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot
	MustSync  bool // whether the state must survive a power loss
	Messages  []*pb.Message

	raft raft.Ready
}

// Ready returns the state to write and the messages to send, and false if there are
// none. Advance must be called before the next Ready.
func (r *Replica) Ready() (Ready, bool) {
	if !r.node.HasReady() {
		return Ready{}, false
	}
	rd := r.node.Ready()
	ready := Ready{
		Shard:     r.shard,
		HardState: rd.HardState,
		Entries:   rd.Entries,
		MustSync:  rd.MustSync,
		Messages:  rd.Messages,
		raft:      rd,
	}
	if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
		ready.Snapshot = rd.Snapshot
		ready.MustSync = true
	}
	return ready, true
}

// Advance must be called once a Ready is on disk. It applies the committed entries and returns the
// resulting responses.
func (r *Replica) Advance(ready Ready) ([]Response, error) {
	r.updateLeadership(ready.raft.SoftState)
	if ready.Snapshot != nil {
		if err := r.installSnapshot(ready.Snapshot); err != nil {
			return nil, err
		}
	}
	if ready.HardState != nil {
		if err := r.storage.SetHardState(ready.HardState); err != nil {
			return nil, fmt.Errorf("shard %d: store hard state: %w", r.shard, err)
		}
	}
	if err := r.storage.Append(ready.Entries); err != nil {
		return nil, fmt.Errorf("shard %d: append entries: %w", r.shard, err)
	}
	for _, entry := range ready.raft.CommittedEntries {
		if err := r.apply(entry); err != nil {
			return nil, err
		}
	}
	r.confirmReads(ready.raft.ReadStates)
	r.node.Advance(ready.raft)
	r.answerReads()
	responses := r.responses
	r.responses = nil
	return responses, nil
}

// updateLeadership records a change of leader. A replica that is no longer the leader drops its
// pending reads; their requesters retry at another replica.
func (r *Replica) updateLeadership(soft *raft.SoftState) {
	if soft == nil {
		return
	}
	r.leader = soft.Lead
	r.isLeader = soft.RaftState == raft.StateLeader
	if !r.isLeader {
		r.pendingReads = nil
		r.pendingConfChanges = 0
	}
}

// apply applies a committed entry.
func (r *Replica) apply(entry *pb.Entry) error {
	r.applied = entry.GetIndex()
	switch {
	case entry.GetType() == pb.EntryType_EntryConfChangeV2:
		return r.applyConfChange(entry)
	case entry.GetType() != pb.EntryType_EntryNormal:
	case len(entry.GetData()) == 0:
		// It is the first entry of a new leader, or replaces a membership change that raft rejected
		// because another one was in progress.
		r.pendingConfChanges = 0
	default:
		r.applyCommand(entry)
	}
	return nil
}

func (r *Replica) applyCommand(entry *pb.Entry) {
	command, err := statemachine.Decode(entry.GetData())
	if err != nil {
		return // written by a later version: each replica of this version skips it
	}
	result := r.state.Apply(entry.GetIndex(), command)
	if r.isLeader {
		r.responses = append(r.responses, Response{command.Requester, command.RequestNumber, result})
	}
}

func (r *Replica) applyConfChange(entry *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
		return fmt.Errorf("shard %d: decode configuration change: %w", r.shard, err)
	}
	r.members = r.node.ApplyConfChange(&change)
	r.pendingConfChanges = max(r.pendingConfChanges-1, 0)
	// A new member accepts only a snapshot that lists it as a member.
	data, err := r.state.Snapshot()
	if err == nil {
		_, err = r.storage.CreateSnapshot(r.applied, r.members, data)
	}
	if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return fmt.Errorf("shard %d: snapshot for a new member: %w", r.shard, err)
	}
	return nil
}

// snapshotIsDue reports whether snapshotInterval entries were applied since the last snapshot.
// Without snapshots the log would grow without bound, and a restart would replay all of it.
func snapshotIsDue(applied, lastSnapshot uint64) bool {
	return applied >= lastSnapshot+snapshotInterval
}

// Compact returns a new snapshot if one is due, and nil otherwise. If it creates a snapshot, it
// drops the entries in the snapshot from memory, except the last trailingEntries. The snapshot must
// be on disk before its entries are removed from the write-ahead log.
func (r *Replica) Compact() (*pb.Snapshot, error) {
	if !snapshotIsDue(r.applied, r.snapshotIndex) {
		return nil, nil
	}
	data, err := r.state.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("shard %d: %w", r.shard, err)
	}
	snapshot, err := r.storage.CreateSnapshot(r.applied, r.members, data)
	if err != nil {
		return nil, fmt.Errorf("shard %d: create snapshot: %w", r.shard, err)
	}
	r.snapshotIndex = r.applied
	firstIndex := r.applied - min(r.applied, trailingEntries)
	if firstIndex > 1 {
		if err := r.storage.Compact(firstIndex); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, fmt.Errorf("shard %d: compact log: %w", r.shard, err)
		}
	}
	return snapshot, nil
}
