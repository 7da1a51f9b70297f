// Package clock is the virtual time of simulations: it runs scheduled functions in the order of their times.
//
// It uses no real clock and no goroutines, and all randomness comes from one seed, so the same seed and the same calls
// give the same run, byte for byte.
package clock

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// Scheduler runs the events of a simulation. Use New: the zero value has no randomness.
type Scheduler struct {
	Rand *rand.Rand

	now       float64 // seconds
	scheduled uint64  // events so far
	queue     eventQueue
}

// New returns a scheduler whose clock shows a time in seconds. Streams of the same seed with different numbers are
// independent.
func New(seed, stream uint64, now float64) *Scheduler {
	return &Scheduler{Rand: rand.New(rand.NewPCG(seed, stream)), now: now}
}

// Now is the clock in seconds.
func (s *Scheduler) Now() float64 { return s.now }

// At schedules a function for a time in seconds. A time that has passed, or that is no number, counts as now.
func (s *Scheduler) At(time float64, run func()) {
	if math.IsNaN(time) {
		time = s.now
	}
	s.scheduled++
	heap.Push(&s.queue, event{
		time:     max(time, s.now),
		sequence: s.scheduled,
		run:      run,
	})
}

// After schedules a function for so many seconds from now.
func (s *Scheduler) After(seconds float64, run func()) { s.At(s.now+seconds, run) }

// RunUntil runs all events up to a time, which the clock shows afterwards, and returns their number.
func (s *Scheduler) RunUntil(end float64) (events int) {
	for len(s.queue) > 0 && s.queue[0].time <= end {
		next := heap.Pop(&s.queue).(event) //nolint:forcetypeassert // the queue holds events alone
		s.now = next.time
		next.run()
		events++
	}
	s.now = max(s.now, end)
	return events
}

type event struct {
	time     float64
	sequence uint64 // events of the same time run in the order in which they were scheduled
	run      func()
}

// eventQueue is a heap.Interface with the next event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].time != q[j].time {
		return q[i].time < q[j].time
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(item any) {
	*q = append(*q, item.(event)) //nolint:forcetypeassert // At pushes events alone
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = event{} // so that the function can be collected
	*q = (*q)[:last]
	return item
}
