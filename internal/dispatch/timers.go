package dispatch

import (
	"container/heap"
	"time"

	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// timerTask is the action of a timer: one of the types below.
type timerTask interface{ run(d *Dispatcher) }

// The tasks that run at a given time.
type (
	// decisionTimer fires a timer that the Decider requested with routing.SetTimer, for a request or for none (nil).
	decisionTimer struct {
		token   uint64
		request *openRequest
	}
	// attemptDeadline cancels an attempt that has not ended by its deadline.
	attemptDeadline struct{ attempt *attempt }
	// probeTimeout ends a health probe that was not answered in time.
	probeTimeout struct{ probe *probe }
	// requestOverdue aborts a request that the Decider has not ended by its deadline.
	requestOverdue struct{ request *openRequest }
)

// The tasks that run directly after the current event.
type (
	// attemptFinished ends an attempt whose end no connection will report.
	attemptFinished struct {
		attempt *attempt
		end     request.AttemptEnd
	}
	// probeFinished ends a health probe that could not be sent.
	probeFinished struct {
		probe *probe
		end   request.AttemptEnd
	}
	// requestCancelledByClient handles a cancellation of a request by its client, which may have disconnected.
	requestCancelledByClient struct{ request *openRequest }
	// reportAbandoned passes ClientDisconnected for a request that the dispatcher abandoned (abandon), so that the
	// Decider drops its state of the request. The client may still be connected.
	reportAbandoned struct{ request *openRequest }
	// retryBudgetCheck passes changes of the retry budget to the Decider.
	retryBudgetCheck struct{}
)

func (t decisionTimer) run(d *Dispatcher) { d.decide(routing.TimerFired{Token: t.token}, t.request) }

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

func (t requestCancelledByClient) run(d *Dispatcher) { d.handleCancelledByClient(t.request) }

func (t reportAbandoned) run(d *Dispatcher) {
	d.decide(routing.ClientDisconnected{Request: t.request.id()}, t.request)
}

func (retryBudgetCheck) run(d *Dispatcher) { d.reportRetryBudget() }

// timer is a task with the time at which it is due.
type timer struct {
	due      float64 // monotonic seconds; dueAfterEvent for a task that runs directly after the current event
	sequence int     // position in the order in which timers were added; orders timers with the same due time
	task     timerTask
	index    int // index in timerQueue.timers, notPending once the timer has fired or was removed
}

const (
	// dueAfterEvent is the due time of tasks that run directly after the current event. It is before every other due
	// time.
	dueAfterEvent = 0
	// notPending is the index of a timer that is not in the queue.
	notPending = -1
)

// schedule adds a task that runs at the due time, in monotonic seconds. A timer whose task belongs to a request or an
// attempt is removed when that ends (cancelTimer).
func (d *Dispatcher) schedule(due float64, task timerTask) *timer { return d.timers.add(due, task) }

// cancelTimer removes a timer, which may be nil or have fired.
//
// It guards against requests and attempts that have ended and stay in memory because of their timers: these are due at
// a deadline that the client chooses, so that clients with long timeouts would make the process grow until the system
// ends it.
func (d *Dispatcher) cancelTimer(t *timer) {
	if t != nil {
		d.timers.remove(t)
	}
}

// runAfterEvent adds a task that runs after the current event, before all timers that are due.
func (d *Dispatcher) runAfterEvent(task timerTask) { d.timers.add(dueAfterEvent, task) }

// waitUntil returns the time from now until due, both in monotonic seconds, or 0 if due has passed.
func waitUntil(due, now float64) time.Duration {
	return time.Duration(max(due-now, 0) * float64(time.Second))
}

// runDueTimers runs all tasks that are due, including those that the tasks themselves add.
func (d *Dispatcher) runDueTimers() {
	d.advanceClock()
	for {
		due, ok := d.timers.next()
		if !ok || due > d.now {
			return
		}
		t := heap.Pop(&d.timers).(*timer) //nolint:forcetypeassert // Pop returns what add has pushed
		if t.due > dueAfterEvent {
			d.Metrics.SetMax(telemetry.MaxTimerDelay, d.now-t.due)
		}
		t.task.run(d)
	}
}

// timerQueue is a min-heap of timers ordered by due time, then by insertion order.
type timerQueue struct {
	timers       []*timer
	lastSequence int
}

// add inserts a task that is due at the given time.
func (q *timerQueue) add(due float64, task timerTask) *timer {
	q.lastSequence++
	t := &timer{due: due, sequence: q.lastSequence, task: task}
	heap.Push(q, t)
	return t
}

// remove removes a timer. It has no effect on a timer that is not in the queue.
func (q *timerQueue) remove(t *timer) {
	if t.index != notPending {
		heap.Remove(q, t.index)
	}
}

// next returns the due time of the first timer; ok is false if there is no timer.
func (q *timerQueue) next() (due float64, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].due, true
}

// Len implements heap.Interface.
func (q *timerQueue) Len() int { return len(q.timers) }

// Less implements heap.Interface.
func (q *timerQueue) Less(i, j int) bool {
	a, b := q.timers[i], q.timers[j]
	return a.due < b.due || a.due == b.due && a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *timerQueue) Swap(i, j int) {
	q.timers[i], q.timers[j] = q.timers[j], q.timers[i]
	q.timers[i].index, q.timers[j].index = i, j
}

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	t := x.(*timer) //nolint:forcetypeassert // only add calls it
	t.index = len(q.timers)
	q.timers = append(q.timers, t)
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(q.timers) - 1
	t := q.timers[last]
	t.index = notPending
	q.timers[last] = nil // releases the references of its task
	q.timers = q.timers[:last]
	return t
}
