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

// Node is one router in the group. Its methods may be called from any goroutine.
type Node struct {
	// ProbeEventLoop asks the router's event loop to call done. OnDoubt receives how much an endpoint's health is
	// doubted, and for how many seconds. Both are set before Run and called from goroutines of the node.
	ProbeEventLoop func(done func())
	OnDoubt        func(endpoint routing.EndpointID, level, seconds float64)

	config  Config // its roster is the one followed at present
	metrics *telemetry.Metrics
	created time.Time
	self    swim.MemberID
	conn    *net.UDPConn

	received         chan []byte
	attempts         chan attemptEnd
	requests         chan request
	eventLoopAnswers chan struct{}
	stopped          chan struct{} // closed when Run returns

	// What follows belongs to the goroutine of runCores.
	codec             *datagram.Codec
	view              *swim.Core
	partition         *partition.Tracker
	observations      *observation.Tracker
	sendLimiter       *ratelimit.Limiter
	locations         []location // by member
	eventLoopProbedAt time.Time  // zero while no probe is unanswered
	silent            bool       // another process has our name; nothing is sent any more
	detectionTimes    *hdrhistogram.Histogram
	receivedTotal     traffic
	sentTotal         traffic
	sendsDropped      int64
}

// attemptEnd is how an attempt at an endpoint ended.
type attemptEnd struct {
	endpoint routing.EndpointID
	health   observation.Health
}

// New opens the node's socket. Nothing is sent before Run.
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
		received:         make(chan []byte, receiveQueue),
		attempts:         make(chan attemptEnd, attemptQueue),
		requests:         make(chan request, requestQueue),
		eventLoopAnswers: make(chan struct{}, 1),
		stopped:          make(chan struct{}),
		codec:            codec,
		view:             swim.New(swimConfig, id, hashes, config.Seed, start, newInstanceID(), 0),
		partition:        partition.New(config.MaxByzantine, 0),
		observations:     observation.New(id, config.Zone, config.MaxByzantine, start),
		sendLimiter:      ratelimit.New(config.SendLimits),
		detectionTimes:   hdrhistogram.New(1, longestDetection, detectionDigits),
	}
	n.growLocations(config.Roster)
	return n, nil
}

// startMillis is the incarnation of this start: the wall clock, which the lab may shift.
func startMillis() uint64 {
	wall := time.Now()
	if offset, err := strconv.ParseFloat(os.Getenv(ClockOffsetVariable), 64); err == nil {
		wall = wall.Add(time.Duration(offset * float64(time.Second)))
	}
	return uint64(clock.UnixMillis(wall))
}

// newInstanceID draws a number by which this process differs from others of the same name.
func newInstanceID() uint64 {
	const pidShift = 44 // above the bits of the clock that differ between two starts
	return uint64(clock.Now()) ^ uint64(os.Getpid())<<pidShift
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.conn.LocalAddr().String() }

// now is the node's clock: seconds since it was made, monotonic.
func (n *Node) now() float64 { return time.Since(n.created).Seconds() }

// ReportAttempt reports how an attempt at an endpoint ended. It never waits.
func (n *Node) ReportAttempt(endpoint routing.EndpointID, health observation.Health) {
	select {
	case n.attempts <- attemptEnd{endpoint: endpoint, health: health}:
	default:
		n.metrics.Inc(telemetry.PeerAttemptsDropped)
	}
}

// Run takes part in the group until the context ends; then the node leaves. It owns the node's goroutines and returns
// when they have ended.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return n.conn.SetReadDeadline(time.Unix(1, 0)) // ends the pending read
	})
	g.Go(func() error { return n.receive(ctx) })
	g.Go(func() error { return n.runCores(ctx) })
	err := g.Wait()
	return errors.Join(err, n.conn.Close())
}

// runCores is the goroutine that owns the cores.
func (n *Node) runCores(ctx context.Context) error {
	deadline := time.NewTimer(0)
	expire := time.NewTicker(expireEach)
	probe := time.NewTicker(eventLoopProbeEach)
	defer deadline.Stop()
	defer expire.Stop()
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			n.recovering(n.leave)
			return nil
		case raw := <-n.received:
			n.recovering(func() { n.handleDatagram(raw) })
		case end := <-n.attempts:
			n.recovering(func() { n.handleAttemptEnd(end) })
		case r := <-n.requests:
			n.recovering(func() { n.handleRequest(r) })
		case <-probe.C:
			n.recovering(n.probeEventLoop)
		case <-n.eventLoopAnswers:
			n.recovering(n.eventLoopAnswered)
		case <-expire.C:
			n.recovering(n.expireObservations)
		case <-deadline.C:
			n.recovering(n.tick)
		}
		deadline.Reset(n.untilDeadline())
	}
}

// recovering calls f and logs a panic: neither it nor its cause ends the process.
func (n *Node) recovering(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.metrics.RecordPanic(telemetry.ComponentMembership, p)
		}
	}()
	f()
}
