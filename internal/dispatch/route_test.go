package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/discovery"
	"cairnfront/internal/frontend"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// script stands for the decisions: it keeps what it hears and says what it was given for that.
type script struct {
	heard []routing.Event
	at    []float64
	says  func(routing.Event) []routing.Action
}

func (s *script) Decide(now float64, ev routing.Event) []routing.Action {
	s.heard, s.at = append(s.heard, ev), append(s.at, now)
	if s.says == nil {
		return nil
	}
	return s.says(ev)
}

// outlet keeps the answers.
type outlet struct{ answers []request.Response }

func (o *outlet) Respond(_ *request.Request, a request.Response) bool {
	o.answers = append(o.answers, a)
	return true
}

// stage is a loop at clock 100 whose members never come up, a txn, and where its answers go.
func stage(t *testing.T, says func(routing.Event) []routing.Action) (*Dispatcher, *script, *request.Request, *outlet, *bytes.Buffer) {
	s, o, log := &script{says: says}, &outlet{}, &bytes.Buffer{}
	k := telemetry.New(log, "")
	ctx, cancel := context.WithCancel(t.Context())
	p := &upstream.Pool{Admission: admission.New(64, 256), Telemetry: k, ConnectTimeout: time.Hour, MaxAttemptsPerConnection: 4, OnEvent: func(upstream.Event) {},
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
	p.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, p.Wait())
	})
	l := New(s, routing.Settings{"uncacheable": "false,true", "parent_kind": "1", "origin_kind": "2"}, p, k)
	l.Clock = func() float64 { return 100 }
	l.LoadBootstrap([]discovery.Event{{Kind: discovery.Snapshot, Endpoints: []discovery.Endpoint{{Address: "c", Endpoint: routing.Endpoint{ID: "c"}}, {Address: "o", Endpoint: routing.Endpoint{ID: "o", Kind: 2}}}}})
	return l, s, &request.Request{ID: "ab", ClassName: "page", Class: 1, Object: "FF", Deadline: 105, ResponseWriter: o}, o, log
}

// hopOn is what the decisions say to an arrival; all else is answered with more.
func hopOn(more ...routing.Action) func(routing.Event) []routing.Action {
	return func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c", Source: "o"}}
		}
		return more
	}
}

func TestEventsKeepOrderAndClock(t *testing.T) {
	l, s, x, _, _ := stage(t, nil)
	l.Handle(x)
	l.Clock = func() float64 { return 99 }
	l.Handle(discovery.Event{Kind: discovery.PurgeObject, Purge: discovery.Purge{Object: "ff", PurgedAt: 98}})
	l.Handle(discovery.Event{Kind: discovery.Update, Endpoints: []discovery.Endpoint{{Endpoint: routing.Endpoint{ID: "c", Status: routing.Draining}}}})
	l.Handle(frontend.RequestCancelled{Request: x})
	assert.Equal(t, []routing.Event{
		routing.EndpointUpdate{Kind: routing.Restored, Endpoints: []routing.Endpoint{{ID: "c"}, {ID: "o", Kind: 2}}},
		routing.RequestArrived{Request: "ab", Class: 1, Object: "ff", Deadline: 105, Write: true}, routing.Purge{AgeSeconds: 2, Object: "ff"},
		routing.EndpointUpdate{Endpoints: []routing.Endpoint{{ID: "c", Status: routing.Draining}}}, routing.ClientDisconnected{Request: "ab"}}, s.heard)
	assert.Equal(t, []float64{100, 100, 100, 100, 100}, s.at, "the clock never goes back")
	assert.Empty(t, l.open)
}

func TestFirstCompletedHopAnswers(t *testing.T) {
	l, s, x, o, _ := stage(t, hopOn())
	l.Handle(x)
	call := l.open["ab"].hops[0].call
	end := request.AttemptEnd{Result: routing.Completed, ETag: "t", Detail: routing.CacheHit, Body: &request.Body{Bytes: []byte("x")}}
	l.Handle(upstream.AttemptEnded{Attempt: call, End: end})
	l.Handle(upstream.AttemptEnded{Attempt: call, End: end})
	assert.Equal(t, []request.Response{{Result: request.Completed, Reason: request.ReasonAttemptCompleted, ETag: "t", Body: end.Body}}, o.answers)
	assert.Equal(t, routing.AttemptEnded{Request: "ab", Endpoint: "c", Result: routing.Completed, Detail: routing.CacheHit, RequestDone: true}, s.heard[2])
	assert.Len(t, s.heard, 3, "a second end is not heard")
	assert.Empty(t, l.open)
}

