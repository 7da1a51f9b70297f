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
	maxQueuedEvents     = 8192  // events queued for the node's goroutine
	maxEventsPerBatch   = 256   // events handled before one disk write, so that their changes share a sync
	maxPendingRequests  = 65536 // pending requests submitted by this router
	retryInterval       = 250 * time.Millisecond
	responseTimeout     = 5 * time.Second // how long the requester of a proposed command or read is retained
	rebalanceInterval   = 500 * time.Millisecond
	advanceTimeInterval = 2 * time.Second // interval of OpAdvanceTime commands, which only advance a shard's time
	requestNumberBits   = 40              // bits by which the start count is shifted left: 2^40 request numbers per run
)

// Errors that end a request without a result.
var (
	ErrNoAnswer = errors.New("no replica of the shard answered in time")
	ErrStopped  = errors.New("replication has stopped")
)

// ErrStaleFolder reports that the folder was restored from an older copy: this replica may have
// cast a different vote since the copy was made.
var ErrStaleFolder = errors.New(
	"write-ahead log is an old copy: peers have seen a higher start count than it holds")

// Config configures a router's Node.
type Config struct {
	Name, Zone          string
	ReplicaCount        int      // replicas of each shard
	InitialMembers      []string // routers that create the shards when all of them are up at the same time
	ReplaceAfterSeconds float64  // how long a replica must be down before it is replaced
	Transport           *transport.Transport
	Disk                vfs.FS
	Logger              *slog.Logger
	Clock               func() time.Time // wall clock by which reservations expire; time.Now if nil
}

// Node replicates reservations on behalf of one router. Its exported methods are safe for
// concurrent use. submitMutex guards closed. All other fields except config, events and stopped
// are used only by the goroutine of Run.
type Node struct {
	config    Config
	wal       *wal.WAL // nil after a failed write, until the log is reopened
	identity  wal.Identity
	replicaID uint64
	startedAt time.Time // origin of the times in statuses

	startUnixSeconds float64 // wall clock reading at the start

	events  chan event
	stopped chan struct{} // closed when the goroutine of Run has ended

	submitMutex sync.RWMutex // write-locked while the node stops accepting requests
	closed      bool         // new requests are rejected

	replicas   map[int]*shard.Replica // by shard
	rebalancer *placement.Rebalancer
	rnd        *rand.Rand

	statuses           map[uint64]placement.ReplicaStatus // all known replicas, by replica ID
	lastHello          map[string]uint64                  // replica ID in the last hello frame, by peer
	startCounts        map[uint64]uint32                  // highest known number of times each replica's log was opened
	shardVoters        map[int][]uint64                   // voters of shards from the hello frames of peers, by shard
	leaderHints        map[int]uint64
	shardTimes         map[int]shardTime // by shard
	peersWithoutShards map[string]bool   // peers whose last hello frame listed no shards
	connected          map[string]bool   // by peer

	lastRequestNumber uint64
	pending           map[uint64]*pendingRequest       // requests of this router by request number
	requesters        map[responseKey]pendingRequester // requesters that wait for a local replica's response

	lastTimeAdvance time.Time
	lastOpenAttempt time.Time // last attempt to reopen the folder after a disk failure
	failure         error     // a disk failure, or an error that stops the node

	proposalCount, syncCount int64 // counters for the report
	closedLogSyncs           int64 // syncs of write-ahead logs that are closed
}

// New opens a router's folder and sets the callbacks of the transport.
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
		config:             config,
		wal:                log,
		identity:           identity,
		replicaID:          identity.ID,
		startedAt:          time.Now(),
		events:             make(chan event, maxQueuedEvents),
		stopped:            make(chan struct{}),
		replicas:           replicas,
		rebalancer:         placement.NewRebalancer(config.ReplicaCount, config.ReplaceAfterSeconds),
		rnd:                rand.New(rand.NewPCG(identity.ID, uint64(identity.StartCount))),
		statuses:           map[uint64]placement.ReplicaStatus{},
		lastHello:          map[string]uint64{},
		startCounts:        map[uint64]uint32{identity.ID: identity.StartCount},
		shardVoters:        map[int][]uint64{},
		leaderHints:        map[int]uint64{},
		shardTimes:         map[int]shardTime{},
		peersWithoutShards: map[string]bool{},
		connected:          map[string]bool{},
		lastRequestNumber:  uint64(identity.StartCount) << requestNumberBits,
		pending:            map[uint64]*pendingRequest{},
		requesters:         map[responseKey]pendingRequester{},
	}
	n.startUnixSeconds = float64(clock.UnixMillis(config.Clock())) / 1000
	n.setReplicaUp(true)
	for _, replica := range replicas {
		n.recordShardTime(replica)
	}
	config.Transport.OnFrame = func(from string, frame transport.Frame) { n.post(frameReceived{from, frame}) }
	config.Transport.OnPeerState = func(peer string, connected bool) { n.post(peerStateChanged{peer, connected}) }
	return n, nil
}

// Run runs the node until the context ends or an error makes the router's folder unusable. It owns
// the goroutine of the replicas and the goroutines of the transport, and returns after all of them
// have ended.
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

// loop handles events. After each batch it writes the replicas' pending state to disk, sends their
// messages and answers their requesters.
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

// handleBatch handles an event and the events queued after it, up to maxEventsPerBatch.
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

// secondsSinceStart returns the current time as used in statuses, from the monotonic clock.
func (n *Node) secondsSinceStart() float64 { return time.Since(n.startedAt).Seconds() }

// unixSeconds returns the current Unix time for a shard without a known time: the wall clock
// reading at the start plus the monotonic time elapsed since.
//
// If the wall clock were read again, a clock step while the node leads a shard would make
// reservations expire too early, or too late, by the size of the step.
func (n *Node) unixSeconds() float64 { return n.startUnixSeconds + n.secondsSinceStart() }

// Outcome is the result of a request, or the error that ended it.
type Outcome struct {
	Result statemachine.Result
	Err    error
}
