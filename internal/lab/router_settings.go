package lab

import (
	"fmt"
)

// endpointTypeNames are the names of the kinds of endpoints on the wire and in a router's settings.
var endpointTypeNames = [...]string{kindEdge: "box", kindParent: "parent", kindOrigin: "origin"}

// linkKilobytesPerSecond is the speed of the links into the zones, more than loopback carries in a scenario.
const linkKilobytesPerSecond = 1e6

// routerSettings are the bootstrap settings of a router of a zone, in the form of the users' bootstrap file.
func (cluster *testCluster) routerSettings(router *routerProcess, zone int) map[string]any {
	zones := cluster.zoneNames()
	firstEvent := map[string]any{
		"rev":  0,
		"pool": map[string]any{"snapshot": true, "endpoints": cluster.endpointSettings(zones)},
	}
	return map[string]any{
		"name":   router.name,
		"listen": router.addr,
		"board":  cluster.discovery.addr(),
		"seed":   fmt.Sprintf("%016x", cluster.options.Seed+uint64(zone)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 0, "notices": []any{firstEvent}},
		"settings": map[string]any{
			"me":              zone - 1,
			"group_size":      cluster.zoneCount,
			"zone":            zone,
			"zones":           zones,
			"flavors":         endpointTypeNames,
			"extra":           cachingSettings(len(zones)),
			"limits":          attemptSettings(),
			"rules":           ruleSettings(),
			"registry_mode":   "pushed",
			"request_classes": cluster.classSettings(),
		},
	}
}

// zoneNames are the names of the parent zone and of the others.
func (cluster *testCluster) zoneNames() []string {
	zones := []string{"parent-zone"}
	for i := range cluster.zoneCount {
		zones = append(zones, zoneName(i+1))
	}
	return zones
}

// zoneName is the name of a zone, counted from 1.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// endpointSettings is the endpoint list that a router starts with.
func (cluster *testCluster) endpointSettings(zones []string) []map[string]any {
	var list []map[string]any
	for _, endpoint := range cluster.endpoints {
		list = append(list, map[string]any{
			"name":     endpoint.id,
			"address":  endpoint.addr,
			"zone":     zones[endpoint.zone],
			"type":     endpointTypeNames[endpoint.kind],
			"group":    0,
			"status":   "SERVING",
			"weight":   endpointWeight,
			"since_ms": int64(endpoint.startedAt * 1000),
		})
	}
	return list
}

// classSettings are the request classes of a cluster.
func (cluster *testCluster) classSettings() []any {
	classes := []any{
		classSetting(classVideoPart, "retryable", 6, 2),
		classSetting(classPageAsset, "retryable", 2.5, 1),
		classSetting(classPrintOrder, "dedup", 3, 3),
	}
	if cluster.nonIdempotentClass {
		classes = append(classes, classSetting(classRecord, "fragile", 3, 3))
	}
	return classes
}

func classSetting(name, effect string, deadlineSeconds, priorityWeight float64) map[string]any {
	return map[string]any{
		"name":         name,
		"effect":       effect,
		"group":        "all",
		"on_time_s":    classObjectiveSeconds[name],
		"aim_stretch":  2.0,
		"hard_limit_s": deadlineSeconds,
		"window_s":     keyRetentionSeconds,
		"worth":        priorityWeight,
		"late_worth":   0.1,
		"streaming":    false,
	}
}

// cachingSettings say how caches store and purge, and how zones are linked. The lists by class have four entries.
func cachingSettings(zones int) map[string]any {
	routersPerZone, parentZone, links := make([]int, zones), make([]int, zones), make([]float64, zones)
	for i := range zones {
		routersPerZone[i] = min(i, 1) // the parent zone has no routers
		links[i] = linkKilobytesPerSecond
	}
	return map[string]any{
		"count_by_zone":        routersPerZone,
		"fresh_for_s":          []float64{0, pageFreshSeconds, 0, 0},
		"usable_after_s":       []float64{0, pageStaleSeconds, 0, 0},
		"worth_when_old":       []float64{1, 0.5, 1, 1},
		"never_kept":           []bool{false, false, true, true},
		"origin_kind":          kindOrigin,
		"upper_kind":           kindParent,
		"pace_kb_per_s":        10000.0,
		"gone_everywhere_s":    purgeSettledSeconds,
		"notice_time_s":        purgeGraceSeconds,
		"pass_through_ok":      true,
		"sideways":             "location",
		"tells":                "all",
		"joins":                true,
		"link_in_kb_per_s":     links,
		"hub_of":               parentZone,
		"parent_floor":         0.5,
		"parent_warms_in_s":    1.0,
		"parent_fall_multiple": 2.0,
	}
}

func attemptSettings() map[string]any {
	return map[string]any{
		"cancelling":        true,
		"connect_timeout_s": 0.4,
		"idle_close_s":      15.0,
		"max_attempts":      6,
		"max_streams":       32,
		"parallel_tries":    false,
		"may_probe":         false,
		"retry_after":       true,
		"max_retry_after_s": 2.0,
	}
}

func ruleSettings() map[string]any {
	return map[string]any{
		"stop_sending_within_s": drainGraceSeconds,
		"fall_multiple":         3.0,
		"overload_for_s":        1.0,
		"start_capacity":        0.5,
		"cold_s":                1.0,
	}
}