func TestHopEndsAtItsTime(t *testing.T) {
	l, s, x, _, _ := stage(t, func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c", Deadline: 101}, routing.StartAttempt{Request: "ab", Endpoint: "c", Deadline: 99}, routing.StartAttempt{Request: "ab", Endpoint: "x"}}
		}
		return nil
	})
	l.Handle(x)
	l.ring()
	l.Clock = func() float64 { return 101.5 }
	l.ring()
	l.ring()
	var ends []routing.Event
	for _, i := range []int{1, 2, 0} { // of the two that could not be sent, then of the one that never came up
		ends = append(ends, routing.AttemptEnded{Request: "ab", Attempt: i, Endpoint: []routing.EndpointID{"c", "c", "x"}[i], Result: routing.NotSent, ElapsedSeconds: []float64{1.5, 0, 0}[i]})
	}
	assert.Equal(t, ends, s.heard[2:])
	assert.Equal(t, 0, l.open["ab"].out)
}

func TestCancelOfWhatWasNeverWrittenIsMoot(t *testing.T) {
	l, s, x, o, _ := stage(t, func(ev routing.Event) []routing.Action {
		switch ev.(type) {
		case routing.RequestArrived:
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c"}, routing.SetTimer{AfterSeconds: 1, Token: 7}}
		case routing.TimerFired:
			return []routing.Action{routing.CancelAttempt{Request: "ab"}, routing.RejectRequest{Request: "ab", RetryAfterSeconds: 2}, routing.AbortRequest{Request: "ab"}, routing.CancelAttempt{Request: "ab", Attempt: 9}}
		}
		return nil
	})
	l.Handle(x)
	l.Clock = func() float64 { return 101 }
	l.ring()
	assert.Equal(t, []request.Response{{Result: request.Rejected, Reason: request.ReasonDecided, RetryAfterSeconds: 2}}, o.answers, "one answer and no more")
	assert.Equal(t, []routing.Event{routing.TimerFired{Token: 7}, routing.AttemptEnded{Request: "ab", Endpoint: "c", Result: routing.NotSent, ElapsedSeconds: 1, RequestDone: true}}, s.heard[2:])
	assert.Empty(t, l.open)
}

func TestPanicCostsOneTxn(t *testing.T) {
	l, s, x, o, log := stage(t, func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.RequestArrived); ok {
			return []routing.Action{routing.StartAttempt{Request: "ab", Endpoint: "c"}}
		}
		panic(errors.New("a fault"))
	})
	l.Handle(x)
	l.Handle(upstream.AttemptEnded{Attempt: l.open["ab"].hops[0].call, End: request.AttemptEnd{Result: routing.Overloaded}})
	l.ring()
	assert.Equal(t, []request.Response{{Result: request.Aborted, Reason: request.ReasonPanic}}, o.answers)
	assert.Contains(t, log.String(), "a fault")
	assert.Contains(t, log.String(), "route_test.go", "with the stack")
	assert.Empty(t, l.open)
	assert.Equal(t, routing.ClientDisconnected{Request: "ab"}, s.heard[len(s.heard)-1])
}

func TestLoopOutlivesItsOwnPanic(t *testing.T) {
	l, _, x, o, log := stage(t, nil)
	x.ResponseWriter = nil
	l.safely(func() { l.Handle(x); l.answer(l.open["ab"], request.Response{}) })
	assert.Contains(t, log.String(), "where=route")
	assert.EqualValues(t, 1, l.Metrics.Value("panics"))
	l.Handle(&request.Request{ID: "cd", ResponseWriter: o})
	assert.Len(t, l.open, 2)
}

func TestTxnThatTheDecisionsForgetIsAborted(t *testing.T) {
	l, _, x, o, _ := stage(t, hopOn())
	l.Handle(x)
	l.Clock = func() float64 { return 105.01 }
	l.ring()
	assert.Empty(t, o.answers, "its own time is up, the client's not surely")
	l.Clock = func() float64 { return 105.021 }
	l.ring()
	assert.Equal(t, []request.Response{{Result: request.Aborted, Reason: request.ReasonDeadlineExceeded}}, o.answers)
	assert.Empty(t, l.open)
}

