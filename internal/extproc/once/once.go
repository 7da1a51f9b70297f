// Package once remembers txns by the id that their caller gave them, so that one which is asked for again is not decided
// again: while the first is open a resend gets the same decision, after its end the recorded verdict. It does no I/O and
// has no clock. It is groundwork for the external processor, whose callers resend what they lost track of.
//
// Memory is bounded: what has ended is kept in generations by time and goes a generation at a time, and where there is no
// room the oldest goes before its time, which is counted. What is open is never forgotten; where there is no room for
// another open one, it is refused.
package once

import "math"

const generations = 8 // of a window: what has ended is kept for the window and an eighth more at the most

// EntryBytes is about what a remembered txn takes beside its id, decision and verdict: its place in a map.
const EntryBytes = 64

// Terms of a memory.
type Terms struct {
	Window float64 // s for which an ended txn is remembered
	Open   int     // txns that may be open
	Ended  int     // ended ones remembered
}

// Word says what an id is.
type Word int

// A fresh id is to be decided. An open one has a decision, an ended one a verdict. Full says that there is no room.
const (
	Fresh Word = iota
	Open
	Ended
	Full
)

func (w Word) String() string { return [...]string{"fresh", "open", "ended", "full"}[w] }

// entry is a txn that is open.
type entry[D any] struct {
	decision D
	resends  int
}

// Memory remembers decisions of one kind, and verdicts of another. It is not safe for more than one goroutine.
type Memory[D, V any] struct {
	terms Terms
	now   float64
	open  map[string]*entry[D]
	ended [generations]map[string]V
	at    int64 // the generation that is being filled
	count int   // ended ones in all

	// Forgotten counts those that went before their window was over, Resent those that were asked for again.
	Forgotten, Resent int64
}

// New makes an empty memory.
func New[D, V any](t Terms) *Memory[D, V] {
	t.Window = max(t.Window, 0.001)
	return &Memory[D, V]{terms: t, open: map[string]*entry[D]{}}
}

func (m *Memory[D, V]) generation() int64 {
	return int64(math.Floor(m.now / m.terms.Window * (generations - 1)))
}

// tick moves the clock on and lets old generations go. A clock that jumps back is not followed.
func (m *Memory[D, V]) tick(now float64) {
	m.now = max(m.now, now)
	g := m.generation()
	if m.at == 0 {
		m.at = g
	}
	for n := min(g-m.at, generations); n > 0; n-- {
		m.drop(g - n + 1)
	}
	m.at = max(m.at, g)
}

// drop empties a generation's place and says how many went.
func (m *Memory[D, V]) drop(g int64) int {
	i := slot(g)
	n := len(m.ended[i])
	m.count -= n
	m.ended[i] = nil
	return n
}

func slot(g int64) int64 { return (g%generations + generations) % generations }

// Ask says what an id is. A fresh one is open from now on, with no decision yet: Decide has to follow, or End.
func (m *Memory[D, V]) Ask(now float64, id string) (w Word, decision D, verdict V) {
	m.tick(now)
	if e := m.open[id]; e != nil {
		e.resends++
		m.Resent++
		return Open, e.decision, verdict
	}
	for back := range int64(generations) { // the newest first: an id may have been used anew
		if v, ok := m.ended[slot(m.at-back)][id]; ok {
			m.Resent++
			return Ended, decision, v
		}
	}
	if len(m.open) >= m.terms.Open {
		return Full, decision, verdict
	}
	m.open[id] = &entry[D]{}
	return Fresh, decision, verdict
}

// Decide notes the decision for an open txn: resends get it.
func (m *Memory[D, V]) Decide(id string, d D) {
	if e := m.open[id]; e != nil {
		e.decision = d
	}
}

// End notes the verdict on an open txn. Of one that is not open nothing is noted: it has a verdict, and keeps it.
func (m *Memory[D, V]) End(now float64, id string, v V) bool {
	m.tick(now)
	if m.open[id] == nil {
		return false
	}
	delete(m.open, id)
	if m.terms.Ended <= 0 {
		m.Forgotten++
		return true
	}
	for g := m.at - generations + 1; m.count >= m.terms.Ended && g <= m.at; g++ {
		m.Forgotten += int64(m.drop(g))
	}
	i := slot(m.at)
	if m.ended[i] == nil {
		m.ended[i] = map[string]V{}
	}
	m.ended[i][id] = v
	m.count++
	return true
}

// Sizes are how many txns are open and how many ended ones are remembered.
func (m *Memory[D, V]) Sizes() (open, ended int) { return len(m.open), m.count }
