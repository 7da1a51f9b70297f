package routing

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client disconnects while its attempt is in flight, and the attempt then fails. A retry would load an endpoint
// without a recipient for the answer. No attempt must start, and the request must be removed.
func TestDisconnectedClientStartsNoAttempt(t *testing.T) {
	r := newTestRouter(Idempotent)
	addSentRequest(r, 0, true)
	r.Decide(100.1, ClientDisconnected{"t"})
	actions := r.Decide(100.2, AttemptEnded{Request: "t", Endpoint: "c0", Result: ServerError, RequestDone: true})
	assert.Empty(t, actionsOf[StartAttempt](actions))
	assert.Empty(t, r.requests)
}

// Without hedging, a second attempt beside a lost one would run the request at two endpoints at once. The lost attempt
// must be cancelled first, and the retry must wait for its end and use another endpoint.
func TestWithoutHedgingLostAttemptIsCancelledBeforeRetry(t *testing.T) {
	r := newTestRouter(Idempotent)
	r.settings[SettingHedging] = "false"
	req := addSentRequest(r, 0, true)
	req.attempts[0].suspectAt = 100.3
	r.now = 100.4
	r.plan(req) // unresponsive: cancelled, and its end is awaited
	assert.Equal(t, []CancelAttempt{{"t", 0}}, actionsOf[CancelAttempt](r.actions))
	assert.Len(t, req.attempts, 1)
	actions := r.Decide(100.41, AttemptEnded{Request: "t", Endpoint: "c0", Result: Cancelled})
	require.Len(t, actionsOf[StartAttempt](actions), 1)
	assert.NotEqual(t, EndpointID("c0"), actionsOf[StartAttempt](actions)[0].Endpoint)
}

// With an empty endpoint list no attempt is possible, and waiting for the deadline would only hold memory and the
// client. The request must be rejected immediately.
func TestRequestWithoutEndpointsIsRejectedAtOnce(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	r.Decide(100, EndpointUpdate{Kind: Snapshot})
	assert.Len(t, actionsOf[RejectRequest](r.Decide(100, newArrival("t", "x"))), 1)
}

// A request without an endpoint with capacity is given up once an attempt on full paths would end after its latency
// objective, or after its client's time: the rejection must not wait until that is over. A request that is too large
// for its time is given up immediately.
func TestRequestIsQueuedOnlyWhileAttemptCouldBeInTime(t *testing.T) {
	for _, test := range []struct{ kb, timeout, most float64 }{
		{20, 5, 0.54 - 1.5*0.02}, // at 1000 KB/s, with an objective of half a second plus two sending times
		{100, 5, 0.7 - 1.5*0.1},
		{20, 0.3, 0.3 - deadlineMarginSeconds - 1.5*0.02},
		{100, 0.15, 0},
		{4000, 5, 0},
	} {
		r := newTestRouter(Idempotent)
		for _, e := range r.endpoints {
			e.limiter.limit, e.limiter.recoveryThreshold = 0, 0
		}
		a := newArrival("t", "x")
		a.SizeKB, a.Deadline = test.kb, 100+test.timeout
		actions := r.Decide(100, a)
		if test.most > 0 {
			assert.Empty(t, actionsOf[RejectRequest](actions))
			r.now = 100 + test.most - 0.01
			r.plan(r.requests["t"])
			assert.Nil(t, finalAction(r))
			actions = r.Decide(100+test.most+0.001, TimerFired{r.requests["t"].token})
		}
		assert.Len(t, actionsOf[RejectRequest](actions), 1, "%+v", test)
	}
}

// The attempt of a queued request takes as long as recent ones did. Where these were slow for their size, fewer
// requests must wait, as their attempts would end too late.
func TestQueueTimeFollowsHowSlowAttemptsAre(t *testing.T) {
	r := newTestRouter(Idempotent)
	req := &request{RequestArrived: newArrival("t", "x"), arrivedAt: 100, objectiveSeconds: 0.7, sendSeconds: 0.1}
	assert.InDelta(t, 100.7-1.5*0.1, r.queueUntil(req), 1e-9, "nothing is known")
	for i := range maxSlownessSamples {
		r.recordSlowness(0.1 + 0.8*float64(i)/maxSlownessSamples)
	}
	expected := 0.1 + 0.8*0.9
	suspectSeconds := suspectShare*0.5 + suspectSendTimes*0.1
	assert.InDelta(t, 100.7-expected*suspectSeconds, r.queueUntil(req), 0.02*suspectSeconds)
	for range maxSlownessSamples {
		r.recordSlowness(0.01)
	}
	assert.InDelta(t, 100.7-1.5*0.1, r.queueUntil(req), 1e-9, "faster than paths at their limits can be")
}

