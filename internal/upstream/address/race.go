package address

import "math"

// Race is the establishing of one connection over several addresses (RFC 8305, section 5). Dials begin one after
// another, each some time after the one before it or as soon as that has failed. The first that succeeds is used, and
// every other one is closed. It holds the dials' states only: its user dials and tells how each dial ended.
type Race struct {
	plan     []PlannedDial
	states   []dialState
	deadline float64 // monotonic seconds; no dial succeeds after it
	lastDial float64 // monotonic seconds at which the latest dial began
	outcome  raceOutcome
}

// raceOutcome says whether a race was decided. Neither Won nor Stopped ever changes: a dial that succeeds after that
// has its connection closed, so that an attempt is never written on two of them.
type raceOutcome int

const (
	raceOpen    raceOutcome = iota // no dial has succeeded yet; past the deadline none is to any more
	raceWon                        // the connection of one dial is used
	raceStopped                    // its user needs no connection any more
)

// decide sets the outcome of a race that is open, and says whether it was.
func (r *Race) decide(outcome raceOutcome) bool {
	if r.outcome != raceOpen {
		return false
	}
	r.outcome = outcome
	return true
}

// dialState is the state of one dial of a race. These are all transitions; Race.moveDial makes them and no other:
//
//	from       to           when
//	waiting    under way    its delay has passed, or the dials before it have failed (NextDial)
//	under way  established  it has succeeded, also where another one was faster (Connected)
//	under way  failed       it was refused or took too long (Failed)
type dialState int

const (
	dialWaiting dialState = iota
	dialUnderWay
	dialFailed
	dialEstablished
	dialStateCount
)

// dialTransitions has, by its state, the states that a dial may take next.
var dialTransitions = [dialStateCount][dialStateCount]bool{
	dialWaiting:  {dialUnderWay: true},
	dialUnderWay: {dialFailed: true, dialEstablished: true},
}

// moveDial takes a dial to another state where the table has the transition, and says whether it did.
func (r *Race) moveDial(index int, to dialState) bool {
	if !dialTransitions[r.states[index]][to] {
		return false
	}
	r.states[index] = to
	return true
}

// NewRace returns a race over a plan, to be won by a deadline in monotonic seconds.
func NewRace(plan []PlannedDial, deadline float64) *Race {
	return &Race{
		plan:     plan,
		states:   make([]dialState, len(plan)),
		deadline: deadline,
		lastDial: math.Inf(-1),
	}
}

// isOver says whether no more dials begin.
func (r *Race) isOver(now float64) bool { return r.outcome != raceOpen || now >= r.deadline }

// NextDial returns the index of the dial that begins now, -1 for none. Admit is asked for each dial beside another
// one: where it returns false, the dial waits until the others have failed.
func (r *Race) NextDial(now float64, admit func() bool) int {
	next := r.firstWaiting()
	if next < 0 || r.isOver(now) {
		return -1
	}
	if r.count(dialUnderWay) > 0 {
		if now < r.lastDial+r.delayBefore(next) || !admit() {
			return -1
		}
	}
	r.moveDial(next, dialUnderWay)
	r.lastDial = now
	return next
}

// firstWaiting returns the index of the first dial that has not begun, -1 for none.
func (r *Race) firstWaiting() int {
	for i, state := range r.states {
		if state == dialWaiting {
			return i
		}
	}
	return -1
}

// delayBefore returns the seconds between a dial and the one before it.
func (r *Race) delayBefore(index int) float64 {
	if index == 0 {
		return 0
	}
	return r.plan[index].DelaySeconds - r.plan[index-1].DelaySeconds
}

// count returns how many dials are in a state.
func (r *Race) count(wanted dialState) (n int) {
	for _, state := range r.states {
		if state == wanted {
			n++
		}
	}
	return n
}

// NextDeadline returns when the next dial is due, or the race is over, if nothing happens before.
func (r *Race) NextDeadline(now float64) float64 {
	next := r.firstWaiting()
	if next < 0 || r.count(dialUnderWay) == 0 {
		return r.deadline
	}
	due := r.lastDial + r.delayBefore(next)
	if due <= now { // it waits for a descriptor
		return r.deadline
	}
	return min(r.deadline, due)
}

// Connected says that a dial has succeeded, and returns whether its connection is the one to use. Any other one has
// to be closed.
func (r *Race) Connected(index int, now float64) (use bool) {
	return r.moveDial(index, dialEstablished) && !r.isOver(now) && r.decide(raceWon)
}

// Failed says that a dial has failed. It changes nothing for one that has ended already.
func (r *Race) Failed(index int) { r.moveDial(index, dialFailed) }

// Won says whether the connection of a dial is used.
func (r *Race) Won() bool { return r.outcome == raceWon }

// Lost says whether the race cannot be won any more.
func (r *Race) Lost(now float64) bool {
	noneLeft := r.count(dialWaiting)+r.count(dialUnderWay) == 0
	return !r.Won() && (r.isOver(now) || noneLeft)
}
