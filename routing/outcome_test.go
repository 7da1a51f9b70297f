package routing

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A failing origin fails every fill through its parents. Counting these failures against the parents would eject them
// one by one, until nothing can be filled. The limit of the origin must decrease; the parent must keep its limit and
// must not be ejected.
func TestOriginFailureIsNotCountedAgainstParent(t *testing.T) {
	r := newTestRouter(Idempotent)
	req := addSentRequest(r, 0, true)
	p, o := r.findOrAddEndpoint("p0"), r.findOrAddEndpoint("o")
	req.attempts[0].source, req.attempts[0].fill = p, fillExpected
	o.limiter.limit, p.limiter.limit = 10, 10
	for range 6 {
		r.processOutcome(req, req.attempts[0], AttemptEnded{Result: ServerError, Detail: OriginFailed})
	}
	assert.Less(t, o.limiter.limit, 10.0)
	assert.Equal(t, 10.0, p.limiter.limit) //nolint:testifylint // exact by intent
	assert.Zero(t, p.ejectedUntil)
}

// An immediate refusal was made by the cache itself, whose fill slots are occupied; a later one came from the source.
// Attributing it to the wrong one lowers a limit that is not at fault, so its duration must decide.
func TestUnexplainedRefusalIsAttributedByItsDuration(t *testing.T) {
	for took, link := range map[float64]bool{localRefusalSeconds / 2: true, localRefusalSeconds * 2: false} {
		r := newTestRouter(Idempotent)
		r.settings[SettingResultDetails] = DetailsOfHits
		req := addSentRequest(r, 0, true)
		p := r.findOrAddEndpoint("p0")
		req.attempts[0].source, req.attempts[0].fill = p, fillExpected
		r.zoneLink.minLimit = 1 // path shared with other routers
		before, source := r.zoneLink.limit, p.limiter.limit
		r.processOutcome(req, req.attempts[0], AttemptEnded{Result: Overloaded, ElapsedSeconds: took})
		assert.Equal(t, link, r.zoneLink.limit < before)
		assert.Equal(t, !link, p.limiter.limit < source)
	}
}

// A single refused fill only lowers the limit of the source, whatever its cause; repeated ones must eject the source.
func TestRepeatedlyRefusedFillsEjectTheirSource(t *testing.T) {
	r := newTestRouter(Idempotent)
	r.settings[SettingResultDetails] = DetailsOfHits
	p := r.findOrAddEndpoint("p0")
	for i := range ejectFailureCount {
		assert.Zero(t, p.ejectedUntil, "after %d", i)
		req := addSentRequest(r, 0, true)
		req.attempts[0].source, req.attempts[0].fill = p, fillExpected
		r.processOutcome(req, req.attempts[0], AttemptEnded{Result: Overloaded, ElapsedSeconds: 0.8})
	}
	assert.Greater(t, p.ejectedUntil, r.now)
	assert.Zero(t, r.findOrAddEndpoint("c0").ejectedUntil)
}

// A request that no endpoint can serve fails at all of them. Counting each of its failures immediately would eject one
// endpoint after another, although they work. Failures must count only after another endpoint has completed the same
// request; without such an endpoint, none must be ejected.
func TestErrorCountsOnlyOnceRequestCompletesElsewhere(t *testing.T) {
	for _, completed := range []bool{false, true} {
		r := newTestRouter(Idempotent)
		for range 2 * ejectFailureCount {
			req := addSentRequest(r, 0, true)
			r.Decide(100, AttemptEnded{Request: "t", Endpoint: "c0", Result: ServerError})
			require.Len(t, req.attempts, 2, "retried")
			result := ServerError
			if completed {
				result = Completed
			}
			r.Decide(100.01, AttemptEnded{
				Request:     "t",
				Attempt:     1,
				Endpoint:    req.attempts[1].target.ID,
				Result:      result,
				Detail:      CacheHit,
				RequestDone: completed,
			})
		}
		assert.Equal(t, completed, r.findOrAddEndpoint("c0").ejectedUntil > r.now)
	}
}

// Guards against requests that wait, although there is capacity for them, behind others that have tried all endpoints
// and may use none for a moment: the end of an attempt must reach them too, and the pause must end by itself.
func TestPausedRequestsDoNotHoldUpTheQueue(t *testing.T) {
	r := newTestRouter(Idempotent)
	setLimits := func(limit float64) {
		for _, e := range r.endpoints {
			e.limiter.limit, e.limiter.recoveryThreshold = limit, 0
		}
	}
	setLimits(0)
	for i := range 2 * maxQueuePlans {
		id := RequestID("paused" + strconv.Itoa(i))
		r.Decide(100, newArrival(id, "x"))
		for _, cache := range []EndpointID{"c0", "c1", "c2"} {
			e := r.findOrAddEndpoint(cache)
			tried := &attempt{target: e, source: e, state: attemptEnded, result: NotSent, endedAt: 100}
			r.requests[id].attempts = append(r.requests[id].attempts, tried)
		}
		r.plan(r.requests[id])
	}
	r.Decide(100, newArrival("ready", "x"))
	require.Len(t, r.queue, 2*maxQueuePlans+1)
	assert.InDelta(t, 100+endpointPauseSeconds, r.requests["paused0"].timerAt, 1e-9)
	setLimits(1)
	req := addSentRequest(r, 0, true)
	r.moveRequest(req, requestEnded)
	acts := actionsOf[StartAttempt](r.Decide(100.05, AttemptEnded{Request: "t", Endpoint: "c0", Result: Cancelled}))
	require.NotEmpty(t, acts)
	assert.Contains(t, startedRequests(acts), RequestID("ready"))
}

// startedRequests returns the requests of attempts.
func startedRequests(acts []StartAttempt) (ids []RequestID) {
	for _, a := range acts {
		ids = append(ids, a.Request)
	}
	return ids
}
