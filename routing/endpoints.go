package routing

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// search finds the place of an endpoint in the list by id.
func (r *Router) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(r.endpoints, id, func(e *endpoint, id EndpointID) int {
		return cmp.Compare(e.ID, id)
	})
}

// findOrAddEndpoint finds an endpoint, or adds one of which nothing is known.
func (r *Router) findOrAddEndpoint(id EndpointID) *endpoint {
	at, found := r.search(id)
	if !found {
		r.endpoints = slices.Insert(r.endpoints, at, &endpoint{Endpoint: Endpoint{ID: id}})
	}
	return r.endpoints[at]
}

// findEndpoint finds an endpoint, nil where there is none.
func (r *Router) findEndpoint(id EndpointID) *endpoint {
	at, found := r.search(id)
	if !found {
		return nil
	}
	return r.endpoints[at]
}

// mergeEndpoints brings the list up to date and returns the endpoints that are new or have started again. Of those
// only what is in flight and was sent to them is kept.
func (r *Router) mergeEndpoints(update EndpointUpdate) (started []*endpoint) {
	if update.Kind == Snapshot || update.Kind == Restored {
		for _, e := range r.endpoints {
			e.Status = Removed
		}
	}
	for _, listed := range update.Endpoints {
		e := r.findOrAddEndpoint(listed.ID)
		if e.cached == nil || listed.StartedAt > e.StartedAt {
			*e = endpoint{
				cached:     map[*chunk]*cachedChunk{},
				limiter:    limiter{inFlight: e.inFlight},
				recentWork: e.recentWork,
			}
			started = append(started, e)
		}
		e.Endpoint = listed
	}
	r.endpoints = slices.DeleteFunc(r.endpoints, r.isForgotten)
	r.classifyEndpoints()
	return started
}

// isForgotten notes when an endpoint was removed and tells whether that is long ago.
func (r *Router) isForgotten(e *endpoint) bool {
	e.removedAt = indicator(e.Status == Removed) * cmp.Or(e.removedAt, r.now)
	return e.removedAt > 0 && r.now >= e.removedAt+forgetAfter
}

// classifyEndpoints works out what each endpoint is by the settings, and which are ready.
func (r *Router) classifyEndpoints() {
	r.localCaches, r.caches, r.parents, r.origins = nil, nil, nil, nil
	r.endpointsVersion++
	zone := int(r.number(SettingZone, 0))
	routers := max(r.number(SettingRouters, 1), 1)
	for _, e := range r.endpoints {
		e.role, e.zonesAway, e.sharers = otherZone, r.zonesAway(e), routers
		var ready []*endpoint
		list := &ready
		switch kind := float64(e.Kind); {
		case kind == r.number(SettingParentKind, -1):
			e.role, list = parentCache, &r.parents
		case kind == r.number(SettingOriginKind, -1):
			e.role, list = originServer, &r.origins
		case e.Zone == zone:
			e.role, list = edgeCache, &r.caches
			e.sharers = max(r.settings.FloatItem(SettingRoutersByZone, zone, routers), 1)
			r.localCaches = append(r.localCaches, e)
		}
		if e.Status == Ready {
			*list = append(*list, e)
		}
	}
}

// zonesAway is the number of parent zones on the ring between this zone's parent zone and a parent's.
func (r *Router) zonesAway(e *endpoint) float64 {
	if float64(e.Kind) != r.number(SettingParentKind, -1) {
		return 0
	}
	own := int(r.settings.FloatItem(SettingParentZoneOf, int(r.number(SettingZone, 0)), float64(e.Zone)))
	ringSize := 0.0 // parent zones come first among the zones and are their own
	for r.settings.FloatItem(SettingParentZoneOf, int(ringSize), -1) == ringSize {
		ringSize++
	}
	distance := math.Abs(float64(own - e.Zone))
	return min(distance, max(ringSize-distance, 0))
}

// hasAlternative says whether another endpoint of the same role is ready and not ejected.
func (r *Router) hasAlternative(e *endpoint) bool {
	peers := r.parents
	if e.role == edgeCache {
		peers = r.caches
	}
	return slices.ContainsFunc(peers, func(peer *endpoint) bool { return peer != e && peer.ejectedUntil <= r.now })
}

// originLimiter is the limiter of the first origin listed; one without a limit where there is none.
func (r *Router) originLimiter() *limiter {
	if len(r.origins) > 0 {
		return &r.origins[0].limiter
	}
	return &limiter{limit: math.Inf(1)}
}

// hashOrder gives the ready caches and parents in the order of an object's hash.
func (r *Router) hashOrder(o *object) (caches, parents []*endpoint) {
	if o.endpointsVersion != r.endpointsVersion {
		o.endpointsVersion = r.endpointsVersion
		o.caches = sortByHash(o.id, r.caches)
		o.parents = sortByHash(o.id, r.parents)
	}
	return o.caches, o.parents
}

// sortByHash copies a list of endpoints, highest score for the object first.
func sortByHash(id string, list []*endpoint) []*endpoint {
	scores := make([]float64, len(list))
	sorted := slices.Clone(list)
	for i, e := range list {
		score := hashScore(id, e)
		at := i
		for ; at > 0 && scores[at-1] < score; at-- {
			scores[at], sorted[at] = scores[at-1], sorted[at-1]
		}
		scores[at], sorted[at] = score, e
	}
	return sorted
}

// hashToUnit maps a text to a number between 0 and 1. The last mixing steps are MurmurHash3's: FNV alone gives
// similar texts similar high bits.
func hashToUnit(text string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(text))
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd
	mixed = (mixed ^ mixed>>33) * 0xc4ceb9fe1a85ec53
	return (float64((mixed^mixed>>33)>>11) + 0.5) / (1 << 53)
}
