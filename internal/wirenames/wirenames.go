// Package wirenames translates names in protocols and files to those of the routing module.
//
// The simulator protocol, the bootstrap file and the cache protocol contain the same settings and load metrics; the
// tables of this package are the only place that maps their names. Names that occur in a single protocol are mapped in
// its codec: clientproto, cacheproto, discovery and simadapter. The package does not parse or interpret anything.
package wirenames

import (
	"strings"

	"cairnfront/routing"
)

// classSettingPrefix is the prefix of the paths of request class settings in the protocols.
const classSettingPrefix = "request_classes."

// settingNames maps the paths of settings to the names in the routing module. Other settings have the same name in
// both.
var settingNames = map[string]routing.SettingName{
	"me":                          routing.SettingRouter,
	"group_size":                  routing.SettingRouters,
	"zone":                        routing.SettingZone,
	"registry_mode":               routing.SettingDiscoveryMode,
	"extra.count_by_zone":         routing.SettingRoutersByZone,
	"extra.fresh_for_s":           routing.SettingFreshTime,
	"extra.usable_after_s":        routing.SettingStaleTime,
	"extra.worth_when_old":        routing.SettingStalePriority,
	"extra.never_kept":            routing.SettingUncacheable,
	"extra.multi_part":            routing.SettingChunked,
	"extra.hub_of":                routing.SettingParentZoneOf,
	"extra.gone_everywhere_s":     routing.SettingPurgeComplete,
	"extra.notice_time_s":         routing.SettingPurgeGrace,
	"extra.joins":                 routing.SettingFillJoining,
	"extra.link_in_kb_per_s":      routing.SettingZoneLinkRate,
	"extra.link_price":            routing.SettingLinkPrice,
	"extra.origin_kind":           routing.SettingOriginKind,
	"extra.upper_kind":            routing.SettingParentKind,
	"extra.pace_kb_per_s":         routing.SettingTransferRate,
	"extra.parent_fall_multiple":  routing.SettingParentOverloadFactor,
	"extra.parent_floor":          routing.SettingParentColdCapacity,
	"extra.parent_warms_in_s":     routing.SettingParentWarmUp,
	"extra.pass_through_ok":       routing.SettingDirectAttempts,
	"extra.sideways":              routing.SettingPeerCaches,
	"extra.tells":                 routing.SettingResultDetails,
	"limits.cancelling":           routing.SettingCancellation,
	"limits.idle_close_s":         routing.SettingIdleTimeout,
	"limits.max_streams":          routing.SettingMaxAttemptsPerConnection,
	"limits.max_attempts":         routing.SettingMaxAttempts,
	"limits.max_retry_after_s":    routing.SettingMaxRetryAfter,
	"limits.may_probe":            routing.SettingHealthChecks,
	"limits.parallel_tries":       routing.SettingHedging,
	"limits.retry_after":          routing.SettingRetryAfterAllowed,
	"limits.connect_timeout_s":    routing.SettingConnectTimeout,
	"rules.cold_s":                routing.SettingWarmUp,
	"rules.fall_multiple":         routing.SettingOverloadFactor,
	"rules.grace_to_answer_s":     routing.SettingResponseGrace,
	"rules.overload_for_s":        routing.SettingOverloadWindow,
	"rules.start_capacity":        routing.SettingColdCapacity,
	"rules.stop_sending_within_s": routing.SettingDrainGrace,
	"rules.ask_within_s":          routing.SettingEndpointRefresh,
	"step_s":                      routing.SettingTick,
	"stats.source":                routing.SettingLoadReportSource,
	"request_classes.count":       routing.SettingClassCount,
}

// classFieldNames maps the fields of a request class to the names in the routing module.
var classFieldNames = map[string]routing.ClassField{
	"aim_stretch":  routing.ClassObjectiveStretch,
	"hard_limit_s": routing.ClassDeadline,
	"late_worth":   routing.ClassLatePriority,
	"on_time_s":    routing.ClassLatencyObjective,
	"worth":        routing.ClassPriority,
	"effect":       routing.ClassEffect,
	"group":        routing.ClassDeduplicationScope,
	"window_s":     routing.ClassIdempotencyWindow,
}

// settingValues maps the enumerated values of settings. Other values are not changed.
var settingValues = map[routing.SettingName]map[string]string{
	routing.SettingDiscoveryMode:    {"on_request": routing.DiscoveryOnRequest},
	routing.SettingLoadReportSource: {"inline": routing.LoadFromResponses, "on_probe": routing.LoadFromProbes},
	routing.SettingPeerCaches:       {"location": routing.PeerCachesInZone, "any": routing.PeerCachesAnywhere},
	routing.SettingResultDetails:    {"all": routing.DetailsOfAll, "hit": routing.DetailsOfHits},
}

// classFieldValues maps the enumerated values of request class fields. Other values are not changed.
var classFieldValues = map[routing.ClassField]map[string]string{
	routing.ClassEffect: {
		"retryable": string(routing.Idempotent),
		"dedup":     string(routing.WithIdempotencyKey),
		"fragile":   string(routing.NonIdempotent),
	},
	routing.ClassDeduplicationScope: {
		"all":  string(routing.AnyScope),
		"cell": string(routing.CellScope),
		"zone": string(routing.ZoneScope),
	},
}

// Setting translates the path of a setting and its value. Unknown names and values are returned unchanged.
func Setting(path, value string) (name routing.SettingName, translatedValue string) {
	if name, ok := settingNames[path]; ok {
		return name, translated(settingValues[name], value)
	}
	if classPath, ok := strings.CutPrefix(path, classSettingPrefix); ok {
		if index, field, ok := strings.Cut(classPath, "."); ok {
			return classSetting(index, field, value)
		}
	}
	return routing.SettingName(path), value
}

// classSetting translates a field of the request class with the given index, and its value.
func classSetting(index, wireField, value string) (name routing.SettingName, translatedValue string) {
	field, ok := classFieldNames[wireField]
	if !ok {
		field = routing.ClassField(wireField)
	}
	name = routing.SettingName(routing.ClassSettingPrefix + index + "." + string(field))
	return name, translated(classFieldValues[field], value)
}

// translated returns the translation of a value, or the value itself if there is none.
func translated(translations map[string]string, value string) string {
	if translation, ok := translations[value]; ok {
		return translation
	}
	return value
}
