package dispatch

import (
	"testing"
	"time"

	"cairnfront/internal/request"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// Guards against an attempt whose end is reported twice: the client would get two responses, and the Decider would
// count the attempt twice. Two reports of the end must lead to one response and one event.
func TestAttemptEndReportedTwiceIsHandledOnce(t *testing.T) {
	f := newFixture(t, startAttemptOnArrival())
	f.arrive(f.request)
	sent := f.requests["ab"].attempts[0].sent
	body := &request.Body{Bytes: []byte("x")}
	end := request.AttemptEnd{
		Result: routing.Completed, ETag: "t", NotModified: true, Detail: routing.CacheHit, Body: body,
	}
	f.handle(upstreamEvent{upstream.AttemptEnded{Attempt: sent, End: end}})
	f.handle(upstreamEvent{upstream.AttemptEnded{Attempt: sent, End: end}})
	want := request.Response{
		Result: request.Completed, Reason: request.ReasonAttemptCompleted, ETag: "t", NotModified: true, Body: body,
	}
	assert.Equal(t, []request.Response{want}, f.recorder.responses)
	assert.Equal(t, routing.AttemptEnded{
		Request:     "ab",
		Endpoint:    "c",
		Result:      routing.Completed,
		Detail:      routing.CacheHit,
		NotModified: true,
		RequestDone: true,
	}, f.decider.events[2])
	assert.Len(t, f.decider.events, 3, "the second report of the end is ignored")
	assert.Empty(t, f.requests)
}

// Guards against an attempt that never ends because its connection is not established before its deadline, or because
// it can't be sent at all: its request would wait until the client gives up. Such an attempt must end as NotSent, at
// its deadline or at once.
func TestUnsentAttemptEndsAtItsDeadline(t *testing.T) {
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
	assert.Equal(t, []routing.Event{ // the two that could not be sent, then the one without an established connection
		routing.AttemptEnded{Request: "ab", Attempt: 1, Endpoint: "c", Result: routing.NotSent},
		routing.AttemptEnded{Request: "ab", Attempt: 2, Endpoint: "x", Result: routing.NotSent},
		routing.AttemptEnded{Request: "ab", Attempt: 0, Endpoint: "c", Result: routing.NotSent, ElapsedSeconds: 1.5},
	}, f.decider.events[2:])
	assert.Equal(t, 0, f.requests["ab"].activeAttempts)
}

// Guards against an attempt that is reported as Cancelled although nothing of it was written: it would count as one
// that the endpoint may have executed, so it could not be retried. It must end as NotSent. A second response, and the
// cancel of an unknown attempt, must have no effect.
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
	assert.Equal(t, []request.Response{want}, f.recorder.responses, "exactly one response")
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

// Guards against a probe without a result, because it gets no answer or its endpoint is unknown: the Decider would wait
// for the result forever. Each probe must end once, at its timeout or at once.
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

// Guards against an edge cache that fetches from itself because an attempt names it as the fill source. The fill source
// must be empty in that case only; every other endpoint is named.
func TestEdgeCacheIsNotSentItselfAsFillSource(t *testing.T) {
	f := newFixture(t, nil)
	f.arrive(f.request)
	for endpoint, want := range map[routing.EndpointID]string{"c": "", "o": "o"} {
		assert.Equal(t, want, f.fillSource(routing.StartAttempt{Endpoint: endpoint, Source: endpoint}))
	}
	assert.Equal(t, "o", f.fillSource(routing.StartAttempt{Endpoint: "c", Source: "o"}))
}

// Guards against stalled attempts that are not reported because another attempt in the same list has already ended.
// Each open attempt must be reported and counted once.
func TestStalledAttemptsAreReportedOnceEach(t *testing.T) {
	f := newFixture(t, startAttemptOnArrival())
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
