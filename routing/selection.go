package routing

import (
	"math"
	"slices"
)

const (
	zoneDistanceFactor   = 2.0  // factor per zone of distance that lowers an endpoint's hash rank: fills cost more
	minHashWeight        = 1e-3 // minimum weight in the hash order, in transfers
	maxCandidates        = 64   // candidates tried per selection: if all are at their limits, most others are
	minCacheOnlyHitShare = 0.1  // minimum hit rate, where a miss is expected, for a cache-only attempt
	maxMissSamples       = 64   // recent attempts sampled for the miss rate: it varies widely
	minMissSamples       = 8    // miss samples required before their mean is used
	unknownMissRate      = 1.0  // miss rate assumed with fewer than minMissSamples
	peerFreshShare       = 0.5  // share of the fresh time after which a peer's copy expires too soon
)

// fallbackLevel determines which endpoints a request may use. Each level allows more endpoints than the one before it,
// and applies if no endpoint is usable at that one. Limits, retry budgets and slow-start budgets apply at all levels.
type fallbackLevel int

const (
	untriedOnly    fallbackLevel = iota // endpoints not used by this request and not ejected
	triedAllowed                        // not ejected, and no attempt ended there within endpointPauseSeconds
	ejectedAllowed                      // as triedAllowed, and ejected endpoints if there are no others
	fallbackLevelCount
)

// chooseAttempt selects the target and the fill source of a request's next attempt. It returns nil if no endpoint may
// be used now.
func (r *Router) chooseAttempt(req *request) *attempt {
	caches, parents := r.cacheCandidates(req.object), r.parentCandidates(req.object)
	defer caches.trim()
	defer parents.trim()
	origins := candidates{list: &r.origins}
	sources := [2]candidates{parents, origins}
	if r.uncacheable(req) {
		sources = [2]candidates{origins, parents}
	}
	target := r.chooseTarget(req, caches, sources)
	if target == nil {
		return nil
	}
	a := &attempt{target: target, source: target, expectedFills: 1}
	if target.role != edgeCache {
		a.fill = fillExpected
		if r.uncacheable(req) && len(r.origins.endpoints) > 0 {
			a.source = r.origins.endpoints[0]
		}
		a.fillLimiters = []*limiter{&r.zoneLink}
		return a
	}
	if peer := r.peerWithChunk(req, target); peer != nil {
		a.source, a.fill = peer, fillFromPeer
		a.fillLimiters = []*limiter{&peer.limiter}
		return a
	}
	a.source = r.chooseSource(req, target, sources)
	if target.cached[req.chunk] == nil && !r.limitFill(req, a) {
		return nil
	}
	return a
}

// chooseTarget returns the first usable cache in hash order. Where direct attempts are allowed, uncacheable requests
// bypass the caches; other requests do so if no cache is usable at the first fallback level and the zone's link has
// capacity.
func (r *Router) chooseTarget(req *request, caches candidates, sources [2]candidates) *endpoint {
	direct, uncacheable := r.settings.Bool(SettingDirectAttempts), r.uncacheable(req)
	for level := untriedOnly; level < fallbackLevelCount; level++ {
		lists := []candidates{caches}
		if direct && uncacheable {
			lists = []candidates{sources[0], sources[1], caches}
		} else if direct && level > untriedOnly && r.zoneLink.hasCapacity(r.now) {
			lists = []candidates{caches, sources[0], sources[1]}
		}
		for _, list := range lists {
			target := list.first(func(e *endpoint) bool {
				return r.usable(req, e, level, usedAsTarget) && r.inDeduplicationScope(req, e)
			})
			if target != nil {
				return target
			}
		}
	}
	return nil
}

// chooseSource returns the first usable parent cache or origin, or the target itself if there is none: see
// attempt.hasSource.
func (r *Router) chooseSource(req *request, target *endpoint, sources [2]candidates) *endpoint {
	for level := untriedOnly; level < fallbackLevelCount; level++ {
		for _, list := range sources {
			source := list.first(func(e *endpoint) bool { return r.usable(req, e, level, usedAsSource) })
			if source != nil {
				return source
			}
		}
	}
	return target
}

// usable reports whether a request may use an endpoint at a fallback level. The function used selects the role, target
// or source, in which earlier attempts are checked.
func (r *Router) usable(req *request, e *endpoint, level fallbackLevel, used usedFunc) bool {
	return !r.excludedByEjection(e, level) &&
		e.limiter.admits(req.Write, r.now) &&
		!excludedByRetryBudget(e, len(req.attempts)) &&
		!alreadyTried(req, e, level, r.now, used) &&
		r.withinSlowStartBudget(req, e)
}

