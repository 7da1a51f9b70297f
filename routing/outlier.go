package routing

import (
	"math"
	"slices"
)

// Thresholds for suspecting an attempt and for presuming it lost.
const (
	suspectShare            = 0.5  // share of the unstretched objective after which an attempt is suspected
	suspectSendTimes        = 1.3  // sending times added to the suspicion time: a busy link stretches a transfer
	suspectRecheckSeconds   = 0.1  // interval between reviews of a suspected attempt
	minSilenceSeconds       = 0.35 // minimum time without a response of a target: above usual pauses
	minSourceSilenceSeconds = 0.7  // minimum time without a response of a source: it responds through the target
	silenceIntervals        = 4.0  // mean response intervals without a response after which an endpoint is unresponsive
	maxResponseSamples      = 10   // recent responses sampled for the mean response interval
	lostSlownessFactor      = 1.3  // slowness of a lost attempt over the slowest recent answer: congestion slows all
	maxSlownessSamples      = 64   // recent completed or lost attempts sampled for slowness: durations vary widely
	maxUnansweredSamples    = 10   // recent attempts slower than all slownessSamples: few, to follow changes quickly
	minUnansweredSamples    = 4    // unansweredSamples required before their share is used: fewer are chance
	unansweredShare         = 0.5  // share of unansweredSamples from which one slower than all slownessSamples is lost
)

// Thresholds and durations of outlier ejection.
const (
	maxResultSamples     = 10  // recent results of an endpoint that count: few, to follow changes quickly
	ejectFailureCount    = 4   // failures among the recent results that eject: fewer are chance
	ejectFailureShare    = 0.5 // share of failures that ejects: below it, losing the cache costs more
	firstEjectionSeconds = 1.0 // duration of the first ejection; it doubles with each further one
	maxEjectionSeconds   = 4.0 // longest ejection: a recovered endpoint is used again soon
	limitAfterEjection   = 1.0 // limit after an ejection, in attempts in flight; a recovery ramp if below the threshold
	suspicionThreshold   = 0.5 // suspicion (0 to 1) for one own failure to eject: two honest routers' reports suffice
	suspicionEjections   = 2.0 // earlier ejections that the suspicion of other routers counts as
)

// suspectTime returns when an attempt sent at a time becomes suspected: after a share of its class's objective for a
// request without size, and a number of sending times of its size.
func suspectTime(sentAt, objectiveSeconds, sendSeconds float64) float64 {
	return sentAt + suspectShare*objectiveSeconds + suspectSendTimes*sendSeconds
}

// healthObserved records the suspicion of other routers about an endpoint. It ejects nothing by itself, because other
// routers may be wrong or malicious: an attempt of this router has to fail as well.
func (r *Router) healthObserved(ev HealthObservation) {
	if e := r.findEndpoint(ev.Endpoint); e != nil {
		e.suspectedUntil = r.now
		if ev.Suspicion >= suspicionThreshold {
			e.suspectedUntil = r.now + ev.ValidSeconds
		}
	}
}

// reviewSuspected reports whether a suspected attempt is presumed lost. It is lost if its endpoint is unresponsive;
// that endpoint is then ejected or has its limit decreased. It is also lost if it is slower for its size than all
// recent answers and such attempts mostly go unanswered.
func (r *Router) reviewSuspected(a *attempt) bool {
	if unresponsive := r.unresponsiveEndpoint(a); unresponsive != nil {
		r.ejectOrDecreaseLimit(unresponsive)
		return true
	}
	slowness := a.slowness(r.now - a.sentAt)
	if !r.slowestGoUnanswered() || slowness <= r.maxSlowness() {
		return false
	}
	raised := lostSlownessFactor * slowness // the next such attempt waits longer
	r.recordSlowness(raised)
	return true
}

// unresponsiveEndpoint returns the unresponsive endpoint of a suspected attempt, or nil. It checks the target if that
// has not responded since the attempt was sent. Only if the target has, it checks the source, which responds through
// the target, provided that a miss is expected.
//
// It guards against hung or lost machines and broken network paths: attempts never end, and the endpoint answers
// nothing else meanwhile. Missing responses alone are no proof: an endpoint may send none during a long transfer, and a
// router with few requests seldom gets a response. The time without a response therefore has to exceed several mean
// response intervals, and the attempt has to be slower for its size than all recent ones. The check is harmful when all
// attempts become slow at once.
func (r *Router) unresponsiveEndpoint(a *attempt) *endpoint {
	switch {
	case a.target.lastResponseAt() < a.sentAt:
		if r.isUnresponsive(a, minSilenceSeconds, a.target.responseIntervalSeconds()) {
			return a.target
		}
	case a.fill.expectsMiss() && a.source.lastResponseAt() < a.sentAt:
		if r.isUnresponsive(a, minSourceSilenceSeconds, a.source.responseIntervalSeconds()) {
			return a.source
		}
	}
	return nil
}

// isUnresponsive reports whether an endpoint that has not responded since an attempt was sent is unresponsive. The time
// without a response has to exceed both a minimum and a multiple of the endpoint's mean response interval, both in
// seconds.
func (r *Router) isUnresponsive(a *attempt, minSeconds, meanIntervalSeconds float64) bool {
	inFlightSeconds := r.now - a.sentAt
	if inFlightSeconds <= max(minSeconds, silenceIntervals*meanIntervalSeconds) {
		return false
	}
	withinRecentRange := a.slowness(inFlightSeconds) <= lostSlownessFactor*r.maxSlowness()
	return !withinRecentRange
}

