package routing

import (
	"fmt"
	"strconv"
	"strings"

	"cairnfront/routing"
)

// The deployment. Zones are alike: a link into the zone and caches behind it. Parents are in parent zones on a ring,
// which zones take in turns. How long an attempt lasts follows from how many are in flight.
const (
	zones           = 3
	cachesPerZone   = 4
	parentZones     = 2 // listed before the zones
	parents         = 4 // half of them in each parent zone
	objects         = 1500
	chunksPerObject = 8
	objectGroups    = 16

	zipfExponent   = 0.8 // of objects' popularity, as request logs of videos show
	minChunkKB     = 200.0
	maxChunkKB     = 1800.0
	transferKBPerS = 4000.0 // of one transfer alone

	cacheCapacity  = 14.0 // transfers at full rate
	linkCapacity   = 16.0
	parentCapacity = 16.0
	originCapacity = 20.0
	refuseAt       = 4.0   // times its capacity in flight, an endpoint refuses attempts
	cacheSizeKB    = 400e3 // a twentieth of all objects
	parentSizeKB   = 1.2e6

	zoneLatency   = 0.002   // s to an endpoint of the zone and back
	parentLatency = 0.015   // s more to the parent zone and back
	originLatency = 0.040   // s more to the origin and back
	sourceTimeout = 0.8     // s until a cache says that its source does not answer
	cancelLatency = 0.00001 // s until the end of a cancelled attempt is heard
)

// The traffic and the course of a run.
const (
	startTime          = 1.7e9 // Unix s, as a service has it
	duration           = 80.0  // s
	countedFrom        = 30.0  // s; caches are empty before
	faultFrom          = 45.0  // s
	faultTo            = 52.0  // s
	purgeAt            = 46.0  // s; one object group is purged
	burstFactor        = 1.5   // times the traffic
	requestsPerS       = 200.0 // of all routers, whatever their number
	continuesView      = 0.7   // odds that a client goes on to the next chunk
	minViewPause       = 0.3   // s before that
	viewPauseSpread    = 0.4   // s
	objectiveBase      = 0.30  // s
	objectiveSendTimes = 2.0   // sending times added to that
	clientPatience     = 2.0   // s from a request's objective to its deadline
)

// Gossip between routers, with times as seen among 60 cores on virtual time.
const (
	minGossipDelay    = 0.2 // s until an observation has reached another router
	maxGossipDelay    = 1.5 // s
	gossipTick        = 1.0 // s
	faultyZones       = 7   // names that faulty routers take turns with
	faultyStartMillis = 2
)

// Kinds of endpoints, as the settings name them.
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

// routerSettings are those of one router of a zone.
func routerSettings(index, routers, zone int) routing.Settings {
	routersAt, linkKBPerS, parentZoneOf := zeroes(), zeroes(), zeroes()
	for i := range parentZones + zones {
		parentZoneOf[i] = strconv.Itoa(i % parentZones)
		if i >= parentZones {
			routersAt[i] = strconv.Itoa(routers / zones)
			linkKBPerS[i] = strconv.Itoa(int(linkCapacity * transferKBPerS))
		}
	}
	return routing.Settings{
		routing.SettingRouter:                                    strconv.Itoa(index),
		routing.SettingRouters:                                   strconv.Itoa(routers),
		routing.SettingZone:                                      strconv.Itoa(parentZones + zone),
		routing.SettingRoutersByZone:                             strings.Join(routersAt, ","),
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
		routing.SettingZoneLinkRate:                              strings.Join(linkKBPerS, ","),
		routing.SettingFreshTime:                                 "0",
		routing.SettingUncacheable:                               "false",
		routing.ClassSetting(0, routing.ClassEffect):             string(routing.Idempotent),
		routing.ClassSetting(0, routing.ClassDeduplicationScope): string(routing.AnyScope),
		routing.ClassSetting(0, routing.ClassLatencyObjective):   fmt.Sprint(objectiveBase),
		routing.ClassSetting(0, routing.ClassObjectiveStretch):   fmt.Sprint(objectiveSendTimes),
		routing.ClassSetting(0, routing.ClassPriority):           "1",
	}
}

// zeroes is a list with an item for each zone and parent zone.
func zeroes() []string { return strings.Split("0"+strings.Repeat(",0", parentZones+zones-1), ",") }
