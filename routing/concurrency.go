package routing

import "math"

// What a limit starts at. Limits are numbers of attempts in flight.
const (
	limitPerCapacity = 1.5 // attempts for each transfer of capacity: the objective's stretch allows that
	burstAllowance   = 1.0 // roots of a cache's share added to it: one router's traffic varies by that much
	minStartingLimit = 0.1 // attempts at least, for endpoints without weight
	minLimitShare    = 0.2 // share of the start that a limit never falls below: without answers it learns nothing
)

// How a limit moves.
const (
	growthPerRound          = 0.5  // attempts added a round, over the root of the routers: more outruns decreases
	recoveryStep            = 1.0  // attempts that an answer in time adds below the proven limit
	usedLimitShare          = 0.5  // share of a limit in use above which it grows: an unused one proves nothing
	decreaseFactor          = 0.8  // share of a limit that a late or refused attempt leaves
	decreaseIntervalSeconds = 0.25 // time between decreases: attempts in flight then tell of the same congestion
	maxLateSamples          = 10   // last answers whose lateness counts: few, so that changes show soon
	congestionShare         = 0.15 // share of late ones among them that tells of congestion: fewer are chance
)

// When an answer tells of congestion.
const (
	timelyShare        = 0.8 // share of the objective after which an answer is late: at 1 it is too late to react
	lateFirstByteShare = 0.5 // share of that after which a first byte is late: the source is slow, not the link
)

// limiter bounds what this router has in flight at an endpoint, on a link or on the path to the origin. The limit
// grows with answers in time and shrinks with late and refused ones. Limits and loads are numbers of attempts in
// flight, or parts of one where many routers share an endpoint.
//
// A limit is in its recovery ramp while it is below the proven limit. Only an ejection or a cold start puts it there;
// each answer in time then adds recoveryStep. A decrease sets the proven limit to the limit that it leaves: no ramp
// follows it, and it ends one that has come to the minimum. Growth above the proven limit is slow and does not raise
// it.
type limiter struct {
	limit       float64
	provenLimit float64 // this router's share at the start, then the limit that the last decrease left
	minLimit    float64
	growthStep  float64 // what a round of answers in time adds above the proven limit
	inFlight    float64
	decreasedAt float64
	pausedUntil float64   // of a limit below one attempt
	lateSamples []float64 // the last few answers, 1 for a late one
}

// hasRoom says whether a limiter lets one more attempt through. A limit below one attempt is used with pauses: hundreds
// of routers with one attempt each would overload an endpoint, which shows as late answers while each router has one in
// flight. With pauses each sends, over time, no more than its share.
func (l *limiter) hasRoom(now float64) bool { return l.inFlight < l.limit && now >= l.pausedUntil }

// admits says whether a limiter lets an attempt of a read or of a write through. A read needs room. A write passes a
// full or paused limiter too, also right after a decrease, unless the limit is in its recovery ramp.
func (l *limiter) admits(write bool, now float64) bool {
	return l.hasRoom(now) || (write && l.atProvenLimit())
}

// atProvenLimit says whether a limit is at its proven limit or above, which is to say in no recovery ramp.
func (l *limiter) atProvenLimit() bool { return l.limit >= l.provenLimit }

// release takes back an attempt's load after the seconds that it lasted, and pauses a limit below the load. Used says
// that the attempt came as far as this limiter.
func (l *limiter) release(now, load, lastedSeconds float64, used bool) {
	l.inFlight = max(l.inFlight-load, 0)
	if used && l.limit < load {
		l.pausedUntil = now + l.pauseSeconds(load, lastedSeconds)
	}
}

// pauseSeconds is how long a limit below an attempt's load is paused after an attempt that lasted some seconds. The
// load, averaged over the attempt and the pause, is then the limit: load*lasted = limit*(lasted+pause).
func (l *limiter) pauseSeconds(load, lastedSeconds float64) float64 {
	return lastedSeconds * (load/l.limit - 1)
}

// setShare starts a limiter at this router's share of what a number of routers, one at least, use together.
func (l *limiter) setShare(limit, routers float64) {
	l.limit = max(limit, minStartingLimit)
	l.growthStep = growthPerRound / math.Sqrt(routers)
	l.provenLimit, l.minLimit = l.limit, minLimitShare*l.limit
}

