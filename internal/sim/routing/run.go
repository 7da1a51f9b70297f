// Package routing simulates many routers that run the decision module over one small deployment on virtual time: what
// the same traffic costs where each router gets a smaller part of it, and what gossip between routers changes.
//
// Caches, parents, links and the origin are capacity figures; the module is the one that serves. The package opens no
// socket and reads no clock. The same seed gives the same results. The bounds for them are in the lab's scenarios.
package routing

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	"cairnfront/internal/sim/clock"
	"cairnfront/routing"
)

// Streams of random numbers. That of gossip is its own, so that traffic is the same with gossip and without.
const (
	trafficStream = 0x7417
	gossipStream  = 0x60551
)

// Phase is a stretch of the run, in seconds from its start.
type Phase struct {
	Name     string
	From, To float64
}

// Phases are counted separately; the fault of a run lasts through the second.
var Phases = []Phase{
	{Name: "calm", From: countedFrom, To: faultFrom},
	{Name: "trouble", From: faultFrom, To: faultTo},
	{Name: "after", From: faultTo, To: duration},
}

func phaseAt(elapsed float64) string {
	for _, phase := range Phases {
		if elapsed >= phase.From && elapsed < phase.To {
			return phase.Name
		}
	}
	return ""
}

// Result is the counts of a run. The maps are by the phase in which a request arrived.
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
	Fills                int // at caches
	StoredFills          int // of which a copy was stored
	FailingCacheAttempts int
	OnTimePerSecond      []float64 // share of the requests of each second

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

// Fault is what happens in the second phase.
type Fault int

// The faults of a run.
const (
	TrafficBurst   Fault = iota // half as much traffic again, and a purge
	ParentZoneLost              // half of the parents don't answer and come back empty
	FailingCache                // one cache answers all that it is sent with an error
)

// Gossip is how routers exchange observations of endpoints.
type Gossip struct {
	Enabled       bool
	FaultyRouters int // routers that report every endpoint as failing, all the time; the others allow for as many
}

// simulation is the deployment with its routers. All of it runs on the scheduler's goroutine.
type simulation struct {
	*clock.Scheduler
	endpoints      map[routing.EndpointID]*endpoint
	zoneLinks      [zones]*endpoint
	chunkSizes     map[chunkKey]float64 // KB
	popularity     []float64            // cumulative, by object
	routers        []*router
	requests       int
	fault          Fault
	gossipRandom   *rand.Rand
	result         *Result
	listedAtStart  []routing.Endpoint
	purgedOnFault  int // object group
	faultyInGossip int
}

// ErrUnevenZones says that zones would have different numbers of routers.
var ErrUnevenZones = errors.New("not a multiple of the zones")

// Run simulates a number of routers, a multiple of the zones, that exchange no observations.
func Run(seed uint64, routers int, fault Fault) (*Result, error) {
	return RunWithGossip(seed, routers, fault, Gossip{})
}

// RunWithGossip is Run with routers that exchange observations of endpoints.
func RunWithGossip(seed uint64, routers int, fault Fault, gossip Gossip) (*Result, error) {
	if routers < zones || routers%zones != 0 {
		return nil, fmt.Errorf("simulate %d routers in %d zones: %w", routers, zones, ErrUnevenZones)
	}
	s := &simulation{
		Scheduler:      clock.New(seed, trafficStream, startTime),
		endpoints:      map[routing.EndpointID]*endpoint{},
		chunkSizes:     map[chunkKey]float64{},
		fault:          fault,
		gossipRandom:   rand.New(rand.NewPCG(seed, gossipStream)),
		result:         newResult(routers),
		purgedOnFault:  int(seed % objectGroups),
		faultyInGossip: gossip.FaultyRouters,
	}
	s.addObjects()
	s.addEndpoints()
	s.addRouters(seed, routers, gossip)
	if gossip.Enabled {
		s.scheduleGossip()
	}
	s.scheduleFault()
	s.startSession()
	s.RunUntil(startTime + duration + objectiveBase + clientPatience + objectiveSendTimes*maxChunkKB/transferKBPerS + 1)
	s.finishResult()
	return s.result, nil
}

func (s *simulation) elapsed() float64 { return s.Now() - startTime }

// addObjects gives objects their popularity, by Zipf's law, and their chunks sizes.
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
	s.listedAtStart = append(s.listedAtStart, routing.Endpoint{ID: id, Zone: zone, Kind: kind, Weight: capacity})
}

// scheduleFault schedules the start and the end of the fault.
func (s *simulation) scheduleFault() {
	from, to := startTime+faultFrom, startTime+faultTo
	switch s.fault {
	case FailingCache:
		failing := s.endpoints[cacheID(0, 0)]
		s.At(from, func() { failing.failing = true })
		s.At(to, func() { failing.failing = false })
	case TrafficBurst:
		s.At(startTime+purgeAt, func() { s.purge(s.purgedOnFault) })
	case ParentZoneLost:
		for i := 0; i < parents; i += parentZones {
			parent := s.endpoints[parentID(i)]
			s.At(from, func() { parent.lost = true })
			s.At(to, parent.returnEmpty)
		}
	}
}

// finishResult counts requests that were never answered and works out the shares by second.
func (s *simulation) finishResult() {
	for _, r := range s.routers {
		for _, req := range r.open {
			if req.answers == 0 {
				s.result.Unanswered++
			}
		}
	}
	for second, arrived := range s.result.arrivedBySecond[:int(duration)] {
		share := float64(s.result.onTimeBySecond[second]) / max(float64(arrived), 1)
		s.result.OnTimePerSecond = append(s.result.OnTimePerSecond, share)
	}
}
