package address

import "math"

// Race is the making of one connection over several addresses (RFC 8305, section 5): attempts begin one after another,
// each some time after the one before it or as soon as that has failed; the first that succeeds is used and every other
// is closed. It holds nothing but the attempts' states: whoever dials tells how each ended.
type Race struct {
	tries []PlannedDial
	state []attempt
	began float64
	by    float64 // after which none succeeds any more
	last  float64 // when the latest attempt began
	used  bool
	over  bool
}

type attempt int

const (
	waiting attempt = iota
	underWay
	failed
	won
)

// NewRace makes one over a plan, to be won by a time.
func NewRace(now float64, plan []PlannedDial, by float64) *Race {
	return &Race{tries: plan, state: make([]attempt, len(plan)), began: now, by: by, last: math.Inf(-1)}
}

// Due says which attempt begins now, -1 for none. Grant is asked for each but the only one under way: where it says no,
// the attempt waits until the others have failed.
func (r *Race) NextDial(now float64, grant func() bool) int {
	if r.used || r.over || now >= r.by {
		return -1
	}
	for i, s := range r.state {
		if s != waiting {
			continue
		}
		alone := r.count(underWay) == 0
		if !alone && now < r.last+r.gap(i) {
			return -1
		}
		if !alone && !grant() {
			return -1
		}
		r.state[i], r.last = underWay, now
		return i
	}
	return -1
}

// gap is the delay between an attempt and the one before it.
func (r *Race) gap(i int) float64 {
	if i == 0 {
		return 0
	}
	return r.tries[i].DelaySeconds - r.tries[i-1].DelaySeconds
}

func (r *Race) count(s attempt) (n int) {
	for _, x := range r.state {
		if x == s {
			n++
		}
	}
	return n
}

// Next is when the next attempt is due, or the race is over, if nothing happens before.
func (r *Race) NextDeadline(now float64) float64 {
	at := r.by
	for i, s := range r.state {
		if s == waiting && r.count(underWay) > 0 {
			if due := r.last + r.gap(i); due > now {
				at = min(at, due)
			}
			break
		}
	}
	return at
}

// Up says that an attempt has succeeded; use says whether its connection is the one. Any other has to be closed.
func (r *Race) Connected(i int, now float64) (use bool) {
	if r.state[i] != underWay {
		return false
	}
	if r.state[i] = won; r.used || r.over || now >= r.by {
		return false
	}
	r.used = true
	return true
}

// Down says that an attempt has failed.
func (r *Race) Failed(i int) {
	if r.state[i] == underWay {
		r.state[i] = failed
	}
}

// Stop ends the race: nobody wants the connection any more. A success that comes later is not used.
func (r *Race) Stop() { r.over = true }

// Lost says whether the race can't be won any more.
func (r *Race) Lost(now float64) bool {
	return !r.used && (r.over || now >= r.by || r.count(waiting)+r.count(underWay) == 0)
}
