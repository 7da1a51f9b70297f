package dispatch

import (
	"errors"
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// Guards against a panic in the Decider that affects other requests, or leaves the client waiting until its deadline.
// The request of the event must be aborted, the stack must be logged, and the Decider must get a ClientDisconnected
// event to drop its state of the request.
func TestPanicOfADecisionAbortsOneRequest(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c"}}
		}
		panic(errors.New("a fault"))
	})
	f.arrive(f.request)
	f.endFirstAttempt(request.AttemptEnd{Result: routing.Overloaded})
	f.runDueTimers()
	assert.Equal(t, []request.Response{{Result: request.Aborted, Reason: request.ReasonPanic}}, f.recorder.responses)
	assert.Contains(t, f.log.String(), "a fault")
	assert.Contains(t, f.log.String(), "requests_test.go", "the stack is logged")
	assert.Empty(t, f.requests)
	assert.Equal(t, routing.ClientDisconnected{Request: "ab"}, f.decider.events[len(f.decider.events)-1])
}

// Guards against a request for which the Decider neither starts another attempt nor sends a response: it would stay
// open, with its memory, forever. It must be aborted shortly after its deadline, and not before.
func TestOverdueRequestIsAborted(t *testing.T) {
	f := newFixture(t, startAttemptOnArrival())
	f.arrive(f.request)
	f.setTime(105.01)
	f.runDueTimers()
	assert.Empty(t, f.recorder.responses, "the grace period after the deadline has not passed")
	f.setTime(105.021)
	f.runDueTimers()
	want := request.Response{Result: request.Aborted, Reason: request.ReasonDeadlineExceeded}
	assert.Equal(t, []request.Response{want}, f.recorder.responses)
	assert.Empty(t, f.requests)
}

// Guards against two open requests with the same id: their responses could be mixed up, and a cancel of one would end
// the other. The second request must be rejected, and the first must stay open.
func TestRequestWithDuplicateIDIsRejected(t *testing.T) {
	f := newFixture(t, startAttemptOnArrival())
	f.arrive(f.request)
	duplicate := *f.request
	f.arrive(&duplicate)
	f.handleRequestCancelled(&duplicate)
	want := request.Response{Result: request.Rejected, Reason: request.ReasonDuplicateID}
	assert.Equal(t, []request.Response{want}, f.recorder.responses)
	assert.Equal(t, f.request, f.requests["ab"].request, "the first request stays open")
	f.handle(shutdown{})
	assert.Equal(t, request.Aborted, f.recorder.responses[1].Result)
}

// Guards against attempts for a client that has disconnected, when the end of an earlier attempt is handled before the
// cancellation. Neither a first attempt nor a retry may be sent, and the Decider must get the disconnect before the end
// of the attempt that was not sent.
func TestNoAttemptStartsAfterTheClientDisconnected(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		switch ev := ev.(type) {
		case routing.RequestArrived:
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c"}}
		case routing.AttemptEnded:
			if ev.Attempt == 0 {
				return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "o"}}
			}
		}
		return nil
	})
	f.arrive(f.request)
	f.request.Cancel()
	f.endFirstAttempt(request.AttemptEnd{Result: routing.Overloaded})
	assert.Nil(t, f.requests["ab"].attempts[1].sent)
	f.runDueTimers()
	assert.Equal(t, []routing.Event{
		routing.AttemptEnded{Request: "ab", Endpoint: "c", Result: routing.Overloaded},
		routing.ClientDisconnected{Request: "ab"},
		routing.AttemptEnded{Request: "ab", Attempt: 1, Endpoint: "o", Result: routing.NotSent, RequestDone: true},
	}, f.decider.events[2:])
	f.handleRequestCancelled(f.request)
	assert.Len(t, f.decider.events, 5, "the disconnect is reported once")
	assert.Empty(t, f.requests)
	assert.Empty(t, f.recorder.responses)
	queued := &request.Request{ID: "cd", ResponseWriter: f.recorder}
	queued.Cancel()
	f.arrive(queued)
	assert.Len(t, f.decider.events, 5, "the Decider gets no event for a request that was cancelled in the queue")
}

// Guards against an attempt that is sent after its request was answered as aborted, because the process ends while
// attempts wait to be written. Attempts must be cancelled before their command line is written, and a request that
// arrives after that must be rejected.
func TestNoAttemptStartsAfterAbortAll(t *testing.T) {
	f := newFixture(t, startAttemptOnArrival())
	f.arrive(f.request)
	f.handle(shutdown{})
	f.runDueTimers()
	assert.Equal(t, []request.Reason{request.ReasonShutdown}, reasonsOf(f.recorder))
	assert.Equal(t, routing.NotSent, f.lastAttemptResult(t))
	late := &request.Request{ID: "cd", ClassName: "page", ResponseWriter: f.recorder}
	f.arrive(late)
	assert.Equal(t, []request.Reason{request.ReasonShutdown, request.ReasonShutdown}, reasonsOf(f.recorder))
	assert.Equal(t, request.Rejected, f.recorder.responses[1].Result)
	assert.Empty(t, f.requests)
}

func reasonsOf(recorder *responseRecorder) (reasons []request.Reason) {
	for _, response := range recorder.responses {
		reasons = append(reasons, response.Reason)
	}
	return reasons
}

// lastAttemptResult returns the result in the last AttemptEnded event that the Decider got.
func (f *fixture) lastAttemptResult(t *testing.T) routing.AttemptResult {
	t.Helper()
	for i := len(f.decider.events) - 1; i >= 0; i-- {
		if end, ok := f.decider.events[i].(routing.AttemptEnded); ok {
			return end.Result
		}
	}
	t.Fatal("no attempt has ended")
	return 0
}
