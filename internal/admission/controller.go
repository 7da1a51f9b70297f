// Package admission limits the resources of the process: the bytes of bodies, open requests, and the connections to
// clients and endpoints. It also tracks whether the process is ready or draining.
//
// The package owns the counts of these resources, derives their limits from the memory and the descriptors of the
// process, and decides whether one more may be used. It closes no connection and sends no response; the caller
// does so after a refusal.
package admission

import (
	"context"
	"sync"
	"sync/atomic"

	"cairnfront/internal/fairshare"
	"cairnfront/internal/request"
)

// Controller admits requests and connections within the limits. Its methods are safe for concurrent use.
type Controller struct {
	// Bodies is the budget for the bytes of all bodies.
	Bodies *request.BodyBudget

	limits limits

	places        *fairshare.Pool // of requests that the event loop has or gets
	turns         *fairshare.Pool // the turn to handle frames of floods
	openRequests  atomic.Int64    // requests without a written response, with those that were never admitted
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
		places: fairshare.New(derived.requests),
		turns:  fairshare.New(1),
	}
}

// BodiesNearlyFull reports whether the memory for bodies of any kind is nearly used up.
//
// It guards against clients that read no responses and use up the memory that others need for theirs: their connections
// are then closed sooner.
func (c *Controller) BodiesNearlyFull() bool { return c.Bodies.UsedOver(bodiesNearlyFullShare) }

// AdmitRequest gives a request a place, counts it as open and returns ReasonNone, or returns the reason for which it is
// rejected. It waits for a place until the context is done, as the places are shared by connection. RequestDone must be
// called for each admitted request once its response is written, and the request's Done once the event loop has dropped
// it.
func (c *Controller) AdmitRequest(ctx context.Context, r *request.Request) request.Reason {
	if reason := c.TryAdmitRequest(r); reason != request.ReasonTooManyRequests {
		return reason
	}
	account := r.Share.PlacesAccount()
	if err := c.places.Acquire(ctx, account, 1); err != nil {
		return request.ReasonTooManyRequests
	}
	c.admit(r, account)
	return request.ReasonNone
}

// TryAdmitRequest is like AdmitRequest, and returns ReasonTooManyRequests in place of waiting.
func (c *Controller) TryAdmitRequest(r *request.Request) request.Reason {
	if c.Ending() {
		return request.ReasonShutdown
	}
	if c.Bodies.OverShare(r.Share) {
		return request.ReasonMemoryShort
	}
	account := r.Share.PlacesAccount()
	if !c.places.TryAcquire(account, 1) {
		return request.ReasonTooManyRequests
	}
	c.admit(r, account)
	return request.ReasonNone
}

// admit counts a request that has taken a place as open.
func (c *Controller) admit(r *request.Request, account *fairshare.Account) {
	r.Place = &place{pool: c.places, account: account}
	c.openRequests.Add(1)
}

// place is the place of an open request.
type place struct {
	pool     *fairshare.Pool
	account  *fairshare.Account
	released atomic.Bool
}

// Release implements request.Place.
func (p *place) Release() {
	if p.released.CompareAndSwap(false, true) {
		p.pool.Release(p.account, 1)
	}
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
