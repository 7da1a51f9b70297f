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

// Propose appends a command to the shard's log. Its response comes from Advance once a majority of
// the voters has it on disk.
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

// pendingRead waits until the state is as new as it was when the read began.
type pendingRead struct {
	context       string // names the read to raft
	index         uint64 // that has to be applied first, 0 until the leadership is confirmed
	kind          statemachine.Kind
	key           string
	requester     string
	requestNumber uint64
}

// Read asks for a reservation as it stands now. The response comes from Advance once a majority has
// confirmed that this replica still leads, so that one that was stopped and still takes itself for
// the leader answers nothing stale.
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

// confirmReads notes the index that each read has to wait for, now that the leadership is confirmed.
func (r *Replica) confirmReads(confirmed []raft.ReadState) {
	for _, c := range confirmed {
		for i := range r.pendingReads {
			if r.pendingReads[i].context == string(c.RequestCtx) {
				r.pendingReads[i].index = c.Index
			}
		}
	}
}

// answerReads answers the confirmed reads whose index is applied.
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

// Members are the replicas that have a vote, and the learners that are still catching up.
func (r *Replica) Members() (voters, learners []uint64) {
	return slices.Clone(r.members.GetVoters()), slices.Clone(r.members.GetLearners())
}

// ProposeConfChange adds a member, as a learner first and as a voter once it has caught up, or
// where add is 0 removes one. One change is under way at a time.
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

// learnerHasCaughtUp says whether a learner has nearly all that the leader has applied. With a vote before that, the
// shard could need it for a majority and wait until it has the rest.
func learnerHasCaughtUp(match, applied uint64) bool {
	return match > 0 && match+maxLearnerLag >= applied
}

// Lag is how many entries each member lacks as the leader knows it; empty where this replica does
// not lead.
func (r *Replica) Lag() map[uint64]uint64 {
	lag := map[uint64]uint64{}
	if !r.isLeader {
		return lag
	}
	last, _ := r.storage.LastIndex() // of a memory storage, which does not fail
	for id, progress := range r.node.Status().Progress {
		lag[id] = last - min(progress.Match, last)
	}
	return lag
}
