package routing

import (
	"cmp"
	"math"
	"slices"
)

// forgetEndpointSeconds is the time after which a removed endpoint is forgotten. Until then what was learned of it
// counts if it is listed again. Memory must not grow with the endpoints of all time.
const forgetEndpointSeconds = 60.0

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
// only what is in flight and was sent to them stays.
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
			e.forgetCached()
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
	r.forgetRemoved()
	return started
}

// forgetRemoved forgets endpoints that were removed long ago.
func (r *Router) forgetRemoved() {
	r.removed = slices.DeleteFunc(r.removed, func(e *endpoint) bool {
		if e.Status != Removed {
			e.removedAt = 0
			return true
		}
		if r.now < e.removedAt+forgetEndpointSeconds {
			return false
		}
		e.forgetCached()
		if at, found := r.search(e.ID); found {
			r.endpoints = slices.Delete(r.endpoints, at, at+1)
		}
		return true
	})
}

// classifyEndpoints works out what each endpoint is by the settings, and which are ready.
func (r *Router) classifyEndpoints() {
	for _, e := range r.endpoints {
		r.classify(e)
	}
}

// classify works out what an endpoint is by the settings, and lists it if it is ready.
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
	e.list(list)
	if e.Status == Removed && e.removedAt == 0 {
		e.removedAt = r.now
		r.removed = append(r.removed, e)
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

// originLimiter is the limiter of the first origin listed; one without a limit where there is none.
func (r *Router) originLimiter() *limiter {
	if len(r.origins.endpoints) > 0 {
		return &r.origins.endpoints[0].limiter
	}
	return &limiter{limit: math.Inf(1)}
}

// cacheCandidates and parentCandidates are the ready caches and parents in the order of an object's hash.
func (r *Router) cacheCandidates(o *object) candidates {
	r.caches.refresh(&o.caches, o.id)
	return candidates{list: &r.caches, order: &o.caches, object: o.id}
}

func (r *Router) parentCandidates(o *object) candidates {
	r.parents.refresh(&o.parents, o.id)
	return candidates{list: &r.parents, order: &o.parents, object: o.id}
}
