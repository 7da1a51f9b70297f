// Package clock provides virtual time for simulations: a scheduler that runs functions in the order of their times.
//
// It uses neither the real clock nor goroutines, and all random numbers derive from one seed. The same seed and the
// same calls therefore always give exactly the same run.
package clock

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// Scheduler runs the events of a simulation. Create it with New: the zero value has no random number generator.
type Scheduler struct {
	Rand *rand.Rand

	now       float64 // seconds
	scheduled uint64  // number of events scheduled so far
	queue     eventQueue
}

// New returns a scheduler whose clock starts at now, in seconds. Different streams of the same seed give independent
// random numbers.
func New(seed, stream uint64, now float64) *Scheduler {
	return &Scheduler{Rand: rand.New(rand.NewPCG(seed, stream)), now: now}
}

// Now returns the current virtual time in seconds.
func (s *Scheduler) Now() float64 { return s.now }

// At schedules a function to run at a time in seconds. A time in the past, or NaN, is replaced by the current time.
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

// After schedules a function to run the given number of seconds from now.
func (s *Scheduler) After(seconds float64, run func()) { s.At(s.now+seconds, run) }

// RunUntil runs all events up to and including the end time, sets the clock to it, and returns the number of events.
func (s *Scheduler) RunUntil(end float64) (events int) {
	for len(s.queue) > 0 && s.queue[0].time <= end {
		next := heap.Pop(&s.queue).(event) //nolint:forcetypeassert // the queue contains only events
		s.now = next.time
		next.run()
		events++
	}
	s.now = max(s.now, end)
	return events
}

type event struct {
	time     float64
	sequence uint64 // orders events that are scheduled for the same time
	run      func()
}

// eventQueue implements heap.Interface, with the earliest event first.
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
	*q = append(*q, item.(event)) //nolint:forcetypeassert // At pushes only events
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = event{} // allows the function to be garbage collected
	*q = (*q)[:last]
	return item
}
