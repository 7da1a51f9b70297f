package routing

import "strconv"

// SettingName is the name of a router setting. A setting that is not defined here has the name that it has in the
// protocol, so a name defined here must not be the name of another setting there (see internal/wirenames).
type SettingName string

// Settings of the deployment and of this router's location in it.
const (
	SettingRouter        SettingName = "router"          // index of this router
	SettingRouters       SettingName = "routers"         // number of routers in all zones
	SettingRoutersByZone SettingName = "routers_by_zone" // list by zone: number of routers there
	SettingZone          SettingName = "zone"            // index of this router's zone
	SettingParentZoneOf  SettingName = "parent_zone_of"  // list by zone: index of its parent zone
	SettingParentKind    SettingName = "parent_kind"     // endpoint kind of parent caches
	SettingOriginKind    SettingName = "origin_kind"     // endpoint kind of origins
	SettingClassCount    SettingName = "class.count"     // number of request classes
	SettingTick          SettingName = "tick_s"          // s, clock resolution
)

// Settings of the discovery service and of load reports.
const (
	SettingDiscoveryMode    SettingName = "discovery_mode"     // DiscoveryOnRequest or another mode
	SettingEndpointRefresh  SettingName = "endpoint_refresh_s" // s between requests of routers that do not subscribe
	SettingLoadReportSource SettingName = "load_report_source" // LoadFromResponses or LoadFromProbes
)

// Settings of the transfer of bodies.
const (
	SettingTransferRate SettingName = "transfer_kb_per_s"  // KB/s, rate of sending a body
	SettingZoneLinkRate SettingName = "zone_link_kb_per_s" // list by zone: KB/s of the link into it, 0 if unknown
	SettingLinkPrice    SettingName = "link_price"         // price of sending over a link, dimensionless
)

// Settings of cached copies. Lists are indexed by request class.
const (
	SettingFreshTime     SettingName = "fresh_s"              // list: s, fresh time of a copy, 0 for no expiry
	SettingStaleTime     SettingName = "stale_s"              // list: s for which a stale copy may be served
	SettingStalePriority SettingName = "stale_priority_share" // list: weight of a stale answer, share of priority
	SettingUncacheable   SettingName = "uncacheable"          // list of booleans: copies are never stored
	SettingChunked       SettingName = "chunked"              // list of booleans: objects have several chunks
	SettingPurgeComplete SettingName = "purge_complete_s"     // s after a purge until all caches dropped copies
	SettingPurgeGrace    SettingName = "purge_grace_s"        // s within which a router has to apply a purge
)

// Settings of optional features of caches and clients.
const (
	SettingFillJoining       SettingName = "fill_joining_allowed"    // boolean: a request may join a fill in progress
	SettingPeerCaches        SettingName = "peer_caches"             // PeerCachesInZone, PeerCachesAnywhere or none
	SettingResultDetails     SettingName = "result_details"          // DetailsOfAll, DetailsOfHits or none
	SettingDirectAttempts    SettingName = "direct_attempts_allowed" // boolean: attempts may bypass the edge caches
	SettingHedging           SettingName = "hedging_allowed"         // boolean: concurrent attempts of a request
	SettingCancellation      SettingName = "cancellation_allowed"    // boolean: attempts may be cancelled
	SettingHealthChecks      SettingName = "health_checks_allowed"   // boolean: probes may be sent
	SettingRetryAfterAllowed SettingName = "retry_after_allowed"     // boolean: rejections may include a retry delay
)

// Limits of attempts and connections.
const (
	SettingMaxAttempts              SettingName = "max_attempts"                // attempts of a request
	SettingMaxAttemptsPerConnection SettingName = "max_attempts_per_connection" // attempts in flight
	SettingMaxRetryAfter            SettingName = "max_retry_after_s"           // s, longest retry delay of a rejection
	SettingConnectTimeout           SettingName = "connect_timeout_s"           // s until a connect attempt fails
	SettingIdleTimeout              SettingName = "idle_timeout_s"              // s until unused connections are closed
	SettingResponseGrace            SettingName = "response_grace_s"            // s that answers count after a deadline
	SettingDrainGrace               SettingName = "drain_grace_s"               // s for which a drain allows attempts
)

