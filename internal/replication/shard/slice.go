// Package slice is one holder's part of one slice of the ledger: a raft state machine (go.etcd.io/raft/v3) under the promises of
// package record. Like all cores it does no I/O: what has to be on the disk and what has to be sent comes out, and is carried out
// in that order. One machine has many slices; what they want written is written together, with one sync.
//
// A holder is named by its disk, not by its machine: a folder gets a number by chance when it is made (see package folder), and a
// machine that comes back with an emptied disk is another holder, which has no vote until it is taken in anew.
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

// Tuned values. A tick is TickS; elections take 10 to 20 of them.
const (
	TickSeconds      = 0.05    // s between ticks: a heartbeat each, an election after 0.5 to 1 s of silence
	electionTicks    = 10      // raft draws from one to two times as many
	beatTicks        = 2       // ticks between a leader's heartbeats
	mostInflight     = 64      // messages under way to a holder
	messageBytes     = 1 << 18 // of entries in a message
	openBytes        = 4 << 20 // of entries that are not agreed on yet; beyond it a proposal is refused: the claims wait, and are shed
	snapshotInterval = 4096    // commands between two snapshots
	keepEntries      = 512     // commands kept before a snapshot: one who is a little behind needs no snapshot
	catchUp          = 128     // commands that a newcomer may still lack when it gets its vote
)

// Errors of proposals. After either nothing was written.
var (
	ErrNotLeader = errors.New("another holder leads this slice")
	ErrBusy      = errors.New("too much of this slice is not agreed on yet")
)

// Saved is what of a slice is on the disk: where it was when it ended.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // nil for none
	Entries   []*pb.Entry
}

// Batch is what has to be on the disk before Messages are sent and Results are believed.
type Ready struct {
	Shard     int
	HardState *pb.HardState
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot
	MustSync  bool // it has to outlast a loss of power
	Messages  []*pb.Message

	ready raft.Ready
}

// Answer is what a command came to that was proposed here.
type Response struct {
	Requester     string
	RequestNumber uint64
	Result        statemachine.Result
}

// Slice is one holder's. It belongs to one goroutine.
type Replica struct {
	no    int
	id    uint64
	rn    *raft.RawNode
	log   *raft.MemoryStorage
	state *statemachine.State

	applied       uint64
	snapshotIndex uint64
	conf          *pb.ConfState
	reads         []read
	leads         bool
	lead          uint64
	term          uint64
	changes       int // of the holders, under way
	answers       []Response
	readNo        uint64
}

// read waits until the state is as new as it was when the read was asked.
type read struct {
	no    string
	index uint64 // 0 while it is not confirmed
	kind  statemachine.Kind
	key   string
	asker string
	ask   uint64
}

var silent = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// New makes a holder's part of a slice from what is saved; with voters and nothing saved it is one of the first.
func New(no int, id uint64, saved PersistentState, voters []uint64) (*Replica, error) {
	s := &Replica{no: no, id: id, log: raft.NewMemoryStorage(), state: statemachine.New(), conf: &pb.ConfState{}}
	first := saved.HardState == nil && saved.Snapshot == nil && len(saved.Entries) == 0
	if first && len(voters) > 0 {
		saved.Snapshot = InitialSnapshot(voters)
	}
	if saved.Snapshot != nil {
		if err := s.install(saved.Snapshot); err != nil {
			return nil, err
		}
	}
	if saved.HardState != nil {
		if err := s.log.SetHardState(saved.HardState); err != nil {
			return nil, fmt.Errorf("slice %d: its last vote: %w", no, err)
		}
	}
	if err := s.log.Append(saved.Entries); err != nil {
		return nil, fmt.Errorf("slice %d: its log: %w", no, err)
	}
	rn, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: beatTicks, Storage: s.log, Applied: s.applied,
		MaxSizePerMsg: messageBytes, MaxInflightMsgs: mostInflight, MaxUncommittedEntriesSize: openBytes, CheckQuorum: true, PreVote: true, Logger: silent})
	if err != nil {
		return nil, fmt.Errorf("slice %d: %w", no, err)
	}
	s.rn = rn
	return s, nil
}

// Birth is the snapshot with which a slice begins at its first holders: the same at each.
func InitialSnapshot(voters []uint64) *pb.Snapshot {
	ids := slices.Sorted(slices.Values(voters))
	data, err := statemachine.New().Snapshot()
	if err != nil {
		panic(err) // of an empty state
	}
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: ids}}}
}

