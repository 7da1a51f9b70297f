package routing

import (
	"cmp"
	"math"
	"slices"
)

// Constants of the store-or-pass decision, which follows Cafe Cache (docs/design.md). The symbols of the paper are in
// parentheses. A purge that the router learns of late looks like an eviction after a short idle time; without
// minHorizonSeconds, such samples would make the horizon so short that no new chunk is stored.
const (
	fillCostRatio         = 0.75 // (alpha) cost of a stored fill relative to a pass: only a fill leaves a copy
	newestGapShare        = 0.25 // (gamma) weight of the newest request gap in the mean gap
	initialHorizonSeconds = 10.0 // (T) before the first sample of idle time
	minHorizonSeconds     = 1.0  // (T) lower bound: a late purge must not stop new chunks from being stored
	maxIdleSamples        = 10   // samples of idle time averaged for the horizon (T): few, to follow changes quickly
	storedRank            = 2    // retention rank of a stored chunk: the middle of 1 to 3
	cachedIdleHorizons    = 3.0  // idle time, in horizons, after which a chunk is presumed evicted
)

// Limits of the age of copies.
const (
	congestionSeconds     = 1.0  // how long stale copies are served after a limit decrease: congestion lasts less
	purgeAgeMarginSeconds = 1e-4 // a served copy is newer than a purge by this margin: times are rounded on the wire
	minCopyAgeSeconds     = 2e-6 // smallest age that rounding keeps above 0; 0 would mean the fresh time of the class
)

// Expiry of idle objects.
const (
	idleObjectTTLSeconds = 60.0   // idle time after which an object is dropped
	sweepIntervalSeconds = 5.0    // interval between sweeps for idle objects
	maxObjects           = 131072 // bounds the memory for objects and chunks, see Router.LimitMemory
	sweptObjectsDivisor  = 2      // fraction (1/n) of the maximum that remains when there are too many
	maxObjectChunks      = 1024   // bounds the work of a request, which looks at all chunks of its object
)

// Costs of sending 1 KB, which compare a stored fill with a pass.
const (
	fillCost    = 2 * fillCostRatio / (fillCostRatio + 1) // (C_F)
	passCost    = 2 / (fillCostRatio + 1)                 // (C_R)
	refetchCost = min(fillCost, passCost)                 // cost of a later fill of a chunk that was not stored
)

// gap returns the mean time in seconds between requests for the chunk, including the time since the last one.
func (c *chunk) gap(now float64) float64 {
	return newestGapShare*(now-c.lastRequestAt) + (1-newestGapShare)*c.averageGapSeconds
}

// gapKey returns the sort key of chunks by request gap, largest gap first. It does not depend on the current time.
func (c *chunk) gapKey() float64 {
	return newestGapShare*c.lastRequestAt - (1-newestGapShare)*c.averageGapSeconds
}

