// Package dispatch runs the event loop that owns the routing state.
//
// Dispatcher.Run is a single goroutine that passes events to the routing module (the Decider) in order, with a
// monotonic clock, and carries out the actions that the Decider returns. It starts and cancels attempts, answers
// requests, sets timers and sends health probes. The loop owns the open requests, their attempts, the probes and the
// timers, and it is the only caller of the upstream pool's methods.
//
// The package makes no routing decisions and does no I/O: the loop never waits for a socket or a disk. It protects the
// process from faults in the Decider: a panic in the Decider aborts only the request that the event belongs to, and a
// request that the Decider does not end is aborted shortly after its deadline.
package dispatch

import (
	"context"
	"sync"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/internal/upstream/retrybudget"
	"cairnfront/routing"
)

const (
	// queueCapacity is the maximum number of queued events. A request that arrives when the queue is full is rejected.
	queueCapacity = 4096
	// closeIdleInterval is the time between two scans of the pool for idle connections to close, between two checks of
	// the wall clock, and between two updates of the gauge of pending timers.
	closeIdleInterval = time.Second
	// stallCheckInterval is the time between two checks for stalled attempts and for expired retry budget windows.
	stallCheckInterval = 20 * time.Millisecond
)

// Dispatcher passes events to the Decider and carries out the actions that it returns. Create it with New. The exported
// fields must be set before Run is called; after that only Run's goroutine may access them.
type Dispatcher struct {
	Decider     routing.Decider
	Settings    routing.Settings
	Pool        *upstream.Pool
	Metrics     *telemetry.Metrics
	Clock       func() float64      // monotonic seconds, see clock.Instant
	WallClock   *clock.WallClock    // translates the Unix times of discovery events
	RetryBudget *retrybudget.Budget // nil if retries are not limited by a budget

	// OnAttemptEnd, if not nil, is called on the loop's goroutine for each attempt that ended. It must not block.
	OnAttemptEnd func(AttemptReport)

	queue   chan event
	stopped chan struct{} // closed when Run returns

	mu               sync.Mutex
	cancelled        []*request.Request // cancellations to handle; bounded, as a request is cancelled at most once
	cancelledPending chan struct{}      // contains a value while cancelled may be non-empty

	shuttingDown bool    // set by abortAll: all open requests were aborted and new requests are rejected
	now          float64 // time of the event being handled, monotonic seconds
	requests     map[routing.RequestID]*openRequest
	endpoints    map[routing.EndpointID]listedEndpoint // entries of the endpoint list, without removed endpoints
	timers       timerQueue
}

// New returns a Dispatcher; call Run to start its event loop.
func New(
	decider routing.Decider,
	settings routing.Settings,
	pool *upstream.Pool,
	metrics *telemetry.Metrics,
) *Dispatcher {
	return &Dispatcher{
		Decider:          decider,
		Settings:         settings,
		Pool:             pool,
		Metrics:          metrics,
		Clock:            clock.NowSeconds,
		WallClock:        clock.NewWallClock(clock.System),
		queue:            make(chan event, queueCapacity),
		stopped:          make(chan struct{}),
		cancelledPending: make(chan struct{}, 1),
		requests:         map[routing.RequestID]*openRequest{},
		endpoints:        map[routing.EndpointID]listedEndpoint{},
	}
}

// Run handles events and timers until the context is done. It must be called at most once.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.stopped)
	nextTimer := time.NewTimer(0)
	defer nextTimer.Stop()
	closeIdle := time.NewTicker(closeIdleInterval)
	defer closeIdle.Stop()
	var checkStalls <-chan time.Time
	if d.Pool.AddressSelector != nil || d.RetryBudget != nil {
		ticker := time.NewTicker(stallCheckInterval)
		defer ticker.Stop()
		checkStalls = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.cancelledPending: // the cancellations are handled below the select
		case ev := <-d.queue:
			d.handleCancelled()
			d.recoverPanics(func() { d.handle(ev) })
		case <-nextTimer.C:
		case <-closeIdle.C:
			d.recoverPanics(d.closeIdleAndCheckClock)
			d.Metrics.SetGauge(telemetry.TimersPending, float64(d.timers.Len()))
		case <-checkStalls:
			d.recoverPanics(d.checkStalls)
		}
		d.handleCancelled()
		d.recoverPanics(d.runDueTimers)
		if due, ok := d.timers.next(); ok {
			nextTimer.Reset(waitUntil(due, d.Clock()))
		}
	}
}

// closeIdleAndCheckClock closes idle connections and checks whether the wall clock was stepped.
func (d *Dispatcher) closeIdleAndCheckClock() {
	d.Pool.CloseIdle(clock.Now())
	if d.WallClock.Observe() {
		d.Metrics.Log.Warn("wall clock stepped")
	}
}

// checkStalls reports stalled attempts and advances the windows of the retry budget.
func (d *Dispatcher) checkStalls() {
	d.advanceClock()
	d.reportStalled(d.Pool.CheckAddresses(clock.Now()))
	if d.RetryBudget != nil {
		d.RetryBudget.Advance(d.now)
		d.reportRetryBudget()
	}
}

// advanceClock updates the loop's current time, which never decreases.
func (d *Dispatcher) advanceClock() { d.now = max(d.now, d.Clock()) }

// recoverPanics calls step and recovers a panic in it, so that the loop continues. A request that is left open by the
// panic is aborted by its requestOverdue timer.
func (d *Dispatcher) recoverPanics(step func()) {
	defer func() {
		if p := recover(); p != nil {
			d.Metrics.RecordPanic(telemetry.ComponentDispatch, p)
		}
	}()
	step()
}
