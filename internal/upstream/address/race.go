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
	won      bool
	stopped  bool
}

// dialState is the state of one dial of a race.
type dialState int

const (
	dialWaiting dialState = iota
	dialUnderWay
	dialFailed
	dialEstablished
)

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
func (r *Race) isOver(now float64) bool { return r.won || r.stopped || now >= r.deadline }

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
	r.states[next] = dialUnderWay
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
	if r.states[index] != dialUnderWay {
		return false
	}
	r.states[index] = dialEstablished
	if r.isOver(now) {
		return false
	}
	r.won = true
	return true
}

// Failed says that a dial has failed.
func (r *Race) Failed(index int) {
	if r.states[index] == dialUnderWay {
		r.states[index] = dialFailed
	}
}

// Lost says whether the race cannot be won any more.
func (r *Race) Lost(now float64) bool {
	noneLeft := r.count(dialWaiting)+r.count(dialUnderWay) == 0
	return !r.won && (r.stopped || now >= r.deadline || noneLeft)
}
