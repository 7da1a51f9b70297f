package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A hung endpoint keeps its connections open and answers nothing. Its requests would wait until their deadlines, and it
// would be sent more of them. It must be ejected, and the request must get a second attempt at another endpoint while
// the first is in flight.
func TestUnresponsiveEndpointIsEjectedAndAttemptHedged(t *testing.T) {
	r := newTestRouter(Idempotent)
	req := addSentRequest(r, 0, true)
	req.attempts[0].suspectAt = 100.25
	r.now = 100 + minSilenceSeconds + 0.01
	r.plan(req)
	assert.Greater(t, r.findOrAddEndpoint("c0").ejectedUntil, r.now)
	require.Len(t, req.attempts, 2)
	assert.NotEqual(t, EndpointID("c0"), req.attempts[1].target.ID)
	assert.Empty(t, actionsOf[CancelAttempt](r.actions), "the second attempt runs beside the first")
}

// A router with few requests to a cache gets no response during a long transfer. The attempt is lost only if it is
// slower for its size, by a margin, than all recent ones.
func TestLongTransferDoesNotMakeEndpointUnresponsive(t *testing.T) {
	for _, slow := range [][]float64{nil, {0.7, 2, 0.9}} {
		r := newTestRouter(Idempotent)
		r.slownessSamples = slow
		c, a := r.findOrAddEndpoint("c0"), addSentRequest(r, 0, true).attempts[0]
		a.suspectAt = 102 // suspected after two seconds, because of its size
		bound := 2 * lostSlownessFactor * r.maxSlowness()
		r.now = 100 + bound - 0.01
		assert.False(t, r.reviewSuspected(a))
		assert.Zero(t, c.ejectedUntil)
		r.now = 100 + bound + 0.01
		assert.True(t, r.reviewSuspected(a))
		assert.Greater(t, c.ejectedUntil, r.now)
	}
}

// An endpoint that answers other attempts while one is late must not be ejected: it works. A response since the attempt
// was sent shows that.
func TestRespondingEndpointIsNotUnresponsive(t *testing.T) {
	r := newTestRouter(Idempotent)
	req := addSentRequest(r, 0, true)
	r.findOrAddEndpoint("c0").recordResponse(100.1)
	r.now = 101
	assert.False(t, r.reviewSuspected(req.attempts[0]))
}

// A common cause may eject all endpoints at once. A router that used none of them would reject all requests until the
// first ejection ends. It must still send the request.
func TestEjectedEndpointsAreUsedWhenAllAreEjected(t *testing.T) {
	r := newTestRouter(WithIdempotencyKey)
	for _, e := range r.endpoints {
		e.ejectedUntil = 200
	}
	assert.Len(t, actionsOf[StartAttempt](r.Decide(100, newArrival("t", "x"))), 1)
}

// An endpoint without traffic for a minute answers once and hangs. Counting the minute as a response interval would
// hide the hang, and requests would wait for their deadlines. The endpoint must be found unresponsive as soon as one
// without the pause.
func TestHangAfterTrafficPauseIsDetected(t *testing.T) {
	for name, pause := range map[string]float64{"a minute": 60, "ten seconds": 10, "none": 0.1} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(Idempotent)
			c, req := r.findOrAddEndpoint("c0"), addSentRequest(r, 0, true)
			for n := range maxResponseSamples {
				c.respondedAt = append(c.respondedAt, 99.9-pause-0.1*float64(maxResponseSamples-n))
			}
			c.recordResponse(99.9)
			req.attempts[0].suspectAt = 100.25
			for waited := 0.25; len(req.attempts) == 1 && waited < 5; waited += 0.01 {
				r.now = 100 + waited
				r.plan(req)
			}
			assert.Len(t, req.attempts, 2)
			assert.Less(t, r.now-100, silenceIntervals*0.1+minSilenceSeconds)
		})
	}
}

// Response intervals vary. An interval a few times as long as the others is not a pause in the traffic; excluding it
// would make a router find the endpoint unresponsive during the next such interval.
func TestVaryingResponseIntervalsAreNotTrafficPauses(t *testing.T) {
	e := &endpoint{}
	at := 100.0
	for _, interval := range []float64{1, 1, 1, 1, 1, 1, 1, 1, 9} {
		e.recordResponse(at)
		at += interval
	}
	e.recordResponse(at)
	assert.InDelta(t, 17.0/9, e.responseIntervalSeconds(), 1e-9)
	e.recordResponse(at + 100)
	assert.InDelta(t, 16.0/8, e.responseIntervalSeconds(), 1e-9, "a hundred seconds count as a pause")
	e.respondedAt = e.respondedAt[maxResponseSamples-3:]
	assert.InDelta(t, 109.0/2, e.responseIntervalSeconds(), 1e-9, "two intervals are too few to detect a pause")
}

