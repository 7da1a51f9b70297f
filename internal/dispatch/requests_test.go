package dispatch

import (
	"errors"
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// A decision panics over one request. The others must not notice, and the client must not wait until its deadline. That
// request is aborted, the stack is in the log, and the decisions are asked to forget it.
func TestPanicOfADecisionAbortsOneRequest(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c"}}
		}
		panic(errors.New("a fault"))
	})
	f.arrive(f.request)
	f.endAttempt(0, request.AttemptEnd{Result: routing.Overloaded})
	f.runDueTimers()
	assert.Equal(t, []request.Response{{Result: request.Aborted, Reason: request.ReasonPanic}}, f.recorder.responses)
	assert.Contains(t, f.log.String(), "a fault")
	assert.Contains(t, f.log.String(), "requests_test.go", "with the stack")
	assert.Empty(t, f.requests)
	assert.Equal(t, routing.ClientDisconnected{Request: "ab"}, f.decider.events[len(f.decider.events)-1])
}

// The decisions start no further attempt and give no answer either. The request would stay open, with its memory, for
// ever. It is aborted a little after its deadline, and not before.
func TestRequestThatTheDecisionsForgetIsAborted(t *testing.T) {
	f := newFixture(t, startsAttempt())
	f.arrive(f.request)
	f.setTime(105.01)
	f.runDueTimers()
	assert.Empty(t, f.recorder.responses, "its own deadline has passed, the client's may not have")
	f.setTime(105.021)
	f.runDueTimers()
	want := request.Response{Result: request.Aborted, Reason: request.ReasonDeadlineExceeded}
	assert.Equal(t, []request.Response{want}, f.recorder.responses)
	assert.Empty(t, f.requests)
}

// A client uses the id of a request that is open. The answers of the two could be confused, and a cancel of one would
// end the other. The second is rejected and the first goes on.
func TestRequestWithAnIDInUseIsRejected(t *testing.T) {
	f := newFixture(t, startsAttempt())
	f.arrive(f.request)
	twin := *f.request
	f.arrive(&twin)
	f.handleRequestCancelled(&twin)
	want := request.Response{Result: request.Rejected, Reason: request.ReasonDuplicateID}
	assert.Equal(t, []request.Response{want}, f.recorder.responses)
	assert.Equal(t, f.request, f.requests["ab"].request, "the first one goes on")
	f.handle(shutdown{})
	assert.Equal(t, request.Aborted, f.recorder.responses[1].Result)
}

// A client disconnects, and the end of an attempt is handled before the cancellation. A retry would run for nobody.
// Neither a first nor a further attempt is sent, and the decisions learn of the disconnect before they learn how the
// attempt ended.
func TestNoAttemptOnceTheClientDisconnected(t *testing.T) {
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
	f.endAttempt(0, request.AttemptEnd{Result: routing.Overloaded})
	assert.Nil(t, f.requests["ab"].attempts[1].sent)
	f.runDueTimers()
	assert.Equal(t, []routing.Event{
		routing.AttemptEnded{Request: "ab", Endpoint: "c", Result: routing.Overloaded},
		routing.ClientDisconnected{Request: "ab"},
		routing.AttemptEnded{Request: "ab", Attempt: 1, Endpoint: "o", Result: routing.NotSent, RequestDone: true},
	}, f.decider.events[2:])
	f.handleRequestCancelled(f.request)
	assert.Len(t, f.decider.events, 5, "it is reported once")
	assert.Empty(t, f.requests)
	assert.Empty(t, f.recorder.responses)
	queued := &request.Request{ID: "cd", ResponseWriter: f.recorder}
	queued.Cancel()
	f.arrive(queued)
	assert.Len(t, f.decider.events, 5, "nothing is decided about one that was cancelled in the queue")
}

// The process ends while requests wait for their turn. One that is answered as aborted could still be sent and run. Its
// attempts are cancelled before their line is begun, and a request that was on its way to the loop is rejected.
func TestNothingBeginsOnceAllRequestsAreAborted(t *testing.T) {
	f := newFixture(t, startsAttempt())
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

// lastAttemptResult is the result of the attempt that ended last, as the decisions got it.
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
