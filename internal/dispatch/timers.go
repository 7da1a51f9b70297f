package dispatch

import (
	"container/heap"
	"time"

	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// timerTask is what a timer does when it is due: one of the types below.
type timerTask interface{ run(d *Dispatcher) }

// The tasks of timers that wait for a point in time.
type (
	// decisionTimer is a timer that the decisions asked for.
	decisionTimer struct{ token uint64 }
	// attemptDeadline ends an attempt that takes too long.
	attemptDeadline struct{ attempt *attempt }
	// probeTimeout ends a health probe that takes too long.
	probeTimeout struct{ probe *probe }
	// requestOverdue aborts a request that the decisions failed to end.
	requestOverdue struct{ request *openRequest }
)

// The tasks that are run after the event in hand.
type (
	// attemptFinished ends an attempt that no connection will report the end of.
	attemptFinished struct {
		attempt *attempt
		end     request.AttemptEnd
	}
	// probeFinished ends a health probe that could not be sent.
	probeFinished struct {
		probe *probe
		end   request.AttemptEnd
	}
	// requestDisconnected handles that the client of a request does not wait any more.
	requestDisconnected struct{ request *openRequest }
	// reportAbandoned has the decisions forget a request that was abandoned.
	reportAbandoned struct{ request *openRequest }
	// retryBudgetCheck reports changes of the retry budget.
	retryBudgetCheck struct{}
)

func (t decisionTimer) run(d *Dispatcher) { d.decide(routing.TimerFired{Token: t.token}, nil) }

func (t attemptDeadline) run(d *Dispatcher) { d.cancelAttempt(t.attempt, routing.TimedOut) }

func (t probeTimeout) run(d *Dispatcher) {
	if !t.probe.ended {
		d.Pool.Cancel(t.probe.sent, routing.TimedOut)
		d.finishProbe(t.probe, request.AttemptEnd{Result: routing.TimedOut})
	}
}

func (t requestOverdue) run(d *Dispatcher) {
	if t.request.state == requestOpen {
		d.Metrics.Log.Error("request aborted after deadline", "request_id", t.request.request.ID)
		d.abandon(t.request, request.ReasonDeadlineExceeded)
	}
}

func (t attemptFinished) run(d *Dispatcher) { d.finishAttempt(t.attempt, t.end) }

func (t probeFinished) run(d *Dispatcher) { d.finishProbe(t.probe, t.end) }

func (t requestDisconnected) run(d *Dispatcher) { d.disconnect(t.request) }

func (t reportAbandoned) run(d *Dispatcher) {
	d.decide(routing.ClientDisconnected{Request: t.request.id()}, t.request)
}

func (retryBudgetCheck) run(d *Dispatcher) { d.reportRetryBudget() }

// timer is a task that is due at a time.
type timer struct {
	due      float64 // monotonic seconds; runNextDue for a task that is run after the event in hand
	sequence int     // number of the timer in the order in which they were set
	task     timerTask
}

// runNextDue is before the due time of every timer that waits for a point in time.
const runNextDue = 0

// schedule runs a task at a time, monotonic seconds.
func (d *Dispatcher) schedule(due float64, task timerTask) { d.timers.add(due, task) }

// runNext runs a task once the event in hand is done with, before all timers that are due.
func (d *Dispatcher) runNext(task timerTask) { d.timers.add(runNextDue, task) }

// waitUntil returns how long to wait for a time, both in monotonic seconds; 0 for one that has passed.
func waitUntil(due, now float64) time.Duration {
	return time.Duration(max(due-now, 0) * float64(time.Second))
}

// runDueTimers runs the tasks that are due, with those that they add.
func (d *Dispatcher) runDueTimers() {
	d.advanceClock()
	for {
		due, ok := d.timers.next()
		if !ok || due > d.now {
			return
		}
		t := heap.Pop(&d.timers).(timer) //nolint:forcetypeassert // Pop returns what add has set
		if t.due > runNextDue {
			d.Metrics.SetMax(telemetry.MaxTimerDelay, d.now-t.due)
		}
		t.task.run(d)
	}
}

// timerQueue is a heap of timers by due time, then by the order in which they were set.
type timerQueue struct {
	timers       []timer
	lastSequence int
}

// add sets a timer.
func (q *timerQueue) add(due float64, task timerTask) {
	q.lastSequence++
	heap.Push(q, timer{due: due, sequence: q.lastSequence, task: task})
}

// next returns when the first timer is due, false if there is none.
func (q *timerQueue) next() (due float64, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].due, true
}

// Len is part of heap.Interface.
func (q *timerQueue) Len() int { return len(q.timers) }

// Less is part of heap.Interface.
func (q *timerQueue) Less(i, j int) bool {
	a, b := &q.timers[i], &q.timers[j]
	return a.due < b.due || a.due == b.due && a.sequence < b.sequence
}

// Swap is part of heap.Interface.
func (q *timerQueue) Swap(i, j int) { q.timers[i], q.timers[j] = q.timers[j], q.timers[i] }

// Push is part of heap.Interface.
func (q *timerQueue) Push(t any) {
	q.timers = append(q.timers, t.(timer)) //nolint:forcetypeassert // add alone calls it
}

// Pop is part of heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(q.timers) - 1
	t := q.timers[last]
	q.timers[last] = timer{} // releases what its task refers to
	q.timers = q.timers[:last]
	return t
}
