package admission

import (
	"context"
	"time"
)

// phase is the phase of the process between its start and its end. It only advances; Controller.enter makes all
// transitions:
//
//	from       to         when
//	starting   ready      the endpoints are known and the listener is open
//	starting   draining   a signal requests the shutdown before that
//	ready      draining   a signal requests the shutdown
//	draining   ending     the drain has timed out
type phase int32

const (
	phaseStarting phase = iota // requests are served, but readiness queries are answered with "not ready"
	phaseReady                 // requests are served, and readiness queries are answered with "ready"
	phaseDraining              // clients are asked to send no new requests; those that arrive are served
	phaseEnding                // requests are rejected
)

// enter advances the process to a phase. It does nothing if that phase is not later than the current one.
func (c *Controller) enter(next phase) {
	for {
		present := c.phase.Load()
		if phase(present) >= next || c.phase.CompareAndSwap(present, int32(next)) {
			return
		}
	}
}

// Ready reports whether readiness queries are answered with "ready": SetReady was called, and neither StartDraining nor
// StartEnding was. Requests are also served in phaseStarting and phaseDraining.
func (c *Controller) Ready() bool { return phase(c.phase.Load()) == phaseReady }

// SetReady records that the endpoints are known and the listener is open.
func (c *Controller) SetReady() { c.enter(phaseReady) }

// StartDraining records that the process is about to end.
func (c *Controller) StartDraining() { c.enter(phaseDraining) }

// Draining reports whether the process is about to end.
func (c *Controller) Draining() bool { return phase(c.phase.Load()) >= phaseDraining }

// StartEnding records that the drain has timed out: no further request is admitted. It must be called after
// StartDraining.
func (c *Controller) StartEnding() { c.enter(phaseEnding) }

// Ending reports whether the drain has timed out.
func (c *Controller) Ending() bool { return phase(c.phase.Load()) == phaseEnding }

// WaitDrained waits for at least minWait, and then until no request is open. It returns after maxWait at the latest, or
// when the context is done.
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

// drainedSignal returns a channel that is closed when no request is open. A channel from an earlier call that is not
// closed by now is never closed.
func (c *Controller) drainedSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = make(chan struct{})
	return c.drained
}

// signalDrained wakes up the waiter in WaitDrained, if any.
func (c *Controller) signalDrained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}
