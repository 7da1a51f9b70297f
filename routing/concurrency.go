package routing

import "math"

// Initial limits. Limits are numbers of attempts in flight.
const (
	limitPerCapacity = 1.5 // attempts per transfer of capacity: the objective's stretch leaves time for that
	burstAllowance   = 1.0 // square roots of a cache's share added to the share: one router's traffic varies by one
	minStartingLimit = 0.1 // minimum of an initial limit, for endpoints without weight
	minLimitShare    = 0.2 // minimum of a limit as a share of its initial value: with no answers it would never grow
)

// Increase and decrease of a limit. A round is as many timely answers as the limit, at least one.
const (
	growthPerRound          = 0.5  // attempts added per round, over sqrt(routers): faster growth outpaces decreases
	recoveryStep            = 1.0  // attempts added per timely answer below the recovery threshold
	usedLimitShare          = 0.5  // utilization above which a limit grows: an unused limit is untested
	decreaseFactor          = 0.8  // factor applied to a limit after a late or refused attempt
	decreaseIntervalSeconds = 0.25 // minimum time between decreases: attempts in flight report the same congestion
	maxLateSamples          = 10   // recent answers sampled for lateness: few, to follow changes quickly
	congestionShare         = 0.15 // share of late answers in lateSamples that indicates congestion: fewer are chance
)

// Thresholds for answers that indicate congestion.
const (
	timelyShare        = 0.8 // share of the objective after which an answer is late: 1 leaves no time to react
	lateFirstByteShare = 0.5 // share of the late threshold for a late first byte: the source is slow, not the link
)

// limiter bounds the attempts that this router has in flight at an endpoint, on a link or on the path to the origin.
// The limit grows with timely answers and shrinks with late and refused ones. Limits and loads are numbers of attempts
// in flight, fractional where many routers share an endpoint.
//
// A limit below the recovery threshold is in its recovery ramp. Only an ejection or a slow start puts it there; each
// timely answer then adds recoveryStep. A decrease sets the recovery threshold to the lowered limit, so that no ramp
// follows it; it also ends a ramp that has reached the minimum. In a ramp below the minimum it lowers only the
// threshold. Growth above the recovery threshold is slow and does not raise the threshold.
type limiter struct {
	limit             float64
	recoveryThreshold float64 // initially the limit for this router's share, then set by each decrease, see lower
	minLimit          float64
	growthStep        float64 // increase per round of timely answers above the recovery threshold
	inFlight          float64
	decreasedAt       float64
	pausedUntil       float64   // end of the pause of a limit below one attempt
	lateSamples       []float64 // recent answers, 1 for a late one
}

// hasCapacity reports whether a limiter admits one more attempt. A limit below one attempt is enforced by pauses:
// hundreds of routers with one attempt each would overload an endpoint, visible as late answers while each router has
// one attempt in flight. With pauses, each router sends no more than its share over time.
func (l *limiter) hasCapacity(now float64) bool { return l.inFlight < l.limit && now >= l.pausedUntil }

// admits reports whether a limiter admits an attempt of a read or a write. A read needs capacity. A write is also
// admitted by a full or paused limiter, even right after a decrease, unless the limit is in its recovery ramp.
func (l *limiter) admits(write bool, now float64) bool {
	return l.hasCapacity(now) || (write && l.recovered())
}

// recovered reports whether a limit is not in its recovery ramp.
func (l *limiter) recovered() bool { return l.limit >= l.recoveryThreshold }

// release removes the load of an ended attempt that lasted some seconds. A limit below the load is paused if used is
// set, which means that the attempt may have reached this limiter's endpoint or path. The caller sets used for the
// target after every attempt, and for the fill path after every attempt that was not a known hit.
func (l *limiter) release(now, load, lastedSeconds float64, used bool) {
	l.inFlight = max(l.inFlight-load, 0)
	if used && l.limit < load {
		l.pausedUntil = now + l.pauseSeconds(load, lastedSeconds)
	}
}

// pauseSeconds returns how long a limit below an attempt's load is paused after an attempt that lasted some seconds.
// The load, averaged over the attempt and the pause, then equals the limit: load*lasted = limit*(lasted+pause).
func (l *limiter) pauseSeconds(load, lastedSeconds float64) float64 {
	return lastedSeconds * (load/l.limit - 1)
}

// setShare initializes a limiter with this router's share of a capacity that a number of routers, at least one, use
// together.
func (l *limiter) setShare(limit, routers float64) {
	l.limit = max(limit, minStartingLimit)
	l.growthStep = growthPerRound / math.Sqrt(routers)
	l.recoveryThreshold, l.minLimit = l.limit, minLimitShare*l.limit
}

// raiseMinimum raises the minimum of a limit on a path behind the caches; the fewer routers share the path, the higher
// the minimum. It guards against the loss of one parent: answers of the other become late, and few routers see most of
// these. Their limits would fall to a fifth (minLimitShare), and they would reject requests while the path has
// capacity.
func (l *limiter) raiseMinimum(routers float64) {
	l.minLimit = max(minLimitShare, 1/math.Sqrt(routers)) * l.limit
}

// increase records a timely answer: the limit grows fast in its recovery ramp, and slowly above it. Above the ramp, a
// limit of at least one attempt grows only while it is used.
func (l *limiter) increase() {
	l.lateSamples = appendSample(l.lateSamples, 0, maxLateSamples)
	if l.limit < l.recoveryThreshold {
		l.limit = min(l.limit+recoveryStep, l.recoveryThreshold)
	} else if l.limit < 1 || l.inFlight > usedLimitShare*l.limit {
		l.limit += l.growthStep / max(l.limit, 1)
	}
}

