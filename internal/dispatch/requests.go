package dispatch

import (
	"strings"
	"time"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

// overdueGrace is the time after a request's deadline at which it is aborted if the decisions failed to end it.
const overdueGrace = 20 * time.Millisecond

// openRequest is a request that has no final response yet, or has attempts in progress.
type openRequest struct {
	request  *request.Request
	attempts []*attempt // by number
	running  int        // attempts that have not ended

	state              requestState
	abandonmentPending bool // the decisions have been notified, or are about to be, that it was abandoned
}

// requestState is what became of a request. These are all transitions; openRequest.move makes them and no other:
//
//	from      to         when
//	open      answered   it gets its final response (respond)
//	open      cancelled  its client does not wait any more (disconnect)
//	answered  cancelled  likewise, while attempts of it are in progress (disconnect)
//
// The loop forgets a request that is not open once none of its attempts is in progress (forgetIfDone).
type requestState uint8

const (
	requestOpen      requestState = iota // it is owed a final response
	requestAnswered                      // it had its final response
	requestCancelled                     // the decisions know that its client disconnected
	requestStateCount
)

// requestTransitions has, by its state, the states that a request may take next.
var requestTransitions = [requestStateCount][requestStateCount]bool{
	requestOpen:     {requestAnswered: true, requestCancelled: true},
	requestAnswered: {requestCancelled: true},
}

// move takes a request to another state where the table has the transition, and says whether it did. A second final
// response, or a second cancellation, is told apart by that.
func (o *openRequest) move(to requestState) bool {
	if !requestTransitions[o.state][to] {
		return false
	}
	o.state = to
	return true
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
	d.schedule(overdueAt(r.Deadline), requestOverdue{o})
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

// overdueAt returns when a request with a deadline is aborted if the decisions failed to end it.
//
// It guards against a request that the decisions forget, as after a panic: its client would wait in vain, and its body
// and attempts would never be freed. The decisions end each request by its deadline, so a little later nothing is cut
// short.
func overdueAt(deadline float64) float64 { return deadline + overdueGrace.Seconds() }

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
	if !o.move(requestCancelled) {
		return
	}
	d.decide(routing.ClientDisconnected{Request: o.id()}, o)
	d.forgetIfDone(o)
}

// respond gives a request its final response, if it had none.
func (d *Dispatcher) respond(o *openRequest, response request.Response) {
	if !o.move(requestAnswered) {
		response.Body.Free()
		return
	}
	o.request.ResponseWriter.Respond(o.request, response)
	d.forgetIfDone(o)
}

// forgetIfDone forgets a request that has ended and has no attempt in progress.
func (d *Dispatcher) forgetIfDone(o *openRequest) {
	if o.state == requestOpen || o.running > 0 || d.requests[o.id()] != o {
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
