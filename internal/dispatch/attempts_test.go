package dispatch

import (
	"testing"
	"time"

	"cairnfront/internal/request"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// The end of an attempt is reported twice. The client would get two answers, and the decisions would count the attempt
// twice. One response and one event come of it.
func TestFirstCompletedAttemptAnswers(t *testing.T) {
	f := newFixture(t, startsAttempt())
	f.arrive(f.request)
	sent := f.requests["ab"].attempts[0].sent
	body := &request.Body{Bytes: []byte("x")}
	end := request.AttemptEnd{Result: routing.Completed, ETag: "t", Detail: routing.CacheHit, Body: body}
	f.handle(upstreamEvent{upstream.AttemptEnded{Attempt: sent, End: end}})
	f.handle(upstreamEvent{upstream.AttemptEnded{Attempt: sent, End: end}})
	want := request.Response{Result: request.Completed, Reason: request.ReasonAttemptCompleted, ETag: "t", Body: body}
	assert.Equal(t, []request.Response{want}, f.recorder.responses)
	assert.Equal(t, routing.AttemptEnded{
		Request:     "ab",
		Endpoint:    "c",
		Result:      routing.Completed,
		Detail:      routing.CacheHit,
		RequestDone: true,
	}, f.decider.events[2])
	assert.Len(t, f.decider.events, 3, "a second end is not reported")
	assert.Empty(t, f.requests)
}

// A connection does not come up before the deadline of its attempt, or an attempt can not be sent at all. Its request
// would wait until the client gives up. Each such attempt ends as not sent, at its deadline or at once.
func TestAttemptEndsAtItsDeadline(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); !ok {
			return nil
		}
		return []routing.Action{
			routing.StartAttempt{Request: "ab", Endpoint: "c", Deadline: 101},
			routing.StartAttempt{Request: "ab", Endpoint: "c", Deadline: 99},
			routing.StartAttempt{Request: "ab", Endpoint: "x"},
		}
	})
	f.arrive(f.request)
	f.runDueTimers()
	f.setTime(101.5)
	f.runDueTimers()
	f.runDueTimers()
	assert.Equal(t, []routing.Event{ // the two that could not be sent, then the one whose connection never came up
		routing.AttemptEnded{Request: "ab", Attempt: 1, Endpoint: "c", Result: routing.NotSent},
		routing.AttemptEnded{Request: "ab", Attempt: 2, Endpoint: "x", Result: routing.NotSent},
		routing.AttemptEnded{Request: "ab", Attempt: 0, Endpoint: "c", Result: routing.NotSent, ElapsedSeconds: 1.5},
	}, f.decider.events[2:])
	assert.Equal(t, 0, f.requests["ab"].running)
}

// An attempt is cancelled before any of it was written. Reported as cancelled it would count as one that may have run,
// and could not be repeated. It ends as not sent, and a second answer or the cancel of an unknown attempt does nothing.
func TestCancelledAttemptThatWasNeverWrittenEndsAsNotSent(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		switch ev.(type) {
		case routing.RequestArrived:
			return []routing.Action{
				routing.StartAttempt{Request: "ab", Endpoint: "c"},
				routing.SetTimer{AfterSeconds: 1, Token: 7},
			}
		case routing.TimerFired:
			return []routing.Action{
				routing.CancelAttempt{Request: "ab"},
				routing.RejectRequest{Request: "ab", RetryAfterSeconds: 2},
				routing.AbortRequest{Request: "ab"},
				routing.CancelAttempt{Request: "ab", Attempt: 9},
			}
		}
		return nil
	})
	f.arrive(f.request)
	f.setTime(101)
	f.runDueTimers()
	want := request.Response{Result: request.Rejected, Reason: request.ReasonRoutingDecision, RetryAfterSeconds: 2}
	assert.Equal(t, []request.Response{want}, f.recorder.responses, "one response and no more")
	assert.Equal(t, []routing.Event{
		routing.TimerFired{Token: 7},
		routing.AttemptEnded{
			Request:        "ab",
			Endpoint:       "c",
			Result:         routing.NotSent,
			ElapsedSeconds: 1,
			RequestDone:    true,
		},
	}, f.decider.events[2:])
	assert.Empty(t, f.requests)
}

// A probe gets no answer, or its endpoint is unknown. Without an end the decisions would wait for its result for ever.
// Each probe ends once, at its timeout or at once.
func TestProbeEndsOnce(t *testing.T) {
	f := newFixture(t, nil)
	f.Pool.ConnectTimeout = time.Second
	f.perform(routing.Probe{Endpoint: "c"})
	f.perform(routing.Probe{Endpoint: "x"})
	f.runDueTimers()
	assert.Equal(t, routing.ProbeResult{Endpoint: "x", Result: routing.ConnectFailed}, f.decider.events[1])
	f.setTime(101)
	f.runDueTimers()
	assert.Equal(t, []routing.Event{
		routing.ProbeResult{Endpoint: "c", Result: routing.TimedOut, ElapsedSeconds: 1},
	}, f.decider.events[2:])
}

// An edge cache that is sent its own name as the source would fetch from itself. The name is left out there, and stays
// for every other endpoint.
func TestOnlyAnEdgeCacheIsNotNamedAsItsOwnSource(t *testing.T) {
	f := newFixture(t, nil)
	f.arrive(f.request)
	for endpoint, want := range map[routing.EndpointID]string{"c": "", "o": "o"} {
		assert.Equal(t, want, f.fillSource(routing.StartAttempt{Endpoint: endpoint, Source: endpoint}))
	}
	assert.Equal(t, "o", f.fillSource(routing.StartAttempt{Endpoint: "c", Source: "o"}))
}

// Several attempts stall, and one has ended meanwhile. The others would go unreported behind it. Each that is open is
// reported and counted once.
func TestStalledAttemptsAreReportedOnceEach(t *testing.T) {
	f := newFixture(t, startsAttempt())
	f.arrive(f.request)
	open := f.requests["ab"].attempts[0]
	ended := &attempt{request: open.request, state: sendEnded}
	before := len(f.decider.events)
	for range 2 {
		f.reportStalled([]*upstream.Attempt{{Owner: ended}, open.sent, {Owner: ended}})
	}
	assert.Equal(t, []routing.Event{routing.AttemptStalled{Request: "ab"}}, f.decider.events[before:])
	assert.InDelta(t, 1, f.Metrics.Value("upstream_attempts_stalled_total"), 0)
}
