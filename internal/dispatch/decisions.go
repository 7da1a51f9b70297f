package dispatch

import (
	"fmt"

	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// decide passes an event to the Decider and carries out the actions that it returns. The related request is the one
// that the event belongs to, or nil; this request is aborted if the Decider panics.
func (d *Dispatcher) decide(ev routing.Event, relatedRequest *openRequest) {
	for _, action := range d.actionsFor(ev, relatedRequest) {
		d.perform(action)
	}
}

// actionsFor returns the Decider's actions for an event. If the Decider panics, the stack is logged, the request is
// aborted and no action is returned.
func (d *Dispatcher) actionsFor(ev routing.Event, relatedRequest *openRequest) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			d.Metrics.RecordPanic(telemetry.ComponentRouting, p, "event", fmt.Sprintf("%T", ev))
			actions = nil
			if relatedRequest != nil {
				d.abandon(relatedRequest, request.ReasonPanic)
			}
		}
	}()
	// Copies the list: it is valid only until the next call of Decide, and an action may cause one.
	return append(actions, d.Decider.Decide(d.now, ev)...)
}

// perform carries out one action. An action for a request that was removed (removeIfDone) has no effect. While a
// request that is answered or cancelled still has attempts in progress, CancelAttempt cancels its attempt, a new
// attempt ends as NotSent, and a response is dropped.
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
		d.setDecisionTimer(action)
	case routing.Probe:
		d.startProbe(action.Endpoint)
	case routing.LogNote:
		d.Metrics.Log.Info("routing decision noted", "text", action.Message)
	}
}
