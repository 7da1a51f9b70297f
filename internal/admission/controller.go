// Package admission bounds what the process holds: the bytes of bodies, open requests, and the connections of clients
// and to endpoints. It also knows whether the process is ready or draining.
//
// The package owns the counts of these, derives their limits from the memory and the descriptors of the process, and
// answers whether one more fits. It closes no connection and sends no response: a caller that is refused does that.
package admission

import (
	"sync"
	"sync/atomic"

	"cairnfront/internal/request"
)

// Controller admits what fits the limits. Its methods may be called by any goroutine.
type Controller struct {
	// Bodies is the budget of all bodies.
	Bodies *request.BodyBudget

	limits limits

	openRequests  atomic.Int64
	clients       atomic.Int64
	endpointConns atomic.Int64
	phase         atomic.Int32 // a phase; changed by enter alone

	mu      sync.Mutex
	drained chan struct{} // closed once no request is open; nil while nobody waits for that
}

// New returns a controller for a process that may use memoryMB and so many descriptors.
func New(memoryMB, descriptors int) *Controller {
	derived := newLimits(memoryMB, descriptors)
	return &Controller{
		Bodies: request.NewBodyBudget(derived.bodyBytes),
		limits: derived,
	}
}

// BodiesNearlyFull reports whether the body budget is nearly used up.
func (c *Controller) BodiesNearlyFull() bool { return c.limits.bodiesNearlyFull(c.Bodies.UsedBytes()) }

// AdmitRequest counts a request as open and returns ReasonNone, or returns why it is rejected. bodyBytes is what the
// request's own body takes of the budget already. It does not count here, so that requests are admitted alike whatever
// their size. RequestDone ends each admitted request.
func (c *Controller) AdmitRequest(bodyBytes int) request.Reason {
	if c.Ending() {
		return request.ReasonShutdown
	}
	if c.limits.bodiesNearlyFull(c.Bodies.UsedBytes() - int64(bodyBytes)) {
		return request.ReasonMemoryShort
	}
	if c.openRequests.Add(1) > c.limits.requests {
		c.RequestDone()
		return request.ReasonTooManyRequests
	}
	return request.ReasonNone
}

// CountRequest counts a request as open whatever the limits are, for one that is answered at once. RequestDone ends it.
func (c *Controller) CountRequest() { c.openRequests.Add(1) }

// RequestDone ends a request: its response is written, or nobody waits for one.
func (c *Controller) RequestDone() {
	if c.openRequests.Add(-1) == 0 {
		c.signalDrained()
	}
}

// OpenRequests returns how many requests are open.
func (c *Controller) OpenRequests() int64 { return c.openRequests.Load() }