// install takes a snapshot as the state.
func (s *Replica) install(snap *pb.Snapshot) error {
	state, err := statemachine.Restore(snap.GetData())
	if err != nil {
		return fmt.Errorf("slice %d: its snapshot: %w", s.no, err)
	}
	if err := s.log.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return fmt.Errorf("slice %d: its snapshot: %w", s.no, err)
	}
	s.state, s.applied, s.snapshotIndex = state, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	s.conf = snap.GetMetadata().GetConfState()
	return nil
}

// No is the slice's number.
func (s *Replica) Shard() int { return s.no }

// Tick lets time pass: TickS.
func (s *Replica) Tick() { s.rn.Tick() }

// Step takes a message of another holder. One that makes no sense is dropped, as raft does.
func (s *Replica) Step(m *pb.Message) { _ = s.rn.Step(m) }

// Unreachable says that a holder could not be sent to.
func (s *Replica) ReportUnreachable(id uint64) { s.rn.ReportUnreachable(id) }

// Sent says how the sending of a snapshot ended.
func (s *Replica) ReportSnapshot(id uint64, ok bool) {
	how := raft.SnapshotFinish
	if !ok {
		how = raft.SnapshotFailure
	}
	s.rn.ReportSnapshot(id, how)
}

// Leads says whether this holder leads, and who does as far as it knows (0: nobody).
func (s *Replica) Leadership() (bool, uint64) { return s.leads, s.lead }

// Propose puts a command to the slice. Its answer comes by its asker and number, once most of the holders have it on their disks.
func (s *Replica) Propose(c statemachine.Command) error {
	if !s.leads {
		return ErrNotLeader
	}
	text, err := c.Encode()
	if err != nil {
		return err
	}
	switch err := s.rn.Propose(text); {
	case errors.Is(err, raft.ErrProposalDropped):
		return ErrBusy
	case err != nil:
		return fmt.Errorf("slice %d: %w", s.no, err)
	}
	return nil
}

// Read asks for a promise as it stands now: the answer comes once most holders have confirmed that this one still leads, so that one
// who was stopped and wakes up believing that it does answers nothing old.
func (s *Replica) Read(kind statemachine.Kind, key, asker string, ask uint64) error {
	if !s.leads {
		return ErrNotLeader
	}
	s.readNo++
	no := fmt.Sprintf("%d/%d", s.id, s.readNo)
	s.reads = append(s.reads, read{no: no, kind: kind, key: key, asker: asker, ask: ask})
	s.rn.ReadIndex([]byte(no))
	return nil
}

// Holders are who has a vote, and who is still catching up.
func (s *Replica) Members() (voters, learners []uint64) {
	return slices.Clone(s.conf.GetVoters()), slices.Clone(s.conf.GetLearners())
}

// Change brings a holder in, without a vote first, or takes one out. One change at a time.
func (s *Replica) ProposeConfChange(add, remove uint64) error {
	if !s.leads {
		return ErrNotLeader
	}
	if s.changes > 0 {
		return ErrBusy
	}
	one := &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(remove)}
	if add != 0 {
		kind := pb.ConfChangeType_ConfChangeAddLearnerNode
		if slices.Contains(s.conf.GetLearners(), add) {
			if !s.caughtUp(add) {
				return ErrBusy
			}
			kind = pb.ConfChangeType_ConfChangeAddNode
		}
		one = &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(add)}
	}
	if err := s.rn.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{one}}); err != nil {
		return fmt.Errorf("slice %d: %w", s.no, err)
	}
	s.changes++
	return nil
}

// caughtUp says whether a learner has nearly all that the leader has.
func (s *Replica) caughtUp(id uint64) bool {
	p, ok := s.rn.Status().Progress[id]
	return ok && p.Match+catchUp >= s.applied && p.Match > 0
}

// Lag is how many commands each holder lacks, as the leader knows.
func (s *Replica) Lag() map[uint64]uint64 {
	out := map[uint64]uint64{}
	if s.leads {
		st := s.rn.Status()
		last, _ := s.log.LastIndex()
		for id, p := range st.Progress {
			out[id] = last - min(p.Match, last)
		}
	}
	return out
}

// State is the promises as this holder has them; only a read is sure that they are the newest.
func (s *Replica) State() *statemachine.State { return s.state }

