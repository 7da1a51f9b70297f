package simadapter

import (
	"strings"

	"cairnfront/routing"
)

// The bench's names end in this file: each is paired with ours and nothing is decided here.

// recordNames maps the wire's setting names to those of the module. Names that are not here pass unchanged.
var recordNames = map[string]string{
	"me":                           "router",
	"group_size":                   "routers",
	"zone":                         "location",
	"registry_mode":                "list",
	"weights":                      "weights",
	"extra.count_by_zone":          "routers_at",
	"extra.fresh_for_s":            "fresh_s",
	"extra.usable_after_s":         "stale_s",
	"extra.worth_when_old":         "stale_importance",
	"extra.never_kept":             "uncacheable",
	"extra.multi_part":             "parts",
	"extra.hub_of":                 "hub_of",
	"extra.gone_everywhere_s":      "purge_done_s",
	"extra.notice_time_s":          "purge_grace_s",
	"extra.joins":                  "may_join",
	"extra.link_in_kb_per_s":       "link_in_kb_s",
	"extra.link_price":             "link_price",
	"extra.origin_kind":            "origin_kind",
	"extra.upper_kind":             "parent_kind",
	"extra.pace_kb_per_s":          "pace_kb_s",
	"extra.parent_fall_multiple":   "parent_fall_multiple",
	"extra.parent_floor":           "parent_cold_share",
	"extra.parent_warms_in_s":      "parent_cold_s",
	"extra.pass_through_ok":        "may_go_direct",
	"extra.sideways":               "siblings",
	"extra.tells":                  "tells",
	"limits.cancelling":            "may_cancel",
	"limits.idle_close_s":          "idle_close_s",
	"limits.max_streams":           "hops_a_connection",
	"limits.max_attempts":          "max_hops",
	"limits.max_retry_after_s":     "max_retry_s",
	"limits.may_probe":             "may_check",
	"limits.parallel_tries":        "may_double",
	"limits.retry_after":           "tells_retry",
	"limits.connect_timeout_s":     "connect_s",
	"rules.cold_s":                 "cold_s",
	"rules.fall_multiple":          "fall_multiple",
	"rules.grace_to_answer_s":      "answer_grace_s",
	"rules.overload_for_s":         "fall_s",
	"rules.start_capacity":         "cold_share",
	"rules.stop_sending_within_s":  "drain_grace_s",
	"rules.ask_within_s":           "ask_within_s",
	"step_s":                       "tick_s",
	"stats.source":                 "load_by",
	"request_classes.count":        "remap.count",
	"request_classes.aim_stretch":  "sla_stretch",
	"request_classes.effect":       "effect",
	"request_classes.group":        "group",
	"request_classes.hard_limit_s": "limit_s",
	"request_classes.late_worth":   "late_importance",
	"request_classes.name":         "name",
	"request_classes.on_time_s":    "sla_s",
	"request_classes.streaming":    "streaming",
	"request_classes.window_s":     "window_s",
	"request_classes.worth":        "importance",
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

// readingNames maps the names in load reports.
var readingNames = map[string]string{
	"concurrent": "inflight",
	"load_share": "util",
	"x0":         "hit_share",
	"x1":         "link_fill",
}

// Reading renames one value of a load report.
func TranslateLoadMetric(name string) string {
	if ours, ok := readingNames[name]; ok {
		return ours
	}
	return name
}

var codes = map[string]routing.AttemptResult{
	"200": routing.Completed, "502": routing.ServerError, "429": routing.Overloaded, "408": routing.TimedOut, "521": routing.ConnectFailed,
	"520": routing.ConnectionBroken, "444": routing.Cancelled, "409": routing.NotSent, "204": routing.CacheMiss,
}

var listKinds = map[string]routing.UpdateKind{
	"INCREMENTAL": routing.Incremental, "FULL": routing.Snapshot, "SAVED": routing.Restored, "FAILED": routing.Unavailable,
}

var statuses = map[string]routing.EndpointStatus{"ready": routing.Ready, "draining": routing.Draining, "gone": routing.Removed}

// Record renames one setting for any adapter; items of the list of remap rules become remap.N.name.
func TranslateSetting(key, value string) (string, string) {
	if v, ok := valueNames[value]; ok {
		value = v
	}
	if rest, ok := strings.CutPrefix(key, "request_classes."); ok {
		if n, field, ok := strings.Cut(rest, "."); ok {
			if name, ok := recordNames["request_classes."+field]; ok {
				field = name
			}
			return "remap." + n + "." + field, value
		}
	}
	if name, ok := recordNames[key]; ok {
		key = name
	}
	return key, value
}
