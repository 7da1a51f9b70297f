package routing

import (
	"math"
	"slices"
)

const (
	zoneDistanceFactor   = 2.0  // times as seldom first in hash order a zone of distance: fills cost more
	minHashWeight        = 1e-3 // capacity, in transfers, that an endpoint counts for at least in the hash order
	maxCandidates        = 64   // endpoints of a list that a choice tries: where these are full, few others are not
	minCacheOnlyHitShare = 0.1  // share of hits where a miss is expected that makes a cache-only attempt worth it
	maxMissSamples       = 64   // last attempts expected to miss that the miss rate is taken of: these vary widely
	minMissSamples       = 8    // number of these before their mean is used
	unknownMissRate      = 1.0  // share of misses before that
	peerFreshShare       = 0.5  // share of the fresh time after which a peer's copy is too near to its end
)

// fallbackLevel says which endpoints a request may use. Each level allows more than the one before it and is used where
// no endpoint is usable at that. Limits, budgets of retries and cold budgets hold at each level.
type fallbackLevel int

const (
	untriedOnly    fallbackLevel = iota // not used by this request, and not ejected
	triedAllowed                        // no attempt of this request ended there just now, and not ejected
	ejectedAllowed                      // as before; ejected ones too if there is no other
	fallbackLevelCount
)

// chooseAttempt picks the target and the fill's source of a next attempt, or returns nil if no endpoint has room.
func (r *Router) chooseAttempt(req *request) *attempt {
	caches, parents := r.cacheCandidates(req.object), r.parentCandidates(req.object)
	defer caches.release()
	defer parents.release()
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
		a.fill = expectFill
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

// chooseTarget is the first usable cache in hash order. Where caches may be bypassed, uncacheable requests do so, and
// others do if no cache is usable at the first fallback level and the zone's link has room.
func (r *Router) chooseTarget(req *request, caches candidates, sources [2]candidates) *endpoint {
	direct, uncacheable := r.settings.Bool(SettingDirectAttempts), r.uncacheable(req)
	for level := untriedOnly; level < fallbackLevelCount; level++ {
		lists := []candidates{caches}
		if direct && uncacheable {
			lists = []candidates{sources[0], sources[1], caches}
		} else if direct && level > untriedOnly && r.zoneLink.hasRoom(r.now) {
			lists = []candidates{caches, sources[0], sources[1]}
		}
		for _, list := range lists {
			target := list.first(func(e *endpoint) bool {
				return r.usable(req, e, level, wasTarget) && r.inDeduplicationScope(req, e)
			})
			if target != nil {
				return target
			}
		}
	}
	return nil
}

// chooseSource is the first usable parent or origin, or the target itself if there is none: see attempt.hasSource.
func (r *Router) chooseSource(req *request, target *endpoint, sources [2]candidates) *endpoint {
	for level := untriedOnly; level < fallbackLevelCount; level++ {
		for _, list := range sources {
			source := list.first(func(e *endpoint) bool { return r.usable(req, e, level, wasSource) })
			if source != nil {
				return source
			}
		}
	}
	return target
}

// usable says whether a request may use an endpoint at a fallback level. Used tells whether an attempt has used
// the endpoint as target, or as source.
func (r *Router) usable(req *request, e *endpoint, level fallbackLevel, used usedFunc) bool {
	return !r.barredByEjection(e, level) &&
		e.limiter.admits(req.Write, r.now) &&
		!barredByRetryBudget(e, len(req.attempts)) &&
		!triedAlready(req, e, level, r.now, used) &&
		r.withinColdBudget(req, e)
}

// limitFill holds a fill to the limits on its way, and says whether the attempt may be made. Where a limit is reached,
// one attempt goes only as far as the cache or the parent.
func (r *Router) limitFill(req *request, a *attempt) bool {
	var origin *limiter // nil where the origin is not reached
	if !req.chunk.filledByParent {
		origin = r.originLimiter()
	}
	a.fill, a.expectedFills = r.fillWithinLimits(req, a, origin), r.missRate()
	if a.fill.cacheOnly() && !r.mayTryCacheOnly(req, a) {
		return false
	}
	if a.fill == targetOnly {
		a.source = a.target
		return true
	}
	a.fillLimiters = []*limiter{&a.source.limiter, &r.zoneLink}
	if a.fill == sourceOnly {
		return true
	}
	a.originLimiter = origin
	if origin != nil && origin != &a.source.limiter {
		a.fillLimiters = append(a.fillLimiters, origin)
	}
	return true
}

// fillWithinLimits is how far an attempt may go for a chunk that its target lacks. It guards against requests that wait
// for a full link while a cache has what they ask for, as a router with few requests does not know all copies. A wrong
// guess costs one short attempt. Writes pass these limits: nothing cached answers them.
func (r *Router) fillWithinLimits(req *request, a *attempt, origin *limiter) fillPlan {
	linkFull := !req.Write && !r.zoneLink.hasRoom(r.now)
	originFull := !req.Write && origin != nil && !origin.hasRoom(r.now)
	switch {
	case !a.hasSource() || linkFull:
		return targetOnly
	case originFull && a.source.role == originServer:
		return targetOnly
	case originFull:
		return sourceOnly
	}
	return expectFill
}

// mayTryCacheOnly allows one cache-only attempt a request, and to the cache alone only where hits are likely.
func (r *Router) mayTryCacheOnly(req *request, a *attempt) bool {
	if r.uncacheable(req) || slices.ContainsFunc(req.attempts, isCacheOnly) {
		return false
	}
	return a.fill == sourceOnly || r.missRate() <= 1-minCacheOnlyHitShare
}

// missRate is the share of the last attempts expected to miss that did.
func (r *Router) missRate() float64 {
	return meanIfEnough(r.missSamples, minMissSamples, unknownMissRate)
}

// peerWithChunk is another cache of the zone that is known to have a chunk which the target lacks, after restarts,
// ejections and full limits. It spares the link; a wrong guess costs one short attempt.
func (r *Router) peerWithChunk(req *request, target *endpoint) *endpoint {
	tried := slices.ContainsFunc(req.attempts, isFromPeer)
	if !r.mayUsePeers() || tried || target.cached[req.chunk] != nil || r.uncacheable(req) {
		return nil
	}
	fresh := r.class(req.Class).freshSeconds
	for _, e := range req.chunk.cachedBy {
		copied := e.cached[req.chunk]
		if e != target && r.mayFillPeers(req, e) && r.stillCached(copied, e, fresh) {
			return e
		}
	}
	return nil
}

// mayFillPeers says whether a cache of the zone has room to fill a miss of another one.
func (r *Router) mayFillPeers(req *request, e *endpoint) bool {
	return e.listed.list == &r.caches && e.ejectedUntil <= r.now && e.limiter.hasRoom(r.now) &&
		r.withinColdBudget(req, e)
}

// stillCached says whether a copy was used within its cache's horizon and, of a class whose copies expire after some
// seconds, is fresh for long enough.
func (r *Router) stillCached(copied *cachedChunk, cache *endpoint, freshSeconds float64) bool {
	return r.now-copied.lastUsedAt < r.horizon(cache) &&
		(freshSeconds == 0 || r.now-copied.filledAt < peerFreshShare*freshSeconds)
}

// hashScore is that of weighted rendezvous hashing, of a hash between 0 and 1. Nearer and heavier endpoints come
// first more often.
func hashScore(unit float64, e *endpoint) float64 {
	score := math.Log(unit) / max(e.Weight, minHashWeight)
	return score * math.Pow(zoneDistanceFactor, e.zonesAway)
}
