package routing_test

import (
	"maps"

	"cairnfront/routing"
)

// traceScenario is a deployment of the decision trace: its settings, its endpoints and how much happens to them.
type traceScenario struct {
	name             string
	settings         routing.Settings
	seeds            []uint64
	moduleSeedOffset uint64
	caches, parents  int
	origin           bool
	requestsPerS     float64
	seconds          float64
	purges           int // sent in one block before the last third
}

// traceSettings are those of a small deployment with one class of each kind.
func traceSettings(changes routing.Settings) routing.Settings {
	settings := routing.Settings{
		"router": "0", "routers": "3", "location": "2", "routers_at": "0,1,2", "hub_of": "0,1,0", "parent_kind": "1",
		"origin_kind": "2", "pace_kb_s": "1000", "siblings": "location", "tells": "all", "may_double": "true",
		"may_cancel": "true", "may_join": "true", "max_hops": "5", "tells_retry": "true", "max_retry_s": "2",
		"cold_s": "6", "cold_share": "0.25", "fall_s": "2", "parent_cold_s": "8", "parent_cold_share": "0.1",
		"link_in_kb_s": "0,0,9000",
		"fresh_s":      "0,0,0,0,0,3", "stale_s": "0,0,0,0,0,4", "stale_importance": "0,0,0,0,0,0.9",
		"uncacheable":    "false,false,false,false,true,false",
		"remap.0.effect": "repeatable", "remap.0.group": "all", "remap.0.sla_s": "0.3", "remap.0.sla_stretch": "2",
		"remap.0.importance": "1", "remap.1.effect": "keyed", "remap.1.group": "zone", "remap.1.sla_s": "0.4",
		"remap.1.window_s": "1.5", "remap.1.importance": "3", "remap.2.effect": "unrepeatable", "remap.2.group": "all",
		"remap.2.sla_s": "0.5", "remap.2.importance": "2", "remap.3.effect": "keyed", "remap.3.group": "cell",
		"remap.3.sla_s": "0.4", "remap.3.window_s": "3", "remap.3.importance": "1.5", "remap.4.effect": "keyed",
		"remap.4.group": "all", "remap.4.sla_s": "0.5", "remap.4.window_s": "3", "remap.4.importance": "4",
		"remap.5.effect": "repeatable", "remap.5.group": "all", "remap.5.sla_s": "0.25", "remap.5.sla_stretch": "1.5",
		"remap.5.late_importance": "0.3", "remap.5.importance": "1",
	}
	maps.Copy(settings, changes)
	return settings
}

func scenarios() []traceScenario {
	return []traceScenario{
		{
			name: "hedged-full-details", settings: traceSettings(nil), seeds: []uint64{1, 2, 3},
			caches: 4, parents: 4, origin: true, requestsPerS: 60, seconds: 60,
		},
		{
			name: "one-after-another-hits-only",
			settings: traceSettings(routing.Settings{
				"may_double": "false", "tells": "hit", "may_go_direct": "true", "list": "asked", "siblings": "any",
			}),
			seeds: []uint64{4, 5, 6}, caches: 4, parents: 3, origin: true, requestsPerS: 60, seconds: 60,
		},
		{
			name: "no-cancel-no-details",
			settings: traceSettings(routing.Settings{
				"may_cancel": "false", "may_join": "false", "tells": "", "siblings": "", "max_hops": "3",
				"tells_retry": "false", "link_in_kb_s": "",
			}),
			seeds: []uint64{7, 8}, caches: 3, parents: 2, origin: true, requestsPerS: 50, seconds: 50,
		},
		{
			name:     "one-cache-one-parent",
			settings: traceSettings(routing.Settings{"routers": "1", "routers_at": "1,1,1"}),
			seeds:    []uint64{9, 10}, caches: 1, parents: 1, origin: true, requestsPerS: 20, seconds: 50,
		},
		{
			name: "no-sizes-no-origin", settings: traceSettings(routing.Settings{"pace_kb_s": "0", "origin_kind": "7"}),
			seeds: []uint64{11}, caches: 3, parents: 2, requestsPerS: 40, seconds: 50,
		},
		{
			name: "purge-memory-full", settings: traceSettings(nil),
			seeds: []uint64{12}, caches: 3, parents: 2, origin: true, requestsPerS: 30, seconds: 45, purges: 17000,
		},
		{
			name:     "direct-hedged-overload",
			settings: traceSettings(routing.Settings{"may_go_direct": "true", "link_in_kb_s": "0,0,2500"}),
			seeds:    []uint64{13, 14}, caches: 3, parents: 2, origin: true, requestsPerS: 120, seconds: 40,
		},
	}
}