// Work gives what is to be written and sent, false for nothing. Done has to follow before the next Work.
func (s *Replica) Ready() (Ready, bool) {
	if !s.rn.HasReady() {
		return Ready{}, false
	}
	rd := s.rn.Ready()
	b := Ready{Shard: s.no, HardState: rd.HardState, Entries: rd.Entries, MustSync: rd.MustSync, Messages: rd.Messages, ready: rd}
	if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
		b.Snapshot, b.MustSync = rd.Snapshot, true
	}
	return b, true
}

// Done says that a batch is on the disk, and gives the answers that follow from it.
func (s *Replica) Advance(b Ready) ([]Response, error) {
	rd := b.ready
	if rd.SoftState != nil {
		s.lead, s.leads = rd.SoftState.Lead, rd.SoftState.RaftState == raft.StateLeader
		if !s.leads {
			s.reads, s.changes = nil, 0 // who asked asks again, another holder
		}
	}
	if b.Snapshot != nil {
		if err := s.install(b.Snapshot); err != nil {
			return nil, err
		}
	}
	if rd.HardState != nil {
		if err := s.log.SetHardState(rd.HardState); err != nil {
			return nil, fmt.Errorf("slice %d: %w", s.no, err)
		}
	}
	if err := s.log.Append(rd.Entries); err != nil {
		return nil, fmt.Errorf("slice %d: %w", s.no, err)
	}
	for _, e := range rd.CommittedEntries {
		if err := s.apply(e); err != nil {
			return nil, err
		}
	}
	for _, r := range rd.ReadStates {
		for i := range s.reads {
			if s.reads[i].no == string(r.RequestCtx) {
				s.reads[i].index = r.Index
			}
		}
	}
	s.rn.Advance(rd)
	s.answerReads()
	out := s.answers
	s.answers = nil
	return out, nil
}

func (s *Replica) apply(e *pb.Entry) error {
	s.applied = e.GetIndex()
	switch {
	case e.GetType() == pb.EntryType_EntryConfChangeV2:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return fmt.Errorf("slice %d: a change of its holders: %w", s.no, err)
		}
		s.conf = s.rn.ApplyConfChange(&cc)
		s.changes = max(s.changes-1, 0)
		// A newcomer takes only a snapshot that names it.
		data, err := s.state.Snapshot()
		if err == nil {
			_, err = s.log.CreateSnapshot(s.applied, s.conf, data)
		}
		if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("slice %d: a snapshot for a newcomer: %w", s.no, err)
		}
	case e.GetType() == pb.EntryType_EntryNormal && len(e.GetData()) == 0:
		s.changes = 0 // a leader's first; or a change that raft would not take, as one was under way
	case e.GetType() == pb.EntryType_EntryNormal:
		c, err := statemachine.Decode(e.GetData())
		if err != nil {
			return nil // of a later version: all of this version pass it over alike
		}
		r := s.state.Apply(e.GetIndex(), c)
		if s.leads {
			s.answers = append(s.answers, Response{c.Requester, c.RequestNumber, r})
		}
	}
	return nil
}

func (s *Replica) answerReads() {
	s.reads = slices.DeleteFunc(s.reads, func(r read) bool {
		if r.index == 0 || s.applied < r.index {
			return false
		}
		p, ok := s.state.Get(r.kind, r.key)
		s.answers = append(s.answers, Response{r.asker, r.ask, s.state.WithRemaining(statemachine.Result{Granted: ok, Reservation: p})})
		return true
	})
}

// Shorten makes a snapshot once enough commands have come since the last one, and drops what stands before it. Nil while not.
// The snapshot has to be on the disk before the log there is shortened.
func (s *Replica) Compact() (*pb.Snapshot, error) {
	if s.applied < s.snapshotIndex+snapshotInterval {
		return nil, nil
	}
	data, err := s.state.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("slice %d: %w", s.no, err)
	}
	snap, err := s.log.CreateSnapshot(s.applied, s.conf, data)
	if err != nil {
		return nil, fmt.Errorf("slice %d: %w", s.no, err)
	}
	s.snapshotIndex = s.applied
	if from := s.applied - min(s.applied, keepEntries); from > 1 {
		if err := s.log.Compact(from); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, fmt.Errorf("slice %d: %w", s.no, err)
		}
	}
	return snap, nil
}

// Campaign asks for the lead now: for the laboratory, and where a leader goes in good order.
func (s *Replica) Campaign() { _ = s.rn.Campaign() }

// Hand gives the lead to another holder.
func (s *Replica) TransferLeadership(to uint64) { s.rn.TransferLeader(to) }
