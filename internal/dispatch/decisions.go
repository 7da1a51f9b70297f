package dispatch

import (
	"fmt"

	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// decide brings an event to the decisions and carries out the actions that they return. About is the request that the
// event is of, nil for none: it is aborted if the decisions panic.
func (d *Dispatcher) decide(ev routing.Event, about *openRequest) {
	for _, action := range d.actionsFor(ev, about) {
		d.perform(action)
	}
}

// actionsFor returns what the decisions say to an event. If they panic, the stack is logged, the request is aborted and
// nothing is returned.
func (d *Dispatcher) actionsFor(ev routing.Event, about *openRequest) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			d.Metrics.RecordPanic(telemetry.ComponentRouting, p, "event", fmt.Sprintf("%T", ev))
			actions = nil
			if about != nil {
				d.abandon(about, request.ReasonPanic)
			}
		}
	}()
	// The decider's list is valid until its next call, which an action may cause.
	return append(actions, d.Decider.Decide(d.now, ev)...)
}

// perform carries out one action. An action about a request that is not open any more has no effect.
func (d *Dispatcher) perform(action routing.Action) {
	switch action := action.(type) {
	case routing.StartAttempt:
		if o := d.requests[action.Request]; o != nil {
			d.startAttempt(o, action)
		}
	case routing.CancelAttempt:
		o := d.requests[action.Request]
		if o != nil && action.Attempt >= 0 && action.Attempt < len(o.attempts) {
			d.cancelAttempt(o.attempts[action.Attempt], routing.Cancelled)
		}
	case routing.RejectRequest:
		if o := d.requests[action.Request]; o != nil {
			d.respond(o, request.Response{
				Result:            request.Rejected,
				Reason:            request.ReasonRoutingDecision,
				RetryAfterSeconds: action.RetryAfterSeconds,
			})
		}
	case routing.AbortRequest:
		if o := d.requests[action.Request]; o != nil {
			d.respond(o, request.Response{Result: request.Aborted, Reason: request.ReasonRoutingDecision})
		}
	case routing.SetTimer:
		d.schedule(d.now+action.AfterSeconds, decisionTimer{action.Token})
	case routing.Probe:
		d.startProbe(action.Endpoint)
	case routing.LogNote:
		d.Metrics.Log.Info("routing decision noted", "text", action.Message)
	}
}
