// Package replication simulates replicated reservations on virtual time: routers in several zones with replicas on
// faulty disks, a network with scripted faults, and clients that reserve keys and retry on other routers.
//
// The responses to clients are checked for linearizability, and at the end of a simulation each granted reservation
// must still exist. The simulation runs the production code of the packages shard, wal and placement; connections and
// the node's goroutine are not simulated. All state is in memory; disk operations go through a simulated file system
// with the faults of real disks (vfs.FaultFS).
package replication

import (
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/sim/clock"
	"cairnfront/internal/sim/faults"

	"github.com/anishathalye/porcupine"
)

// Sizes and times of a simulation.
const (
	zoneCount                = 3
	replicaCount             = 3
	networkLatencySeconds    = 0.0005
	networkJitterSeconds     = 0.002
	maxSyncSeconds           = 0.002 // maximum time until a written batch is synced
	detectionSeconds         = 2.0   // until other routers detect that a router stopped or restarted
	replaceAfterSeconds      = 4.0   // downtime after which a replica is replaced
	rebalanceIntervalSeconds = 0.5
	// powerLossSeconds is the time after which a router that loses power is stopped, even if the disk operation at
	// which the power loss should hit was not reached.
	powerLossSeconds           = 0.3
	meanRequestIntervalSeconds = 0.05 // between two requests of any clients
	requestTimeoutSeconds      = 3.0
	retryIntervalSeconds       = 0.4
	keyCount                   = 24  // keys used by clients
	reservationLifetimeSeconds = 1e6 // no reservation expires during a simulation
	clockStartUnixSeconds      = 1.7e9
	linearizabilityLimit       = 30 * time.Second // real time limit of the check
	maxPostponedEvents         = 500              // events a paused router queues until it resumes
	maxPowerLossDiskOperation  = 6                // disk operations until a power loss hits, at most
)

// Random number streams that are derived from a script's seed.
const (
	schedulerRandomStream = 0x1ed6
	electionRandomStream  = 0x4af7
)

// Config configures a simulation. Power losses of the script hit in the middle of a disk operation.
type Config struct {
	Script faults.Script
	Shards int // number of simulated shards; all other shards have no replicas
}

// Result holds the counts and measurements of a simulation.
type Result struct {
	Reservations, Reads, Answered int // client requests
	MachinesLost                  int // routers that lost their disks
	PowerCuts                     int
	Linearizable                  bool
	Failure                       string    // error of the simulation itself, "" if none
	LatencySeconds                []float64 // latencies of answered requests
	ConfChanges                   int
	ReservationsLost              int // granted reservations that are missing at the end
	ConflictingGrants             int // keys granted to two groups
	LongestLeaderlessSeconds      float64
}

// simulation is the state of one run. It is accessed only by events of the scheduler.
type simulation struct {
	scheduler        *clock.Scheduler
	config           Config
	routers          []*router
	routersByReplica map[uint64]*router
	statuses         map[uint64]placement.ReplicaStatus // by replica ID; all routers share this view
	lastLeaderTime   map[int]float64                    // by shard number: the time at which it last had a leader

	keys              []string
	lastRequestNumber uint64
	requests          map[uint64]*request
	history           []porcupine.Operation
	granted           map[string]string // by key: the group that was granted the reservation

	result *Result
	err    error // first error of the simulation itself
}

// electionReaderMutex protects crand.Reader, from which raft draws its election timeouts and which Run replaces by a
// seeded reader. The reader is global to the process, so only one simulation can run at a time.
var electionReaderMutex sync.Mutex

type seededReader struct{ rnd *rand.Rand }

func (s seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rnd.Uint32())
	}
	return len(p), nil
}

// Run runs a simulation. Concurrent calls run one after another.
func Run(config Config) (*Result, error) {
	if err := config.Script.Validate(); err != nil {
		return nil, err
	}
	electionReaderMutex.Lock()
	defer electionReaderMutex.Unlock()
	before := crand.Reader
	crand.Reader = seededReader{rand.New(rand.NewPCG(config.Script.Seed, electionRandomStream))}
	defer func() { crand.Reader = before }()

	s := newSimulation(config)
	if err := s.bootstrapShards(); err != nil {
		return nil, err
	}
	s.scheduleInitialEvents()
	s.scheduler.RunUntil(config.Script.Duration)
	if s.err != nil {
		s.result.Failure = s.err.Error()
	}
	s.result.Linearizable = history.Linearizable(s.history, linearizabilityLimit)
	s.countLostReservations()
	return s.result, nil
}

func newSimulation(config Config) *simulation {
	s := &simulation{
		scheduler:        clock.New(config.Script.Seed, schedulerRandomStream, 0),
		config:           config,
		routersByReplica: map[uint64]*router{},
		statuses:         map[uint64]placement.ReplicaStatus{},
		lastLeaderTime:   map[int]float64{},
		requests:         map[uint64]*request{},
		granted:          map[string]string{},
		result:           &Result{},
	}
	for i := 0; len(s.keys) < keyCount; i++ {
		if key := fmt.Sprint("k", i); placement.ShardOf(key) < config.Shards {
			s.keys = append(s.keys, key)
		}
	}
	for i := range config.Script.Processes {
		r := &router{
			index:      i,
			name:       fmt.Sprint("r", i),
			zone:       fmt.Sprint("z", i%zoneCount),
			rebalancer: placement.NewRebalancer(replicaCount, replaceAfterSeconds),
		}
		s.routers = append(s.routers, r)
		s.startWithEmptyDisk(r)
	}
	return s
}

// scheduleInitialEvents schedules the initial events: faults, ticks, rebalancing and client requests.
func (s *simulation) scheduleInitialEvents() {
	for _, transition := range s.config.Script.Transitions() {
		s.scheduler.At(transition.Time, func() { s.applyTransition(transition) })
	}
	for _, r := range s.routers {
		s.scheduler.After(shard.TickSeconds*s.scheduler.Rand.Float64(), func() { s.tick(r) })
		s.scheduler.After(rebalanceIntervalSeconds*s.scheduler.Rand.Float64(), func() { s.rebalance(r) })
	}
	s.scheduler.After(1, s.startRequest)
}

// bootstrapShards creates the initial replicas of each shard on its preferred routers.
func (s *simulation) bootstrapShards() error {
	var nodes []placement.Node
	replicaIDs := map[string]uint64{}
	for _, r := range s.routers {
		nodes = append(nodes, placement.Node{Name: r.name, Zone: r.zone})
		replicaIDs[r.name] = r.replicaID
	}
	for number := range s.config.Shards {
		var voters []uint64
		for _, name := range placement.PreferredNodes(number, nodes, replicaCount) {
			voters = append(voters, replicaIDs[name])
		}
		for _, voter := range voters {
			if err := s.routersByReplica[voter].bootstrapShard(number, voters); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordError records the first error of the simulation itself.
func (s *simulation) recordError(err error) {
	if s.err == nil {
		s.err = fmt.Errorf("at %.2f s: %w", s.scheduler.Now(), err)
	}
}

// countLostReservations counts the granted reservations that are missing on the leaders of their shards.
func (s *simulation) countLostReservations() {
	for _, key := range s.keys {
		group, ok := s.granted[key]
		if !ok {
			continue
		}
		for _, r := range s.routers {
			replica := r.replicas[placement.ShardOf(key)]
			if !r.up || replica == nil {
				continue
			}
			if isLeader, _ := replica.Leadership(); !isLeader {
				continue
			}
			reservation, found := replica.State().Get(statemachine.KindAttemptLocation, key)
			if !found || reservation.Group != group {
				s.result.ReservationsLost++
			}
		}
	}
}
