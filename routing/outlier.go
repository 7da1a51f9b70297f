package routing

import "math"

const (
	recentSamples      = 10    // samples kept of results and idle times: few, so that changes show soon
	longSamples        = 64    // samples kept of sending times, durations and misses: these vary widely
	minSamples         = 8     // samples before their mean is used
	minSilence         = 0.35  // s without a sign of life before silence is suspected: over usual pauses
	silenceIntervals   = 4.0   // usual intervals between signs that tell of silence: one in fifty by chance
	lostSlownessFactor = 1.3   // times as slow for its size as any of late is lost: congestion slows all
	recheckInterval    = 0.1   // s between looks at a suspected attempt, and before a failed endpoint's retry
	firstEjection      = 1.0   // s of the first ejection: dozens of requests would go there in it
	maxEjection        = 4.0   // s of the longest: an endpoint that is back is wanted soon
	localRefusal       = 0.004 // s in which only the cache itself can have refused: sources are farther away
	ejectFailureShare  = 0.5   // share of failures that ejects: below it attempts cost less than a lost cache
	ejectFailureCount  = 4     // failures at least for that: fewer are chance
	suspicionEjections = 2.0   // ejections that other routers' failures count for
	suspicionThreshold = 0.5   // suspicion from which one own failure ejects: two honest routers say so
	maxDoublings       = 8     // of the first ejection by earlier ones: bounds the power
)

// healthObserved takes other routers' word. It ejects nothing by itself: an own attempt has to fail too.
func (r *Router) healthObserved(ev HealthObservation) {
	if e := r.findEndpoint(ev.Endpoint); e != nil {
		e.suspectedUntil = r.now + ev.ValidSeconds*indicator(ev.Suspicion >= suspicionThreshold)
	}
}

// isSilent judges the target of a suspected attempt, then its source: nothing was heard since it was sent,
// several times as long as usual, and it is slower for its size than any of late. It covers hangs, lost
// machines and cut paths. It does harm where all become slow at once, or to long transfers if seldom heard.
func (r *Router) isSilent(a *attempt) bool {
	e, patience := a.target, minSilence
	if e.lastHeard() >= a.sentAt && a.expectMiss {
		e, patience = a.source, 2*minSilence
	}
	patience = max(patience, silenceIntervals*e.signInterval())
	usual := r.now-a.sentAt <= patience || r.slownessOf(a) <= lostSlownessFactor*r.greatestSlowness()
	if usual || e.lastHeard() >= a.sentAt {
		return r.isLost(a)
	}
	r.eject(e)
	return true
}

// isLost judges a suspected attempt whose endpoint is heard: it is slower for its size than any of the last
// dozens, and most that were so never ended. It covers answers that never come; each raises the bar.
func (r *Router) isLost(a *attempt) bool {
	enough := len(r.unansweredSamples) >= ejectFailureCount && mean(r.unansweredSamples) >= ejectFailureShare
	if !enough || r.slownessOf(a) <= r.greatestSlowness() {
		return false
	}
	r.slownessSamples = appendSample(r.slownessSamples, lostSlownessFactor*r.slownessOf(a), longSamples)
	return true
}

// eject keeps attempts from an endpoint for a while if another can stand in. Else, and for an origin, its
// limit is decreased: where all fail the cause is common, and ejections would leave none.
func (r *Router) eject(e *endpoint) {
	if e.role == originServer || !r.hasAlternative(e) {
		e.decrease(r.now, true)
		return
	} else if e.ejectedUntil > r.now {
		return
	}
	suspected := suspicionEjections * indicator(r.now < e.suspectedUntil)
	doublings := float64(min(e.ejections, maxDoublings)) + suspected
	e.ejectedUntil = r.now + min(firstEjection*math.Pow(2, doublings), maxEjection)
	e.recentFailures, e.limit = nil, 1
	e.ejections++
}

// recordResult counts a result. Failures eject when they are half of the last few, or at once when all since
// an ejection failed or others suspect the endpoint. It covers errors, refused fills and broken connections.
func (r *Router) recordResult(e *endpoint, failed bool) {
	if !failed && e.limit >= e.provenLimit {
		e.ejections = 0
	}
	e.recentFailures = appendSample(e.recentFailures, indicator(failed), recentSamples)
	share := mean(e.recentFailures)
	often := share*float64(len(e.recentFailures)) >= ejectFailureCount && share >= ejectFailureShare
	if failed && (e.ejections > 0 && share == 1 || r.now < e.suspectedUntil || often) {
		r.eject(e)
	}
}
