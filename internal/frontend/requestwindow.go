package frontend

import (
	"slices"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/sendqueue"
)

// Times of requests that wait for room for their responses.
const (
	// expectationTime is how long room is reserved for a response, from when its request was handed over.
	expectationTime = 250 * time.Millisecond

	// deferralReviewInterval is the time between two looks at the deferred requests of a connection.
	deferralReviewInterval = 50 * time.Millisecond

	// maxDeferralShare is the part of a request's time that it may be deferred. By the protocol, a request that is
	// refused later without an attempt has cost its client too much.
	maxDeferralShare = 0.5
)

// openRequest is a request of a connection that has no response yet.
type openRequest struct {
	request      *request.Request
	handedOverAt clock.Instant // zero while it is deferred, and if it is answered at once
}

// requestWindow decides when the requests of a connection are handed over to the event loop. A request whose response
// is expected to be large gets room in the memory for responses before, and is deferred until there is room. Any
// request is deferred while the client takes no output.
//
// It guards against attempts whose responses have to be dropped. Deferred requests are read all the same, so that the
// time of a request counts from its arrival, and its cancellation is seen at once.
type requestWindow struct {
	deferred []*request.Request // in order of arrival
	review   *time.Timer        // runs while a request is deferred; nil before the first one
	sizes    responseSizes      // of the responses on this connection
}

// openAdmitted registers an admitted request, and reports whether it is handed over now. Otherwise it is deferred.
func (w *responseWriter) openAdmitted(r *request.Request) (handOver bool) {
	w.metrics.RequestReceived(r.ClassName)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserveLocked(r) {
		w.requests[r.StreamID] = openRequest{request: r, handedOverAt: clock.Now()}
		return true
	}
	w.requests[r.StreamID] = openRequest{request: r}
	w.window.deferred = append(w.window.deferred, r)
	w.startReviewLocked()
	return false
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

// recordSizeLocked learns from the response to a request. The size of a body that was dropped is not known: it was
// large.
func (w *responseWriter) recordSizeLocked(r *request.Request, response request.Response) {
	switch {
	case response.Result == request.Completed && !response.NotModified:
		w.window.sizes.record(r, response.Body.Len())
	case response.Result == request.Aborted && response.Reason == request.ReasonMemoryShort:
		w.window.sizes.record(r, maxResponseBytes)
	}
}

// releaseOverdue returns the room of responses that were expected by now.
//
// It guards against an endpoint that is silent, whose attempts would hold up the requests of all connections.
func (w *responseWriter) releaseOverdue(now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, open := range w.requests {
		if !open.handedOverAt.IsZero() && now.Sub(open.handedOverAt) > expectationTime {
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
			w.requests[r.StreamID] = openRequest{request: r, handedOverAt: clock.Now()}
			return r
		}
	}
	return nil
}

// startReviewLocked starts the timer that reviews the deferred requests. It belongs to the writer: close ends it.
func (w *responseWriter) startReviewLocked() {
	if w.window.review == nil {
		w.window.review = time.AfterFunc(deferralReviewInterval, w.reviewDeferred)
		return
	}
	w.window.review.Reset(deferralReviewInterval)
}

// reviewDeferred hands over the deferred requests that have room, and rejects those that have waited too long.
func (w *responseWriter) reviewDeferred() {
	w.handOverDeferred()
	w.rejectDeferred(request.ReasonOutputBacklog, func(r *request.Request) bool {
		return clock.NowSeconds() >= r.ArrivedAt+maxDeferralShare*(r.Deadline-r.ArrivedAt)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.window.deferred) > 0 {
		w.startReviewLocked()
	}
}

// rejectDeferred rejects the deferred requests that a condition selects. It must be called without the lock.
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
		w.Respond(r, w.rejection(reason))
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
