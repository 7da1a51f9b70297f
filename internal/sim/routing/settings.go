package routing

import (
	"fmt"
	"strconv"
	"strings"

	"cairnfront/routing"
)

// Parameters of the deployment. Each zone has the same layout: edge caches behind one link into the zone. Parent caches
// are in parent zones, which are assigned to the zones in rotation. The duration of an attempt depends on how many are
// in flight.
const (
	zones           = 3
	cachesPerZone   = 4
	parentZones     = 2 // numbered before the zones of edge caches
	parents         = 4 // total number of parent caches, half of them in each parent zone
	objects         = 1500
	chunksPerObject = 8
	objectGroups    = 16

	zipfExponent   = 0.8 // exponent of object popularity, as in request logs of video services
	minChunkKB     = 200.0
	maxChunkKB     = 1800.0
	transferKBPerS = 4000.0 // rate of a single transfer at an idle endpoint

	cacheCapacity    = 14.0 // concurrent transfers at full rate
	linkCapacity     = 16.0
	parentCapacity   = 16.0
	originCapacity   = 20.0
	rejectLoadFactor = 4.0   // multiple of its capacity in flight at which an endpoint rejects attempts
	cacheSizeKB      = 400e3 // a twentieth of the total size of all objects
	parentSizeKB     = 1.2e6

	zoneLatency   = 0.002   // seconds, round trip to an endpoint in the zone
	parentLatency = 0.015   // additional seconds, round trip to the parent zone
	originLatency = 0.040   // additional seconds, round trip to the origin
	sourceTimeout = 0.8     // seconds until a cache reports that its source does not answer
	cancelLatency = 0.00001 // seconds until a router is notified that a cancelled attempt ended
)

// Traffic and timeline of a run.
const (
	startTime            = 1.7e9 // Unix time in seconds, as in a production service
	duration             = 80.0  // seconds
	measurementStart     = 30.0  // seconds; earlier requests are not counted, as they fill the empty caches
	faultStart           = 45.0  // seconds
	faultEnd             = 52.0  // seconds
	purgeTime            = 46.0  // seconds; time at which one object group is purged
	burstFactor          = 1.5   // factor on the traffic during a burst
	requestsPerS         = 200.0 // total over all routers, independent of their number
	nextChunkProbability = 0.7   // probability that a client requests the next chunk
	minChunkPause        = 0.3   // minimum seconds before the request for the next chunk
	chunkPauseRange      = 0.4   // seconds; maximum random addition to minChunkPause
	objectiveBase        = 0.30  // seconds; latency objective without the transfer time
	objectiveTransfers   = 2.0   // multiple of the transfer time that is added to objectiveBase
	deadlineMargin       = 2.0   // seconds from a request's latency objective to its deadline
)

// Parameters of gossip between routers. The delays are those among 60 membership cores on virtual time.
const (
	minGossipDelay    = 0.2 // minimum seconds until an observation reaches another router
	maxGossipDelay    = 1.5 // maximum seconds until an observation reaches another router
	gossipTick        = 1.0 // seconds between ticks
	faultyZones       = 7   // number of zone names that a faulty router cycles through
	faultyStartMillis = 2
)

// Kinds of endpoints, as numbered in the routers' settings.
const (
	cacheKind = iota
	parentKind
	originKind
)

const originID routing.EndpointID = "origin"

func cacheID(zone, i int) routing.EndpointID {
	return routing.EndpointID(fmt.Sprintf("c%d-%d", zone, i))
}

func parentID(i int) routing.EndpointID { return routing.EndpointID(fmt.Sprintf("p%d", i)) }

// routerSettings returns the settings of the routing module for one router of a zone.
func routerSettings(index, routers, zone int) routing.Settings {
	routersByZone, linkRateByZone, parentZoneOf := zeroPerZone(), zeroPerZone(), zeroPerZone()
	for i := range parentZones + zones {
		parentZoneOf[i] = strconv.Itoa(i % parentZones)
		if i >= parentZones {
			routersByZone[i] = strconv.Itoa(routers / zones)
			linkRateByZone[i] = strconv.Itoa(int(linkCapacity * transferKBPerS))
		}
	}
	return routing.Settings{
		routing.SettingRouter:                                    strconv.Itoa(index),
		routing.SettingRouters:                                   strconv.Itoa(routers),
		routing.SettingZone:                                      strconv.Itoa(parentZones + zone),
		routing.SettingRoutersByZone:                             strings.Join(routersByZone, ","),
		routing.SettingParentZoneOf:                              strings.Join(parentZoneOf, ","),
		routing.SettingParentKind:                                strconv.Itoa(parentKind),
		routing.SettingOriginKind:                                strconv.Itoa(originKind),
		routing.SettingTransferRate:                              strconv.Itoa(int(transferKBPerS)),
		routing.SettingPeerCaches:                                routing.PeerCachesInZone,
		routing.SettingResultDetails:                             routing.DetailsOfHits,
		routing.SettingCancellation:                              "true",
		routing.SettingFillJoining:                               "true",
		routing.SettingMaxAttempts:                               "5",
		routing.SettingRetryAfterAllowed:                         "true",
		routing.SettingMaxRetryAfter:                             "2",
		routing.SettingWarmUp:                                    "2",
		routing.SettingColdCapacity:                              "0.5",
		routing.SettingOverloadFactor:                            "2",
		routing.SettingOverloadWindow:                            "1",
		routing.SettingPurgeComplete:                             "6",
		routing.SettingZoneLinkRate:                              strings.Join(linkRateByZone, ","),
		routing.SettingFreshTime:                                 "0",
		routing.SettingUncacheable:                               "false",
		routing.ClassSetting(0, routing.ClassEffect):             string(routing.Idempotent),
		routing.ClassSetting(0, routing.ClassDeduplicationScope): string(routing.AnyScope),
		routing.ClassSetting(0, routing.ClassLatencyObjective):   fmt.Sprint(objectiveBase),
		routing.ClassSetting(0, routing.ClassObjectiveStretch):   fmt.Sprint(objectiveTransfers),
		routing.ClassSetting(0, routing.ClassPriority):           "1",
	}
}

// zeroPerZone returns a list with a "0" for each parent zone and zone.
func zeroPerZone() []string { return strings.Split("0"+strings.Repeat(",0", parentZones+zones-1), ",") }
