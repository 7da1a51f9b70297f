package dispatch

import (
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"
)

// sendState is the state of an attempt, from its start to its end and whether or not it is sent. The routing module has
// a separate state for each attempt, attemptState. The table lists all transitions; attempt.transition rejects any
// other:
//
//	from       to         when
//	open       cancelled  the Decider cancelled it, its deadline passed, its request was abandoned, or the process
//	                      shuts down (cancelAttempt)
//	open       ended      its connection reported its end, or it could not be sent (finishAttempt)
//	cancelled  ended      its connection reported its end, or will not report one (finishAttempt)
type sendState uint8

const (
	sendOpen      sendState = iota // neither cancelled nor ended; it may still complete
	sendCancelled                  // cancelled; its connection has not reported the end yet
	sendEnded                      // the attempt's end was handled and reported to the Decider
	sendStateCount
)

// sendTransitions lists the allowed next states for each state of an attempt.
var sendTransitions = [sendStateCount][sendStateCount]bool{
	sendOpen:      {sendCancelled: true, sendEnded: true},
	sendCancelled: {sendEnded: true},
}

// transition changes the attempt's state if sendTransitions allows it, and reports whether it did. If the end of an
// attempt is reported twice, the second call returns false, so that the Decider gets one AttemptEnded event.
func (a *attempt) transition(to sendState) bool {
	if !sendTransitions[a.state][to] {
		return false
	}
	a.state = to
	return true
}

// attempt is one attempt to send a request to an endpoint.
type attempt struct {
	request    *openRequest
	number     int // index in request.attempts
	endpoint   routing.EndpointID
	startedAt  float64              // monotonic seconds
	sent       *upstream.Attempt    // nil if the attempt could not be sent, and after it has ended
	deadline   *timer               // runs attemptDeadline; nil if the attempt could not be sent
	connection *upstream.Connection // nil if the attempt could not be sent

	state         sendState
	stallReported bool // an AttemptStalled event was passed to the Decider
}

// OwnsUpstreamAttempt implements upstream.Owner.
func (*attempt) OwnsUpstreamAttempt() {}

// AttemptReport describes how an attempt ended.
type AttemptReport struct {
	Endpoint       routing.EndpointID
	Class          routing.ClassIndex
	Result         routing.AttemptResult
	ElapsedSeconds float64
}

// startAttempt sends a request to an endpoint. An attempt that can't be sent ends as NotSent after the current event.
func (d *Dispatcher) startAttempt(o *openRequest, action routing.StartAttempt) {
	a := &attempt{
		request:   o,
		number:    len(o.attempts),
		endpoint:  action.Endpoint,
		startedAt: d.now,
	}
	usedConnections := o.connections()
	o.attempts = append(o.attempts, a)
	o.activeAttempts++
	deadline := effectiveDeadline(o.request.Deadline, action.Deadline)
	if d.RetryBudget != nil {
		d.RetryBudget.RecordAttempt(d.now, o.request.Class, a.endpoint, a.number > 0)
		d.runAfterEvent(retryBudgetCheck{})
	}
	switch {
	case o.request.Cancelled(): // the client cancelled the request, and the loop has not handled that yet
		d.runAfterEvent(requestCancelledByClient{o})
	case o.state == requestOpen && deadline > d.now:
		d.Metrics.Inc(telemetry.AttemptsSent.With(telemetry.Class(o.request.ClassName)))
		a.sent = d.Pool.Send(cacheproto.Attempt{
			Request:      o.request,
			FillSource:   d.fillSource(action),
			StartAttempt: action,
		}, upstream.Bounds{
			Deadline:   clock.FromSeconds(deadline),
			SendBefore: clock.FromSeconds(action.SendBefore),
		}, usedConnections, a)
	}
	if a.sent == nil {
		d.runAfterEvent(attemptFinished{a, request.AttemptEnd{Result: routing.NotSent}})
		return
	}
	a.connection = a.sent.Connection()
	a.deadline = d.schedule(deadline, attemptDeadline{a})
}

// effectiveDeadline returns the deadline of an attempt: the earlier of its request's deadline and attemptDeadline,
// which the Decider sets and which is 0 if unset.
func effectiveDeadline(requestDeadline, attemptDeadline float64) float64 {
	if attemptDeadline > 0 {
		return min(requestDeadline, attemptDeadline)
	}
	return requestDeadline
}

