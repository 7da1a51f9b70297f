package routing

import (
	"cmp"
	"math"
	"slices"
)

// removedEndpointTTLSeconds is the time after which a removed endpoint is dropped. Until then its state is restored if
// it is listed again. The TTL bounds memory as endpoints come and go.
const removedEndpointTTLSeconds = 60.0

// search returns the index of an endpoint in the list sorted by ID, and whether it is present.
func (r *Router) search(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(r.endpoints, id, func(e *endpoint, id EndpointID) int {
		return cmp.Compare(e.ID, id)
	})
}

// findOrAddEndpoint returns the endpoint with the ID, and adds an empty one if it is not known.
func (r *Router) findOrAddEndpoint(id EndpointID) *endpoint {
	at, found := r.search(id)
	if !found {
		r.endpoints = slices.Insert(r.endpoints, at, &endpoint{Endpoint: Endpoint{ID: id}})
	}
	return r.endpoints[at]
}

// findEndpoint returns the endpoint with the ID, or nil if it is not known.
func (r *Router) findEndpoint(id EndpointID) *endpoint {
	at, found := r.search(id)
	if !found {
		return nil
	}
	return r.endpoints[at]
}

// mergeEndpoints applies an update to the list and returns the endpoints that are new or have restarted. These keep
// only their number of attempts in flight and the work sent to them.
func (r *Router) mergeEndpoints(update EndpointUpdate) (started []*endpoint) {
	snapshot := update.Kind == Snapshot || update.Kind == Restored
	if snapshot {
		for _, e := range r.endpoints {
			e.Status = Removed
		}
	}
	for _, listed := range update.Endpoints {
		e := r.findOrAddEndpoint(listed.ID)
		if e.cached == nil || listed.StartedAt > e.StartedAt {
			e.clearCached()
			*e = endpoint{
				Endpoint:   e.Endpoint,
				listed:     e.listed,
				cached:     map[*chunk]*cachedChunk{},
				limiter:    limiter{inFlight: e.limiter.inFlight},
				recentWork: e.recentWork,
				removedAt:  e.removedAt,
			}
			started = append(started, e)
		}
		e.Endpoint = listed
		if !snapshot {
			r.classify(e)
		}
	}
	if snapshot {
		r.classifyEndpoints()
	}
	r.expireRemovedEndpoints()
	return started
}

// expireRemovedEndpoints drops endpoints that were removed more than removedEndpointTTLSeconds ago.
func (r *Router) expireRemovedEndpoints() {
	r.removed = slices.DeleteFunc(r.removed, func(e *endpoint) bool {
		if e.Status != Removed {
			e.removedAt = 0
			return true
		}
		if r.now < e.removedAt+removedEndpointTTLSeconds {
			return false
		}
		e.clearCached()
		if at, found := r.search(e.ID); found {
			r.endpoints = slices.Delete(r.endpoints, at, at+1)
		}
		return true
	})
}

// classifyEndpoints determines the role of each endpoint from the settings, and which endpoints are ready.
func (r *Router) classifyEndpoints() {
	for _, e := range r.endpoints {
		r.classify(e)
	}
}

// classify determines the role of an endpoint from the settings, and adds it to the list of its role if it is ready.
func (r *Router) classify(e *endpoint) {
	zone := int(r.number(SettingZone, 0))
	routers := max(r.number(SettingRouters, 1), 1)
	e.role, e.zonesAway, e.routersSharing = otherZone, r.zonesAway(e), routers
	var list *endpointList
	switch kind := float64(e.Kind); {
	case kind == r.number(SettingParentKind, -1):
		e.role, list = parentCache, &r.parents
	case kind == r.number(SettingOriginKind, -1):
		e.role, list = originServer, &r.origins
	case e.Zone == zone:
		e.role, list = edgeCache, &r.caches
		e.routersSharing = max(r.settings.FloatItem(SettingRoutersByZone, zone, routers), 1)
	}
	if e.Status != Ready {
		list = nil
	}
	e.updateList(list)
	if e.Status == Removed && e.removedAt == 0 {
		e.removedAt = r.now
		r.removed = append(r.removed, e)
	}
}

// zonesAway returns the ring distance, in parent zones, between this zone's parent zone and a parent cache.
func (r *Router) zonesAway(e *endpoint) float64 {
	if float64(e.Kind) != r.number(SettingParentKind, -1) {
		return 0
	}
	own := int(r.settings.FloatItem(SettingParentZoneOf, int(r.number(SettingZone, 0)), float64(e.Zone)))
	ringSize := 0.0 // parent zones are the first zones, and each is its own parent zone
	for r.settings.FloatItem(SettingParentZoneOf, int(ringSize), -1) == ringSize {
		ringSize++
	}
	distance := math.Abs(float64(own - e.Zone))
	return min(distance, max(ringSize-distance, 0))
}

// originLimiter returns the limiter of the first listed origin, or an unlimited one if there is no origin.
func (r *Router) originLimiter() *limiter {
	if len(r.origins.endpoints) > 0 {
		return &r.origins.endpoints[0].limiter
	}
	return &limiter{limit: math.Inf(1)}
}

// cacheCandidates returns the ready edge caches in the order of an object's hash; parentCandidates does so for the
// parent caches.
func (r *Router) cacheCandidates(o *object) candidates {
	r.caches.refresh(&o.caches, o.id)
	return candidates{list: &r.caches, order: &o.caches, object: o.id}
}

func (r *Router) parentCandidates(o *object) candidates {
	r.parents.refresh(&o.parents, o.id)
	return candidates{list: &r.parents, order: &o.parents, object: o.id}
}
