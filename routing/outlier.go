package routing

import (
	"math"
	"slices"
)

// When an attempt is suspected, and when it is lost.
const (
	suspectShare            = 0.5  // share of the unstretched objective after which an attempt is suspected
	suspectSendTimes        = 1.3  // sending times added to that: a busy link stretches a transfer
	suspectRecheckSeconds   = 0.1  // time between reviews of a suspected attempt
	minSilenceSeconds       = 0.35 // time without a sound of a target before it is silent: over usual pauses
	minSourceSilenceSeconds = 0.7  // likewise of a source: its answers come through the target
	silenceIntervals        = 4.0  // usual intervals between sounds after which an endpoint is silent
	maxHeardTimes           = 10   // last times at which an endpoint was heard: their intervals are the usual ones
	lostSlownessFactor      = 1.3  // times as slow as any of late that a lost attempt is: congestion slows all
	maxSlownessSamples      = 64   // last answered attempts that are meant by that: durations vary widely
	maxUnansweredSamples    = 10   // last attempts slower than all of those: few, so that changes show soon
	minUnansweredSamples    = 4    // number of them before their share counts: fewer are chance
	unansweredShare         = 0.5  // share of them without an answer from which another one is lost
)

// When an endpoint is ejected, and for how long.
const (
	maxResultSamples     = 10  // last results of an endpoint that count: few, so that changes show soon
	ejectFailureCount    = 4   // number of failures among them that ejects at least: fewer are chance
	ejectFailureShare    = 0.5 // share of them that ejects: below it attempts cost less than a lost cache
	firstEjectionSeconds = 1.0 // time of the first ejection; each further one is twice as long
	maxEjectionSeconds   = 4.0 // time of the longest: an endpoint that is back is wanted soon
	limitAfterEjection   = 1.0 // attempts in flight at an endpoint that returns, in a recovery ramp
	suspicionThreshold   = 0.5 // suspicion, of 1, from which one own failure ejects: two honest routers say so
	suspicionEjections   = 2.0 // number of earlier ejections that other routers' suspicion counts for
)

// suspectTime is when an attempt that is sent at a time is suspected: after a share of its class's objective, which is
// that of a request without size, and some sending times of its size.
func suspectTime(sentAt, objectiveSeconds, sendSeconds float64) float64 {
	return sentAt + suspectShare*objectiveSeconds + suspectSendTimes*sendSeconds
}

// healthObserved takes other routers' suspicion of an endpoint. It ejects nothing by itself, because other routers may
// be wrong or lie: an attempt of this router has to fail too.
func (r *Router) healthObserved(ev HealthObservation) {
	if e := r.findEndpoint(ev.Endpoint); e != nil {
		e.suspectedUntil = r.now
		if ev.Suspicion >= suspicionThreshold {
			e.suspectedUntil = r.now + ev.ValidSeconds
		}
	}
}

// reviewSuspected says whether a suspected attempt is lost. It is if its endpoint is silent, which is then ejected or
// has its limit decreased. It is too if it is slower for its size than any of late and such attempts go unanswered.
func (r *Router) reviewSuspected(a *attempt) bool {
	if silent := r.silentEndpoint(a); silent != nil {
		r.ejectOrDecreaseLimit(silent)
		return true
	}
	slowness := a.slowness(r.now - a.sentAt)
	if !r.slowestGoUnanswered() || slowness <= r.greatestSlowness() {
		return false
	}
	raised := lostSlownessFactor * slowness // so that the next one waits longer
	r.slownessSamples = appendSample(r.slownessSamples, raised, maxSlownessSamples)
	return true
}

// silentEndpoint is the target of a suspected attempt, or else its source, if it is silent; nil where neither is.
//
// It guards against hangs, lost machines and cut paths. They show as attempts without any end, and as no other answer
// of that endpoint since. Silence alone is no proof: nothing is heard during a long transfer, and a router with few
// requests seldom hears an endpoint. So it has to last several times as long as usual, and the attempt has to be slower
// for its size than any of late. It does harm where all become slow at once.
func (r *Router) silentEndpoint(a *attempt) *endpoint {
	switch {
	case a.target.lastHeardAt() < a.sentAt:
		if r.silentForTooLong(a, minSilenceSeconds, a.target.heardIntervalSeconds()) {
			return a.target
		}
	case a.fill.missExpected() && a.source.lastHeardAt() < a.sentAt:
		if r.silentForTooLong(a, minSourceSilenceSeconds, a.source.heardIntervalSeconds()) {
			return a.source
		}
	}
	return nil
}

// silentForTooLong says whether an endpoint that was not heard since an attempt was sent is silent. The silence has to
// be longer than the least and than some of the endpoint's usual intervals, both in seconds.
func (r *Router) silentForTooLong(a *attempt, leastSeconds, usualIntervalSeconds float64) bool {
	inFlightSeconds := r.now - a.sentAt
	if inFlightSeconds <= max(leastSeconds, silenceIntervals*usualIntervalSeconds) {
		return false
	}
	answeredOfLate := a.slowness(inFlightSeconds) <= lostSlownessFactor*r.greatestSlowness()
	return !answeredOfLate
}

