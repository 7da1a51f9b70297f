// Package edgecache is a cache server: it speaks the cache protocol to routers and other caches, holds chunks in memory
// over a disk cache, and fetches misses from the source that the request names.
//
// Package handler decides what is done with each request, and package diskcache what the disk stores and which copies
// are valid. This package owns the sockets, the goroutines and the event loop that carries the decisions out. It makes
// no decision of its own beyond its limits.
package edgecache

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/diskcache"
	"cairnfront/internal/edgecache/capacity"
	"cairnfront/internal/edgecache/handler"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"

	"golang.org/x/sync/errgroup"
)

const (
	eventQueue          = 4096
	tickInterval        = 20 * time.Millisecond
	idleSweepInterval   = time.Second
	ringBytes           = 16 << 10
	clientStallTimeout  = 2 * time.Second // for which a client may read nothing
	connectTimeout      = 400 * time.Millisecond
	attemptsPerUpstream = 32 // on one connection
	minBodyBudgetMB     = 32 // for bodies in transit
	minConnections      = 64
	bytesPerMB          = 1 << 20
	msPerSecond         = 1000
)

// The roles of a server that change what it does.
const (
	roleParent = "parent"
	roleOrigin = "origin"
)

// Server is a cache server. Its exported fields are set before Run.
type Server struct {
	Config    config.EdgeCache
	Telemetry *telemetry.Metrics
	Disk      *diskcache.Cache // nil for none
	Origin    Origin           // serves requests in place of the caches if not nil

	// OnRequest and OnResponse, if not nil, are called by the event loop for each request and response. The lab uses
	// them.
	OnRequest  func(cacheproto.Command)
	OnResponse func(id string, bytes int)

	classes  map[string]config.Class
	validity validityTracker
	handler  *handler.Handler
	pool     *upstream.Pool
	capacity capacity.Model
	now      func() clock.Instant

	events      chan event
	next        []event // to be handled after the one in hand; of the loop
	loopDone    chan struct{}
	lastRequest uint64
	requests    map[uint64]*openRequest
	attempts    map[uint64]*upstream.Attempt // by fill

	connections     atomic.Int64
	needFullListing atomic.Bool // the endpoint list has not been received yet
}

// Run serves on a listener until the context ends, then gives open requests the drain timeout. It owns all
// goroutines of the server but those that read the disk for one request (see perform), and returns when they have
// ended.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.init()
	// Shutdown goes in steps: the listener first, then open requests, then the rest.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	s.pool.Start(serving)
	diskDone := s.runDisk(serving)
	g.Go(func() error { return s.loop(serving) })
	if s.Config.DiscoveryAddress != "" {
		client := &discovery.Client{
			Address:       s.Config.DiscoveryAddress,
			Telemetry:     s.Telemetry,
			OnRawEvent:    s.handleDiscoveryEvent,
			StartRevision: s.startRevision,
		}
		g.Go(func() error { return client.Run(serving) })
	}
	var clients sync.WaitGroup
	clients.Go(func() { s.accept(serving, ln, &clients) })
	s.Telemetry.Log.Info("serving",
		"address", ln.Addr().String(),
		"endpoint", s.Config.ID,
		"role", s.Config.Role)
	select {
	case <-ctx.Done():
	case <-serving.Done():
	}
	_ = ln.Close() // it may be closed already
	s.drain(serving)
	stop()
	clients.Wait()
	return errors.Join(g.Wait(), s.pool.Wait(), <-diskDone)
}

func (s *Server) init() {
	s.now = clock.Now
	s.classes = map[string]config.Class{}
	for _, class := range s.Config.Classes {
		s.classes[class.Name] = class
	}
	s.events = make(chan event, eventQueue)
	s.loopDone = make(chan struct{})
	s.requests = map[uint64]*openRequest{}
	s.attempts = map[uint64]*upstream.Attempt{}
	s.validity = newMemoryTracker(s.now)
	if s.Disk != nil {
		s.validity = s.Disk
	}
	s.needFullListing.Store(true)
	s.capacity = newCapacityModel(s.Config, s.now().Seconds())
	s.handler = handler.New(s, handler.Limits{
		MemoryBytes:        int64(s.Config.MemoryMB * bytesPerMB),
		MaxFills:           s.Config.MaxFetches,
		FillTimeoutSeconds: float64(s.Config.FetchTimeout),
	})
	s.pool = &upstream.Pool{
		Admission: admission.New(
			max(int(s.Config.MemoryMB), minBodyBudgetMB),
			max(s.Config.MaxConnections, minConnections),
		),
		Metrics:                  s.Telemetry,
		OnEvent:                  func(ev upstream.Event) { s.post(upstreamEvent{ev}) },
		ConnectTimeout:           connectTimeout,
		EndpointIdleTimeout:      s.Config.IdleTimeout.Duration(),
		MaxAttemptsPerConnection: attemptsPerUpstream,
	}
}

func newCapacityModel(c config.EdgeCache, startedAt float64) capacity.Model {
	return capacity.Model{
		StartedAt: startedAt,
		Params: capacity.Params{
			Cores:          c.Capacity.Cores,
			WorkSeconds:    c.Capacity.WorkMS / msPerSecond,
			LinkKBps:       c.Capacity.LinkKBPerSecond,
			LatencySeconds: c.Capacity.LatencyMS / msPerSecond,
			ColdShare:      c.Capacity.ColdShare,
			ColdSeconds:    c.Capacity.ColdSeconds,
		},
	}
}

// runDisk runs the disk cache, if there is one, and returns the channel of its result. Run owns the goroutine and waits
// for that result.
func (s *Server) runDisk(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if s.Disk == nil {
		done <- nil
		return done
	}
	go func() { done <- s.Disk.Run(ctx) }()
	return done
}

// drain waits until no request is open, up to the drain timeout.
func (s *Server) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Config.DrainTimeout.Duration())
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		query := openRequestsQuery{reply: make(chan int, 1)}
		s.post(query)
		select {
		case <-ctx.Done():
			return
		case open := <-query.reply:
			if open == 0 {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
