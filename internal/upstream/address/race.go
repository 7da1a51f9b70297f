package address

import "math"

// Race is the state of connecting to one endpoint over several addresses (RFC 8305, section 5). Dials start one after
// another, each after a delay or as soon as the previous one has failed. The first connection to succeed is used, and
// all others are closed. Race does no I/O: the caller dials and reports the result of each dial.
type Race struct {
	plan     []PlannedDial
	states   []dialState
	deadline float64 // monotonic seconds; later dial results are not used
	lastDial float64 // monotonic seconds; start of the latest dial
	outcome  raceOutcome
}

// raceOutcome is the outcome of a race. Won and stopped are final: the connection of a dial that succeeds later is
// closed, so that an attempt is never written on two connections.
type raceOutcome int

const (
	raceOpen    raceOutcome = iota // no dial has succeeded yet; after the deadline none can
	raceWon                        // the connection of one dial is used
	raceStopped                    // the caller no longer needs a connection; set only by tests
)

// decide sets the outcome of an open race, and reports whether the race was open.
func (r *Race) decide(outcome raceOutcome) bool {
	if r.outcome != raceOpen {
		return false
	}
	r.outcome = outcome
	return true
}

// dialState is the state of one dial of a race. The table lists all transitions; only Race.moveDial performs them:
//
//	from         to           when
//	waiting      in progress  its delay has passed, or the previous dials have failed (NextDial)
//	in progress  established  it succeeded, even if another dial was faster (Connected)
//	in progress  failed       it was refused or timed out (Failed)
type dialState int

const (
	dialWaiting dialState = iota
	dialInProgress
	dialFailed
	dialEstablished
	dialStateCount
)

// dialTransitions lists the allowed next states for each state.
var dialTransitions = [dialStateCount][dialStateCount]bool{
	dialWaiting:    {dialInProgress: true},
	dialInProgress: {dialFailed: true, dialEstablished: true},
}

// moveDial changes the state of a dial if the table allows the transition, and reports whether it did.
func (r *Race) moveDial(index int, to dialState) bool {
	if !dialTransitions[r.states[index]][to] {
		return false
	}
	r.states[index] = to
	return true
}

// NewRace returns a race over a dial plan, with a deadline in monotonic seconds.
func NewRace(plan []PlannedDial, deadline float64) *Race {
	return &Race{
		plan:     plan,
		states:   make([]dialState, len(plan)),
		deadline: deadline,
		lastDial: math.Inf(-1),
	}
}

// isOver reports whether no more dials may start.
func (r *Race) isOver(now float64) bool { return r.outcome != raceOpen || now >= r.deadline }

// NextDial returns the index of the dial to start now, or -1 if there is none. Admit is called for each additional
// concurrent dial; if it returns false, the dial waits until the others have failed.
func (r *Race) NextDial(now float64, admit func() bool) int {
	next := r.firstWaiting()
	if next < 0 || r.isOver(now) {
		return -1
	}
	if r.count(dialInProgress) > 0 {
		if now < r.lastDial+r.delayBefore(next) || !admit() {
			return -1
		}
	}
	r.moveDial(next, dialInProgress)
	r.lastDial = now
	return next
}

// firstWaiting returns the index of the first dial that has not started, or -1 if there is none.
func (r *Race) firstWaiting() int {
	for i, state := range r.states {
		if state == dialWaiting {
			return i
		}
	}
	return -1
}

// delayBefore returns the seconds between the start of the previous dial and the start of this one.
func (r *Race) delayBefore(index int) float64 {
	if index == 0 {
		return 0
	}
	return r.plan[index].DelaySeconds - r.plan[index-1].DelaySeconds
}

// count returns the number of dials in a state.
func (r *Race) count(wanted dialState) (n int) {
	for _, state := range r.states {
		if state == wanted {
			n++
		}
	}
	return n
}

// NextDeadline returns the time at which the next dial is due or the race expires, if no dial ends before.
func (r *Race) NextDeadline(now float64) float64 {
	next := r.firstWaiting()
	if next < 0 || r.count(dialInProgress) == 0 {
		return r.deadline
	}
	due := r.lastDial + r.delayBefore(next)
	if due <= now { // the dial waits for a descriptor
		return r.deadline
	}
	return min(r.deadline, due)
}

// Connected reports that a dial has succeeded, and returns whether its connection is the one to use. The caller must
// close any other connection.
func (r *Race) Connected(index int, now float64) (use bool) {
	return r.moveDial(index, dialEstablished) && !r.isOver(now) && r.decide(raceWon)
}

// Failed reports that a dial has failed. It has no effect on a dial that has already ended.
func (r *Race) Failed(index int) { r.moveDial(index, dialFailed) }

// Won reports whether the connection of a dial is used.
func (r *Race) Won() bool { return r.outcome == raceWon }

// Lost reports whether the race can no longer be won.
func (r *Race) Lost(now float64) bool {
	noneLeft := r.count(dialWaiting)+r.count(dialInProgress) == 0
	return !r.Won() && (r.isOver(now) || noneLeft)
}
