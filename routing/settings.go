package routing

import (
	"math"
	"strconv"
	"strings"
)

// Settings are the settings of a router, by name. Lists are separated by commas.
type Settings map[SettingName]string

// Float returns a setting as a number, or the default value if it is missing or not a number.
func (s Settings) Float(name SettingName, defaultValue float64) float64 {
	if number, err := strconv.ParseFloat(s[name], 64); err == nil {
		return number
	}
	return defaultValue
}

// Bool reports whether a setting is true.
func (s Settings) Bool(name SettingName) bool { return s[name] == "true" }

// ListItem returns item i of a list, or an empty string if there is none.
func (s Settings) ListItem(name SettingName, i int) string {
	list := s[name]
	for ; i > 0; i-- {
		_, rest, ok := strings.Cut(list, ",")
		if !ok {
			return ""
		}
		list = rest
	}
	item, _, _ := strings.Cut(list, ",")
	return item
}

// FloatItem returns item i of a list as a number, or the default value if it is missing or not a number.
func (s Settings) FloatItem(name SettingName, i int, defaultValue float64) float64 {
	if number, err := strconv.ParseFloat(s.ListItem(name, i), 64); err == nil {
		return number
	}
	return defaultValue
}

// class holds the settings of a request class and its current state.
type class struct {
	objectiveSeconds         float64 // latency objective of a request without size
	objectiveStretch         float64 // sending times added to the latency objective
	priority                 float64 // weight of an answer within the objective
	latePriorityShare        float64 // weight of a late answer, as a share of priority
	idempotencyWindowSeconds float64 // how long endpoints recognize an idempotency key
	freshSeconds             float64 // 0 if copies do not expire
	staleSeconds             float64 // how long after the fresh time a copy may be served
	stalePriorityShare       float64 // weight of a stale answer, as a share of priority
	effect                   Effect
	deduplicationScope       DeduplicationScope
	uncacheable              bool
	retryBudgetExhausted     bool
	sampledChunks            []*chunk // chunks whose sending time was measured last, each once
}

// class returns a request class. Its settings are parsed once.
func (r *Router) class(index ClassIndex) *class {
	if known := r.classes[index]; known != nil {
		return known
	}
	s, item := r.settings, int(index)
	number := func(field ClassField, defaultValue float64) float64 {
		return s.Float(ClassSetting(index, field), defaultValue)
	}
	read := &class{
		objectiveSeconds:         number(ClassLatencyObjective, 1),
		objectiveStretch:         number(ClassObjectiveStretch, 0),
		priority:                 number(ClassPriority, 1),
		latePriorityShare:        number(ClassLatePriority, 0),
		idempotencyWindowSeconds: number(ClassIdempotencyWindow, 0),
		freshSeconds:             s.FloatItem(SettingFreshTime, item, 0),
		staleSeconds:             s.FloatItem(SettingStaleTime, item, 0),
		stalePriorityShare:       s.FloatItem(SettingStalePriority, item, 0),
		effect:                   Effect(s[ClassSetting(index, ClassEffect)]),
		deduplicationScope:       DeduplicationScope(s[ClassSetting(index, ClassDeduplicationScope)]),
		uncacheable:              s.ListItem(SettingUncacheable, item) == "true",
	}
	r.classes[index] = read
	return read
}

// number returns a setting as a number, or the default value if it is missing or not a number. It is parsed once.
func (r *Router) number(name SettingName, defaultValue float64) float64 {
	number, known := r.numbers[name]
	if !known {
		number = r.settings.Float(name, math.NaN())
		r.numbers[name] = number
	}
	if math.IsNaN(number) {
		return defaultValue
	}
	return number
}

// mustSubscribe reports whether the discovery service sends endpoints only on request, so that this router has to
// subscribe to get updates.
func (r *Router) mustSubscribe() bool {
	return r.settings[SettingDiscoveryMode] == DiscoveryOnRequest
}

// reportsAllDetails reports whether endpoints report the details of all results, including failures of sources.
func (r *Router) reportsAllDetails() bool { return r.settings[SettingResultDetails] == DetailsOfAll }

// mayUsePeers reports whether other caches of the zone may fill misses.
func (r *Router) mayUsePeers() bool {
	allowed := r.settings[SettingPeerCaches]
	return allowed == PeerCachesInZone || allowed == PeerCachesAnywhere
}

// slowStartParameters returns the share of its capacity that an endpoint has when it starts, and the duration of its
// warm-up.
func (r *Router) slowStartParameters(e *endpoint) (share, seconds float64) {
	if e.role == parentCache {
		return r.number(SettingParentColdCapacity, 1), r.number(SettingParentWarmUp, 0)
	}
	return r.number(SettingColdCapacity, 1), r.number(SettingWarmUp, 0)
}

// linkTransfers returns the capacity of the zone's link in concurrent transfers, 0 if unknown.
func (r *Router) linkTransfers() float64 {
	linkKBPerSecond := r.settings.FloatItem(SettingZoneLinkRate, int(r.number(SettingZone, 0)), 0)
	return linkKBPerSecond / max(r.number(SettingTransferRate, 0), 1)
}