// slowestGoUnanswered reports whether most attempts that were slower than all recent answers got no answer. It guards
// against single answers that never arrive from endpoints that answer others: requests then end at their deadline after
// one attempt. Where slow answers do arrive, the share of unanswered attempts is low and no attempt is presumed lost.
func (r *Router) slowestGoUnanswered() bool {
	return len(r.unansweredSamples) >= minUnansweredSamples && mean(r.unansweredSamples) >= unansweredShare
}

// slowness returns the ratio of the seconds that an attempt is in flight to those after which it is suspected, which
// depend on its size. It is 0 for an attempt presumed lost, regardless of its duration: its suspectAt is +Inf.
func (a *attempt) slowness(inFlightSeconds float64) float64 {
	return inFlightSeconds / (a.suspectAt - a.sentAt)
}

// maxSlowness returns the maximum slowness of the recent completed attempts and, raised by lostSlownessFactor, of those
// that reviewSuspected presumed lost as the slowest. It is at least 1.
func (r *Router) maxSlowness() float64 {
	greatest := 1.0
	for _, slowness := range r.slownessSamples {
		greatest = max(greatest, slowness)
	}
	return greatest
}

// recordSlowness records the slowness of an attempt that has completed, or was presumed lost.
func (r *Router) recordSlowness(slowness float64) {
	r.slownessSamples = appendSample(r.slownessSamples, slowness, maxSlownessSamples)
	r.usualSlowness = 0
}

// recordSlowest records whether an ended attempt that was slower than all slownessSamples timed out or was cancelled.
// All other results count as answered. It has no effect until there are maxSlownessSamples.
func (r *Router) recordSlowest(slowness float64, result AttemptResult) {
	if len(r.slownessSamples) == maxSlownessSamples && slowness > slices.Max(r.slownessSamples) {
		unanswered := indicator(result == Cancelled || result == TimedOut)
		r.unansweredSamples = appendSample(r.unansweredSamples, unanswered, maxUnansweredSamples)
	}
}

// lostAttemptState returns the state of an attempt that becomes presumed lost. The attempt stays in flight if hedging
// is allowed, or if the request is non-idempotent, because a cancel would lose its only possible answer.
func (r *Router) lostAttemptState(req *request) attemptState {
	if r.settings.Bool(SettingHedging) || r.class(req.Class).effect == NonIdempotent {
		return attemptLost
	}
	return attemptAbandoned
}

// hasAlternative reports whether another endpoint that can replace e is ready and not ejected: an edge cache of this
// zone for another one, a parent cache for any other endpoint. The latter includes origins and edge caches of other
// zones, which matters only if an endpoint's role changed after an attempt or an ejection: an origin is not ejected,
// and an edge cache of another zone is not selected.
func (r *Router) hasAlternative(e *endpoint) bool {
	alternatives := r.parents.endpoints
	if e.role == edgeCache {
		alternatives = r.caches.endpoints
	}
	return slices.ContainsFunc(alternatives, func(other *endpoint) bool {
		return other != e && other.ejectedUntil <= r.now
	})
}

// excludedByEjection reports whether an endpoint is excluded at a fallback level because it is ejected. At the last
// level it is used if all endpoints of its role are ejected, as requests would otherwise have no endpoint. It is not
// used merely because the alternatives are at their limits: a burst would then be sent to the endpoint that failed.
func (r *Router) excludedByEjection(e *endpoint, level fallbackLevel) bool {
	return e.ejectedUntil > r.now && (level < ejectedAllowed || r.hasAlternative(e))
}

// mayEject reports whether an endpoint may be ejected: only if another endpoint can replace it. This prevents ejecting
// all endpoints of a role: if all fail, the cause is common, such as requests that no endpoint can serve or an origin
// that is down.
func (r *Router) mayEject(e *endpoint) bool { return e.role != originServer && r.hasAlternative(e) }

// ejectionSeconds returns the duration of an ejection after a number of ejections since the endpoint's last success
// outside of a recovery ramp. The suspicion of other routers counts as suspicionEjections earlier ejections.
func ejectionSeconds(ejections int, suspected bool) float64 {
	doublings := float64(ejections)
	if suspected {
		doublings += suspicionEjections
	}
	return min(firstEjectionSeconds*math.Pow(2, doublings), maxEjectionSeconds)
}

// ejectOrDecreaseLimit ejects an endpoint, or decreases its limit if it must not be ejected. A current ejection is not
// extended.
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
	e.failureSamples = nil
	e.limiter.limit = limitAfterEjection
}

// recordResult records a result of an endpoint as failure or success: errors, refused fills and broken connections, or
// completed attempts.
func (r *Router) recordResult(e *endpoint, failed bool) {
	if !failed && e.limiter.recovered() {
		e.ejections = 0
	}
	e.failureSamples = appendSample(e.failureSamples, indicator(failed), maxResultSamples)
	if failed && failuresEject(e.failureSamples, e.ejections > 0, r.now < e.suspectedUntil) {
		r.ejectOrDecreaseLimit(e)
	}
}

// failuresEject reports whether an endpoint whose last attempt failed is ejected: if at least ejectFailureCount and at
// least half (ejectFailureShare) of its recent results are failures, or immediately if all results since its last
// ejection are failures or other routers suspect it.
func failuresEject(results []float64, ejectedBefore, suspected bool) bool {
	share := mean(results)
	often := share*float64(len(results)) >= ejectFailureCount && share >= ejectFailureShare
	return (ejectedBefore && share == 1) || suspected || often
}
