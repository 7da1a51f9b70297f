package admission

import (
	"context"
	"time"
)

// Ready reports whether the process wants requests: SetReady was called, and StartDraining was not.
func (c *Controller) Ready() bool { return c.ready.Load() && !c.draining.Load() }

// SetReady says that the endpoints are known and the listener is up.
func (c *Controller) SetReady() { c.ready.Store(true) }

// StartDraining says that the process is about to end.
func (c *Controller) StartDraining() { c.draining.Store(true) }

// Draining reports whether the process is about to end.
func (c *Controller) Draining() bool { return c.draining.Load() }

// StartEnding says that the time of the drain is up: no request is admitted any more.
func (c *Controller) StartEnding() { c.ending.Store(true) }

// Ending reports whether the time of the drain is up.
func (c *Controller) Ending() bool { return c.ending.Load() }

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