// An endpoint with little traffic responds seldom. A fixed bound would find it unresponsive during a usual pause, so
// the bound must be a multiple of its mean response interval.
func TestUnresponsiveThresholdScalesWithResponseInterval(t *testing.T) {
	r := newTestRouter(Idempotent)
	c, a := r.findOrAddEndpoint("c0"), addSentRequest(r, 0, true).attempts[0]
	c.respondedAt, a.suspectAt = []float64{96, 97, 98, 99}, 100.2
	for wait, want := range map[float64]bool{silenceIntervals - 0.1: false, silenceIntervals + 0.1: true} {
		r.now, c.ejectedUntil = 100+wait, 0
		assert.Equal(t, want, r.reviewSuspected(a), "after %v s", wait)
		assert.Equal(t, want, c.ejectedUntil > r.now)
	}
}

// An attempt slower than all recent answers is retried at another endpoint once most such attempts got no answer. The
// next such attempt waits longer.
func TestUnansweredAttemptIsLostWhileEndpointResponds(t *testing.T) {
	for _, lost := range []bool{true, false} {
		r := newTestRouter(Idempotent)
		for range maxSlownessSamples {
			r.slownessSamples = append(r.slownessSamples, 2)
		}
		late := func() *request {
			req := addSentRequest(r, 0, true)
			req.attempts[0].suspectAt = 100.25
			r.findOrAddEndpoint("c0").recordResponse(100.2)
			return req
		}
		for range ejectFailureCount {
			code := Cancelled
			if !lost {
				code = ServerError // the late answer did arrive
			}
			r.processOutcome(late(), r.requests["t"].attempts[0], AttemptEnded{Result: code, ElapsedSeconds: 0.75})
		}
		req := late()
		r.Decide(100.5, TimerFired{1})
		assert.Len(t, req.attempts, 1, "as slow as other attempts")
		r.Decide(100.75, TimerFired{1})
		assert.Equal(t, lost, len(req.attempts) == 2)
		assert.Zero(t, r.findOrAddEndpoint("c0").ejectedUntil)
		if lost {
			assert.NotEqual(t, EndpointID("c0"), req.attempts[1].target.ID)
			assert.InDelta(t, 3*lostSlownessFactor, r.slownessSamples[len(r.slownessSamples)-1], 1e-6)
		}
	}
}

// Suspicion by other routers ejects nothing by itself; with it, a single failure seen by this router is enough. The
// suspicion expires.
func TestHealthObservationAloneEjectsNothing(t *testing.T) {
	ejects := map[float64]bool{0: false, suspicionThreshold / 2: false, suspicionThreshold: true, 1: true}
	for suspicion, want := range ejects {
		r := newTestRouter(Idempotent)
		c := r.findOrAddEndpoint("c0")
		r.Decide(r.now, HealthObservation{Endpoint: "c0", Suspicion: suspicion, ValidSeconds: 10})
		r.Decide(r.now, HealthObservation{Endpoint: "nobody", Suspicion: suspicion, ValidSeconds: 10})
		assert.Zero(t, c.ejectedUntil)
		r.recordResult(c, false)
		assert.Zero(t, c.ejectedUntil, "suspicion %v", suspicion)
		r.recordResult(c, true)
		assert.Equal(t, want, c.ejectedUntil > r.now, "suspicion %v", suspicion)
		if want {
			assert.InDelta(t, min(firstEjectionSeconds*4, maxEjectionSeconds), c.ejectedUntil-r.now, 1e-9,
				"as long as for an endpoint with earlier ejections: other routers suspect it")
		}
	}
	r := newTestRouter(Idempotent)
	c := r.findOrAddEndpoint("c0")
	r.Decide(r.now, HealthObservation{Endpoint: "c0", Suspicion: 1, ValidSeconds: 10})
	r.now += 11
	r.recordResult(c, true)
	assert.Zero(t, c.ejectedUntil, "the suspicion has expired")
}

// The maximum ejection time masks both the number of ejections that a suspicion counts as and the number of doublings.
// The former is checked by the sum that equals the maximum, the latter by an endpoint that fails forever.
func TestEjectionDurationDoublesUpToMaximum(t *testing.T) {
	r := newTestRouter(Idempotent)
	c := r.findOrAddEndpoint("c0")
	for i, want := range []float64{1, 2, 4, 4, 4} {
		r.ejectOrDecreaseLimit(c)
		assert.InDelta(t, want, c.ejectedUntil-r.now, 1e-9, "ejection %d", i)
		r.now = c.ejectedUntil
	}
	c.ejections = 1 << 40
	r.ejectOrDecreaseLimit(c)
	assert.InDelta(t, 4, c.ejectedUntil-r.now, 1e-9, "after very many ejections")
	suspected := r.findOrAddEndpoint("c1")
	suspected.suspectedUntil = r.now + 1
	r.ejectOrDecreaseLimit(suspected)
	assert.InDelta(t, 4, suspected.ejectedUntil-r.now, 1e-9)
	whenSuspected := firstEjectionSeconds * math.Pow(2, suspicionEjections)
	//nolint:testifylint // exact by intent
	assert.Equal(t, maxEjectionSeconds, whenSuspected, "exactly the maximum ejection time")
}
