package admission

import (
	"context"
	"time"
)

// phase is where the process is between its start and its end. It only goes forward; Controller.enter makes all
// transitions:
//
//	from       to         when
//	starting   ready      the endpoints are known and the listener is up
//	starting   draining   a signal asks for the end before that
//	ready      draining   a signal asks for the end
//	draining   ending     the time of the drain is up
type phase int32

const (
	phaseStarting phase = iota // requests are served, and clients that ask get the answer that the process is not ready
	phaseReady                 // the process wants requests
	phaseDraining              // clients are notified to bring no new request; those that come are served
	phaseEnding                // requests are rejected
)

// enter takes the process to a phase. One that lies before the present phase is not entered again.
func (c *Controller) enter(next phase) {
	for {
		present := c.phase.Load()
		if phase(present) >= next || c.phase.CompareAndSwap(present, int32(next)) {
			return
		}
	}
}

// Ready reports whether the process wants requests: SetReady was called, and StartDraining was not.
func (c *Controller) Ready() bool { return phase(c.phase.Load()) == phaseReady }

// SetReady says that the endpoints are known and the listener is up.
func (c *Controller) SetReady() { c.enter(phaseReady) }

// StartDraining says that the process is about to end.
func (c *Controller) StartDraining() { c.enter(phaseDraining) }

// Draining reports whether the process is about to end.
func (c *Controller) Draining() bool { return phase(c.phase.Load()) >= phaseDraining }

// StartEnding says that the time of the drain is up: no request is admitted any more. It follows StartDraining.
func (c *Controller) StartEnding() { c.enter(phaseEnding) }

// Ending reports whether the time of the drain is up.
func (c *Controller) Ending() bool { return phase(c.phase.Load()) == phaseEnding }

// WaitDrained waits for at least minWait, and then until no request is open. It returns after maxWait at the latest, or
// with the context.
func (c *Controller) WaitDrained(ctx context.Context, minWait, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case <-ctx.Done():
		return
	case <-time.After(minWait):
	}
	drained := c.drainedSignal()
	if c.OpenRequests() == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-drained:
	}
}

// drainedSignal returns a channel that is closed once no request is open. One that was returned before and is not
// closed yet is never closed.
func (c *Controller) drainedSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = make(chan struct{})
	return c.drained
}

// signalDrained wakes who waits for the end of all requests.
func (c *Controller) signalDrained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}