// limitFill applies the limits on the fill path to an attempt, and reports whether it may be sent. If a limit is
// reached or no source is usable, at most one attempt per request is sent that goes only as far as the cache or the
// parent.
func (r *Router) limitFill(req *request, a *attempt) bool {
	var origin *limiter // nil if the fill does not reach the origin
	if !req.chunk.filledSincePurge {
		origin = r.originLimiter()
	}
	a.fill, a.expectedFills = r.fillWithinLimits(req, a, origin), r.missRate()
	if a.fill.cacheOnly() && !r.mayTryCacheOnly(req, a) {
		return false
	}
	if a.fill == targetCacheOnly {
		a.source = a.target
		return true
	}
	a.fillLimiters = []*limiter{&a.source.limiter, &r.zoneLink}
	if a.fill == sourceCacheOnly {
		return true
	}
	a.originLimiter = origin
	if origin != nil && origin != &a.source.limiter {
		a.fillLimiters = append(a.fillLimiters, origin)
	}
	return true
}

// fillWithinLimits returns how far an attempt may go for a chunk that is not known to be cached at its target. It
// guards against requests that wait for a link at its limit while a cache has the chunk: a router with few requests
// does not know all copies. A wrong guess costs one short attempt. Writes are exempt from these limits, because no
// cached copy answers them.
func (r *Router) fillWithinLimits(req *request, a *attempt, origin *limiter) fillPlan {
	linkFull := !req.Write && !r.zoneLink.hasCapacity(r.now)
	originFull := !req.Write && origin != nil && !origin.hasCapacity(r.now)
	switch {
	case !a.hasSource() || linkFull:
		return targetCacheOnly
	case originFull && a.source.role == originServer:
		return targetCacheOnly
	case originFull:
		return sourceCacheOnly
	}
	return fillExpected
}

// mayTryCacheOnly allows one cache-only attempt per cacheable request, and one at the target alone only if the hit rate
// is at least minCacheOnlyHitShare.
func (r *Router) mayTryCacheOnly(req *request, a *attempt) bool {
	if r.uncacheable(req) || slices.ContainsFunc(req.attempts, isCacheOnly) {
		return false
	}
	return a.fill == sourceCacheOnly || r.missRate() <= 1-minCacheOnlyHitShare
}

// missRate returns the share of misses among recent attempts that expected one.
func (r *Router) missRate() float64 {
	return meanIfEnough(r.missSamples, minMissSamples, unknownMissRate)
}

// peerWithChunk returns another cache of the zone that is known to have a chunk which the target lacks, as after
// restarts, ejections and limits that were reached. A peer fill spares the zone's link; a wrong guess costs one short
// attempt.
func (r *Router) peerWithChunk(req *request, target *endpoint) *endpoint {
	tried := slices.ContainsFunc(req.attempts, isFromPeer)
	if !r.mayUsePeers() || tried || target.cached[req.chunk] != nil || r.uncacheable(req) {
		return nil
	}
	fresh := r.class(req.Class).freshSeconds
	for _, e := range req.chunk.cachedBy {
		cachedCopy := e.cached[req.chunk]
		if e != target && r.mayFillPeers(req, e) && r.stillCached(cachedCopy, e, fresh) {
			return e
		}
	}
	return nil
}

// mayFillPeers reports whether a cache of the zone has capacity to serve the miss of a peer.
func (r *Router) mayFillPeers(req *request, e *endpoint) bool {
	return e.listed.list == &r.caches && e.ejectedUntil <= r.now && e.limiter.hasCapacity(r.now) &&
		r.withinSlowStartBudget(req, e)
}

// stillCached reports whether a copy was used within its cache's horizon and, for a class whose copies expire after
// some seconds, remains fresh for long enough.
func (r *Router) stillCached(cachedCopy *cachedChunk, cache *endpoint, freshSeconds float64) bool {
	return r.now-cachedCopy.lastUsedAt < r.horizon(cache) &&
		(freshSeconds == 0 || r.now-cachedCopy.filledAt < peerFreshShare*freshSeconds)
}

// hashScore returns the weighted rendezvous hashing score of an endpoint for a hash in the interval (0, 1). Nearer
// endpoints and those of higher weight rank first more often.
func hashScore(unit float64, e *endpoint) float64 {
	score := math.Log(unit) / max(e.Weight, minHashWeight)
	return score * math.Pow(zoneDistanceFactor, e.zonesAway)
}
