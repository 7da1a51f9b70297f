package membership

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/partition"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// Node is one router in the cluster. Its methods are safe for concurrent use.
type Node struct {
	// ProbeEventLoop schedules a call of done on the router's event loop. OnDoubt receives the level of doubt about
	// an endpoint's health and its duration in seconds. Both must be set before Run, and are called from goroutines
	// of the node.
	ProbeEventLoop func(done func())
	OnDoubt        func(endpoint routing.EndpointID, level, seconds float64)

	config  Config // Roster is the current roster
	metrics *telemetry.Metrics
	created time.Time
	self    swim.MemberID
	conn    *net.UDPConn

	received         chan []byte
	attempts         chan attemptOutcome
	requests         chan request
	eventLoopAnswers chan struct{}
	stopped          chan struct{} // closed when Run returns

	// The following fields may only be accessed by the goroutine of runCores.
	codec             *datagram.Codec
	view              *swim.Core
	partition         *partition.Tracker
	observations      *observation.Tracker
	sendLimiter       *ratelimit.Limiter
	locations         []location // indexed by member ID
	eventLoopProbedAt time.Time  // time of the unanswered probe; zero if there is none
	hasNameConflict   bool       // another process uses this router's name; nothing is sent any more
	detectionTimes    *hdrhistogram.Histogram
	receivedTotal     traffic
	sentTotal         traffic
	sendsDropped      int64
}

// attemptOutcome is the outcome of an attempt at an endpoint.
type attemptOutcome struct {
	endpoint routing.EndpointID
	health   observation.Health
}

// New creates a node and opens its socket. Nothing is sent before Run.
func New(config Config, metrics *telemetry.Metrics) (*Node, error) {
	self := slices.IndexFunc(config.Roster, func(entry RosterEntry) bool { return entry.Name == config.Name })
	if self < 0 {
		return nil, fmt.Errorf("peers.roster: %w: %q", ErrNotInRoster, config.Name)
	}
	conn, err := listen(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	if config.Advertise == "" {
		config.Advertise = conn.LocalAddr().String()
	}
	id := swim.MemberID(self)
	codec, err := datagram.New(id, config.Key, config.Advertise, config.Zone, identitiesOf(config.Roster))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", errors.Join(err, conn.Close()))
	}
	start := startMillis()
	hashes := nameHashesOf(config.Roster)
	swimConfig := swim.Config{MaxByzantine: config.MaxByzantine}
	n := &Node{
		config:           config,
		metrics:          metrics,
		created:          time.Now(),
		self:             id,
		conn:             conn,
		received:         make(chan []byte, receiveQueueCapacity),
		attempts:         make(chan attemptOutcome, attemptQueueCapacity),
		requests:         make(chan request, requestQueueCapacity),
		eventLoopAnswers: make(chan struct{}, 1),
		stopped:          make(chan struct{}),
		codec:            codec,
		view:             swim.New(swimConfig, id, hashes, config.Seed, start, newInstanceID(), 0),
		partition:        partition.New(config.MaxByzantine, 0),
		observations:     observation.New(id, config.Zone, config.MaxByzantine, start),
		sendLimiter:      ratelimit.New(config.SendLimits),
		detectionTimes:   hdrhistogram.New(1, maxDetectionMillis, detectionSignificantDigits),
	}
	n.growLocations(config.Roster)
	return n, nil
}

// startMillis returns the start time of this process for its incarnation: the wall clock, which the lab may shift.
func startMillis() uint64 {
	wall := time.Now()
	if offset, err := strconv.ParseFloat(os.Getenv(ClockOffsetVariable), 64); err == nil {
		wall = wall.Add(time.Duration(offset * float64(time.Second)))
	}
	return uint64(clock.UnixMillis(wall))
}

// newInstanceID returns a number that distinguishes this process from others with the same name.
func newInstanceID() uint64 {
	const pidShift = 44 // places the process ID above the clock bits that differ between two starts
	return uint64(clock.Now()) ^ uint64(os.Getpid())<<pidShift
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.conn.LocalAddr().String() }

// now returns the time of the node's monotonic clock: seconds since the node was created.
func (n *Node) now() float64 { return time.Since(n.created).Seconds() }

// ReportAttempt reports the outcome of an attempt at an endpoint. It never blocks.
func (n *Node) ReportAttempt(endpoint routing.EndpointID, health observation.Health) {
	select {
	case n.attempts <- attemptOutcome{endpoint: endpoint, health: health}:
	default:
		n.metrics.Inc(telemetry.PeerAttemptsDropped)
	}
}

// Run participates in the cluster until the context is cancelled, and then leaves it. It starts the node's goroutines
// and returns when they have ended, except for one that sends a probe to the event loop (see probeEventLoop).
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return n.conn.SetReadDeadline(time.Unix(1, 0)) // unblocks the pending read
	})
	g.Go(func() error { return n.receive(ctx) })
	g.Go(func() error { return n.runCores(ctx) })
	err := g.Wait()
	return errors.Join(err, n.conn.Close())
}

// runCores runs the event loop that owns the cores.
func (n *Node) runCores(ctx context.Context) error {
	deadline := time.NewTimer(0)
	expire := time.NewTicker(expireInterval)
	probe := time.NewTicker(eventLoopProbeInterval)
	defer deadline.Stop()
	defer expire.Stop()
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			n.withRecovery(n.leave)
			return nil
		case raw := <-n.received:
			n.withRecovery(func() { n.handleDatagram(raw) })
		case outcome := <-n.attempts:
			n.withRecovery(func() { n.handleAttemptOutcome(outcome) })
		case r := <-n.requests:
			n.withRecovery(func() { n.handleRequest(r) })
		case <-probe.C:
			n.withRecovery(n.probeEventLoop)
		case <-n.eventLoopAnswers:
			n.withRecovery(n.eventLoopAnswered)
		case <-expire.C:
			n.withRecovery(n.expireObservations)
		case <-deadline.C:
			n.withRecovery(n.tick)
		}
		deadline.Reset(n.untilDeadline())
	}
}

// withRecovery calls f and logs a panic in it, so that the panic does not end the process.
func (n *Node) withRecovery(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.metrics.RecordPanic(telemetry.ComponentMembership, p)
		}
	}()
	f()
}
