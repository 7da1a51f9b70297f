package dispatch

import (
	"math"
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// Guards against timers that fire in an arbitrary order when several are due because the loop was delayed: decisions
// would differ from run to run. They must fire by due time, then in insertion order, and the delay must be recorded.
func TestTimersRunInDueTimeThenInsertionOrder(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		if ev == (routing.TimerFired{Token: 1}) {
			return []routing.Action{routing.Probe{Endpoint: "x"}, routing.SetTimer{AfterSeconds: 0, Token: 5}}
		}
		return nil
	})
	f.schedule(102, decisionTimer{token: 3})
	f.schedule(101, decisionTimer{token: 1})
	f.schedule(101, decisionTimer{token: 2})
	f.schedule(103, decisionTimer{token: 4})
	f.setTime(102.5)
	f.runDueTimers()
	assert.Equal(t, []routing.Event{
		routing.TimerFired{Token: 1},
		// Tasks that an event adds with runAfterEvent run before the timers that are due.
		routing.ProbeResult{Endpoint: "x", Result: routing.ConnectFailed},
		routing.TimerFired{Token: 2},
		routing.TimerFired{Token: 3},
		routing.TimerFired{Token: 5},
	}, f.decider.events[1:])
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1.5, f.Metrics.Value("dispatch_timer_delay_max_seconds"))
}

// Guards against requests that stay in memory after their end, because their timers are due at the deadline that their
// client named: clients with long timeouts make the process grow until the system ends it. However a request ends, it
// must leave no timer.
func TestEndedRequestLeavesNoTimer(t *testing.T) {
	const longestTimeoutSeconds = math.MaxUint32 / 1000 // the protocol allows no longer one
	respond := func(ev routing.Event) []routing.Action {
		switch ev := ev.(type) {
		case routing.RequestArrived:
			return []routing.Action{
				routing.StartAttempt{Request: ev.Request, Endpoint: "c"},
				routing.SetTimer{AfterSeconds: longestTimeoutSeconds, Token: 7, Request: ev.Request},
			}
		case routing.AttemptEnded:
			return []routing.Action{
				routing.RejectRequest{Request: ev.Request},
				routing.SetTimer{AfterSeconds: longestTimeoutSeconds, Token: 7, Request: ev.Request},
			}
		case routing.ClientDisconnected:
			return []routing.Action{routing.CancelAttempt{Request: ev.Request}}
		}
		return nil
	}
	endWith := func(result routing.AttemptResult) func(*fixture) {
		return func(f *fixture) { f.endFirstAttempt(request.AttemptEnd{Result: result}) }
	}
	for name, end := range map[string]func(f *fixture){
		"completed":               endWith(routing.Completed),
		"rejected":                endWith(routing.ServerError),
		"cancelled by its client": func(f *fixture) { f.handleRequestCancelled(f.request) },
		"aborted after a fault":   func(f *fixture) { f.abandon(f.requests["ab"], request.ReasonPanic) },
		"aborted at the shutdown": func(f *fixture) { f.handle(shutdown{}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, respond)
			f.request.Deadline = 100 + longestTimeoutSeconds
			f.arrive(f.request)
			assert.Equal(t, 3, f.timers.Len(), "of the request, its attempt and the Decider")
			end(f)
			f.runDueTimers()
			assert.Empty(t, f.requests)
			assert.Zero(t, f.timers.Len())
		})
	}
}

// Guards against an open request whose timers pile up until the deadline that its client named, as the Decider sets one
// after the other. A new timer must replace the earlier one, and no other request's.
func TestDecisionTimerReplacesEarlierOneOfItsRequest(t *testing.T) {
	f := newFixture(t, nil)
	f.arrive(f.request)
	f.arrive(&request.Request{ID: "cd", Deadline: 105, ResponseWriter: f.recorder})
	before := f.timers.Len()
	f.perform(routing.SetTimer{AfterSeconds: 1, Token: 1, Request: "cd"})
	for token := range uint64(9) {
		f.perform(routing.SetTimer{AfterSeconds: 2 - float64(token)/10, Token: 10 + token, Request: "ab"})
	}
	f.perform(routing.SetTimer{AfterSeconds: 1, Token: 3, Request: "unknown"})
	assert.Equal(t, before+2, f.timers.Len())
	f.setTime(102)
	f.runDueTimers()
	assert.Equal(t, []routing.Event{routing.TimerFired{Token: 1}, routing.TimerFired{Token: 18}}, f.decider.events[3:])
	f.perform(routing.SetTimer{AfterSeconds: 1, Token: 30, Request: "ab"})
	assert.Equal(t, before+1, f.timers.Len(), "a timer that has fired is not removed a second time")
}
