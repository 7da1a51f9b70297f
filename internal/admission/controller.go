// Package admission limits the resources of the process: the bytes of bodies, open requests, and the connections to
// clients and endpoints. It also tracks whether the process is ready or draining.
//
// The package owns the counts of these resources, derives their limits from the memory and the descriptors of the
// process, and decides whether one more may be used. It closes no connection and sends no response; the caller
// does so after a refusal.
package admission

import (
	"sync"
	"sync/atomic"

	"cairnfront/internal/request"
)

// Controller admits requests and connections within the limits. Its methods are safe for concurrent use.
type Controller struct {
	// Bodies is the budget for the bytes of all bodies.
	Bodies *request.BodyBudget

	limits limits

	openRequests  atomic.Int64
	clients       atomic.Int64
	endpointConns atomic.Int64
	phase         atomic.Int32 // holds a phase; only enter changes it

	mu      sync.Mutex
	drained chan struct{} // closed when no request is open; nil if nothing waits for that
}

// New returns a controller for a process that may use memoryMB of memory and the given number of descriptors.
func New(memoryMB, descriptors int) *Controller {
	derived := newLimits(memoryMB, descriptors)
	return &Controller{
		Bodies: request.NewBodyBudget(derived.bodyBytes),
		limits: derived,
	}
}

// BodiesNearlyFull reports whether the body budget is nearly used up.
func (c *Controller) BodiesNearlyFull() bool { return c.limits.bodiesNearlyFull(c.Bodies.UsedBytes()) }

// AdmitRequest counts a request as open and returns ReasonNone, or returns the reason for which it is rejected.
// bodyBytes is what the request's own body already uses of the budget. It is subtracted, so that requests are admitted
// regardless of their size. RequestDone must be called for each admitted request.
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

// CountRequest counts a request that is answered immediately as open, regardless of the limits. RequestDone must be
// called for it.
func (c *Controller) CountRequest() { c.openRequests.Add(1) }

// RequestDone records the end of a request: its response is written, or no client waits for one.
func (c *Controller) RequestDone() {
	if c.openRequests.Add(-1) == 0 {
		c.signalDrained()
	}
}

// OpenRequests returns the number of open requests.
func (c *Controller) OpenRequests() int64 { return c.openRequests.Load() }
