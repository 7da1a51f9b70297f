// Package replication runs the cores of replication on virtual time: routers in zones with
// replicas on faulty disks, a network with fault scripts, and clients that reserve keys and retry
// elsewhere.
//
// The responses to clients are checked for linearizability, and at the end each reservation that was
// granted must still exist. The cores are those of the service (packages shard, wal and placement);
// connections and the node's goroutine are not simulated. All but the operations of the disks is in
// memory.
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
	maxSyncSeconds           = 0.002 // that a batch is on its way to the disk
	detectionSeconds         = 2.0   // until others have detected that a router is down or up again
	replaceAfterSeconds      = 4.0   // for which a replica has to be away before it is replaced
	rebalanceIntervalSeconds = 0.5
	// powerLossSeconds is after how long a router whose power is lost is down, wherever its disk's
	// operations stand.
	powerLossSeconds           = 0.3
	meanRequestIntervalSeconds = 0.05 // of all clients
	requestTimeoutSeconds      = 3.0
	retryIntervalSeconds       = 0.4
	keyCount                   = 24  // keys that clients ask for
	reservationLifetimeSeconds = 1e6 // so that none expires in a simulation
	clockStartUnixSeconds      = 1.7e9
	linearizabilityLimit       = 30 * time.Second // of the machine's time
	maxPostponedEvents         = 500              // that a paused router handles when it continues
	maxPowerLossOperation      = 6                // disk operations after which the power is lost
)

// Streams of random numbers from a script's seed.
const (
	schedulerStream = 0x1ed6
	electionStream  = 0x4af7
)

// Config is what is simulated. Losses of power hit in the middle of the disks' operations.
type Config struct {
	Script faults.Script
	Shards int // that are simulated; the others are empty
}

// Result is the counts and figures of a simulation.
type Result struct {
	Reservations, Reads, Answered int // requests of clients
	MachinesLost                  int // with their disks
	PowerCuts                     int
	Linearizable                  bool
	Failure                       string    // of the simulation itself, "" for none
	LatencySeconds                []float64 // of the answered requests
	ConfChanges                   int
	ReservationsLost              int // granted, and missing at the end
	ConflictingGrants             int // keys granted to two groups
	LongestLeaderlessSeconds      float64
}

// simulation is one run. All of it happens in events of the scheduler.
type simulation struct {
	scheduler  *clock.Scheduler
	config     Config
	routers    []*router
	byReplica  map[uint64]*router
	statuses   map[uint64]placement.ReplicaStatus // as all routers see them
	lastLeader map[int]float64                    // by shard, when it last had a leader

	keys        []string
	lastRequest uint64
	requests    map[uint64]*request
	history     []porcupine.Operation
	granted     map[string]string // by key, the group that it was granted to

	result *Result
	err    error // the first failure
}

// electionReader takes the place of crypto/rand's reader, from which raft draws its election
// timeouts. The process has one, so simulations take turns.
var electionReader sync.Mutex

type seededReader struct{ rnd *rand.Rand }

func (s seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rnd.Uint32())
	}
	return len(p), nil
}

// Run runs a simulation. One runs at a time in a process.
func Run(config Config) (*Result, error) {
	if err := config.Script.Validate(); err != nil {
		return nil, err
	}
	electionReader.Lock()
	defer electionReader.Unlock()
	before := crand.Reader
	crand.Reader = seededReader{rand.New(rand.NewPCG(config.Script.Seed, electionStream))}
	defer func() { crand.Reader = before }()

	s := newSimulation(config)
	if err := s.beginShards(); err != nil {
		return nil, err
	}
	s.schedule()
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
		scheduler:  clock.New(config.Script.Seed, schedulerStream, 0),
		config:     config,
		byReplica:  map[uint64]*router{},
		statuses:   map[uint64]placement.ReplicaStatus{},
		lastLeader: map[int]float64{},
		requests:   map[uint64]*request{},
		granted:    map[string]string{},
		result:     &Result{},
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

// schedule sets the first events: faults, ticks, rebalancing and clients.
func (s *simulation) schedule() {
	for _, transition := range s.config.Script.Transitions() {
		s.scheduler.At(transition.Time, func() { s.applyTransition(transition) })
	}
	for _, r := range s.routers {
		s.scheduler.After(shard.TickSeconds*s.scheduler.Rand.Float64(), func() { s.tick(r) })
		s.scheduler.After(rebalanceIntervalSeconds*s.scheduler.Rand.Float64(), func() { s.rebalance(r) })
	}
	s.scheduler.After(1, s.startRequest)
}

// beginShards begins the shards at the routers that are preferred for them.
func (s *simulation) beginShards() error {
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
			if err := s.byReplica[voter].beginShard(number, voters); err != nil {
				return err
			}
		}
	}
	return nil
}

// fail notes the first failure of the simulation itself.
func (s *simulation) fail(err error) {
	if s.err == nil {
		s.err = fmt.Errorf("at %.2f s: %w", s.scheduler.Now(), err)
	}
}

// countLostReservations counts the granted reservations that the leaders of their shards lack.
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
