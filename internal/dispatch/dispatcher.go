// Package dispatch runs the event loop that owns the routing state.
//
// One goroutine, the one in Dispatcher.Run, brings events to the routing decisions in order, with a clock that never
// goes back, and carries out the actions that they return. It starts and cancels attempts, answers requests, sets
// timers and sends health probes. The loop owns the open requests, their attempts, the probes and the timers. The
// methods of the upstream pool belong to it too.
//
// The package decides nothing itself and does no I/O: the loop never waits for a socket or a disk. What it adds to the
// decisions is protection against them. A panic in a decision aborts the request that it was about, and a request that
// the decisions fail to end is aborted shortly after its deadline.
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
	// queueCapacity is how many events may wait for the loop. A request that finds no room is rejected at once.
	queueCapacity = 4096
	// closeIdleInterval is the time between sweeps of the pool for idle connections.
	closeIdleInterval = time.Second
	// watchInterval is the time between checks for silent attempts and for the retry budget's windows.
	watchInterval = 20 * time.Millisecond
)

// Dispatcher brings events to the routing decisions and carries out their actions. It has to be made by New. The
// exported fields are set before Run and belong to Run's goroutine from then on.
type Dispatcher struct {
	Decider     routing.Decider
	Settings    routing.Settings
	Pool        *upstream.Pool
	Metrics     *telemetry.Metrics
	Clock       func() float64      // monotonic seconds, see clock.Instant
	Wall        *clock.Wall         // translates the Unix times of discovery events
	RetryBudget *retrybudget.Budget // nil for no budget

	// OnAttemptEnd is called for each attempt that ended, if not nil, on the loop's goroutine. It must not block.
	OnAttemptEnd func(AttemptReport)

	queue   chan event
	stopped chan struct{} // closed when Run returns

	mu               sync.Mutex
	cancelled        []*request.Request // not yet handled; a request is cancelled at most once, which bounds the list
	cancelledPending chan struct{}      // holds a value while cancelled may be non-empty

	ending    bool    // every open request was aborted, and none is taken in
	now       float64 // time of the event in hand, monotonic seconds
	requests  map[routing.RequestID]*openRequest
	endpoints map[routing.EndpointID]listedEndpoint // that are not removed
	timers    timerQueue
}

// New returns a dispatcher that is not running.
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
		Wall:             clock.NewWall(clock.System),
		queue:            make(chan event, queueCapacity),
		stopped:          make(chan struct{}),
		cancelledPending: make(chan struct{}, 1),
		requests:         map[routing.RequestID]*openRequest{},
		endpoints:        map[routing.EndpointID]listedEndpoint{},
	}
}

// Run handles events and timers until the context ends. It may be called once.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.stopped)
	nextTimer := time.NewTimer(0)
	defer nextTimer.Stop()
	closeIdle := time.NewTicker(closeIdleInterval)
	defer closeIdle.Stop()
	var watch <-chan time.Time
	if d.Pool.AddressSelector != nil || d.RetryBudget != nil {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		watch = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.cancelledPending: // handled below, as before each other event
		case ev := <-d.queue:
			d.handleCancelled()
			d.recovering(func() { d.handle(ev) })
		case <-nextTimer.C:
		case <-closeIdle.C:
			d.recovering(d.sweep)
		case <-watch:
			d.recovering(d.watch)
		}
		d.handleCancelled()
		d.recovering(d.runDueTimers)
		if due, ok := d.timers.next(); ok {
			nextTimer.Reset(waitUntil(due, d.Clock()))
		}
	}
}

// sweep closes idle connections and notices steps of the wall clock.
func (d *Dispatcher) sweep() {
	d.Pool.CloseIdle(clock.Now())
	if d.Wall.Observe() {
		d.Metrics.Log.Warn("wall clock stepped")
	}
}

// watch finds silent attempts and advances the windows of the retry budget.
func (d *Dispatcher) watch() {
	d.advanceClock()
	d.reportStalled(d.Pool.CheckAddresses(clock.Now()))
	if d.RetryBudget != nil {
		d.RetryBudget.Advance(d.now)
		d.reportRetryBudget()
	}
}

// advanceClock sets the time of the event in hand. It never goes back.
func (d *Dispatcher) advanceClock() { d.now = max(d.now, d.Clock()) }

// recovering calls step and keeps the loop going if it panics. The request that the panic was about is aborted once it
// is overdue.
func (d *Dispatcher) recovering(step func()) {
	defer func() {
		if p := recover(); p != nil {
			d.Metrics.RecordPanic(telemetry.ComponentDispatch, p)
		}
	}()
	step()
}
