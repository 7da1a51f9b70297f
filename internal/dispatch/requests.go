package dispatch

import (
	"strings"
	"time"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

// overdueGrace is the time after a request's deadline at which the request is aborted if the Decider has not ended it.
const overdueGrace = 20 * time.Millisecond

// openRequest is a request that the loop has not removed (removeIfDone): it is in the state requestOpen, or it is
// answered or cancelled and has attempts in progress.
type openRequest struct {
	request        *request.Request
	attempts       []*attempt // indexed by attempt number
	activeAttempts int        // number of attempts that have not ended

	state               requestState
	abandonReportQueued bool // a reportAbandoned task was queued for the request

	overdueTimer  *timer // runs requestOverdue
	decisionTimer *timer // the last timer that the Decider requested for the request, nil if none
}

// requestState is the state of a request. The table lists all transitions; openRequest.transition rejects any other:
//
//	from      to         when
//	open      answered   its final response is passed to the ResponseWriter (respond)
//	open      cancelled  the client cancelled the request or disconnected (handleCancelledByClient)
//	answered  cancelled  the client cancelled or disconnected while attempts are in progress (handleCancelledByClient)
//
// The loop removes a request that is answered or cancelled when it has no attempt in progress (removeIfDone).
type requestState uint8

const (
	requestOpen      requestState = iota // neither answered nor cancelled
	requestAnswered                      // the final response was passed to the ResponseWriter
	requestCancelled                     // the client cancelled the request or disconnected
	requestStateCount
)

// requestTransitions lists the allowed next states for each state of a request.
var requestTransitions = [requestStateCount][requestStateCount]bool{
	requestOpen:     {requestAnswered: true, requestCancelled: true},
	requestAnswered: {requestCancelled: true},
}

// transition changes the request's state if requestTransitions allows it, and reports whether it did. It returns false
// for a second final response and for a second cancellation.
func (o *openRequest) transition(to requestState) bool {
	if !requestTransitions[o.state][to] {
		return false
	}
	o.state = to
	return true
}

// id returns the id that identifies the request in events to the Decider.
func (o *openRequest) id() routing.RequestID { return o.request.ID }

// openRequest handles the arrival of a request.
func (d *Dispatcher) openRequest(r *request.Request) {
	if r.Cancelled() { // cancelled while it was queued, so the Decider has nothing to decide
		drop(r)
		return
	}
	if d.shuttingDown {
		drop(r)
		r.ResponseWriter.Respond(r, request.Response{Result: request.Rejected, Reason: request.ReasonShutdown})
		return
	}
	id := r.ID
	if earlier := d.requests[id]; earlier != nil { // the Decider identifies a request by its id alone
		drop(r)
		result := duplicateResult(earlier)
		r.ResponseWriter.Respond(r, request.Response{Result: result, Reason: request.ReasonDuplicateID})
		return
	}
	o := &openRequest{request: r}
	d.requests[id] = o
	o.overdueTimer = d.schedule(overdueAt(r.Deadline), requestOverdue{o})
	d.decide(routing.RequestArrived{
		Request:     id,
		Class:       r.Class,
		Object:      strings.ToLower(r.Object),
		Chunk:       r.PartNumber,
		ObjectGroup: r.PurgeGroup,
		Deadline:    r.Deadline,
		SizeKB:      r.SizeKB,
		// Requests of uncacheable classes count as writes.
		Write: d.Settings.ListItem(routing.SettingUncacheable, int(r.Class)) == "true",
	}, o)
}

// duplicateResult returns the result of a request whose id is that of an earlier one that the loop still has. A
// rejection says that no attempt has run, which is not known once the client of the earlier request has left.
func duplicateResult(earlier *openRequest) request.Result {
	if earlier.state == requestOpen {
		return request.Rejected
	}
	return request.Aborted
}

// overdueAt returns the time at which a request is aborted if the Decider has not ended it.
//
// It guards against a request that the Decider never ends, for example after a panic: its client would get no response,
// and its body and attempts would never be freed. The Decider ends each request by its deadline, so an abort shortly
// after the deadline interrupts no request that is still being handled.
func overdueAt(deadline float64) float64 { return deadline + overdueGrace.Seconds() }

// handleRequestCancelled handles a cancellation by the client. It ignores a request that was rejected because its id
// was in use.
func (d *Dispatcher) handleRequestCancelled(r *request.Request) {
	d.advanceClock()
	if o := d.requests[r.ID]; o != nil && o.request == r {
		d.handleCancelledByClient(o)
	}
}

// handleCancelledByClient passes a ClientDisconnected event for a request to the Decider, at most once. If the request
// was abandoned, a reportAbandoned task passes such an event too.
func (d *Dispatcher) handleCancelledByClient(o *openRequest) {
	if !d.endRequest(o, requestCancelled) {
		return
	}
	d.decide(routing.ClientDisconnected{Request: o.id()}, o)
	d.removeIfDone(o)
}

// respond passes the final response to the request's ResponseWriter, or frees the response's body if the request is not
// open any more.
func (d *Dispatcher) respond(o *openRequest, response request.Response) {
	if !d.endRequest(o, requestAnswered) {
		response.Body.Free()
		return
	}
	o.request.ResponseWriter.Respond(o.request, response)
	d.removeIfDone(o)
}

// endRequest moves a request to the state requestAnswered or requestCancelled and removes its timers. It reports
// whether the transition was allowed.
func (d *Dispatcher) endRequest(o *openRequest, to requestState) bool {
	if !o.transition(to) {
		return false
	}
	d.cancelTimer(o.overdueTimer)
	d.cancelTimer(o.decisionTimer)
	return true
}

// setDecisionTimer sets the timer that the Decider requested for an open request, or for no request if it names none.
// It replaces an earlier timer of the request.
func (d *Dispatcher) setDecisionTimer(action routing.SetTimer) {
	due := d.now + action.AfterSeconds
	if action.Request == "" {
		d.schedule(due, decisionTimer{token: action.Token})
		return
	}
	o := d.requests[action.Request]
	if o == nil || o.state != requestOpen {
		return
	}
	d.cancelTimer(o.decisionTimer)
	o.decisionTimer = d.schedule(due, decisionTimer{action.Token, o})
}

// removeIfDone removes a request that was answered or cancelled and has no attempt in progress.
func (d *Dispatcher) removeIfDone(o *openRequest) {
	if o.state == requestOpen || o.activeAttempts > 0 || d.requests[o.id()] != o {
		return
	}
	delete(d.requests, o.id())
	drop(o.request)
}

// drop returns what a request holds, once the loop refers to it no more.
func drop(r *request.Request) {
	r.Body.Free()
	r.Done()
}

// abandon aborts a request that the Decider failed to end, and cancels its attempts.
func (d *Dispatcher) abandon(o *openRequest, reason request.Reason) {
	d.respond(o, request.Response{Result: request.Aborted, Reason: reason})
	for _, a := range o.attempts {
		d.cancelAttempt(a, routing.Cancelled)
	}
	if !o.abandonReportQueued {
		o.abandonReportQueued = true
		d.runAfterEvent(reportAbandoned{o})
	}
}

// abortAll aborts every open request and cancels its attempts, so that no attempt is sent after the final response.
// Requests that arrive later are rejected.
func (d *Dispatcher) abortAll() {
	d.shuttingDown = true
	for _, o := range d.requests {
		d.respond(o, request.Response{Result: request.Aborted, Reason: request.ReasonShutdown})
		for _, a := range o.attempts {
			d.cancelAttempt(a, routing.Cancelled)
		}
	}
}
