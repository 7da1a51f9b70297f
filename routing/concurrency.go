package routing

import "math"

const (
	limitPerCapacity = 1.5  // attempts in flight a transfer of capacity: the objective's stretch allows that
	burstAllowance   = 1.0  // of the root of a cache's share, added to it: one router's traffic varies
	minStartingLimit = 0.1  // attempts in flight that a limit starts at, for endpoints without weight
	minLimitShare    = 0.2  // of its starting value that a limit never falls below: it has to go on learning
	growthPerRound   = 0.5  // attempts added a round, over the root of the routers: more outruns decreases
	decreaseFactor   = 0.8  // of a limit that is left by a late or refused attempt
	decreaseInterval = 0.25 // s between decreases: attempts in flight then tell of the same congestion
	congestionShare  = 0.15 // share of late answers that tells of congestion: few are chance
	timelyShare      = 0.8  // share of the objective beyond which an answer is late; 1 is too late to react
	suspectShare     = 0.5  // share of the unstretched objective after which an attempt is suspected
	suspectSendTimes = 1.3  // sending times added to that: a busy link stretches a transfer
)

// hasRoom says whether a limiter lets one more attempt through. A limit below 1 is used with pauses.
func (l *limiter) hasRoom(now float64) bool { return l.inFlight < l.limit && now >= l.pausedUntil }

// release takes back an attempt's load after some seconds. Used says that it came as far as this limiter.
func (l *limiter) release(now, load, lasted float64, used bool) {
	l.inFlight = max(l.inFlight-load, 0)
	if used && l.limit < load {
		l.pausedUntil = now + lasted*(load/l.limit-1)
	}
}

// setShare starts a limiter at this router's share of what a number of routers use together.
func (l *limiter) setShare(limit, routers float64) {
	l.limit, l.growthStep = max(limit, minStartingLimit), min(growthPerRound/math.Sqrt(routers), 1)
	l.provenLimit, l.minLimit = l.limit, minLimitShare*l.limit
}

// raiseMinimum is for paths behind the caches: few routers see most answers, so decreases are small.
func (l *limiter) raiseMinimum(routers float64) {
	l.minLimit = max(minLimitShare, 1/math.Sqrt(routers)) * l.limit
}

// increase takes an answer in time: by one up to the proven limit, then slowly and while it is used.
func (l *limiter) increase() {
	l.lateSamples = appendSample(l.lateSamples, 0, recentSamples)
	if l.limit < l.provenLimit {
		l.limit = min(l.limit+1, l.provenLimit)
	} else if l.limit < 1 || l.inFlight > l.limit/2 {
		l.limit += l.growthStep / max(l.limit, 1)
	}
}

// decrease takes a sign of congestion: a refusal counts at once, a late answer if many of the last were late.
func (l *limiter) decrease(now float64, refused bool) {
	l.lateSamples = appendSample(l.lateSamples, 1, recentSamples)
	if now > l.decreasedAt+decreaseInterval && (refused || mean(l.lateSamples) >= congestionShare) {
		l.limit = max(l.limit*decreaseFactor, l.minLimit)
		l.provenLimit, l.decreasedAt = l.limit, now
	}
}

// setStartingLimit gives this router its share of an endpoint's capacity, and little while that is cold.
func (r *Router) setStartingLimit(e *endpoint) {
	share := limitPerCapacity * e.Weight / e.sharers
	burst := indicator(e.role == edgeCache) * burstAllowance * math.Sqrt(share*(1-1/e.sharers))
	e.setShare(share+burst, e.sharers)
	if e.role == parentCache {
		e.raiseMinimum(e.sharers)
	}
	if r.warmShare(e) < 1 {
		e.limit = coldLimit
	}
}

// setSharedLimits starts the limits of the zone's link and of the origins, once caches are known. An origin's
// weight says nothing: it starts at as much as the link.
func (r *Router) setSharedLimits() {
	sum, transfers := 0.0, r.linkTransfers()
	for _, cache := range r.caches.members {
		sum += limitPerCapacity * cache.Weight / cache.sharers
		if transfers > 0 {
			sum = limitPerCapacity * transfers / cache.sharers
		}
		r.zoneLink.setShare(sum, cache.sharers)
		r.zoneLink.raiseMinimum(cache.sharers)
	}
	for _, e := range r.origins.members {
		e.setShare(sum, e.sharers)
	}
}

// adjustLimits moves the limits that an attempt has passed: a late one lowers the first that may be to blame.
func (r *Router) adjustLimits(req *request, a *attempt, end AttemptEnded, filled bool) {
	if end.ElapsedSeconds <= timelyShare*req.objective {
		a.target.increase()
		for i := 0; filled && i < len(a.fillLimiters); i++ {
			a.fillLimiters[i].increase()
		}
		return
	}
	lateFirstByte := end.FirstByteSeconds > suspectShare*timelyShare*req.objective
	switch {
	case !filled:
		a.target.decrease(r.now, false)
	case end.Detail == FilledByOrigin && a.originLimiter != nil && lateFirstByte:
		a.originLimiter.decrease(r.now, false)
	case !r.tellsAll(): // either may be to blame; few routers share the link and most of its fills are seen
		a.source.decrease(r.now, false)
		r.zoneLink.decrease(r.now, false)
	case lateFirstByte:
		a.source.decrease(r.now, false)
	case !a.fromPeer:
		r.zoneLink.decrease(r.now, false)
	}
}

// penalizeUnanswered counts attempts in flight at their request's deadline as late, unless they were taken
// for lost. It covers congestion without any answer. It does harm where answers are lost on their way back.
func (r *Router) penalizeUnanswered(req *request) {
	for _, a := range req.attempts {
		elapsed := r.now - a.sentAt
		if !a.inFlight || !a.wanted || math.IsInf(a.suspectAt, 1) || elapsed <= timelyShare*req.objective {
			continue
		}
		r.adjustLimits(req, a, AttemptEnded{ElapsedSeconds: elapsed, FirstByteSeconds: elapsed}, a.expectMiss)
		if a.originLimiter != nil && a.originLimiter != &a.source.limiter {
			a.originLimiter.decrease(r.now, false)
		}
	}
}
