package replication

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/transport"
	"cairnfront/internal/replication/wal"

	"golang.org/x/sync/errgroup"
)

const (
	maxQueuedEvents      = 8192  // that wait for the node's goroutine
	maxEventsPerBatch    = 256   // handled before the disk is written, so that what comes together is synced together
	maxPendingRequests   = 65536 // of this router
	retryInterval        = 250 * time.Millisecond
	responseTimeout      = 5 * time.Second // for which a proposed command's requester is remembered
	rebalanceInterval    = 500 * time.Millisecond
	advanceTimeInterval  = 2 * time.Second // between commands that only move a shard's time on
	startCountNumberBits = 40              // by which the start count is shifted into request numbers
)

// Errors of requests.
var (
	ErrNoAnswer = errors.New("no replica of the shard answered in time")
	ErrStopped  = errors.New("replication has stopped")
)

// ErrStaleFolder says that the folder is a copy from an earlier time: this replica may have voted
// otherwise since.
var ErrStaleFolder = errors.New(
	"write-ahead log is an old copy: peers have seen a higher start count than it holds")

// Config is what an installation sets for a router's part.
type Config struct {
	Name, Zone          string
	ReplicaCount        int      // of each shard
	InitialMembers      []string // routers that begin the shards, all of which have to be up together once
	ReplaceAfterSeconds float64  // for which a replica has to be away before it is replaced
	Transport           *transport.Transport
	Disk                vfs.FS
	Logger              *slog.Logger
	Clock               func() time.Time // by which reservations expire; nil for the system's
}

// Node is one router's part. Its exported methods may be called from any goroutine. All fields but
// config, events and stopped belong to the goroutine of Run.
type Node struct {
	config    Config
	wal       *wal.WAL // nil while the disk takes no writes
	identity  wal.Identity
	replicaID uint64
	start     time.Time // zero of the times in statuses

	startUnixSeconds float64 // the wall clock's time at start

	events  chan event
	stopped chan struct{} // closed when Run's goroutine has ended

	submitting sync.RWMutex // held for writing as requests end to be taken
	ended      bool         // none is taken any more

	replicas   map[int]*shard.Replica // by shard
	rebalancer *placement.Rebalancer
	rnd        *rand.Rand

	statuses    map[uint64]placement.ReplicaStatus // of all replicas that were heard of
	lastHello   map[string]uint64                  // replica of the last hello, by peer
	startCounts map[uint64]uint32                  // how often each replica's disk was seen to be opened
	shardVoters map[int][]uint64                   // of shards that others hold, as they said
	leaderHints map[int]uint64
	shardTimes  map[int]shardTime // by shard
	emptyPeers  map[string]bool   // that said that they hold no shard
	connected   map[string]bool   // peers

	lastNumber uint64
	pending    map[uint64]*pendingRequest       // requests of this router by number
	requesters map[responseKey]pendingRequester // of commands and reads that were proposed to replicas here

	lastTimeAdvance time.Time
	lastOpening     time.Time // of the folder, after its disk has failed
	failure         error     // of the disk, or one that ends the node

	proposalCount, syncCount int64 // for the report
	earlierSyncs             int64 // of logs before the one that is open
}

// New opens a router's folder and takes over the transport's callbacks.
func New(config Config) (*Node, error) {
	log, replicas, err := openFolder(config)
	if err != nil {
		return nil, err
	}
	if config.Clock == nil {
		config.Clock = time.Now
	}
	identity := log.Identity()
	n := &Node{
		config:      config,
		wal:         log,
		identity:    identity,
		replicaID:   identity.ID,
		start:       time.Now(),
		events:      make(chan event, maxQueuedEvents),
		stopped:     make(chan struct{}),
		replicas:    replicas,
		rebalancer:  placement.NewRebalancer(config.ReplicaCount, config.ReplaceAfterSeconds),
		rnd:         rand.New(rand.NewPCG(identity.ID, uint64(identity.StartCount))),
		statuses:    map[uint64]placement.ReplicaStatus{},
		lastHello:   map[string]uint64{},
		startCounts: map[uint64]uint32{identity.ID: identity.StartCount},
		shardVoters: map[int][]uint64{},
		leaderHints: map[int]uint64{},
		shardTimes:  map[int]shardTime{},
		emptyPeers:  map[string]bool{},
		connected:   map[string]bool{},
		lastNumber:  uint64(identity.StartCount) << startCountNumberBits,
		pending:     map[uint64]*pendingRequest{},
		requesters:  map[responseKey]pendingRequester{},
	}
	n.startUnixSeconds = float64(clock.UnixMillis(config.Clock())) / 1000
	n.setUp(true)
	for _, replica := range replicas {
		n.noteShardTime(replica)
	}
	config.Transport.OnFrame = func(from string, frame transport.Frame) { n.post(frameReceived{from, frame}) }
	config.Transport.OnPeerState = func(peer string, connected bool) { n.post(peerStateChanged{peer, connected}) }
	return n, nil
}

// Run plays the router's part until the context ends or the router's folder proves to be of no use. It owns the
// goroutine of the replicas and those of the transport, and returns when they have ended.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.config.Transport.Run(ctx, listener) })
	group.Go(func() error {
		defer close(n.stopped)
		defer n.stopPending()
		defer n.closeLog()
		return n.loop(ctx)
	})
	return group.Wait()
}

// loop handles events. After each batch of them it writes, sends and answers what the replicas want.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(shard.TickSeconds * float64(time.Second)))
	defer ticker.Stop()
	rebalanceTicker := time.NewTicker(rebalanceInterval)
	defer rebalanceTicker.Stop()
	n.beginShards()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-n.events:
			n.handleBatch(event)
		case <-ticker.C:
			n.tick()
		case <-rebalanceTicker.C:
			n.maintainLedShards()
		}
		if err := n.advance(); err != nil {
			n.config.Logger.Error("replication stopped", "error", err.Error())
			return err
		}
	}
}

// handleBatch handles an event, and those that wait behind it up to a bound.
func (n *Node) handleBatch(first event) {
	n.handle(first)
	for range maxEventsPerBatch - 1 {
		select {
		case event := <-n.events:
			n.handle(event)
		default:
			return
		}
	}
}

func (n *Node) tick() {
	for _, replica := range n.replicas {
		replica.Tick()
	}
	n.retryPending()
	n.reopenFolder()
}

// secondsSinceStart is the time of the statuses.
func (n *Node) secondsSinceStart() float64 { return time.Since(n.start).Seconds() }

// unixSeconds is the time with which shards begin: that of the wall clock at the start, moved on by the monotonic one.
//
// It guards against a wall clock that is set while the node leads, which would end reservations early, or keep them, by
// as much as the clock was set.
func (n *Node) unixSeconds() float64 { return n.startUnixSeconds + n.secondsSinceStart() }

// Outcome is what became of a request.
type Outcome struct {
	Result statemachine.Result
	Err    error
}