func TestIdInUseIsRejected(t *testing.T) {
	l, _, x, o, _ := stage(t, hopOn())
	l.Handle(x)
	twin := *x
	l.Handle(&twin)
	l.Handle(frontend.RequestCancelled{Request: &twin})
	assert.Equal(t, []request.Response{{Result: request.Rejected, Reason: request.ReasonDuplicateID}}, o.answers)
	assert.Equal(t, x, l.open["ab"].t, "the first one goes on")
	l.Handle(FailAll{})
	assert.Equal(t, request.Aborted, o.answers[1].Result)
}

func TestCheckEndsOnce(t *testing.T) {
	l, s, _, _, _ := stage(t, nil)
	l.Pool.ConnectTimeout = time.Second
	l.act(routing.Probe{Endpoint: "c"})
	l.act(routing.Probe{Endpoint: "x"})
	l.ring()
	assert.Equal(t, routing.ProbeResult{Endpoint: "x", Result: routing.ConnectFailed}, s.heard[1])
	l.Clock = func() float64 { return 101 }
	l.ring()
	assert.Equal(t, []routing.Event{routing.ProbeResult{Endpoint: "c", Result: routing.TimedOut, ElapsedSeconds: 1}}, s.heard[2:])
}

func TestOnlyACacheIsNotNamedAsItsOwnSource(t *testing.T) {
	l, _, x, _, _ := stage(t, nil)
	l.Handle(x)
	for to, want := range map[string]string{"c": "", "o": "o"} {
		assert.Equal(t, want, l.fill(routing.StartAttempt{Endpoint: routing.EndpointID(to), Source: routing.EndpointID(to)}))
	}
	assert.Equal(t, "o", l.fill(routing.StartAttempt{Endpoint: "c", Source: "o"}))
}

// TestNoAttemptOnceTheClientLeft: though the news of it is still in the queue, neither a first nor a further hop is sent, and
// the decisions hear that the client is gone before they hear how that hop ended.
func TestNoAttemptOnceTheClientLeft(t *testing.T) {
	l, s, x, o, _ := stage(t, func(ev routing.Event) []routing.Action {
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
	l.Handle(x)
	x.Cancel()
	l.Handle(upstream.AttemptEnded{Attempt: l.open["ab"].hops[0].call, End: request.AttemptEnd{Result: routing.Overloaded}})
	assert.Nil(t, l.open["ab"].hops[1].call)
	l.ring()
	assert.Equal(t, []routing.Event{routing.AttemptEnded{Request: "ab", Endpoint: "c", Result: routing.Overloaded}, routing.ClientDisconnected{Request: "ab"},
		routing.AttemptEnded{Request: "ab", Attempt: 1, Endpoint: "o", Result: routing.NotSent, RequestDone: true}}, s.heard[2:])
	l.Handle(frontend.RequestCancelled{Request: x})
	assert.Len(t, s.heard, 5, "it is heard once")
	assert.Empty(t, l.open)
	assert.Empty(t, o.answers)
	y := &request.Request{ID: "cd", ResponseWriter: o}
	y.Cancel()
	l.Handle(y)
	assert.Len(t, s.heard, 5, "of one that left in the queue nothing is decided")
}

// TestLeaversGoBeforeAFullQueue: neither who tells of them waits, nor the decisions hear of them after what was queued before.
func TestLeaversGoBeforeAFullQueue(t *testing.T) {
	l, s, x, _, _ := stage(t, hopOn())
	l.Handle(x)
	for l.Offer(discovery.Event{Kind: discovery.PurgeObject, Purge: discovery.Purge{Object: "ff", PurgedAt: 98}}) {
	}
	l.Post(frontend.RequestCancelled{Request: x})
	ctx, cancel := context.WithCancel(t.Context())
	heard := len(s.heard)
	s.says = func(ev routing.Event) []routing.Action {
		if _, ok := ev.(routing.Purge); ok {
			cancel()
		}
		return nil
	}
	assert.NoError(t, l.Run(ctx))
	assert.Equal(t, routing.ClientDisconnected{Request: "ab"}, s.heard[heard], "before the first of the queue")
}