// raiseMinimum is for paths behind the caches. It guards against a limit that is decreased to a fifth because a lost
// parent makes the other's answers late, where few routers see most of these: they are rejected then while the path has
// room. The fewer routers share a path, the higher is its minimum.
func (l *limiter) raiseMinimum(routers float64) {
	l.minLimit = max(minLimitShare, 1/math.Sqrt(routers)) * l.limit
}

// increase takes an answer in time: the limit grows fast in its recovery ramp, and above it slowly and while it is
// used.
func (l *limiter) increase() {
	l.lateSamples = appendSample(l.lateSamples, 0, maxLateSamples)
	if l.limit < l.provenLimit {
		l.limit = min(l.limit+recoveryStep, l.provenLimit)
	} else if l.limit < 1 || l.inFlight > usedLimitShare*l.limit {
		l.limit += l.growthStep / max(l.limit, 1)
	}
}

// decrease takes a sign of congestion: a refusal counts at once, a late answer if many of the last were late. The
// lowered limit is the proven one from then on: it grows back slowly, not in a recovery ramp.
func (l *limiter) decrease(now float64, refused bool) {
	l.lateSamples = appendSample(l.lateSamples, 1, maxLateSamples)
	intervalOver := now > l.decreasedAt+decreaseIntervalSeconds
	if intervalOver && (refused || mean(l.lateSamples) >= congestionShare) {
		l.lower()
		l.decreasedAt = now
	}
}

// lower lowers a limit for congestion, down to its minimum. One that a recovery ramp has below that stays where it is,
// and the ramp leads less far.
//
// It guards against a refusal that lets more through to an endpoint which has just started or failed (rule 4): raised
// to the minimum, the limit of a cold endpoint would grow for its being overloaded.
func (l *limiter) lower() {
	if l.limit < l.minLimit {
		l.provenLimit = max(l.provenLimit*decreaseFactor, l.minLimit)
		return
	}
	l.limit = max(l.limit*decreaseFactor, l.minLimit)
	l.provenLimit = l.limit
}

// setStartingLimit gives this router its share of an endpoint's capacity as proven limit. The limit of a cold endpoint
// starts below it, in a recovery ramp.
func (r *Router) setStartingLimit(e *endpoint) {
	share := limitPerCapacity * e.Weight / e.routersSharing
	burstRoots := 0.0 // none at parents and origins: in a burst all routers would use theirs at once
	if e.role == edgeCache {
		burstRoots = burstAllowance
	}
	burst := burstRoots * math.Sqrt(share*(1-1/e.routersSharing))
	e.limiter.setShare(share+burst, e.routersSharing)
	if e.role == parentCache {
		e.limiter.raiseMinimum(e.routersSharing)
	}
	e.limiter.limit = startingLimit(e.limiter.limit, r.warmShare(e))
}

// setSharedLimits starts the limits of the zone's link and of the origins, once caches are known. An origin's
// weight says nothing: it starts at as much as the link.
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

// isLate says whether an answer took so long, against its request's objective, that it tells of congestion.
func isLate(elapsedSeconds, objectiveSeconds float64) bool {
	return elapsedSeconds > timelyShare*objectiveSeconds
}

// adjustLimits moves the limits that an attempt has passed: a late one lowers the first that may be to blame.
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
	case !r.reportsAllDetails(): // either may be to blame; few routers share the link, so most of its fills are seen
		a.source.limiter.decrease(r.now, false)
		r.zoneLink.decrease(r.now, false)
	case lateFirstByte:
		a.source.limiter.decrease(r.now, false)
	case a.fill != fillFromPeer:
		r.zoneLink.decrease(r.now, false)
	}
}

// penalizeUnanswered counts attempts in flight at their request's deadline as late, unless they were taken for lost. It
// guards against congestion so deep that no answer comes in time: there is no late answer then to decrease a limit, and
// requests end at their deadline for as long as the load lasts. It does harm where answers are lost on their way back.
func (r *Router) penalizeUnanswered(req *request) {
	for _, a := range req.attempts {
		elapsed := r.now - a.sentAt
		if !a.state.inFlightNotLost() || !isLate(elapsed, req.objectiveSeconds) {
			continue
		}
		r.adjustLimits(req, a, AttemptEnded{ElapsedSeconds: elapsed, FirstByteSeconds: elapsed}, a.fill.missExpected())
		if a.originLimiter != nil && a.originLimiter != &a.source.limiter {
			a.originLimiter.decrease(r.now, false)
		}
	}
}
