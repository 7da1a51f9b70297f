package routing

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A rejection reports to the client that repeating the request is safe. For a non-idempotent request with an attempt in
// flight that is wrong, as it may run twice. Such a request must be aborted, any other one rejected, and none before
// the margin at its deadline.
func TestGiveUpAtDeadlineRejectsUnlessRequestMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		effect   Effect
		inFlight bool
		want     any
	}{
		{Idempotent, true, RejectRequest{}},
		{WithIdempotencyKey, true, RejectRequest{}},
		{NonIdempotent, true, AbortRequest{}},
		{NonIdempotent, false, RejectRequest{}},
	} {
		r := newTestRouter(c.effect)
		req := addSentRequest(r, Overloaded, c.inFlight)
		r.now = 104.9
		r.plan(req)
		assert.Nil(t, finalAction(r), "before the deadline margin")
		r.now = 105 - deadlineMarginSeconds
		req.attempts = req.attempts[:1]
		r.plan(req)
		assert.IsType(t, c.want, finalAction(r), c.effect)
	}
}

// A retry after an attempt that may have run makes a non-idempotent request run twice; no retry after one that
// certainly did not run loses the request needlessly. For each effect and result, the request must be retried or
// aborted as the result proves.
func TestRetryDependsOnEffectAndResult(t *testing.T) {
	proves := map[AttemptResult]bool{Overloaded: true, ConnectFailed: true, NotSent: true, CacheMiss: true}
	results := []AttemptResult{
		ServerError, Overloaded, TimedOut, ConnectFailed, ConnectionBroken, Cancelled, NotSent, CacheMiss,
	}
	for _, result := range results {
		for _, effect := range []Effect{Idempotent, WithIdempotencyKey, NonIdempotent} {
			r := newTestRouter(effect)
			req := addSentRequest(r, 0, true)
			actions := r.Decide(100.2, AttemptEnded{Request: "t", Endpoint: "c0", Result: result})
			allowed := effect != NonIdempotent || proves[result]
			assert.Equal(t, allowed, len(actionsOf[StartAttempt](actions)) == 1, "%s after %v", effect, result)
			assert.Equal(t, !allowed, len(actionsOf[AbortRequest](actions)) == 1, "%s after %v", effect, result)
			assert.Empty(t, actionsOf[RejectRequest](actions), req.Request)
		}
	}
}

// An endpoint drops an idempotency key after its window, and a later retry runs again. The window must start with the
// first attempt that may have run, and attempts that did not run must not start it.
func TestIdempotencyWindowCountsFromAttemptThatMayHaveRun(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	req := addSentRequest(r, ConnectionBroken, false)
	r.now = 105 - idempotencyMarginSeconds
	assert.True(t, r.mayRetry(req))
	r.now += 0.001
	assert.False(t, r.mayRetry(req))
	req.attempts[0].result = Overloaded
	assert.True(t, r.mayRetry(req))
}

// An endpoint recognizes a key only within its deduplication scope. A retry in another cell would run the request a
// second time, so endpoints outside of the scope must not be used.
func TestRetryWithIdempotencyKeyStaysInItsScope(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.settings[ClassSetting(1, ClassDeduplicationScope)] = string(CellScope)
	req := addSentRequest(r, ConnectionBroken, false)
	r.findOrAddEndpoint("c1").Cell = 5
	assert.False(t, r.inDeduplicationScope(req, r.findOrAddEndpoint("c1")))
	assert.True(t, r.inDeduplicationScope(req, r.findOrAddEndpoint("c2")))
}

// Cancelling the only attempt of a non-idempotent request discards its answer and allows no other attempt. Without
// hedging, the router must wait for it, with neither a cancel nor a final action.
func TestNonIdempotentAttemptIsNotCancelledWhenUnresponsive(t *testing.T) {
	r := newTestRouter(NonIdempotent)
	r.settings[SettingHedging] = "false"
	req := addSentRequest(r, 0, true)
	r.now = 101
	r.plan(req)
	assert.Empty(t, actionsOf[CancelAttempt](r.actions))
	assert.Nil(t, finalAction(r))
}