// Settings of slow start. An endpoint in slow start fails if its load exceeds its current capacity by the overload
// factor for the overload window.
const (
	SettingWarmUp               SettingName = "warm_up_s"                  // s from the start to full capacity
	SettingColdCapacity         SettingName = "cold_capacity_share"        // initial share of the capacity
	SettingOverloadFactor       SettingName = "overload_factor"            // load as a multiple of the capacity
	SettingOverloadWindow       SettingName = "overload_window_s"          // s for which the overload lasts
	SettingParentWarmUp         SettingName = "parent_warm_up_s"           // s until full capacity, of a parent cache
	SettingParentColdCapacity   SettingName = "parent_cold_capacity_share" // initial share, of a parent's capacity
	SettingParentOverloadFactor SettingName = "parent_overload_factor"     // overload factor of a parent cache
)

// ClassField is the name of a setting of a request class; see ClassSetting.
type ClassField string

// Settings of a request class.
const (
	ClassLatencyObjective   ClassField = "latency_objective_s"       // s, for a request without size
	ClassObjectiveStretch   ClassField = "latency_objective_stretch" // sending times added to the latency objective
	ClassDeadline           ClassField = "deadline_s"                // s until the client gives up
	ClassPriority           ClassField = "priority_weight"           // weight of an answer within the objective
	ClassLatePriority       ClassField = "late_priority_share"       // share of the priority weight for a later answer
	ClassEffect             ClassField = "effect"                    // an Effect
	ClassDeduplicationScope ClassField = "deduplication_scope"       // a DeduplicationScope
	ClassIdempotencyWindow  ClassField = "idempotency_window_s"      // s for which an idempotency key is recognized
)

// ClassSettingPrefix is the prefix of the names of all settings of request classes.
const ClassSettingPrefix = "class."

// ClassSetting returns the name of a setting of a request class.
func ClassSetting(class ClassIndex, field ClassField) SettingName {
	return SettingName(ClassSettingPrefix + strconv.Itoa(int(class)) + "." + string(field))
}

// Effect is the effect of running a request of a class twice. It is the value of ClassEffect.
type Effect string

// Effects of running a request twice.
const (
	Idempotent         Effect = "idempotent"
	WithIdempotencyKey Effect = "idempotency_key" // takes effect once if the endpoint recognizes the key
	NonIdempotent      Effect = "non_idempotent"
)

// DeduplicationScope is the set of endpoints that recognize an idempotency key. It is the value of
// ClassDeduplicationScope.
type DeduplicationScope string

// Scopes in which an idempotency key is recognized.
const (
	CellScope DeduplicationScope = "cell" // endpoints in the cell of the first attempt's endpoint
	ZoneScope DeduplicationScope = "zone" // endpoints in the zone of the first attempt's endpoint
	AnyScope  DeduplicationScope = "all"
)

// String values of settings.
const (
	DiscoveryOnRequest = "on_request" // SettingDiscoveryMode: endpoints are sent only to routers that ask or subscribe
	LoadFromResponses  = "responses"  // SettingLoadReportSource: each response carries a load report
	LoadFromProbes     = "probes"     // SettingLoadReportSource: health checks request a load report
	PeerCachesInZone   = "zone"       // SettingPeerCaches: caches of the same zone may fill a miss
	PeerCachesAnywhere = "any"        // SettingPeerCaches: any cache may fill a miss
	DetailsOfAll       = "all"        // SettingResultDetails: results have all details, including failures of sources
	DetailsOfHits      = "hit"        // SettingResultDetails: results report only whether and how a cache was hit
)
