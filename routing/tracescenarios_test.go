package routing_test

import (
	"maps"

	"cairnfront/routing"
)

// traceScenario is a deployment of the decision trace: its settings, its endpoints and the rates of its events.
type traceScenario struct {
	name             string
	settings         routing.Settings
	seeds            []uint64
	moduleSeedOffset uint64
	caches, parents  int
	origin           bool
	requestsPerS     float64
	seconds          float64
	purges           int // sent at once, before the last third

	conditionSeconds       float64 // added to the duration of misbehavior
	observationsPerS       float64 // rate of health observations in addition to those of sendRandomEvent
	purgesBeforeRequests   bool    // some requests follow a purge of their object immediately
	endpointsWithoutWeight bool    // the second half of the caches has no weight
}

// traceSettings returns the settings of a small deployment with one class of each kind.
func traceSettings(changes routing.Settings) routing.Settings {
	settings := routing.Settings{
		routing.SettingRouter:                                    "0",
		routing.SettingRouters:                                   "3",
		routing.SettingZone:                                      "2",
		routing.SettingRoutersByZone:                             "0,1,2",
		routing.SettingParentZoneOf:                              "0,1,0",
		routing.SettingParentKind:                                "1",
		routing.SettingOriginKind:                                "2",
		routing.SettingTransferRate:                              "1000",
		routing.SettingPeerCaches:                                routing.PeerCachesInZone,
		routing.SettingResultDetails:                             routing.DetailsOfAll,
		routing.SettingHedging:                                   "true",
		routing.SettingCancellation:                              "true",
		routing.SettingFillJoining:                               "true",
		routing.SettingMaxAttempts:                               "5",
		routing.SettingRetryAfterAllowed:                         "true",
		routing.SettingMaxRetryAfter:                             "2",
		routing.SettingWarmUp:                                    "6",
		routing.SettingColdCapacity:                              "0.25",
		routing.SettingOverloadWindow:                            "2",
		routing.SettingParentWarmUp:                              "8",
		routing.SettingParentColdCapacity:                        "0.1",
		routing.SettingZoneLinkRate:                              "0,0,9000",
		routing.SettingFreshTime:                                 "0,0,0,0,0,3",
		routing.SettingStaleTime:                                 "0,0,0,0,0,4",
		routing.SettingStalePriority:                             "0,0,0,0,0,0.9",
		routing.SettingUncacheable:                               "false,false,false,false,true,false",
		routing.ClassSetting(0, routing.ClassEffect):             string(routing.Idempotent),
		routing.ClassSetting(0, routing.ClassDeduplicationScope): string(routing.AnyScope),
		routing.ClassSetting(0, routing.ClassLatencyObjective):   "0.3",
		routing.ClassSetting(0, routing.ClassObjectiveStretch):   "2",
		routing.ClassSetting(0, routing.ClassPriority):           "1",
		routing.ClassSetting(1, routing.ClassEffect):             string(routing.WithIdempotencyKey),
		routing.ClassSetting(1, routing.ClassDeduplicationScope): string(routing.ZoneScope),
		routing.ClassSetting(1, routing.ClassLatencyObjective):   "0.4",
		routing.ClassSetting(1, routing.ClassIdempotencyWindow):  "1.5",
		routing.ClassSetting(1, routing.ClassPriority):           "3",
		routing.ClassSetting(2, routing.ClassEffect):             string(routing.NonIdempotent),
		routing.ClassSetting(2, routing.ClassDeduplicationScope): string(routing.AnyScope),
		routing.ClassSetting(2, routing.ClassLatencyObjective):   "0.5",
		routing.ClassSetting(2, routing.ClassPriority):           "2",
		routing.ClassSetting(3, routing.ClassEffect):             string(routing.WithIdempotencyKey),
		routing.ClassSetting(3, routing.ClassDeduplicationScope): string(routing.CellScope),
		routing.ClassSetting(3, routing.ClassLatencyObjective):   "0.4",
		routing.ClassSetting(3, routing.ClassIdempotencyWindow):  "3",
		routing.ClassSetting(3, routing.ClassPriority):           "1.5",
		routing.ClassSetting(4, routing.ClassEffect):             string(routing.WithIdempotencyKey),
		routing.ClassSetting(4, routing.ClassDeduplicationScope): string(routing.AnyScope),
		routing.ClassSetting(4, routing.ClassLatencyObjective):   "0.5",
		routing.ClassSetting(4, routing.ClassIdempotencyWindow):  "3",
		routing.ClassSetting(4, routing.ClassPriority):           "4",
		routing.ClassSetting(5, routing.ClassEffect):             string(routing.Idempotent),
		routing.ClassSetting(5, routing.ClassDeduplicationScope): string(routing.AnyScope),
		routing.ClassSetting(5, routing.ClassLatencyObjective):   "0.25",
		routing.ClassSetting(5, routing.ClassObjectiveStretch):   "1.5",
		routing.ClassSetting(5, routing.ClassLatePriority):       "0.3",
		routing.ClassSetting(5, routing.ClassPriority):           "1",
	}
	maps.Copy(settings, changes)
	return settings
}