// slowestGoUnanswered says whether most attempts that were slower than any of late had no answer. It guards against
// answers that never come from endpoints that answer others: these show as requests that end at their deadline after
// one attempt. Where slow answers come in the end their share is low, and nothing is given up.
func (r *Router) slowestGoUnanswered() bool {
	return len(r.unansweredSamples) >= minUnansweredSamples && mean(r.unansweredSamples) >= unansweredShare
}

// slowness is the seconds that an attempt is in flight over those after which it is suspected, which go by its size. It
// is 0 for an attempt that was taken for lost, however long it lasts: its suspectAt is +Inf.
func (a *attempt) slowness(inFlightSeconds float64) float64 {
	return inFlightSeconds / (a.suspectAt - a.sentAt)
}

// greatestSlowness is that of the last attempts that had an answer, 1 at least.
func (r *Router) greatestSlowness() float64 {
	greatest := 1.0
	for _, slowness := range r.slownessSamples {
		greatest = max(greatest, slowness)
	}
	return greatest
}

// recordSlowest takes the end of an attempt that was slower than all of late, once there are enough of these: whether
// there was no answer.
func (r *Router) recordSlowest(slowness float64, result AttemptResult) {
	if len(r.slownessSamples) == maxSlownessSamples && slowness > slices.Max(r.slownessSamples) {
		unanswered := indicator(result == Cancelled || result == TimedOut)
		r.unansweredSamples = appendSample(r.unansweredSamples, unanswered, maxUnansweredSamples)
	}
}

// stateOfLost is the state of an attempt that is taken for lost. It is left in flight where two may run, and where
// cancelling would lose the answer of a request that must not run again.
func (r *Router) stateOfLost(req *request) attemptState {
	if r.settings.Bool(SettingHedging) || r.class(req.Class).effect == NonIdempotent {
		return attemptLost
	}
	return attemptAbandoned
}

// hasAlternative says whether another endpoint is ready and not ejected that can stand in: an edge cache of this zone
// for one of these, a parent for all others. That includes origins and edge caches of other zones, which matters only
// where an endpoint got that role after an attempt or an ejection: an origin is not ejected, and an edge cache of
// another zone is not chosen.
func (r *Router) hasAlternative(e *endpoint) bool {
	alternatives := r.parents.endpoints
	if e.role == edgeCache {
		alternatives = r.caches.endpoints
	}
	return slices.ContainsFunc(alternatives, func(other *endpoint) bool {
		return other != e && other.ejectedUntil <= r.now
	})
}

// barredByEjection says whether an ejected endpoint is left out at a fallback level. At the last level it is used
// if all of its role are ejected: requests would find nobody else. A full alternative does not open it, as a burst
// would then be sent to the endpoint that failed.
func (r *Router) barredByEjection(e *endpoint, level fallbackLevel) bool {
	return e.ejectedUntil > r.now && (level < ejectedAllowed || r.hasAlternative(e))
}

// mayEject allows an ejection where another endpoint can stand in. It guards against ejecting all endpoints of a role:
// where all fail the cause is common, as with requests that nobody can serve or an origin that is down.
func (r *Router) mayEject(e *endpoint) bool { return e.role != originServer && r.hasAlternative(e) }

// ejectionSeconds is how long an endpoint is ejected that was so some times since it last worked. Other routers'
// suspicion counts like earlier ejections.
func ejectionSeconds(ejections int, suspected bool) float64 {
	doublings := float64(ejections)
	if suspected {
		doublings += suspicionEjections
	}
	return min(firstEjectionSeconds*math.Pow(2, doublings), maxEjectionSeconds)
}

// ejectOrDecreaseLimit keeps attempts from an endpoint for a while. Where it may not be ejected, its limit decreases.
// An ejection that is under way stays as it is.
func (r *Router) ejectOrDecreaseLimit(e *endpoint) {
	if !r.mayEject(e) {
		e.limiter.decrease(r.now, true)
		return
	}
	if e.ejectedUntil > r.now {
		return
	}
	e.ejectedUntil = r.now + ejectionSeconds(e.ejections, r.now < e.suspectedUntil)
	e.ejections++
	e.recentFailures = nil
	e.limiter.limit = limitAfterEjection
}

// recordResult counts a result of an endpoint: errors, refused fills, broken connections and completed attempts.
func (r *Router) recordResult(e *endpoint, failed bool) {
	if !failed && e.limiter.atProvenLimit() {
		e.ejections = 0
	}
	e.recentFailures = appendSample(e.recentFailures, indicator(failed), maxResultSamples)
	if failed && failuresEject(e.recentFailures, e.ejections > 0, r.now < e.suspectedUntil) {
		r.ejectOrDecreaseLimit(e)
	}
}

// failuresEject says whether an endpoint whose last attempt failed is ejected: when half of its last few failed, or at
// once when all since an ejection failed or others suspect it.
func failuresEject(results []float64, ejectedBefore, suspected bool) bool {
	share := mean(results)
	often := share*float64(len(results)) >= ejectFailureCount && share >= ejectFailureShare
	return (ejectedBefore && share == 1) || suspected || often
}
