package routing

import (
	"cmp"
	"math"
)

// Storing a fill or passing it is decided as in Cafe Cache (docs/design.md); its symbols are in parentheses.
const (
	fillCostRatio         = 0.75 // (alpha) cost of a stored fill over a pass: only a fill leaves a copy
	newestGapShare        = 0.25 // (gamma) share of the newest gap between requests in the mean gap
	initialHorizonSeconds = 10.0 // (T) before any idle time was seen
	minHorizonSeconds     = 1.0  // (T) at least: a purge heard late must not close the cache to new chunks
	maxIdleSamples        = 10   // idle times that the horizon (T) is the mean of: few, so that changes show soon
	storedRank            = 2    // retention rank, of 1 to 3, of a stored chunk: the middle one
	cachedIdleHorizons    = 3.0  // horizons of idle time after which a chunk has surely been evicted
)

// How old a copy may be.
const (
	congestionSeconds     = 1.0  // time after a decrease in which stale copies will do: congestion passes slower
	purgeAgeMarginSeconds = 1e-4 // by which a copy must be younger than a purge: times are rounded on the wire
	minCopyAgeSeconds     = 2e-6 // an age that no rounding turns into 0, which means any age
)

// For how long objects are remembered.
const (
	forgetObjectSeconds  = 60.0   // idle time after which an object is forgotten
	sweepIntervalSeconds = 5.0    // time between searches for idle objects
	maxObjects           = 131072 // objects remembered: bounds memory
	objectsAfterSweep    = maxObjects / 2
)

// The costs of sending a KB, by which a stored fill is compared with a pass.
const (
	fillCost    = 2 * fillCostRatio / (fillCostRatio + 1) // (C_F)
	passCost    = 2 / (fillCostRatio + 1)                 // (C_R)
	refetchCost = min(fillCost, passCost)                 // of sending a chunk once more that was not stored
)

// gap is the mean time in seconds between requests for the chunk, the time since the last one included.
func (c *chunk) gap(now float64) float64 {
	return newestGapShare*(now-c.lastRequestAt) + (1-newestGapShare)*c.averageGapSeconds
}

// gapKey orders chunks by their gaps, largest first. The order is the same at any time.
func (c *chunk) gapKey() float64 {
	return newestGapShare*c.lastRequestAt - (1-newestGapShare)*c.averageGapSeconds
}

// gapOf is the mean gap of a request's chunk. A chunk not seen before takes the largest gap of its object's cached
// chunks. Without any, another router may have seen it with a gap of T: the miss rate says how likely.
func (r *Router) gapOf(req *request, cache *endpoint) float64 {
	if !req.firstOfChunk {
		return req.chunk.gap(r.now)
	}
	largest := 0.0
	for _, c := range req.object.chunks {
		if cache.cached[c] != nil {
			largest = max(largest, c.gap(r.now))
		}
	}
	return cmp.Or(largest, r.horizon(cache)/(1-r.missRate()))
}

// updateGap counts a request in its chunk's gap, once. A chunk not seen before starts with the horizon.
func (r *Router) updateGap(req *request, cache *endpoint) {
	gap := r.horizon(cache)
	if req.chunk.requested {
		gap = req.chunk.gap(r.now)
	}
	r.setGap(req.chunk, gap)
}

// horizon (T) is the mean idle time in seconds after which chunks thought cached were missed.
func (r *Router) horizon(cache *endpoint) float64 {
	if len(cache.idleSeconds) == 0 {
		return initialHorizonSeconds
	}
	return max(mean(cache.idleSeconds), minHorizonSeconds)
}

// uncacheable says whether no copy of a response may be stored or served.
func (r *Router) uncacheable(req *request) bool { return req.Write || r.class(req.Class).uncacheable }

// shouldStore says whether a missing chunk is stored (serve) or passed without a copy. The cost of a stored fill
// includes later fills of what it evicts, that of a pass later requests for the chunk.
func (r *Router) shouldStore(req *request, cache *endpoint) bool {
	if r.uncacheable(req) {
		return false
	}
	horizon := r.horizon(cache)
	r.forgetEvicted(cache, horizon)
	if cache.cached[req.chunk] != nil {
		return true
	}
	needed := req.SizeKB
	serve := needed * fillCost
	pass := needed*passCost + needed*horizon/r.gapOf(req, cache)*refetchCost
	for _, evicted := range cache.byGap {
		if needed <= 0 || serve >= pass {
			break
		}
		serve += min(evicted.sizeKB, needed) * horizon / evicted.chunk.gap(r.now) * refetchCost
		needed -= evicted.sizeKB
	}
	return serve < pass
}