// decrease records a sign of congestion. A refusal lowers the limit without further evidence, a late answer only if
// many recent answers were late; decreases are at least decreaseIntervalSeconds apart. The lowered limit becomes the
// recovery threshold, so the limit grows back slowly, without a recovery ramp; lower has the exception.
func (l *limiter) decrease(now float64, refused bool) {
	l.lateSamples = appendSample(l.lateSamples, 1, maxLateSamples)
	intervalOver := now > l.decreasedAt+decreaseIntervalSeconds
	if intervalOver && (refused || mean(l.lateSamples) >= congestionShare) {
		l.lower()
		l.decreasedAt = now
	}
}

// lower reduces a limit for congestion, down to its minimum. A limit that is below the minimum in a recovery ramp
// stays unchanged, and its recovery threshold falls instead.
//
// This guards against a refusal that increases the load on an endpoint which has just started or failed (rule 4):
// raising the limit to the minimum would send more attempts to a cold endpoint because it was overloaded.
func (l *limiter) lower() {
	if l.limit < l.minLimit {
		l.recoveryThreshold = max(l.recoveryThreshold*decreaseFactor, l.minLimit)
		return
	}
	l.limit = max(l.limit*decreaseFactor, l.minLimit)
	l.recoveryThreshold = l.limit
}

// setStartingLimit sets the recovery threshold to this router's share of an endpoint's capacity, at edge caches with a
// burst allowance. The limit begins at the threshold. In slow start it begins at slowStartLimit instead, which is in a
// recovery ramp only if it is below the threshold.
func (r *Router) setStartingLimit(e *endpoint) {
	share := limitPerCapacity * e.Weight / e.routersSharing
	burstFactor := 0.0 // none at parents and origins: in a burst all routers would use theirs at once
	if e.role == edgeCache {
		burstFactor = burstAllowance
	}
	burst := burstFactor * math.Sqrt(share*(1-1/e.routersSharing))
	e.limiter.setShare(share+burst, e.routersSharing)
	if e.role == parentCache {
		e.limiter.raiseMinimum(e.routersSharing)
	}
	e.limiter.limit = startingLimit(e.limiter.limit, r.capacityShare(e))
}

// setSharedLimits initializes the limits of the zone's link and of the origins listed by then, once caches are known.
// The weight of an origin is not meaningful, so these limits start at that of the link. An origin that is listed or
// restarts later starts at the limit for its weight, from setStartingLimit.
func (r *Router) setSharedLimits() {
	sum, transfers := 0.0, r.linkTransfers()
	for _, cache := range r.caches.endpoints {
		sum += limitPerCapacity * cache.Weight / cache.routersSharing
		if transfers > 0 {
			sum = limitPerCapacity * transfers / cache.routersSharing
		}
		r.zoneLink.setShare(sum, cache.routersSharing)
		r.zoneLink.raiseMinimum(cache.routersSharing)
	}
	for _, e := range r.origins.endpoints {
		e.limiter.setShare(sum, e.routersSharing)
	}
}

// isLate reports whether an answer took so long, relative to its request's objective, that it indicates congestion.
func isLate(elapsedSeconds, objectiveSeconds float64) bool {
	return elapsedSeconds > timelyShare*objectiveSeconds
}

// adjustLimits adjusts the limits that an attempt used. A timely answer increases them. A late one is a sign of
// congestion for the limit that is its cause, or for those of both source and link if the details do not show which.
func (r *Router) adjustLimits(req *request, a *attempt, end AttemptEnded, filled bool) {
	if !isLate(end.ElapsedSeconds, req.objectiveSeconds) {
		a.target.limiter.increase()
		for i := 0; filled && i < len(a.fillLimiters); i++ {
			a.fillLimiters[i].increase()
		}
		return
	}
	lateFirstByte := end.FirstByteSeconds > lateFirstByteShare*timelyShare*req.objectiveSeconds
	switch {
	case !filled:
		a.target.limiter.decrease(r.now, false)
	case end.Detail == FilledByOrigin && a.originLimiter != nil && lateFirstByte:
		a.originLimiter.decrease(r.now, false)
	case !r.reportsAllDetails():
		// The source or the link is the cause. Few routers share the link, so each sees most of the link's fills.
		a.source.limiter.decrease(r.now, false)
		r.zoneLink.decrease(r.now, false)
	case lateFirstByte:
		a.source.limiter.decrease(r.now, false)
	case a.fill != fillFromPeer:
		r.zoneLink.decrease(r.now, false)
	}
}

// penalizeUnanswered counts attempts in flight at their request's deadline as late, unless they are presumed lost. It
// guards against congestion so severe that no answer arrives in time: no late answer would then decrease a limit, and
// requests would end at their deadline for as long as the load lasts. It is harmful where answers are lost on the
// return path.
func (r *Router) penalizeUnanswered(req *request) {
	for _, a := range req.attempts {
		elapsed := r.now - a.sentAt
		if !a.state.inFlightNotLost() || !isLate(elapsed, req.objectiveSeconds) {
			continue
		}
		r.adjustLimits(req, a, AttemptEnded{ElapsedSeconds: elapsed, FirstByteSeconds: elapsed}, a.fill.expectsMiss())
		if a.originLimiter != nil && a.originLimiter != &a.source.limiter {
			a.originLimiter.decrease(r.now, false)
		}
	}
}