// gapOf returns the mean request gap of a request's chunk. For a chunk without earlier requests it is the largest gap
// of the object's cached chunks. If there are none, it is the horizon divided by the hit rate (1 - missRate), or +Inf
// for a hit rate of 0: other routers may have requested the chunk with a gap of T, and the hit rate estimates how
// likely that is.
func (r *Router) gapOf(req *request, cache *endpoint) float64 {
	if !req.firstForChunk {
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

// updateGap records a request in the mean gap of its chunk, once per request. The gap of a new chunk starts at the
// horizon.
func (r *Router) updateGap(req *request, cache *endpoint) {
	gap := r.horizon(cache)
	if req.chunk.requested {
		gap = req.chunk.gap(r.now)
	}
	r.setGap(req.chunk, gap)
}

// horizon (T) is the mean idle time in seconds after which chunks recorded as cached turned out to be evicted.
func (r *Router) horizon(cache *endpoint) float64 {
	if len(cache.idleSeconds) == 0 {
		return initialHorizonSeconds
	}
	return max(mean(cache.idleSeconds), minHorizonSeconds)
}

// uncacheable reports whether no copy of the response may be stored or served.
func (r *Router) uncacheable(req *request) bool { return req.Write || r.class(req.Class).uncacheable }

// shouldStore reports whether a missing chunk is stored rather than passed through without a copy, because storing
// costs less. The cost of a stored fill includes later fills of the chunks that it evicts; the cost of a pass includes
// later requests for the chunk itself. A chunk recorded as cached is always stored.
func (r *Router) shouldStore(req *request, cache *endpoint) bool {
	if r.uncacheable(req) {
		return false
	}
	horizon := r.horizon(cache)
	r.dropEvicted(cache, horizon)
	if cache.cached[req.chunk] != nil {
		return true
	}
	needed := req.SizeKB
	storeTotal := needed * fillCost
	passTotal := needed*passCost + needed*horizon/r.gapOf(req, cache)*refetchCost
	for _, evicted := range cache.byGap {
		if needed <= 0 || storeTotal >= passTotal {
			break
		}
		storeTotal += min(evicted.sizeKB, needed) * horizon / evicted.chunk.gap(r.now) * refetchCost
		needed -= evicted.sizeKB
	}
	return storeTotal < passTotal
}

// dropEvicted removes the chunks with the largest gaps from the known contents of a cache if they were idle for more
// than cachedIdleHorizons times the horizon, in seconds: the cache is presumed to have evicted them.
func (r *Router) dropEvicted(cache *endpoint, horizon float64) {
	for len(cache.byGap) > 0 && r.now-cache.byGap[0].lastUsedAt > cachedIdleHorizons*horizon {
		cache.removeCached(cache.byGap[0].chunk, true)
	}
}

// recordCached updates the known contents of a cache from an answer. A fill of a chunk recorded as cached indicates an
// eviction: the idle time before it is a sample of the horizon. Chunks of classes whose copies expire give no sample.
func (r *Router) recordCached(req *request, a *attempt, filled bool) {
	cache := a.target
	if cache.role != edgeCache || r.uncacheable(req) || req.chunk.dropped {
		return
	}
	cachedCopy := cache.cached[req.chunk]
	if cachedCopy != nil && filled && r.class(req.Class).freshSeconds == 0 {
		cache.idleSeconds = appendSample(cache.idleSeconds, max(a.sentAt-cachedCopy.lastUsedAt, 0), maxIdleSamples)
	}
	if filled && a.retentionRank == 0 {
		cache.removeCached(req.chunk, true)
		return
	}
	if cachedCopy == nil {
		cachedCopy = r.addCopy(cache, req.chunk)
	}
	if filled {
		cachedCopy.filledAt = r.now
	}
	cachedCopy.sizeKB, cachedCopy.lastUsedAt = req.SizeKB, r.now
}

// maxCopyAge returns the maximum age of a served copy, 0 for the fresh time of the class.
func (r *Router) maxCopyAge(req *request, a *attempt) float64 {
	age, class := r.ageOfNewestPurge(req, a), r.class(req.Class)
	switch {
	case r.staleCopyAllowed(class, len(req.attempts)):
		return min(age, class.freshSeconds+class.staleSeconds)
	case math.IsInf(age, 1) || (class.freshSeconds > 0 && age > class.freshSeconds):
		return 0
	}
	return age
}

// ageOfNewestPurge returns the age in seconds below which a copy postdates all purges of its object, +Inf if there are
// none. It guards against purged copies (rule 5) on the disk of a cache that was down during the purge. The symptom is
// old content from a single cache, long after the others dropped theirs. Purges are remembered regardless of age; those
// dropped to bound memory still apply to endpoints started since.
func (r *Router) ageOfNewestPurge(req *request, a *attempt) float64 {
	purgedAt := max(r.purges[purgeKey{object: req.Object}], r.purges[purgeKey{group: req.ObjectGroup}])
	for _, e := range [2]*endpoint{a.target, a.source} {
		if e.StartedAt > r.purgesDroppedUntil {
			purgedAt = max(purgedAt, r.purgesDroppedUntil)
		}
	}
	if purgedAt > 0 {
		return max(r.now-purgedAt-purgeAgeMarginSeconds, minCopyAgeSeconds)
	}
	return math.Inf(1)
}

// staleCopyAllowed reports whether a stale copy may answer a request of the class after a number of attempts: it must
// be worth more than a late answer, and fills must be congested or have failed.
func (r *Router) staleCopyAllowed(class *class, attempts int) bool {
	if class.staleSeconds <= 0 || class.stalePriorityShare <= class.latePriorityShare {
		return false
	}
	congestedUntil := max(r.originLimiter().decreasedAt, r.zoneLink.decreasedAt) + congestionSeconds
	return attempts > 0 || r.now < congestedUntil
}

// evictIdleObjects drops objects that were idle for long, and drops them sooner if there are too many objects or
// chunks, so that memory does not grow with the number of those that clients request.
func (r *Router) evictIdleObjects() {
	if r.now < r.sweptAt+sweepIntervalSeconds && !r.tracksOver(r.maxObjects-1) {
		return
	}
	r.sweptAt = r.now
	remaining := r.maxObjects / sweptObjectsDivisor
	for age := idleObjectTTLSeconds; age == idleObjectTTLSeconds || r.tracksOver(remaining); age /= 2 {
		for id, o := range r.objects {
			if r.now-o.lastRequestAt >= age {
				r.dropChunks(o, func(*chunk) bool { return true })
				delete(r.objects, id)
			}
		}
	}
}

// tracksOver reports whether there are more objects or more chunks than a number.
func (r *Router) tracksOver(count int) bool { return len(r.objects) > count || r.chunkCount > count }

// dropChunks drops the chunks of an object for which drops returns true, with what is known of their copies.
func (r *Router) dropChunks(o *object, drops func(*chunk) bool) {
	before := len(o.chunks)
	o.chunks = slices.DeleteFunc(o.chunks, func(c *chunk) bool {
		c.dropped = drops(c)
		if c.dropped {
			c.dropCached()
		}
		return c.dropped
	})
	r.chunkCount -= before - len(o.chunks)
}

// evictOldestChunks drops the half of an object's chunks that were requested least recently.
func (r *Router) evictOldestChunks(o *object) {
	times := make([]float64, len(o.chunks))
	for i, c := range o.chunks {
		times[i] = c.lastRequestAt
	}
	slices.Sort(times)
	median := times[len(times)/2]
	r.dropChunks(o, func(c *chunk) bool { return c.lastRequestAt <= median })
}
