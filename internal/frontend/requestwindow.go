package frontend

import (
	"slices"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/sendqueue"
)

// deferralReviewInterval is the longest time between two looks at the deferred requests of a connection.
const deferralReviewInterval = 50 * time.Millisecond

// minReviewWait is the shortest time between two looks at them.
const minReviewWait = time.Millisecond

// openRequest is a request of a connection that has no response yet.
type openRequest struct {
	request       *request.Request
	handedOverAt  clock.Instant // zero while it is deferred, and if it is answered at once
	expectedUntil clock.Instant // from handedOverAt for the latency objective of its class
}

// requestWindow decides when the requests of a connection are handed over to the event loop. A request whose response
// is expected to be large gets room in the memory for responses before, and is deferred until there is room. Any
// request is deferred while the client takes no output. A request is rejected as soon as it is known that it cannot be
// answered in time any more.
//
// It guards against attempts whose responses have to be dropped. Deferred requests are read all the same, so that the
// time of a request counts from its arrival, and its cancellation is seen at once.
type requestWindow struct {
	deferred []*request.Request // in order of arrival
	review   *time.Timer        // runs while a request is deferred; nil before the first one
	sizes    responseSizes      // of the responses on this connection
	times    serviceTimes       // of the responses on this connection
}

// openAdmitted registers an admitted request, and reports whether it is handed over now. Otherwise it is deferred, or
// rejected if it could not be answered in time.
func (w *responseWriter) openAdmitted(r *request.Request) (handOver bool) {
	w.metrics.RequestReceived(r.ClassName)
	if w.openOrDefer(r) {
		return true
	}
	w.rejectHopeless()
	return false
}

// openOrDefer registers an admitted request, and reports whether it is handed over now.
func (w *responseWriter) openOrDefer(r *request.Request) (handOver bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserveLocked(r) {
		w.requests[r.StreamID] = w.handedOverNow(r)
		return true
	}
	w.requests[r.StreamID] = openRequest{request: r}
	w.window.deferred = append(w.window.deferred, r)
	w.startReviewLocked()
	return false
}

// handedOverNow returns the state of a request that is handed over now.
func (w *responseWriter) handedOverNow(r *request.Request) openRequest {
	now := clock.Now()
	return openRequest{request: r, handedOverAt: now, expectedUntil: now.Add(w.objective(r.Class))}
}

// reserveLocked reserves room for the response to a request, and reports whether the request may be handed over.
func (w *responseWriter) reserveLocked(r *request.Request) bool {
	if w.stalled {
		return false
	}
	expectedBytes := w.window.sizes.expect(r)
	if expectedBytes <= sendqueue.MaxSmallBytes {
		return true
	}
	r.Reservation = w.admission.Bodies.ReserveResponse(w.share, expectedBytes)
	return r.Reservation != nil
}

// recordResponseLocked learns from the response to a request. The size of a body that was dropped is not known: it was
// large.
func (w *responseWriter) recordResponseLocked(open openRequest, response request.Response) {
	switch {
	case response.Result == request.Completed && !open.handedOverAt.IsZero():
		w.window.times.record(open.request.Class, clock.Now().Sub(open.handedOverAt))
		if !response.NotModified {
			w.window.sizes.record(open.request, response.Body.Len())
		}
	case response.Result == request.Aborted && response.Reason == request.ReasonMemoryShort:
		w.window.sizes.record(open.request, maxResponseBytes)
	}
}

// releaseOverdue returns the room of responses that were expected by now, as their latency objective has passed.
//
// It guards against an endpoint that is silent, whose attempts would hold up the requests of all connections.
func (w *responseWriter) releaseOverdue(now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, open := range w.requests {
		if !open.handedOverAt.IsZero() && now > open.expectedUntil {
			open.request.Reservation.Release()
		}
	}
}

// handOverDeferred hands over the deferred requests that have room now. It must be called without the lock.
func (w *responseWriter) handOverDeferred() {
	for {
		r := w.nextWithRoom()
		if r == nil {
			return
		}
		w.handOver(r)
	}
}

// nextWithRoom removes the first deferred request that has room, and returns it, or nil if there is none.
func (w *responseWriter) nextWithRoom() *request.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, r := range w.window.deferred {
		if w.reserveLocked(r) {
			w.window.deferred = slices.Delete(w.window.deferred, i, i+1)
			w.requests[r.StreamID] = w.handedOverNow(r)
			return r
		}
	}
	return nil
}

// startReviewLocked starts the timer that reviews the deferred requests, after deferralReviewInterval or when the first
// of them can no longer be answered in time. It belongs to the writer: close ends it.
func (w *responseWriter) startReviewLocked() {
	wait, now := deferralReviewInterval, clock.Now()
	for _, r := range w.window.deferred {
		wait = min(wait, w.lastHandOverLocked(r).Sub(now))
	}
	wait = max(wait, minReviewWait)
	if w.window.review == nil {
		w.window.review = time.AfterFunc(wait, w.reviewDeferred)
		return
	}
	w.window.review.Reset(wait)
}

// reviewDeferred hands over the deferred requests that have room, and rejects those that cannot be answered in time.
func (w *responseWriter) reviewDeferred() {
	w.handOverDeferred()
	w.rejectHopeless()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.window.deferred) > 0 {
		w.startReviewLocked()
	}
}

// rejectHopeless rejects the deferred requests that cannot be answered in time any more.
func (w *responseWriter) rejectHopeless() {
	now := clock.Now()
	w.rejectDeferred(request.ReasonOutputBacklog, func(r *request.Request) bool {
		return now >= w.lastHandOverLocked(r)
	})
}

// rejectDeferred rejects the deferred requests that a condition selects, which is called with the lock. rejectDeferred
// must be called without it.
func (w *responseWriter) rejectDeferred(reason request.Reason, condition func(r *request.Request) bool) {
	w.mu.Lock()
	var rejected []*request.Request
	w.window.deferred = slices.DeleteFunc(w.window.deferred, func(r *request.Request) bool {
		if !condition(r) {
			return false
		}
		rejected = append(rejected, r)
		return true
	})
	w.mu.Unlock()
	for _, r := range rejected {
		w.Respond(r, w.rejection(r, reason))
		release(r)
	}
}

// removeDeferredLocked removes a request from the deferred ones, and reports whether it was one.
func (w *responseWriter) removeDeferredLocked(r *request.Request) bool {
	at := slices.Index(w.window.deferred, r)
	if at < 0 {
		return false
	}
	w.window.deferred = slices.Delete(w.window.deferred, at, at+1)
	return true
}

// release returns what a request holds that the event loop has never had.
func release(r *request.Request) {
	r.Body.Free()
	r.Done()
}
