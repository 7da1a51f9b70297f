// Package wirenames translates names on the users' interfaces into those of the routing module.
//
// The simulator's wire, the bootstrap file and the caches' protocol name the same settings and load metrics; the tables
// of this package are the one place that knows both sides. It parses nothing and gives no name a meaning.
package wirenames

import "strings"

const (
	classList       = "request_classes." // prefix of the settings of request classes on the wire
	routerClassList = "remap."           // and in the routing module
)

// settingNames maps the paths of settings to the names in the routing module. Other settings keep their names.
var settingNames = map[string]string{
	"me":                          "router",
	"group_size":                  "routers",
	"zone":                        "location",
	"registry_mode":               "list",
	"extra.count_by_zone":         "routers_at",
	"extra.fresh_for_s":           "fresh_s",
	"extra.usable_after_s":        "stale_s",
	"extra.worth_when_old":        "stale_importance",
	"extra.never_kept":            "uncacheable",
	"extra.multi_part":            "parts",
	"extra.hub_of":                "hub_of",
	"extra.gone_everywhere_s":     "purge_done_s",
	"extra.notice_time_s":         "purge_grace_s",
	"extra.joins":                 "may_join",
	"extra.link_in_kb_per_s":      "link_in_kb_s",
	"extra.link_price":            "link_price",
	"extra.origin_kind":           "origin_kind",
	"extra.upper_kind":            "parent_kind",
	"extra.pace_kb_per_s":         "pace_kb_s",
	"extra.parent_fall_multiple":  "parent_fall_multiple",
	"extra.parent_floor":          "parent_cold_share",
	"extra.parent_warms_in_s":     "parent_cold_s",
	"extra.pass_through_ok":       "may_go_direct",
	"extra.sideways":              "siblings",
	"extra.tells":                 "tells",
	"limits.cancelling":           "may_cancel",
	"limits.idle_close_s":         "idle_close_s",
	"limits.max_streams":          "hops_a_connection",
	"limits.max_attempts":         "max_hops",
	"limits.max_retry_after_s":    "max_retry_s",
	"limits.may_probe":            "may_check",
	"limits.parallel_tries":       "may_double",
	"limits.retry_after":          "tells_retry",
	"limits.connect_timeout_s":    "connect_s",
	"rules.cold_s":                "cold_s",
	"rules.fall_multiple":         "fall_multiple",
	"rules.grace_to_answer_s":     "answer_grace_s",
	"rules.overload_for_s":        "fall_s",
	"rules.start_capacity":        "cold_share",
	"rules.stop_sending_within_s": "drain_grace_s",
	"rules.ask_within_s":          "ask_within_s",
	"step_s":                      "tick_s",
	"stats.source":                "load_by",
	"request_classes.count":       "remap.count",
}

// classFieldNames maps the fields of a request class in the same way.
var classFieldNames = map[string]string{
	"aim_stretch":  "sla_stretch",
	"hard_limit_s": "limit_s",
	"late_worth":   "late_importance",
	"on_time_s":    "sla_s",
	"worth":        "importance",
}

// valueNames maps words that stand as values of settings.
var valueNames = map[string]string{
	"retryable":  "repeatable",
	"dedup":      "keyed",
	"fragile":    "unrepeatable",
	"on_request": "asked",
	"inline":     "answers",
	"on_probe":   "checks",
}

// loadMetricNames maps the names in load reports.
var loadMetricNames = map[string]string{
	"concurrent": "inflight",
	"load_share": "util",
	"x0":         "hit_share",
	"x1":         "link_fill",
}

// LoadMetric translates the name of a value in a load report. Unknown names stay as they are.
func LoadMetric(name string) string {
	if translated, ok := loadMetricNames[name]; ok {
		return translated
	}
	return name
}

// Setting translates the path of a setting and its value. Setting F of request class N, request_classes.N.F, becomes
// remap.N.F. Unknown names and values stay as they are.
func Setting(path, value string) (translatedPath, translatedValue string) {
	if translated, ok := valueNames[value]; ok {
		value = translated
	}
	if classPath, ok := strings.CutPrefix(path, classList); ok {
		if index, field, ok := strings.Cut(classPath, "."); ok {
			return routerClassList + index + "." + classField(field), value
		}
	}
	if translated, ok := settingNames[path]; ok {
		path = translated
	}
	return path, value
}

func classField(field string) string {
	if translated, ok := classFieldNames[field]; ok {
		return translated
	}
	return field
}