// connections returns the connections that the request's attempts were sent on. A retry avoids these connections,
// because an attempt that failed on a connection is likely to fail there again.
func (o *openRequest) connections() []*upstream.Connection {
	var used []*upstream.Connection
	for _, a := range o.attempts {
		if a.connection != nil {
			used = append(used, a.connection)
		}
	}
	return used
}

// finishAttempt handles the end of an attempt; a second call for the same attempt only frees the body. The first
// attempt of a request that completes answers the request.
func (d *Dispatcher) finishAttempt(a *attempt, end request.AttemptEnd) {
	if !a.transition(sendEnded) {
		end.Body.Free()
		return
	}
	o := a.request
	a.sent = nil // releases the request body; the request refers to the attempt until it is removed
	d.cancelTimer(a.deadline)
	o.activeAttempts--
	elapsed := d.now - a.startedAt
	class := telemetry.Class(o.request.ClassName)
	d.Metrics.Inc(telemetry.AttemptsEnded.With(class, request.ResultLabel(end.Result)))
	if end.Result == routing.Completed {
		d.respond(o, responseFor(end))
	}
	if d.OnAttemptEnd != nil {
		d.OnAttemptEnd(AttemptReport{
			Endpoint:       a.endpoint,
			Class:          o.request.Class,
			Result:         end.Result,
			ElapsedSeconds: elapsed,
		})
	}
	d.decide(routing.AttemptEnded{
		Request:        o.id(),
		Attempt:        a.number,
		Endpoint:       a.endpoint,
		Result:         end.Result,
		Detail:         end.Detail,
		ElapsedSeconds: elapsed,
		NotModified:    end.NotModified,
		RequestDone:    o.state != requestOpen,
		LoadReport:     end.LoadReport,
	}, o)
	d.removeIfDone(o)
}

// responseFor returns the response to a request whose attempt has completed.
func responseFor(end request.AttemptEnd) request.Response {
	if end.BodyDropped {
		return request.Response{Result: request.Aborted, Reason: request.ReasonMemoryShort}
	}
	return request.Response{
		Result:      request.Completed,
		Reason:      request.ReasonAttemptCompleted,
		ETag:        end.ETag,
		NotModified: end.NotModified,
		Body:        end.Body,
	}
}

// cancelAttempt cancels an attempt. Its connection reports the end after it has sent the cancel command to the
// endpoint. If nothing of the attempt was sent, the end is handled after the current event.
func (d *Dispatcher) cancelAttempt(a *attempt, result routing.AttemptResult) {
	nothingToCancel := a.sent == nil // not sent, with an attemptFinished task queued, or already ended
	if nothingToCancel || !a.transition(sendCancelled) {
		return
	}
	if result, immediate := d.Pool.Cancel(a.sent, result); immediate {
		d.runAfterEvent(attemptFinished{a, request.AttemptEnd{Result: result}})
	}
}

// reportStalled passes an AttemptStalled event to the Decider, once per attempt, for attempts whose connection is
// silent while their endpoint answers on another connection.
func (d *Dispatcher) reportStalled(stalled []*upstream.Attempt) {
	for _, sent := range stalled {
		a, ok := sent.Owner.(*attempt)
		if !ok || a.state == sendEnded || a.stallReported {
			continue
		}
		a.stallReported = true
		d.Metrics.Inc(telemetry.AttemptsStalled)
		d.decide(routing.AttemptStalled{Request: a.request.id(), Attempt: a.number}, a.request)
	}
}

// reportRetryBudget passes an event to the Decider for each retry budget that became exhausted or available again.
func (d *Dispatcher) reportRetryBudget() {
	for _, change := range d.RetryBudget.TakeChanges() {
		d.Metrics.Inc(telemetry.RetryBudgetChanges)
		if !change.Available {
			d.Metrics.Inc(telemetry.RetryBudgetsExhausted)
		}
		d.decide(routing.RetryBudgetChanged{
			Class:     change.Class,
			Endpoint:  change.Endpoint,
			Available: change.Available,
		}, nil)
	}
}
