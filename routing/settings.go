package routing

import (
	"math"
	"strconv"
	"strings"
)

// Settings are the facts that a router is given at its start, by name. Lists are separated by commas.
type Settings map[SettingName]string

// Float reads a number, or returns the other value where the setting is missing or no number.
func (s Settings) Float(name SettingName, otherwise float64) float64 {
	if number, err := strconv.ParseFloat(s[name], 64); err == nil {
		return number
	}
	return otherwise
}

// Bool tells whether a setting is true.
func (s Settings) Bool(name SettingName) bool { return s[name] == "true" }

// ListItem reads item i of a list, empty where there is none.
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

// FloatItem reads item i of a list of numbers.
func (s Settings) FloatItem(name SettingName, i int, otherwise float64) float64 {
	if number, err := strconv.ParseFloat(s.ListItem(name, i), 64); err == nil {
		return number
	}
	return otherwise
}

// class is a request class as the settings have it, and what was last seen of it.
type class struct {
	objectiveSeconds         float64 // s, the latency objective of a request without size
	objectiveStretch         float64 // sending times added to that
	priority                 float64 // weight of an answer in time
	latePriorityShare        float64 // weight of a late answer
	idempotencyWindowSeconds float64 // s for which an idempotency key is recognized
	freshSeconds             float64 // 0 where copies do not expire
	staleSeconds             float64 // after the fresh time, in which a copy may still be served
	stalePriorityShare       float64 // share of the priority of such an answer
	effect                   Effect
	deduplicationScope       DeduplicationScope
	uncacheable              bool
	retryBudgetExhausted     bool
	sendSecondsSamples       []float64 // s, the last sending times
}

// class reads what the settings say of a request class, once.
func (r *Router) class(index ClassIndex) *class {
	if known := r.classes[index]; known != nil {
		return known
	}
	s, item := r.settings, int(index)
	number := func(field ClassField, otherwise float64) float64 {
		return s.Float(ClassSetting(index, field), otherwise)
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

// number reads a number of the settings, once.
func (r *Router) number(name SettingName, otherwise float64) float64 {
	number, known := r.numbers[name]
	if !known {
		number = r.settings.Float(name, math.NaN())
		r.numbers[name] = number
	}
	if math.IsNaN(number) {
		return otherwise
	}
	return number
}

// subscribesOnRequest says whether the discovery service notifies only those who ask it.
func (r *Router) subscribesOnRequest() bool {
	return r.settings[SettingDiscoveryMode] == DiscoveryOnRequest
}

// reportsAllDetails says whether endpoints report the details of all results, failures of sources included.
func (r *Router) reportsAllDetails() bool { return r.settings[SettingResultDetails] == DetailsOfAll }

// mayUsePeers says whether misses may be filled by other caches of the zone.
func (r *Router) mayUsePeers() bool {
	allowed := r.settings[SettingPeerCaches]
	return allowed == PeerCachesInZone || allowed == PeerCachesAnywhere
}

// coldCapacity is the share of its capacity that an endpoint has when it starts, and how long it takes to warm up.
func (r *Router) coldCapacity(e *endpoint) (share, seconds float64) {
	if e.role == parentCache {
		return r.number(SettingParentColdCapacity, 1), r.number(SettingParentWarmUp, 0)
	}
	return r.number(SettingColdCapacity, 1), r.number(SettingWarmUp, 0)
}

// linkTransfers is the capacity of the zone's link in transfers at a time, 0 if it is not known.
func (r *Router) linkTransfers() float64 {
	linkKBPerSecond := r.settings.FloatItem(SettingZoneLinkRate, int(r.number(SettingZone, 0)), 0)
	return linkKBPerSecond / max(r.number(SettingTransferRate, 0), 1)
}
