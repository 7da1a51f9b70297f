// Package partition derives the partition state of a router from its membership view: whether the router is on the
// majority side of a network partition, on the minority side, alone, or among members with different views. It owns
// the state and its epoch. It performs no I/O, reads no clock, and is deterministic: the same calls at the same times
// produce the same states.
package partition

import "cairnfront/internal/membership/swim"

// Times in seconds.
const (
	improvementDelay  = 1.0 // time that a better state must last, so that an unstable partition does not cause flapping
	disagreementDelay = 4.0 // time that a view must differ; a change reaches all members in about 1.5 s
	reportExpiry      = 3.0 // age from which a member's last report on its view is stale
)

// View summarizes the membership view at a given time.
type View struct {
	Roster  int // number of members that should be present, including this one
	Present int // number of members that are present, including this one
	Stuck   int // number of present members whose event loop makes no progress
}

// disagreement records since when a member's view has differed, and when the member last reported it: 16 bytes per
// member.
type disagreement struct{ since, lastReport float64 }

// candidate is a better state that must last for improvementDelay before it takes effect.
type candidate struct {
	state State
	since float64
}

// Tracker tracks the partition state of one router. It is not safe for concurrent use.
type Tracker struct {
	maxByzantine  int
	state         State
	epoch         uint64
	since         float64
	candidate     *candidate                     // nil if no better state is pending
	disagreements map[swim.MemberID]disagreement // by member; bounded by the roster
}

// New returns a tracker in the state Alone and the epoch 1. maxByzantine is the maximum number of byzantine members.
func New(maxByzantine int, now float64) *Tracker {
	return &Tracker{
		maxByzantine:  maxByzantine,
		epoch:         1,
		since:         now,
		disagreements: map[swim.MemberID]disagreement{},
	}
}

// RecordViewComparison records whether the view of a present member differs from this router's.
func (t *Tracker) RecordViewComparison(now float64, member swim.MemberID, differs bool) {
	if !differs {
		delete(t.disagreements, member)
		return
	}
	d, known := t.disagreements[member]
	if !known || now-d.lastReport > reportExpiry {
		d.since = now
	}
	d.lastReport = now
	t.disagreements[member] = d
}

// Forget deletes what is recorded of a member's view, because the member is no longer present.
func (t *Tracker) Forget(member swim.MemberID) { delete(t.disagreements, member) }

// DissentingMembers counts the members whose view has differed for at least disagreementDelay.
func (t *Tracker) DissentingMembers(now float64) (n int) {
	for _, d := range t.disagreements {
		if now-d.lastReport <= reportExpiry && now-d.since >= disagreementDelay {
			n++
		}
	}
	return n
}

// Update evaluates a view and reports whether the state changed. A worse state takes effect immediately, a better one
// after it has lasted for improvementDelay.
func (t *Tracker) Update(now float64, v View) bool {
	state := t.classify(now, v)
	if state > t.state {
		t.updateCandidate(now, state)
		if now-t.candidate.since < improvementDelay {
			return false
		}
		state = t.candidate.state
	}
	t.candidate = nil
	if state == t.state {
		return false
	}
	t.state, t.since = state, now
	t.epoch++
	return true
}

// updateCandidate sets the candidate to the lowest of the better states seen since the candidate was set: all the time,
// the view has implied this state or a better one.
func (t *Tracker) updateCandidate(now float64, state State) {
	if t.candidate == nil {
		t.candidate = &candidate{state: state, since: now}
	}
	t.candidate.state = min(t.candidate.state, state)
}

// classify returns the state that a view implies. Byzantine members alone cannot cause the state Disagreeing.
func (t *Tracker) classify(now float64, v View) State {
	working := v.Present - v.Stuck
	switch {
	case v.Present <= 1 && v.Roster > 1:
		return Alone
	case 2*working <= v.Roster && v.Roster > 1:
		return Minority
	case t.DissentingMembers(now) > t.maxByzantine:
		return Disagreeing
	case v.Present < v.Roster || v.Stuck > 0:
		return Majority
	}
	return Complete
}

// NextDeadline returns when Update must be called again even if nothing was received, or 0 if there is no deadline.
func (t *Tracker) NextDeadline() float64 {
	if t.candidate == nil {
		return 0
	}
	return t.candidate.since + improvementDelay
}

// Current returns the state, its epoch (the number of state changes plus 1), and the time of the last change.
func (t *Tracker) Current() (state State, epoch uint64, since float64) {
	return t.state, t.epoch, t.since
}