func scenarios() []traceScenario {
	return append(commonScenarios(), rareScenarios()...)
}

func commonScenarios() []traceScenario {
	return []traceScenario{
		{
			name: "hedged-full-details", settings: traceSettings(nil), seeds: []uint64{1, 2, 3},
			caches: 4, parents: 4, origin: true, requestsPerS: 60, seconds: 60,
		},
		{
			name: "one-after-another-hits-only",
			settings: traceSettings(routing.Settings{
				routing.SettingHedging:        "false",
				routing.SettingResultDetails:  routing.DetailsOfHits,
				routing.SettingDirectAttempts: "true",
				routing.SettingDiscoveryMode:  routing.DiscoveryOnRequest,
				routing.SettingPeerCaches:     routing.PeerCachesAnywhere,
			}),
			seeds: []uint64{4, 5, 6}, caches: 4, parents: 3, origin: true, requestsPerS: 60, seconds: 60,
		},
		{
			name: "no-cancel-no-details",
			settings: traceSettings(routing.Settings{
				routing.SettingCancellation:      "false",
				routing.SettingFillJoining:       "false",
				routing.SettingResultDetails:     "",
				routing.SettingPeerCaches:        "",
				routing.SettingMaxAttempts:       "3",
				routing.SettingRetryAfterAllowed: "false",
				routing.SettingZoneLinkRate:      "",
			}),
			seeds: []uint64{7, 8}, caches: 3, parents: 2, origin: true, requestsPerS: 50, seconds: 50,
		},
		{
			name: "one-cache-one-parent",
			settings: traceSettings(routing.Settings{
				routing.SettingRouters:       "1",
				routing.SettingRoutersByZone: "1,1,1",
			}),
			seeds: []uint64{9, 10}, caches: 1, parents: 1, origin: true, requestsPerS: 20, seconds: 50,
		},
		{
			name: "no-sizes-no-origin",
			settings: traceSettings(routing.Settings{
				routing.SettingTransferRate: "0",
				routing.SettingOriginKind:   "7",
			}),
			seeds: []uint64{11}, caches: 3, parents: 2, requestsPerS: 40, seconds: 50,
		},
		{
			name: "purge-memory-full", settings: traceSettings(nil),
			seeds: []uint64{12}, caches: 3, parents: 2, origin: true, requestsPerS: 30, seconds: 45, purges: 17000,
		},
		{
			name: "direct-hedged-overload",
			settings: traceSettings(routing.Settings{
				routing.SettingDirectAttempts: "true",
				routing.SettingZoneLinkRate:   "0,0,2500",
			}),
			seeds: []uint64{13, 14}, caches: 3, parents: 2, origin: true, requestsPerS: 120, seconds: 40,
		},
	}
}

// rareScenarios returns deployments whose traces cover constants that commonScenarios do not.
func rareScenarios() []traceScenario {
	return []traceScenario{
		{ // objects are idle for about the idle TTL
			name: "seldom-requested", settings: traceSettings(nil),
			seeds: []uint64{15, 16}, caches: 3, parents: 2, origin: true, requestsPerS: 4, seconds: 600,
		},
		{ // shares of an endpoint below the minimum initial limit
			name: "hundreds-of-routers",
			settings: traceSettings(routing.Settings{
				routing.SettingRouters:       "400",
				routing.SettingRoutersByZone: "0,200,200",
			}),
			seeds: []uint64{17, 18}, caches: 4, parents: 2, origin: true, requestsPerS: 10, seconds: 60,
			endpointsWithoutWeight: true,
		},
		{ // repeated ejections, health observations, and idempotency windows that end during retries
			name: "long-failures-observed",
			settings: traceSettings(routing.Settings{
				routing.ClassSetting(1, routing.ClassIdempotencyWindow): "0.65",
				routing.ClassSetting(3, routing.ClassIdempotencyWindow): "0.7",
				routing.ClassSetting(4, routing.ClassIdempotencyWindow): "0.75",
			}),
			seeds: []uint64{19, 20, 21}, caches: 4, parents: 3, origin: true, requestsPerS: 60, seconds: 60,
			conditionSeconds: 15, observationsPerS: 5, purgesBeforeRequests: true,
		},
	}
}