// An exhausted retry budget of a class stops its retries but not its first attempts; the budget of an endpoint excludes
// only that endpoint.
func TestExhaustedRetryBudgetStopsRetriesOnly(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	unsent, retried := &request{}, &request{attempts: []*attempt{{state: attemptEnded, result: Overloaded}}}
	r.settings[SettingMaxAttempts] = "6"
	assert.True(t, r.mayRetry(retried))
	r.Decide(100, RetryBudgetChanged{Class: 0})
	assert.True(t, r.mayRetry(unsent))
	assert.False(t, r.mayRetry(retried))
	r.Decide(100, RetryBudgetChanged{Class: 0, Available: true})
	assert.True(t, r.mayRetry(retried))
	e := r.findOrAddEndpoint("c0")
	e.limiter.limit = 5
	retried.attempts[0].target = r.findOrAddEndpoint("c1")
	used := func(*attempt, *endpoint) bool { return false }
	r.Decide(100, RetryBudgetChanged{Endpoint: "c0"})
	assert.True(t, r.usable(unsent, e, 0, used))
	assert.False(t, r.usable(retried, e, 0, used))
	r.Decide(100, RetryBudgetChanged{Endpoint: "never heard of"})
	r.Decide(100, RetryBudgetChanged{Endpoint: "c0", Available: true})
	assert.True(t, r.usable(retried, e, 0, used))
}

// TestAttemptIsNotSentAfterGraceOrWindow checks the time until which the connection may send an attempt: drains and
// purges may arrive right after the decision, and the idempotency window starts with the first attempt that may have
// run.
func TestAttemptIsNotSentAfterGraceOrWindow(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.settings[SettingDrainGrace], r.settings[SettingPurgeGrace] = "1", "0.5"
	first := actionsOf[StartAttempt](r.Decide(100, newArrival("a", "x")))
	assert.InDelta(t, 100.45, first[0].SendBefore, 1e-9, "the 50 ms margin, which the decision traces do not cover")

	req := addSentRequest(r, ConnectionBroken, false)
	r.now = 104.6
	assert.InDelta(t, 105-sendMarginSeconds, r.sendBefore(req), 1e-9)
	req.attempts[0].result = Overloaded // it did not run
	req.Deadline = 109
	assert.InDelta(t, 105.1-sendMarginSeconds, r.sendBefore(req), 1e-9)
	r.now = 108.99
	assert.InDelta(t, 108.99, r.sendBefore(req), 1e-9, "not before now: the deadline itself limits it")
}

// In a zone with a single cache, the connection of an attempt is silent while the cache answers others. If the attempt
// in flight excluded the cache, the request could not be served and would end at its deadline. It must get another
// attempt, but only after the first is presumed lost.
func TestLostAttemptIsRetriedAtTheOnlyEndpoint(t *testing.T) {
	r := New(7, testSettings(Idempotent))
	r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: []Endpoint{
		{ID: "o", Kind: 2, Weight: 1}, {ID: "p", Kind: 1, Weight: 20}, {ID: "c", Zone: 1, Weight: 4},
	}})
	first := actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x")))
	require.Len(t, first, 1)
	assert.Equal(t, EndpointID("c"), first[0].Endpoint)
	assert.Empty(t, actionsOf[StartAttempt](r.Decide(100.05, TimerFired{Token: r.requests["t"].token})))
	second := actionsOf[StartAttempt](r.Decide(100.1, AttemptStalled{Request: "t", Attempt: 0}))
	require.Len(t, second, 1)
	assert.Equal(t, EndpointID("c"), second[0].Endpoint)
}

