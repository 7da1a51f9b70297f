package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Hundreds of routers share an endpoint, each with a limit far below one attempt. One attempt in flight from each would
// overload the endpoint. After an attempt the limiter must pause for as long as its share requires, but not after an
// attempt that never reached the endpoint.
func TestLimiterBelowOnePausesBetweenAttempts(t *testing.T) {
	l := limiter{limit: 0.25, recoveryThreshold: 0.25, growthStep: 0.1}
	require.True(t, l.hasCapacity(100))
	l.inFlight++
	assert.False(t, l.hasCapacity(100))
	l.release(101, 1, 1, true) // in flight for 1 s: paused for 3 s more
	assert.False(t, l.hasCapacity(103.9))
	assert.True(t, l.hasCapacity(104))
	l.pausedUntil = 0
	l.release(105, 1, 1, false) // the endpoint was not reached
	assert.True(t, l.hasCapacity(105))
}

// One late answer among many timely ones is chance, and must not lower the limit for long. One congestion delays all
// attempts in flight, and decreasing the limit for each would take it to its minimum. A single late answer must have no
// effect, a refusal must count immediately, and one congestion must count once.
func TestLimiterIgnoresOneLateAnswerButNotRefusals(t *testing.T) {
	l := limiter{limit: 10, recoveryThreshold: 10, lateSamples: []float64{0, 0, 0, 0, 0, 0}}
	l.decrease(100, false)
	assert.Equal(t, 10.0, l.limit) //nolint:testifylint // exact by intent
	l.decrease(100, true)
	assert.Equal(t, 10*decreaseFactor, l.limit) //nolint:testifylint // exact by intent
	l.decrease(100.1, true)
	//nolint:testifylint // exact by intent
	assert.Equal(t, 10*decreaseFactor, l.limit, "attempts in flight meanwhile report the same congestion")
}

// Timely answers must not raise the limit faster than the late ones among them lower it, regardless of how many routers
// share the endpoint.
func TestLimiterShrinksWhileOneAnswerInFiveIsLate(t *testing.T) {
	for _, routersSharing := range []float64{3, 30, 300} {
		var l limiter
		l.setShare(10, routersSharing)
		l.inFlight = 8
		for i := range 200 {
			if i%5 == 4 {
				l.decrease(100+float64(i)/10, false)
			} else {
				l.increase()
			}
		}
		assert.Less(t, l.limit, 8.0, "%v routers", routersSharing)
	}
}

// A deployment that reports only hits does not reveal why a fill was late. If neither the source nor the link were held
// responsible, their congestion would go undetected. Both limits must decrease.
func TestUnexplainedLateFillLowersSourceAndLinkLimits(t *testing.T) {
	r := newTestRouter(Idempotent)
	r.settings[SettingResultDetails] = DetailsOfHits
	req := addSentRequest(r, 0, true)
	a := req.attempts[0]
	a.source, a.fill, a.suspectAt = r.findOrAddEndpoint("p0"), fillExpected, 100.2
	r.zoneLink.minLimit = 1
	before := [2]float64{a.source.limiter.limit, r.zoneLink.limit}
	r.adjustLimits(req, a, AttemptEnded{ElapsedSeconds: 0.6}, true)
	assert.Less(t, a.source.limiter.limit, before[0])
	assert.Less(t, r.zoneLink.limit, before[1])
}

// During congestion so severe that no answer is in time, no late answer indicates it either: unanswered attempts must
// lower the limits of their path.
func TestUnansweredAttemptsLowerLimitsOfTheirPath(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(*attempt)
		decreases bool
	}{
		"in flight at the deadline":        {func(*attempt) {}, true},
		"sent shortly before the deadline": {func(a *attempt) { a.sentAt = 104.8 }, false},
		"presumed lost":                    {func(a *attempt) { a.move(attemptLost) }, false},
		"cancelled earlier":                {func(a *attempt) { a.state, a.result = attemptEnded, Cancelled }, false},
	} {
		r := newTestRouter(Idempotent)
		r.settings[SettingResultDetails] = DetailsOfHits
		req := addSentRequest(r, 0, true)
		a, o := req.attempts[0], r.findOrAddEndpoint("o")
		a.source, a.fill, a.originLimiter, a.suspectAt = r.findOrAddEndpoint("p0"), fillExpected, &o.limiter, 100.4
		cache := a.target.limiter.limit
		limiters := []*limiter{&a.source.limiter, &r.zoneLink, &o.limiter}
		var before []float64
		for _, g := range limiters {
			g.minLimit = 0.1
			before = append(before, g.limit)
		}
		c.change(a)
		r.now = req.Deadline
		r.plan(req)
		assert.IsType(t, RejectRequest{}, finalAction(r), name)
		for i, g := range limiters {
			assert.Equal(t, c.decreases, g.limit < before[i], "%s, path %d", name, i)
		}
		//nolint:testifylint // exact by intent
		assert.Equal(t, cache, a.target.limiter.limit, "%s: the cache is not at fault for a fill", name)
	}
}

// A limit of a path that many routers share decreases with each congestion that any of them causes, until it admits
// nothing. It must keep a minimum that depends on the number of routers.
func TestSharedPathLimitsKeepAHigherMinimum(t *testing.T) {
	for n, minimum := range map[float64]float64{1: 10, 4: 5, 400: 10 * minLimitShare} {
		l := limiter{}
		l.setShare(10, n)
		l.raiseMinimum(n)
		for i := range 50 {
			l.decrease(float64(i), true)
		}
		assert.InDelta(t, minimum, l.limit, 1e-9, "%v routers", n)
	}
}

// An endpoint in its recovery ramp, with a limit below the minimum, refuses an attempt. Decreasing the limit "down" to
// that minimum would raise it and send the cold endpoint more attempts because it refused one (rule 4). The limit must
// stay, and its recovery threshold must fall.
func TestDecreaseNeverRaisesALimit(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 2, 4, 20} {
		l := limiter{}
		l.setShare(20, 1)
		l.limit = limit // as set by an ejection or a slow start; the minimum is 4
		for now := range 10 {
			limitBefore, thresholdBefore := l.limit, l.recoveryThreshold
			l.decrease(100+float64(now), true)
			assert.LessOrEqual(t, l.limit, limitBefore)
			assert.LessOrEqual(t, l.recoveryThreshold, thresholdBefore)
			assert.GreaterOrEqual(t, l.recoveryThreshold, l.minLimit)
			assert.Equal(t, limit >= l.minLimit, l.recovered(), "the ramp continues only below the minimum")
		}
		assert.InDelta(t, l.minLimit, l.recoveryThreshold, 1e-9)
	}
}
