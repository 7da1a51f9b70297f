// Package partition derives from the membership view whether a router is on the larger side of a network partition,
// on the smaller one, alone, or among members with other views. It owns the partition state and its epoch. It has
// no I/O and no clock: the same calls at the same times give the same states.
package partition

import "cairnfront/internal/membership/swim"

// Times in seconds.
const (
	improveAfter  = 1.0 // a better state has to last before it counts: a partition that heals and returns must not flap
	disagreeAfter = 4.0 // a member has to have another view: a change takes about 1.5 s to reach all
	reportExpiry  = 3.0 // after which a member's last report on its view is stale
)

// View is what the membership view shows at a given time.
type View struct {
	Roster  int // members that should be present, this one among them
	Present int // members that are, this one among them
	Stuck   int // of the present ones, those whose event loop makes no progress
}

// disagreement is since when a member has had another view, and when it last said so: 16 bytes a member.
type disagreement struct{ since, lastReport float64 }

// candidate is a better state that has to last before it counts.
type candidate struct {
	state State
	since float64
}

// Tracker is the partition state of one router. It belongs to one goroutine.
type Tracker struct {
	maxByzantine  int
	state         State
	epoch         uint64
	since         float64
	candidate     *candidate                     // nil while no better state waits
	disagreements map[swim.MemberID]disagreement // by member; bounded by the roster
}

// New begins in the state Alone and the epoch 1. At most maxByzantine members are taken to be byzantine.
func New(maxByzantine int, now float64) *Tracker {
	return &Tracker{
		maxByzantine:  maxByzantine,
		epoch:         1,
		since:         now,
		disagreements: map[swim.MemberID]disagreement{},
	}
}

// RecordViewComparison notes whether the view of a present member differs from ours.
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

// Forget drops what is known of a member's view, because the member is no longer present.
func (t *Tracker) Forget(member swim.MemberID) { delete(t.disagreements, member) }

// DissentingMembers counts the members that have had another view for disagreeAfter.
func (t *Tracker) DissentingMembers(now float64) (n int) {
	for _, d := range t.disagreements {
		if now-d.lastReport <= reportExpiry && now-d.since >= disagreeAfter {
			n++
		}
	}
	return n
}

// Update takes the view and reports whether the state changed. A worse state counts at once, a better one once it
// has lasted for improveAfter.
func (t *Tracker) Update(now float64, v View) bool {
	state := t.classify(now, v)
	if state > t.state {
		t.considerBetter(now, state)
		if now-t.candidate.since < improveAfter {
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

// considerBetter keeps the least of the better states seen since the first one: it has lasted throughout.
func (t *Tracker) considerBetter(now float64, state State) {
	if t.candidate == nil {
		t.candidate = &candidate{state: state, since: now}
	}
	t.candidate.state = min(t.candidate.state, state)
}

// classify is the state that a view shows. Byzantine members alone cannot make a router disagree with the cluster.
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

// NextDeadline is when Update is to be called again although nothing was received; 0 for never.
func (t *Tracker) NextDeadline() float64 {
	if t.candidate == nil {
		return 0
	}
	return t.candidate.since + improveAfter
}

// Current is the state, its epoch, which counts changes from 1, and since when it holds.
func (t *Tracker) Current() (state State, epoch uint64, since float64) {
	return t.state, t.epoch, t.since
}
