package dispatch

import (
	"strings"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

// openRequest is a request that has no final response yet, or has attempts in progress.
type openRequest struct {
	request  *request.Request
	attempts []*attempt // by number
	running  int        // attempts that have not ended

	ended              bool // it had its final response, or its client disconnected
	disconnected       bool // the decisions know that its client disconnected
	abandonmentPending bool // the decisions have been notified, or are about to be, that it was abandoned
}

// id is the request's id as the decisions know it.
func (o *openRequest) id() routing.RequestID { return o.request.ID }

// openRequest takes in a request that arrived.
func (d *Dispatcher) openRequest(r *request.Request) {
	if r.Cancelled() { // while it waited in the queue: there is nothing to decide
		r.Body.Free()
		return
	}
	if d.ending {
		r.Body.Free()
		r.ResponseWriter.Respond(r, request.Response{Result: request.Rejected, Reason: request.ReasonShutdown})
		return
	}
	id := r.ID
	if d.requests[id] != nil { // the decisions know a request by its id
		r.Body.Free()
		r.ResponseWriter.Respond(r, request.Response{Result: request.Rejected, Reason: request.ReasonDuplicateID})
		return
	}
	o := &openRequest{request: r}
	d.requests[id] = o
	d.schedule(r.Deadline+overdueGrace.Seconds(), requestOverdue{o})
	d.decide(routing.RequestArrived{
		Request:     id,
		Class:       r.Class,
		Object:      strings.ToLower(r.Object),
		Chunk:       r.PartNumber,
		ObjectGroup: r.PurgeGroup,
		Deadline:    r.Deadline,
		SizeKB:      r.SizeKB,
		Write:       d.Settings.ListItem(routing.SettingUncacheable, int(r.Class)) == "true",
	}, o)
}

// handleRequestCancelled handles that a client does not wait any more. A request whose id was in use already is not
// open.
func (d *Dispatcher) handleRequestCancelled(r *request.Request) {
	d.advanceClock()
	if o := d.requests[r.ID]; o != nil && o.request == r {
		d.disconnect(o)
	}
}

// disconnect tells the decisions, once, that the client of a request does not wait any more.
func (d *Dispatcher) disconnect(o *openRequest) {
	if o.disconnected {
		return
	}
	o.disconnected = true
	o.ended = true
	d.decide(routing.ClientDisconnected{Request: o.id()}, o)
	d.forgetIfDone(o)
}

// respond gives a request its final response, if it had none.
func (d *Dispatcher) respond(o *openRequest, response request.Response) {
	if o.ended {
		response.Body.Free()
		return
	}
	o.ended = true
	o.request.ResponseWriter.Respond(o.request, response)
	d.forgetIfDone(o)
}

// forgetIfDone forgets a request that has ended and has no attempt in progress.
func (d *Dispatcher) forgetIfDone(o *openRequest) {
	if !o.ended || o.running > 0 || d.requests[o.id()] != o {
		return
	}
	delete(d.requests, o.id())
	o.request.Body.Free()
	o.request.Body = nil // timers that are still set refer to the request
}

// abandon aborts a request that the decisions failed to end, and cancels its attempts.
func (d *Dispatcher) abandon(o *openRequest, reason request.Reason) {
	d.respond(o, request.Response{Result: request.Aborted, Reason: reason})
	for _, a := range o.attempts {
		d.cancelAttempt(a, routing.Cancelled)
	}
	if !o.abandonmentPending {
		o.abandonmentPending = true
		d.runNext(reportAbandoned{o})
	}
}

// abortAll aborts every open request and cancels its attempts: none begins after the final response. Requests that
// arrive later are rejected.
func (d *Dispatcher) abortAll() {
	d.ending = true
	for _, o := range d.requests {
		d.respond(o, request.Response{Result: request.Aborted, Reason: request.ReasonShutdown})
		for _, a := range o.attempts {
			d.cancelAttempt(a, routing.Cancelled)
		}
	}
}
