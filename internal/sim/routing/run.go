// Package routing simulates many routers that run the decision module over one small deployment on virtual time. It
// shows the cost of splitting the same traffic between more routers, and the effect of gossip between routers.
//
// Caches, parents, links and the origin are modeled by their capacity only; the decision module is the production code.
// The package opens no sockets and does not read the real clock. The same seed gives the same results. The scenarios of
// the lab define the bounds for the results.
package routing

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	"cairnfront/internal/sim/clock"
	"cairnfront/routing"
)

// Random number streams. Gossip has a separate stream, so that the traffic is the same with and without gossip.
const (
	trafficStream = 0x7417
	gossipStream  = 0x60551
)

// Phase is a period of a run, in seconds since the start of the run.
type Phase struct {
	Name     string
	From, To float64
}

// Phases are the periods for which results are counted separately. The fault is active during the second phase.
var Phases = []Phase{
	{Name: "calm", From: measurementStart, To: faultStart},
	{Name: "trouble", From: faultStart, To: faultEnd},
	{Name: "after", From: faultEnd, To: duration},
}

func phaseAt(elapsed float64) string {
	for _, phase := range Phases {
		if elapsed >= phase.From && elapsed < phase.To {
			return phase.Name
		}
	}
	return ""
}

// Result holds the counts of a run. The maps are keyed by the name of the phase in which the request arrived.
type Result struct {
	Routers              int
	Requests             map[string]int
	OnTime               map[string]int
	Late                 map[string]int
	Rejected             map[string]int
	Aborted              map[string]int
	Attempts             map[string]int
	Unanswered           int
	AnsweredTwice        int
	Fills                int // completed fills at edge caches
	StoredFills          int // fills after which the edge cache stored a copy
	FailingCacheAttempts int
	OnTimePerSecond      []float64 // share of on-time requests among those that arrived in each second

	arrivedBySecond []int
	onTimeBySecond  []int
}

func newResult(routers int) *Result {
	return &Result{
		Routers:         routers,
		Requests:        map[string]int{},
		OnTime:          map[string]int{},
		Late:            map[string]int{},
		Rejected:        map[string]int{},
		Aborted:         map[string]int{},
		Attempts:        map[string]int{},
		arrivedBySecond: make([]int, int(duration)+1),
		onTimeBySecond:  make([]int, int(duration)+1),
	}
}

// Fault is the fault that is injected during the second phase.
type Fault int

// Faults that a run can simulate.
const (
	TrafficBurst   Fault = iota // traffic increases by half, and one object group is purged
	ParentZoneLost              // half of the parent caches stop answering and come back empty
	FailingCache                // one edge cache answers every attempt with an error
)

// Gossip configures the exchange of health observations between routers.
type Gossip struct {
	Enabled       bool
	FaultyRouters int // routers that always report all endpoints as failing; the others tolerate this many
}

// simulation is the simulated deployment and its routers. All events run on the goroutine that runs the scheduler.
type simulation struct {
	*clock.Scheduler
	endpoints         map[routing.EndpointID]*endpoint
	zoneLinks         [zones]*endpoint
	chunkSizes        map[chunkKey]float64 // chunk sizes in KB
	popularity        []float64            // cumulative popularity, by object
	routers           []*router
	requests          int
	fault             Fault
	gossipRandom      *rand.Rand
	result            *Result
	initialEndpoints  []routing.Endpoint
	purgedObjectGroup int // number of the object group that TrafficBurst purges
	faultyRouters     int
}

// ErrUnevenZones is returned if the routers cannot be distributed evenly over the zones.
var ErrUnevenZones = errors.New("the number of routers is not a multiple of the number of zones")

// Run simulates routers without gossip. The number of routers must be a multiple of the number of zones.
func Run(seed uint64, routers int, fault Fault) (*Result, error) {
	return RunWithGossip(seed, routers, fault, Gossip{})
}

