package routing

import "strconv"

// SettingName names a setting of a router. Settings that the module does not know keep the names that their source
// gives them, so a name here must not be that of another setting there (see internal/wirenames).
type SettingName string

// Settings of the deployment and of this router's place in it.
const (
	SettingRouter        SettingName = "router"          // index of this router
	SettingRouters       SettingName = "routers"         // number of routers in all zones
	SettingRoutersByZone SettingName = "routers_by_zone" // list by zone: number of routers there
	SettingZone          SettingName = "zone"            // index of this router's zone
	SettingParentZoneOf  SettingName = "parent_zone_of"  // list by zone: index of its parent zone
	SettingParentKind    SettingName = "parent_kind"     // kind of endpoint that is a parent cache
	SettingOriginKind    SettingName = "origin_kind"     // kind of endpoint that is an origin
	SettingClassCount    SettingName = "class.count"     // number of request classes
	SettingTick          SettingName = "tick_s"          // s, the resolution of the clock
)

// Settings of the discovery service and of load reports.
const (
	SettingDiscoveryMode    SettingName = "discovery_mode"     // DiscoveryOnRequest or another mode
	SettingEndpointRefresh  SettingName = "endpoint_refresh_s" // s within which unsubscribed routers ask again
	SettingLoadReportSource SettingName = "load_report_source" // LoadFromResponses or LoadFromProbes
)

// Settings of the transfer of bodies.
const (
	SettingTransferRate SettingName = "transfer_kb_per_s"  // KB/s at which a body is sent
	SettingZoneLinkRate SettingName = "zone_link_kb_per_s" // list by zone: KB/s of the link into it, 0 if unknown
	SettingLinkPrice    SettingName = "link_price"         // price of sending over a link, without unit
)

// Settings of copies in caches. Lists are by request class.
const (
	SettingFreshTime     SettingName = "fresh_s"              // list: s, 0 where copies do not expire
	SettingStaleTime     SettingName = "stale_s"              // list: s after that in which a copy may be served
	SettingStalePriority SettingName = "stale_priority_share" // list: share of the priority of a stale answer
	SettingUncacheable   SettingName = "uncacheable"          // list of booleans: copies are never stored
	SettingChunked       SettingName = "chunked"              // list of booleans: objects have several chunks
	SettingPurgeComplete SettingName = "purge_complete_s"     // s after a purge in which all caches dropped copies
	SettingPurgeGrace    SettingName = "purge_grace_s"        // s in which a router has to heed a purge
)

// Settings of what caches and clients support beyond single attempts.
const (
	SettingFillJoining       SettingName = "fill_joining_allowed"    // boolean: a request may join a fill under way
	SettingPeerCaches        SettingName = "peer_caches"             // PeerCachesInZone, PeerCachesAnywhere or none
	SettingResultDetails     SettingName = "result_details"          // DetailsOfAll, DetailsOfHits or none
	SettingDirectAttempts    SettingName = "direct_attempts_allowed" // boolean: edge caches may be bypassed
	SettingHedging           SettingName = "hedging_allowed"         // boolean: a request may have several attempts
	SettingCancellation      SettingName = "cancellation_allowed"    // boolean: attempts may be cancelled
	SettingHealthChecks      SettingName = "health_checks_allowed"   // boolean: probes may be sent
	SettingRetryAfterAllowed SettingName = "retry_after_allowed"     // boolean: rejections may tell a time
)

// Limits of attempts and connections.
const (
	SettingMaxAttempts              SettingName = "max_attempts"                // of a request
	SettingMaxAttemptsPerConnection SettingName = "max_attempts_per_connection" // in flight
	SettingMaxRetryAfter            SettingName = "max_retry_after_s"           // s
	SettingConnectTimeout           SettingName = "connect_timeout_s"           // s
	SettingIdleTimeout              SettingName = "idle_timeout_s"              // s, then unused ones are closed
	SettingResponseGrace            SettingName = "response_grace_s"            // s past a deadline, answers count
	SettingDrainGrace               SettingName = "drain_grace_s"               // s, draining endpoints take attempts
)

// Settings of slow start. A cold endpoint that gets more than the factor times its capacity for the window goes down.
const (
	SettingWarmUp               SettingName = "warm_up_s"                  // s from the start to full capacity
	SettingColdCapacity         SettingName = "cold_capacity_share"        // share of the capacity at the start
	SettingOverloadFactor       SettingName = "overload_factor"            // multiple of the capacity
	SettingOverloadWindow       SettingName = "overload_window_s"          // s
	SettingParentWarmUp         SettingName = "parent_warm_up_s"           // s, of a parent cache
	SettingParentColdCapacity   SettingName = "parent_cold_capacity_share" // share, of a parent cache
	SettingParentOverloadFactor SettingName = "parent_overload_factor"     // multiple, of a parent cache
)

// ClassField names a setting that each request class has; see ClassSetting.
type ClassField string

// Settings of a request class.
const (
	ClassLatencyObjective   ClassField = "latency_objective_s"       // s, of a request without size
	ClassObjectiveStretch   ClassField = "latency_objective_stretch" // sending times added to that
	ClassDeadline           ClassField = "deadline_s"                // s
	ClassPriority           ClassField = "priority_weight"           // weight of an answer within the objective
	ClassLatePriority       ClassField = "late_priority_share"       // share of that for an answer after the objective
	ClassEffect             ClassField = "effect"                    // an Effect
	ClassDeduplicationScope ClassField = "deduplication_scope"       // a DeduplicationScope
	ClassIdempotencyWindow  ClassField = "idempotency_window_s"      // s for which an idempotency key is recognized
)

// ClassSettingPrefix is what the names of all settings of request classes begin with.
const ClassSettingPrefix = "class."

// ClassSetting is the name of a setting of one request class.
func ClassSetting(class ClassIndex, field ClassField) SettingName {
	return SettingName(ClassSettingPrefix + strconv.Itoa(int(class)) + "." + string(field))
}

// Effect says what running a request of a class twice does. It is the value of ClassEffect.
type Effect string

// The effects.
const (
	Idempotent         Effect = "idempotent"
	WithIdempotencyKey Effect = "idempotency_key" // run once if an endpoint recognizes the key
	NonIdempotent      Effect = "non_idempotent"
)

// DeduplicationScope is the set of endpoints that recognize an idempotency key. It is the value of
// ClassDeduplicationScope.
type DeduplicationScope string

// The scopes.
const (
	CellScope DeduplicationScope = "cell" // of the endpoint that had the first attempt
	ZoneScope DeduplicationScope = "zone" // likewise
	AnyScope  DeduplicationScope = "all"
)

// Values of settings that are words.
const (
	DiscoveryOnRequest = "on_request" // of SettingDiscoveryMode: endpoints are sent to who asks or subscribes
	LoadFromResponses  = "responses"  // of SettingLoadReportSource: each response carries a report
	LoadFromProbes     = "probes"     // of SettingLoadReportSource: a health check asks for it
	PeerCachesInZone   = "zone"       // of SettingPeerCaches: caches of the same zone may fill a miss
	PeerCachesAnywhere = "any"        // of SettingPeerCaches: any cache may fill a miss
	DetailsOfAll       = "all"        // of SettingResultDetails: results have all details, failures of sources included
	DetailsOfHits      = "hit"        // of SettingResultDetails: results say only whether and how a cache was hit
)
