// The keys of this file are those of the users' bootstrap file (deploy/), not the glossary's terms.

package cluster

import (
	"fmt"

	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/verify"
)

// endpointTypeNames maps the kinds of endpoints to their names on the wire and in a router's settings.
var endpointTypeNames = [...]string{KindEdge: "box", KindParent: "parent", KindOrigin: "origin"}

// linkKilobytesPerSecond is the configured bandwidth of the links into the zones. It exceeds the loopback traffic of
// any scenario.
const linkKilobytesPerSecond = 1e6

// routerSettings returns the bootstrap settings of a router in a zone, in the format of the users' bootstrap file.
func (cluster *Cluster) routerSettings(router *Router, zone int) map[string]any {
	zones := cluster.zoneNames()
	firstEvent := map[string]any{
		"rev":  0,
		"pool": map[string]any{"snapshot": true, "endpoints": cluster.endpointSettings(zones)},
	}
	return map[string]any{
		"name":   router.name,
		"listen": router.addr,
		"board":  cluster.Discovery.Addr(),
		"seed":   fmt.Sprintf("%016x", cluster.options.Seed+uint64(zone)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 0, "notices": []any{firstEvent}},
		"settings": map[string]any{
			"me":              zone - 1,
			"group_size":      cluster.ZoneCount,
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

// zoneNames returns the name of the parent zone, followed by those of the other zones.
func (cluster *Cluster) zoneNames() []string {
	zones := []string{"parent-zone"}
	for i := range cluster.ZoneCount {
		zones = append(zones, zoneName(i+1))
	}
	return zones
}

// zoneName returns the name of a zone. Zones are numbered from 1.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// endpointSettings returns the initial endpoint list of a router.
func (cluster *Cluster) endpointSettings(zones []string) []map[string]any {
	var list []map[string]any
	for _, endpoint := range cluster.Endpoints {
		list = append(list, map[string]any{
			"name":     endpoint.ID,
			"address":  endpoint.Addr,
			"zone":     zones[endpoint.Zone],
			"type":     endpointTypeNames[endpoint.Kind],
			"group":    0,
			"status":   "SERVING",
			"weight":   endpointWeight,
			"since_ms": int64(endpoint.StartedAt * 1000),
		})
	}
	return list
}

// classSettings returns the settings of the cluster's request classes.
func (cluster *Cluster) classSettings() []any {
	classes := []any{
		classSetting(standin.ClassVideoPart, "retryable", 6, 2),
		classSetting(standin.ClassPageAsset, "retryable", 2.5, 1),
		classSetting(standin.ClassPrintOrder, "dedup", 3, 3),
	}
	if cluster.NonIdempotentClass {
		classes = append(classes, classSetting(standin.ClassRecord, "fragile", 3, 3))
	}
	return classes
}

func classSetting(name, effect string, deadlineSeconds, priorityWeight float64) map[string]any {
	return map[string]any{
		"name":         name,
		"effect":       effect,
		"group":        "all",
		"on_time_s":    standin.ClassObjectiveSeconds[name],
		"aim_stretch":  2.0,
		"hard_limit_s": deadlineSeconds,
		"window_s":     standin.KeyRetentionSeconds,
		"worth":        priorityWeight,
		"late_worth":   0.1,
		"streaming":    false,
	}
}

// cachingSettings returns the settings for storing and purging objects and for the links between zones. Per-class lists
// have four entries.
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
		"origin_kind":          KindOrigin,
		"upper_kind":           KindParent,
		"pace_kb_per_s":        10000.0,
		"gone_everywhere_s":    purgeSettledSeconds,
		"notice_time_s":        verify.PurgeGraceSeconds,
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
		"stop_sending_within_s": verify.DrainGraceSeconds,
		"fall_multiple":         3.0,
		"overload_for_s":        1.0,
		"start_capacity":        0.5,
		"cold_s":                1.0,
	}
}
