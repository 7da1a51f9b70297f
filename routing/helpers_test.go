package routing

import "strconv"

// testSettings returns the settings of a small deployment with two classes: an idempotent one and one with the given
// effect.
func testSettings(effect Effect) Settings {
	return Settings{
		SettingRouter:                            "0",
		SettingRouters:                           "2",
		SettingZone:                              "1",
		SettingRoutersByZone:                     "0,1",
		SettingParentKind:                        "1",
		SettingOriginKind:                        "2",
		SettingTransferRate:                      "1000",
		SettingPeerCaches:                        PeerCachesInZone,
		SettingResultDetails:                     DetailsOfAll,
		SettingHedging:                           "true",
		SettingCancellation:                      "true",
		SettingMaxAttempts:                       "5",
		SettingRetryAfterAllowed:                 "true",
		SettingMaxRetryAfter:                     "2",
		SettingWarmUp:                            "10",
		SettingColdCapacity:                      "0.25",
		SettingOverloadFactor:                    "2",
		SettingOverloadWindow:                    "2",
		SettingParentWarmUp:                      "20",
		SettingParentColdCapacity:                "0.1",
		SettingPurgeComplete:                     "6",
		SettingFreshTime:                         "0,0",
		SettingUncacheable:                       "false,false",
		SettingZoneLinkRate:                      "0,8000",
		ClassSetting(0, ClassEffect):             string(Idempotent),
		ClassSetting(0, ClassDeduplicationScope): string(AnyScope),
		ClassSetting(0, ClassLatencyObjective):   "0.5",
		ClassSetting(0, ClassObjectiveStretch):   "2",
		ClassSetting(0, ClassPriority):           "2",
		ClassSetting(1, ClassEffect):             string(effect),
		ClassSetting(1, ClassDeduplicationScope): string(AnyScope),
		ClassSetting(1, ClassLatencyObjective):   "0.5",
		ClassSetting(1, ClassIdempotencyWindow):  "5",
		ClassSetting(1, ClassPriority):           "3",
	}
}

// newTestRouter returns a router at time 100 with three caches, two parents and the origin, none in slow start.
func newTestRouter(effect Effect) *Router {
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

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var picked []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			picked = append(picked, a)
		}
	}
	return picked
}

// addSentRequest adds a request of class 1 with a single attempt, at c0, that has ended with the result or is in
// flight.
func addSentRequest(r *Router, result AttemptResult, inFlight bool) *request {
	cache := r.findOrAddEndpoint("c0")
	object := r.findOrAddObject("x", 0)
	state := attemptEnded
	if inFlight {
		state = attemptAwaited
	}
	req := &request{
		RequestArrived:   RequestArrived{Request: "t", Class: 1, SizeKB: 100, Deadline: 105},
		token:            1,
		arrivedAt:        100,
		objectiveSeconds: 0.5,
		object:           object,
		chunk:            r.findOrAddChunk(object, 0),
		attempts: []*attempt{{
			target:  cache,
			source:  cache,
			state:   state,
			result:  result,
			sentAt:  100,
			endedAt: 100,
		}},
	}
	r.requests["t"] = req
	r.requestsByToken[1] = req
	return req
}

// finalAction returns the last final action emitted, or nil if there is none.
func finalAction(r *Router) Action {
	var final Action
	for _, action := range r.actions {
		switch action.(type) {
		case RejectRequest, AbortRequest:
			final = action
		}
	}
	return final
}