// forgetEvicted forgets the chunks with the largest gaps that were idle for so many horizons, in seconds, that the
// cache has surely evicted them.
func (r *Router) forgetEvicted(cache *endpoint, horizon float64) {
	for len(cache.byGap) > 0 && r.now-cache.byGap[0].lastUsedAt > cachedIdleHorizons*horizon {
		cache.removeCached(cache.byGap[0].chunk, true)
	}
}

// recordCached notes what an answer showed of a cache. A fill of a chunk thought cached tells of an eviction: the idle
// time before it is a sample of the horizon. Chunks that expire tell nothing.
func (r *Router) recordCached(req *request, a *attempt, filled bool) {
	cache := a.target
	if cache.role != edgeCache || r.uncacheable(req) {
		return
	}
	copied := cache.cached[req.chunk]
	if copied != nil && filled && r.class(req.Class).freshSeconds == 0 {
		cache.idleSeconds = appendSample(cache.idleSeconds, max(a.sentAt-copied.lastUsedAt, 0), maxIdleSamples)
	}
	if filled && a.retentionRank == 0 {
		cache.removeCached(req.chunk, true)
		return
	}
	if copied == nil {
		copied = r.addCopy(cache, req.chunk)
	}
	if filled {
		copied.filledAt = r.now
	}
	copied.sizeKB, copied.lastUsedAt = req.SizeKB, r.now
}

// maxCopyAge is the age of the oldest copy that will do, 0 for the class's fresh time.
func (r *Router) maxCopyAge(req *request, a *attempt) float64 {
	age, class := r.ageOfNewestPurge(req, a), r.class(req.Class)
	switch {
	case r.staleCopyWillDo(class, len(req.attempts)):
		return min(age, class.freshSeconds+class.staleSeconds)
	case math.IsInf(age, 1) || (class.freshSeconds > 0 && age > class.freshSeconds):
		return 0
	}
	return age
}

// ageOfNewestPurge is the age in seconds that a copy must not have reached to be served after the purges of its object,
// +Inf without any. It guards against purged copies (rule 5) on the disk of a cache that was down during the purge.
// They show as old content from one cache alone, long after the others dropped theirs. Purges are remembered however
// old they are, and those that were forgotten count for endpoints that started since.
func (r *Router) ageOfNewestPurge(req *request, a *attempt) float64 {
	purgedAt := max(r.purges[purgeKey{object: req.Object}], r.purges[purgeKey{group: req.ObjectGroup}])
	for _, e := range [2]*endpoint{a.target, a.source} {
		if e.StartedAt > r.purgesForgottenUntil {
			purgedAt = max(purgedAt, r.purgesForgottenUntil)
		}
	}
	if purgedAt > 0 {
		return max(r.now-purgedAt-purgeAgeMarginSeconds, minCopyAgeSeconds)
	}
	return math.Inf(1)
}

// staleCopyWillDo says whether a stale copy will do for a request of a class that had some attempts: if it is worth
// more than a late answer, and fills are congested or have failed.
func (r *Router) staleCopyWillDo(class *class, attempts int) bool {
	if class.staleSeconds <= 0 || class.stalePriorityShare <= class.latePriorityShare {
		return false
	}
	congestedUntil := max(r.originLimiter().decreasedAt, r.zoneLink.decreasedAt) + congestionSeconds
	return attempts > 0 || r.now < congestedUntil
}

// forgetIdleObjects forgets objects that were idle for long, sooner if there are too many: memory must not grow with
// the number of objects that clients ask for.
func (r *Router) forgetIdleObjects() {
	if r.now < r.sweptAt+sweepIntervalSeconds && len(r.objects) < maxObjects {
		return
	}
	r.sweptAt = r.now
	for age := forgetObjectSeconds; age == forgetObjectSeconds || len(r.objects) > objectsAfterSweep; age /= 2 {
		for id, o := range r.objects {
			if r.now-o.lastRequestAt >= age {
				o.dropCached()
				delete(r.objects, id)
			}
		}
	}
}
