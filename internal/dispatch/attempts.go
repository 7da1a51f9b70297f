package dispatch

import (
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"
)

// sendState says how far an attempt has come on the connection that it is sent on. What the decisions expect of it is
// routing's attemptState. These are all transitions; attempt.move makes them and no other:
//
//	from       to         when
//	open       cancelled  the decisions gave it up, or its deadline passed (cancelAttempt)
//	open       ended      its connection reported its end, or it could not be sent (finishAttempt)
//	cancelled  ended      its connection reported its end, or will not report one (finishAttempt)
type sendState uint8

const (
	sendOpen      sendState = iota // it may complete
	sendCancelled                  // given up; its connection still has to tell how it ended
	sendEnded                      // the decisions know its end
	sendStateCount
)

// sendTransitions has, by its state, the states that an attempt may take next.
var sendTransitions = [sendStateCount][sendStateCount]bool{
	sendOpen:      {sendCancelled: true, sendEnded: true},
	sendCancelled: {sendEnded: true},
}

// move takes an attempt to another state where the table has the transition, and says whether it did. An end that is
// reported twice is told apart by that: the decisions hear of one.
func (a *attempt) move(to sendState) bool {
	if !sendTransitions[a.state][to] {
		return false
	}
	a.state = to
	return true
}

// attempt is one try of a request at an endpoint.
type attempt struct {
	request    *openRequest
	number     int // in request.attempts
	endpoint   routing.EndpointID
	startedAt  float64              // monotonic seconds
	sent       *upstream.Attempt    // nil if it could not be sent, and once it has ended
	connection *upstream.Connection // nil if it could not be sent

	state         sendState
	stallReported bool // the decisions know that its connection is silent
}

// OwnsUpstreamAttempt makes an attempt an upstream.Owner.
func (*attempt) OwnsUpstreamAttempt() {}

// AttemptReport says how an attempt ended.
type AttemptReport struct {
	Endpoint       routing.EndpointID
	Class          routing.ClassIndex
	Result         routing.AttemptResult
	ElapsedSeconds float64
}

// startAttempt sends a request to an endpoint. An attempt that can't be sent ends as NotSent after the event in hand.
func (d *Dispatcher) startAttempt(o *openRequest, action routing.StartAttempt) {
	a := &attempt{
		request:   o,
		number:    len(o.attempts),
		endpoint:  action.Endpoint,
		startedAt: d.now,
	}
	earlier := o.connections()
	o.attempts = append(o.attempts, a)
	o.running++
	deadline := attemptEndsBy(o.request.Deadline, action.Deadline)
	if d.RetryBudget != nil {
		d.RetryBudget.RecordAttempt(d.now, o.request.Class, a.endpoint, a.number > 0)
		d.runNext(retryBudgetCheck{})
	}
	switch {
	case o.request.Cancelled(): // its cancellation is not handled yet
		d.runNext(requestDisconnected{o})
	case o.state == requestOpen && deadline > d.now:
		d.Metrics.Inc(telemetry.AttemptsSent.With(telemetry.Class(o.request.ClassName)))
		a.sent = d.Pool.Send(cacheproto.Attempt{
			Request:      o.request,
			FillSource:   d.fillSource(action),
			StartAttempt: action,
		}, upstream.Bounds{
			Deadline:   clock.FromSeconds(deadline),
			SendBefore: clock.FromSeconds(action.SendBefore),
		}, earlier, a)
	}
	if a.sent == nil {
		d.runNext(attemptFinished{a, request.AttemptEnd{Result: routing.NotSent}})
		return
	}
	a.connection = a.sent.Connection()
	d.schedule(deadline, attemptDeadline{a})
}

// attemptEndsBy returns by when an attempt ends, by its request's deadline and the one that the decisions gave it; that
// is 0 for none.
func attemptEndsBy(requestDeadline, attemptDeadline float64) float64 {
	if attemptDeadline > 0 {
		return min(requestDeadline, attemptDeadline)
	}
	return requestDeadline
}

// connections returns the connections that the request's attempts were sent on. A further attempt avoids them: what
// went wrong on one is likely to go wrong there again.
func (o *openRequest) connections() []*upstream.Connection {
	var used []*upstream.Connection
	for _, a := range o.attempts {
		if a.connection != nil {
			used = append(used, a.connection)
		}
	}
	return used
}

// finishAttempt handles the end of an attempt, once. The first one that completed answers the request.
func (d *Dispatcher) finishAttempt(a *attempt, end request.AttemptEnd) {
	if !a.move(sendEnded) {
		end.Body.Free()
		return
	}
	o := a.request
	a.sent = nil // it holds the body, and a timer still holds the attempt
	o.running--
	elapsed := d.now - a.startedAt
	class := telemetry.Class(o.request.ClassName)
	d.Metrics.Inc(telemetry.AttemptsEnded.With(class, request.ResultLabel(end.Result)))
	if end.Result == routing.Completed {
		d.respond(o, request.Response{
			Result:      request.Completed,
			Reason:      request.ReasonAttemptCompleted,
			ETag:        end.ETag,
			NotModified: end.NotModified,
			Body:        end.Body,
		})
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
		RequestDone:    o.state != requestOpen,
		LoadReport:     end.LoadReport,
	}, o)
	d.forgetIfDone(o)
}

// cancelAttempt gives an attempt up. Its end is reported once its endpoint was sent the cancel. If the endpoint can't
// know of the attempt, its end is handled after the event in hand.
func (d *Dispatcher) cancelAttempt(a *attempt, result routing.AttemptResult) {
	notSent := a.sent == nil // then it is about to end
	if notSent || !a.move(sendCancelled) {
		return
	}
	if result, atOnce := d.Pool.Cancel(a.sent, result); atOnce {
		d.runNext(attemptFinished{a, request.AttemptEnd{Result: result}})
	}
}

// reportStalled tells the decisions, once each, of attempts whose connection is silent while their endpoint answers on
// another.
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

// reportRetryBudget tells the decisions which retry budgets were used up, and which are available again.
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
