// Package sim is virtual time for cores: events in the order of their times, chance from one seed, no clock and no
// goroutine. The same seed and the same calls give the same events, byte for byte.
package clock

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// World is a run. The zero value is not ready; use New.
type Scheduler struct {
	Rand *rand.Rand

	now    float64
	seq    uint64
	events events
}

type event struct {
	at   float64
	seq  uint64 // events of one time come in the order in which they were set
	then func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n] = event{}
	*e = (*e)[:n]
	return x
}

// New makes a world whose clock stands at a time, in seconds. Streams of chance with other numbers are independent.
func New(seed, stream uint64, at float64) *Scheduler {
	return &Scheduler{Rand: rand.New(rand.NewPCG(seed, stream)), now: at}
}

// Now is the clock, s.
func (w *Scheduler) Now() float64 { return w.now }

// At does something at a time; one that has passed counts as now.
func (w *Scheduler) At(at float64, then func()) {
	if math.IsNaN(at) {
		at = w.now
	}
	w.seq++
	heap.Push(&w.events, event{max(at, w.now), w.seq, then})
}

// After does something so many seconds from now.
func (w *Scheduler) After(s float64, then func()) { w.At(w.now+s, then) }

// Run plays until a time, which the clock then shows; it tells how many events there were.
func (w *Scheduler) RunUntil(until float64) (n int) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.then()
		n++
	}
	w.now = max(w.now, until)
	return n
}