// Guards against a request that runs twice because its client left before the answer and sends it again. While it is
// remembered, a repeat must be aborted, neither attempted nor rejected. If no attempt can have run, or endpoints
// recognize a repeat, it is served.
func TestRepeatOfAnEndedRequestIsAborted(t *testing.T) {
	for name, test := range map[string]struct {
		effect  Effect
		result  AttemptResult
		later   float64
		aborted bool
	}{
		"non-idempotent":       {NonIdempotent, Cancelled, 1, true},
		"answered":             {NonIdempotent, Completed, 1, true},
		"did not run":          {NonIdempotent, NotSent, 1, false},
		"idempotent":           {Idempotent, Cancelled, 1, false},
		"key known everywhere": {WithIdempotencyKey, Cancelled, 1, false},
		"an hour later":        {NonIdempotent, Cancelled, 3600, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(test.effect)
			first := newArrival("t", "x")
			first.Class = 1
			starts := actionsOf[StartAttempt](r.Decide(100, first))
			require.Len(t, starts, 1)
			r.Decide(100.1, ClientDisconnected{Request: "t"})
			end := AttemptEnded{Request: "t", Endpoint: starts[0].Endpoint, Result: test.result, RequestDone: true}
			r.Decide(100.2, end)
			again := first
			again.Deadline = 100.2 + test.later + 5
			actions := r.Decide(100.2+test.later, again)
			if test.aborted {
				assert.Equal(t, []Action{AbortRequest{Request: "t"}}, actions)
				return
			}
			assert.Len(t, actionsOf[StartAttempt](actions), 1)
		})
	}
}

// Guards against a client that is asked to stay away for a time that has nothing to do with what it waits for, and
// against clients that all come back together: the attempts that have the capacity end within the latency objective.
func TestRetryAfterFollowsTheLatencyObjective(t *testing.T) {
	r := newTestRouter(Idempotent)
	const objective, count = 0.5 + 2*0.1, 200
	var sum float64
	for range count {
		after := r.retryAfterSeconds(&request{objectiveSeconds: objective})
		assert.GreaterOrEqual(t, after, 0.5*objective)
		assert.LessOrEqual(t, after, 1.5*objective)
		sum += after
	}
	assert.InDelta(t, objective, sum/count, 0.1*objective)
	assert.InDelta(t, 2, r.retryAfterSeconds(&request{objectiveSeconds: 60}), 1e-9, "the longest that is allowed")
	r.settings[SettingRetryAfterAllowed] = "false"
	assert.Zero(t, r.retryAfterSeconds(&request{objectiveSeconds: objective}))
}

// Guards against memory that grows with the requests that have ended.
func TestEndedRequestsAreLimited(t *testing.T) {
	r := newTestRouter(NonIdempotent)
	for i := range maxRepeatables + 10 {
		req := &request{RequestArrived: RequestArrived{Request: RequestID(strconv.Itoa(i)), Class: 1}}
		req.attempts = []*attempt{{state: attemptEnded, result: Cancelled}}
		r.rememberEnded(req)
	}
	assert.Len(t, r.endedRequests, maxRepeatables)
	assert.Len(t, r.endedIDs, maxRepeatables)
	assert.False(t, r.repeatsEnded(RequestArrived{Request: "9"}))
	assert.True(t, r.repeatsEnded(RequestArrived{Request: "10"}))
}

// Guards against a keyed request that runs in two cells, as a new process has taken the address of an endpoint whose
// connection broke. Only where every endpoint recognizes the key may the request go there again.
func TestKeyedRequestDoesNotReturnToAnEndpointThatMayBeReplaced(t *testing.T) {
	for scope, wants := range map[DeduplicationScope]map[AttemptResult]bool{
		AnyScope:  {ConnectionBroken: true, ServerError: true},
		ZoneScope: {ConnectionBroken: false, ServerError: true},
		CellScope: {ConnectionBroken: false, ServerError: true},
	} {
		for result, want := range wants {
			r := newTestRouter(WithIdempotencyKey)
			r.settings[ClassSetting(1, ClassDeduplicationScope)] = string(scope)
			e := r.findOrAddEndpoint("c1")
			req := &request{RequestArrived: RequestArrived{Request: "t", Class: 1}}
			req.attempts = []*attempt{{target: e, source: e, state: attemptEnded, result: result}}
			assert.Equal(t, want, r.inDeduplicationScope(req, e), "%v after %v", scope, result)
			assert.True(t, r.inDeduplicationScope(req, r.findOrAddEndpoint("c2")), "others of its cell")
		}
	}
}
