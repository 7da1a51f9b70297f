package shard

import (
	"errors"
	"fmt"
	"slices"

	"cairnfront/internal/replication/statemachine"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Propose appends a command to the shard's log. Advance returns its response once a majority of the
// voters has the command on disk.
func (r *Replica) Propose(command statemachine.Command) error {
	if !r.isLeader {
		return ErrNotLeader
	}
	encoded, err := command.Encode()
	if err != nil {
		return err
	}
	err = r.node.Propose(encoded)
	switch {
	case errors.Is(err, raft.ErrProposalDropped):
		return ErrBusy
	case err != nil:
		return fmt.Errorf("shard %d: propose: %w", r.shard, err)
	}
	return nil
}

// pendingRead is a linearizable read that waits until the applied state has reached the commit
// index at the start of the read.
type pendingRead struct {
	context       string // identifies the read in raft's ReadIndex
	index         uint64 // read index that must be applied first; 0 until the leadership is confirmed
	kind          statemachine.Kind
	key           string
	requester     string
	requestNumber uint64
}

// Read requests the current state of a reservation. Advance returns the response once a majority of
// the voters has confirmed that this replica is still the leader. A former leader that was paused
// and still believes it leads therefore returns no stale answer.
func (r *Replica) Read(kind statemachine.Kind, key, requester string, requestNumber uint64) error {
	if !r.isLeader {
		return ErrNotLeader
	}
	r.lastReadNumber++
	context := fmt.Sprintf("%d/%d", r.id, r.lastReadNumber)
	r.pendingReads = append(r.pendingReads, pendingRead{
		context:       context,
		kind:          kind,
		key:           key,
		requester:     requester,
		requestNumber: requestNumber,
	})
	r.node.ReadIndex([]byte(context))
	return nil
}

// confirmReads records the read index of each read whose leadership check succeeded.
func (r *Replica) confirmReads(confirmed []raft.ReadState) {
	for _, c := range confirmed {
		for i := range r.pendingReads {
			if r.pendingReads[i].context == string(c.RequestCtx) {
				r.pendingReads[i].index = c.Index
			}
		}
	}
}

// answerReads answers the confirmed reads whose read index is applied.
func (r *Replica) answerReads() {
	r.pendingReads = slices.DeleteFunc(r.pendingReads, func(read pendingRead) bool {
		if read.index == 0 || r.applied < read.index {
			return false
		}
		reservation, found := r.state.Get(read.kind, read.key)
		result := r.state.WithRemaining(statemachine.Result{Granted: found, Reservation: reservation})
		r.responses = append(r.responses, Response{read.requester, read.requestNumber, result})
		return true
	})
}

// Members returns the voters, and the learners that are still catching up.
func (r *Replica) Members() (voters, learners []uint64) {
	return slices.Clone(r.members.GetVoters()), slices.Clone(r.members.GetLearners())
}

// ProposeConfChange adds a member, first as a learner and then, once it has caught up, as a voter.
// If add is 0, it removes a member. Only one change may be in progress at a time.
func (r *Replica) ProposeConfChange(add, remove uint64) error {
	if !r.isLeader {
		return ErrNotLeader
	}
	if r.pendingConfChanges > 0 {
		return ErrBusy
	}
	change := &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(remove)}
	if add != 0 {
		isLearner := slices.Contains(r.members.GetLearners(), add)
		if isLearner && !r.hasCaughtUp(add) {
			return ErrBusy
		}
		kind := pb.ConfChangeType_ConfChangeAddLearnerNode
		if isLearner {
			kind = pb.ConfChangeType_ConfChangeAddNode
		}
		change = &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(add)}
	}
	if err := r.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{change}}); err != nil {
		return fmt.Errorf("shard %d: propose configuration change: %w", r.shard, err)
	}
	r.pendingConfChanges++
	return nil
}

func (r *Replica) hasCaughtUp(id uint64) bool {
	progress, ok := r.node.Status().Progress[id]
	return ok && learnerHasCaughtUp(progress.Match, r.applied)
}

// learnerHasCaughtUp reports whether a learner has nearly all entries that the leader has applied.
// If it became a voter earlier, the shard could need its vote for a majority and block until it has
// the rest.
func learnerHasCaughtUp(match, applied uint64) bool {
	return match > 0 && match+maxLearnerLag >= applied
}

// Lag returns the number of entries that each member lacks, as known to the leader. It is empty
// unless this replica leads.
func (r *Replica) Lag() map[uint64]uint64 {
	lag := map[uint64]uint64{}
	if !r.isLeader {
		return lag
	}
	last, _ := r.storage.LastIndex() // MemoryStorage never returns an error here
	for id, progress := range r.node.Status().Progress {
		lag[id] = last - min(progress.Match, last)
	}
	return lag
}
