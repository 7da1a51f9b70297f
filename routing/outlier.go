package routing

import (
	"math"
	"slices"
)

const (
	suspectShare            = 0.5  // share of the unstretched objective after which an attempt is suspected
	suspectSendTimes        = 1.3  // sending times added to that: a busy link stretches a transfer
	suspectRecheckSeconds   = 0.1  // s between reviews of a suspected attempt
	minSilenceSeconds       = 0.35 // s without an answer before silence is suspected: over usual pauses
	minSourceSilenceSeconds = 2 * minSilenceSeconds
	silenceIntervals        = 4.0 // usual intervals between answers that tell of silence: one in fifty by chance
	maxHeardTimes           = 10  // last answers of an endpoint whose intervals are its usual ones
	maxSlownessSamples      = 64  // last answered attempts that a lost one has to be slower than: these vary widely
	lostSlownessFactor      = 1.3 // times as slow for its size as any of late is lost: congestion slows all
	maxUnansweredSamples    = 10  // last attempts slower than all of those, of which most had no answer
	minUnansweredSamples    = 4   // of these before their share counts: fewer are chance
	unansweredShare         = 0.5 // share of them without an answer from which the next one is lost
	firstEjectionSeconds    = 1.0 // s of the first ejection: dozens of requests would go there in it
	maxEjectionSeconds      = 4.0 // s of the longest: an endpoint that is back is wanted soon
	limitAfterEjection      = 1.0 // attempts in flight at an endpoint that returns; each answer adds one
	maxResultSamples        = 10  // last results of an endpoint that ejections go by: few, so that changes show soon
	ejectFailureShare       = 0.5 // share of failures that ejects: below it attempts cost less than a lost cache
	ejectFailureCount       = 4   // failures at least for that: fewer are chance
	suspicionEjections      = 2.0 // ejections that other routers' failures count for
	suspicionThreshold      = 0.5 // suspicion from which one own failure ejects: two honest routers say so
)

// suspectTime is when an attempt that is sent at a time is suspected: after a share of its class's objective, which is
// that of a request without size, and some sending times of its size.
func suspectTime(sentAt, objectiveSeconds, sendSeconds float64) float64 {
	return sentAt + suspectShare*objectiveSeconds + suspectSendTimes*sendSeconds
}

// healthObserved takes other routers' word. It ejects nothing by itself: an own attempt has to fail too.
func (r *Router) healthObserved(ev HealthObservation) {
	if e := r.findEndpoint(ev.Endpoint); e != nil {
		e.suspectedUntil = r.now + ev.ValidSeconds*indicator(ev.Suspicion >= suspicionThreshold)
	}
}

// judgeSuspected says whether a suspected attempt is lost, and ejects the endpoint that is silent.
func (r *Router) judgeSuspected(a *attempt) bool {
	if silent := r.silentEndpoint(a); silent != nil {
		r.eject(silent)
		return true
	}
	if !r.isUnanswered(a) {
		return false
	}
	raised := lostSlownessFactor * r.slownessOf(a) // so that the next one waits longer
	r.slownessSamples = appendSample(r.slownessSamples, raised, maxSlownessSamples)
	return true
}

// silentEndpoint judges the target of a suspected attempt, then its source, and returns nil where neither is silent.
// Silent is one that was not heard since the attempt was sent, several times as long as usual, while the attempt is
// slower for its size than any of late. It covers hangs, lost machines and cut paths: these show as attempts without an
// end. It does harm where all become slow at once.
func (r *Router) silentEndpoint(a *attempt) *endpoint {
	suspect, leastSilence := a.target, minSilenceSeconds
	if suspect.lastHeardAt() >= a.sentAt && a.fill.missExpected() {
		suspect, leastSilence = a.source, minSourceSilenceSeconds
	}
	if suspect.lastHeardAt() >= a.sentAt {
		return nil
	}
	usualSilence := r.now-a.sentAt <= max(leastSilence, silenceIntervals*suspect.heardIntervalSeconds())
	if usualSilence || r.slownessOf(a) <= lostSlownessFactor*r.greatestSlowness() {
		return nil
	}
	return suspect
}

// isUnanswered judges a suspected attempt whose endpoint is heard: it is slower for its size than any of the last
// dozens, and most that were so never ended. It covers answers that never come.
func (r *Router) isUnanswered(a *attempt) bool {
	enough := len(r.unansweredSamples) >= minUnansweredSamples && mean(r.unansweredSamples) >= unansweredShare
	return enough && r.slownessOf(a) > r.greatestSlowness()
}

// slownessOf is how long an attempt is in flight over the time after which it is suspected, which goes by its size.
func (r *Router) slownessOf(a *attempt) float64 { return (r.now - a.sentAt) / (a.suspectAt - a.sentAt) }

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

// hasAlternative says whether another endpoint of the same role is ready and not ejected.
func (r *Router) hasAlternative(e *endpoint) bool {
	peers := r.parents.endpoints
	if e.role == edgeCache {
		peers = r.caches.endpoints
	}
	return slices.ContainsFunc(peers, func(peer *endpoint) bool { return peer != e && peer.ejectedUntil <= r.now })
}

// barredByEjection says whether an ejected endpoint is left out at a level of strictness. At the last level it is used
// if all of its role are ejected.
func (r *Router) barredByEjection(e *endpoint, level strictness) bool {
	return e.ejectedUntil > r.now && (level < anyAllowed || r.hasAlternative(e))
}

// mayEject allows an ejection where another endpoint can stand in. Where all fail the cause is common, and ejections
// would leave none.
func (r *Router) mayEject(e *endpoint) bool { return e.role != originServer && r.hasAlternative(e) }

// ejectionSeconds is how long an endpoint is ejected that was so some times since it last worked. Other routers'
// suspicion counts like earlier ejections.
func ejectionSeconds(ejections int, suspected bool) float64 {
	doublings := float64(ejections) + suspicionEjections*indicator(suspected)
	return min(firstEjectionSeconds*math.Pow(2, doublings), maxEjectionSeconds)
}

// eject keeps attempts from an endpoint for a while. Where it may not be ejected, its limit is decreased.
func (r *Router) eject(e *endpoint) {
	switch {
	case !r.mayEject(e):
		e.limiter.decrease(r.now, true)
	case e.ejectedUntil <= r.now:
		e.ejectedUntil = r.now + ejectionSeconds(e.ejections, r.now < e.suspectedUntil)
		e.recentFailures, e.limiter.limit = nil, limitAfterEjection
		e.ejections++
	}
}

// recordResult counts a result, 1 for a failure. It covers errors, refused fills and broken connections.
func (r *Router) recordResult(e *endpoint, failed bool) {
	if !failed && e.limiter.recovered() {
		e.ejections = 0
	}
	e.recentFailures = appendSample(e.recentFailures, indicator(failed), maxResultSamples)
	if failed && failuresEject(e.recentFailures, e.ejections > 0, r.now < e.suspectedUntil) {
		r.eject(e)
	}
}

// failuresEject says whether an endpoint whose last attempt failed is ejected: when half of its last few failed, or at
// once when all since an ejection failed or others suspect it.
func failuresEject(results []float64, ejectedBefore, suspected bool) bool {
	share := mean(results)
	often := share*float64(len(results)) >= ejectFailureCount && share >= ejectFailureShare
	return (ejectedBefore && share == 1) || suspected || often
}
