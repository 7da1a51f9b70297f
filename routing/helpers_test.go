package routing

import "strconv"

// testSettings are those of a small deployment with two classes: an idempotent one and one of the given effect.
func testSettings(effect string) Settings {
	return Settings{
		"router": "0", "routers": "2", "location": "1", "routers_at": "0,1", "parent_kind": "1", "origin_kind": "2",
		"pace_kb_s": "1000", "siblings": "location", "tells": "all", "may_double": "true", "may_cancel": "true",
		"max_hops": "5", "tells_retry": "true", "max_retry_s": "2", "cold_s": "10", "cold_share": "0.25",
		"fall_multiple": "2", "fall_s": "2", "parent_cold_s": "20", "parent_cold_share": "0.1", "purge_done_s": "6",
		"fresh_s": "0,0", "uncacheable": "false,false", "link_in_kb_s": "0,8000",
		"remap.0.effect": "repeatable", "remap.0.group": "all", "remap.0.sla_s": "0.5", "remap.0.sla_stretch": "2",
		"remap.0.importance": "2", "remap.1.effect": effect, "remap.1.group": "all", "remap.1.sla_s": "0.5",
		"remap.1.window_s": "5", "remap.1.importance": "3",
	}
}

// newTestRouter knows three caches, two parents and the origin, all warm, at time 100.
func newTestRouter(effect string) *Router {
	r := New(7, testSettings(effect))
	rows := []Endpoint{{ID: "o", Kind: 2, Weight: 1}}
	for i := range 3 {
		rows = append(rows, Endpoint{ID: EndpointID("c" + strconv.Itoa(i)), Zone: 1, Weight: 4})
	}
	for i := range 2 {
		rows = append(rows, Endpoint{ID: EndpointID("p" + strconv.Itoa(i)), Kind: 1, Weight: 20})
	}
	r.Decide(100, EndpointUpdate{Kind: Restored, Endpoints: rows})
	return r
}

func newArrival(id RequestID, object string) RequestArrived {
	return RequestArrived{Request: id, Object: object, SizeKB: 100, Deadline: 105}
}

// actionsOf picks the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var picked []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			picked = append(picked, a)
		}
	}
	return picked
}

// addSentRequest adds a request of class 1 whose single attempt, to c0, ended with the result or is still in flight.
func addSentRequest(r *Router, result AttemptResult, inFlight bool) *request {
	cache := r.findOrAddEndpoint("c0")
	object := r.findOrAddObject("x", 0)
	req := &request{
		RequestArrived: RequestArrived{Request: "t", Class: 1, SizeKB: 100, Deadline: 105},
		token:          1,
		arrivedAt:      100,
		objective:      0.5,
		object:         object,
		chunk:          object.findOrAddChunk(0),
		attempts: []*attempt{{
			target:   cache,
			source:   cache,
			started:  true,
			inFlight: inFlight,
			wanted:   inFlight,
			result:   result,
			sentAt:   100,
			endedAt:  100,
		}},
	}
	r.requests["t"] = req
	r.requestsByToken[1] = req
	return req
}