// RunWithGossip is like Run, but routers exchange health observations as configured by gossip.
func RunWithGossip(seed uint64, routers int, fault Fault, gossip Gossip) (*Result, error) {
	if routers < zones || routers%zones != 0 {
		return nil, fmt.Errorf("simulate %d routers in %d zones: %w", routers, zones, ErrUnevenZones)
	}
	s := &simulation{
		Scheduler:         clock.New(seed, trafficStream, startTime),
		endpoints:         map[routing.EndpointID]*endpoint{},
		chunkSizes:        map[chunkKey]float64{},
		fault:             fault,
		gossipRandom:      rand.New(rand.NewPCG(seed, gossipStream)),
		result:            newResult(routers),
		purgedObjectGroup: int(seed % objectGroups),
		faultyRouters:     gossip.FaultyRouters,
	}
	s.addObjects()
	s.addEndpoints()
	s.addRouters(seed, routers, gossip)
	if gossip.Enabled {
		s.scheduleGossip()
	}
	s.scheduleFault()
	s.startSession()
	s.RunUntil(startTime + duration + objectiveBase + deadlineMargin + objectiveTransfers*maxChunkKB/transferKBPerS + 1)
	s.finishResult()
	return s.result, nil
}

func (s *simulation) elapsed() float64 { return s.Now() - startTime }

// addObjects adds objects with popularities that follow Zipf's law, and chunks of random sizes.
func (s *simulation) addObjects() {
	sum := 0.0
	for i := range objects {
		sum += math.Pow(float64(i+1), -zipfExponent)
		s.popularity = append(s.popularity, sum)
		for chunk := range chunksPerObject {
			size := minChunkKB + (maxChunkKB-minChunkKB)*math.Pow(s.Rand.Float64(), 2)
			s.chunkSizes[chunkKey{i, chunk}] = size
		}
	}
}

func (s *simulation) addEndpoints() {
	for zone := range zones {
		s.zoneLinks[zone] = &endpoint{capacity: linkCapacity}
		for i := range cachesPerZone {
			s.addEndpoint(cacheID(zone, i), parentZones+zone, cacheKind, cacheCapacity, cacheSizeKB)
		}
	}
	for i := range parents {
		s.addEndpoint(parentID(i), i%parentZones, parentKind, parentCapacity, parentSizeKB)
	}
	s.addEndpoint(originID, 0, originKind, originCapacity, 0)
}

func (s *simulation) addEndpoint(id routing.EndpointID, zone, kind int, capacity, sizeKB float64) {
	s.endpoints[id] = &endpoint{
		id:       id,
		kind:     kind,
		capacity: capacity,
		sizeKB:   sizeKB,
		cached:   map[chunkKey]*cachedChunk{},
		filling:  map[chunkKey][]func(bool){},
	}
	s.initialEndpoints = append(s.initialEndpoints, routing.Endpoint{ID: id, Zone: zone, Kind: kind, Weight: capacity})
}

// scheduleFault schedules the start and the end of the fault.
func (s *simulation) scheduleFault() {
	from, to := startTime+faultStart, startTime+faultEnd
	switch s.fault {
	case FailingCache:
		failing := s.endpoints[cacheID(0, 0)]
		s.At(from, func() { failing.failing = true })
		s.At(to, func() { failing.failing = false })
	case TrafficBurst:
		s.At(startTime+purgeTime, func() { s.purge(s.purgedObjectGroup) })
	case ParentZoneLost:
		for i := 0; i < parents; i += parentZones {
			parent := s.endpoints[parentID(i)]
			s.At(from, func() { parent.unresponsive = true })
			s.At(to, parent.restartEmpty)
		}
	}
}

// finishResult counts the requests that were never answered and computes the on-time share of each second.
func (s *simulation) finishResult() {
	for _, r := range s.routers {
		for _, req := range r.openRequests {
			if req.answerCount == 0 {
				s.result.Unanswered++
			}
		}
	}
	for second, arrived := range s.result.arrivedBySecond[:int(duration)] {
		share := float64(s.result.onTimeBySecond[second]) / max(float64(arrived), 1)
		s.result.OnTimePerSecond = append(s.result.OnTimePerSecond, share)
	}
}