// When capacity becomes available, a large request takes as much of it as several small ones of the same class. The
// queue must release the request with the highest priority weight per KB first.
func TestQueueReleasesHighestPriorityPerKBFirst(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	for _, c := range r.caches.endpoints {
		c.limiter.limit, c.limiter.recoveryThreshold = 0, 0
	}
	big, small := newArrival("big", "x"), newArrival("small", "x")
	big.SizeKB = 400
	r.Decide(100, big)
	r.Decide(100, small)
	req := addSentRequest(r, 0, true)
	r.moveRequest(req, requestEnded)
	for _, c := range r.caches.endpoints {
		c.limiter.limit = 0.5
	}
	acts := actionsOf[StartAttempt](r.Decide(100.05, AttemptEnded{Request: "t", Endpoint: "c0", Result: Cancelled}))
	require.NotEmpty(t, acts)
	assert.Equal(t, RequestID("small"), acts[0].Request)
}

// Missing settings, an empty list or endpoints without weight could cause divisions by zero or requests that are never
// answered. Each request must get exactly one final action.
func TestRequestsAreAnsweredWithMissingSettingsAndUnusualLists(t *testing.T) {
	lists := map[string][]Endpoint{"empty": nil, "one cache": {{ID: "c"}}, "zero weight": {{ID: "c"}, {ID: "d"}}}
	for name, rows := range lists {
		r := New(1, Settings{
			"unheard":                    "of",
			ClassSetting(0, ClassEffect): string(Idempotent),
			SettingParentKind:            "-1",
		})
		r.Decide(5, EndpointUpdate{Kind: Restored, Endpoints: rows})
		actions := r.Decide(5, RequestArrived{Request: "t", Object: "x", Deadline: 6})
		actions = append([]Action{}, actions...)
		actions = append(actions, r.Decide(6, TimerFired{1})...)
		assert.Equal(t, 1, len(actionsOf[RejectRequest](actions))+len(actionsOf[AbortRequest](actions)), name)
	}
}

// Decisions that depend on the order of a map or on the system clock could be neither replayed nor compared. The same
// events and seed must give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() (out []Action) {
		r := newTestRouter(WithIdempotencyKey)
		for i := range 60 {
			now := 100 + float64(i)/50
			out = append(out, r.Decide(now, newArrival(RequestID(strconv.Itoa(i)), fmt.Sprint("x", i%7)))...)
			if i%3 == 0 {
				end := AttemptEnded{Endpoint: "c0", Result: AttemptResult(i % 9)}
				end.Request = RequestID(strconv.Itoa(i / 2))
				out = append(out, r.Decide(now, end)...)
			}
		}
		return out
	}
	first, second := run(), run()
	assert.Equal(t, first, second)
}

// An attempt with a stalled connection is given up without ejecting its endpoint. If the request must not run twice,
// the router waits for the attempt instead.
func TestStalledAttemptIsGivenUpWithoutEjection(t *testing.T) {
	for effect, want := range map[Effect]attemptState{
		Idempotent:         attemptCancelled,
		WithIdempotencyKey: attemptCancelled,
		NonIdempotent:      attemptLost,
	} {
		r := newTestRouter(effect)
		r.settings[SettingHedging] = "false"
		req := addSentRequest(r, 0, true)
		req.attempts[0].suspectAt = 200
		r.Decide(100.2, AttemptStalled{Request: "t", Attempt: 7})
		r.Decide(100.2, AttemptStalled{Request: "gone"})
		assert.Equal(t, attemptAwaited, req.attempts[0].state)
		r.Decide(100.2, AttemptStalled{Request: "t", Attempt: 0})
		assert.Equal(t, want, req.attempts[0].state, effect)
		assert.Zero(t, r.findOrAddEndpoint("c0").ejectedUntil)
	}
}
