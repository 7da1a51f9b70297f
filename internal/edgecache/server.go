// Package edgecache implements a cache server. The server speaks the cache protocol with routers and other caches,
// caches chunks in memory and on disk, and fetches misses from the source that the request names, or from the default
// source of a parent cache if the request names none.
//
// Package handler decides how to handle each request to a cache. Package diskcache decides what is stored on disk and
// which copies are valid. This package owns the sockets, the goroutines and the event loop that executes these
// decisions. Apart from that, it enforces its limits, passes the requests to the origin instead of the handler if there
// is an origin, and determines the event after which the discovery service is to resume.
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
	eventQueueLength         = 4096
	tickInterval             = 20 * time.Millisecond
	idleSweepInterval        = time.Second
	ringBufferBytes          = 16 << 10
	clientStallTimeout       = 2 * time.Second // a client that reads nothing for this long is disconnected
	connectTimeout           = 400 * time.Millisecond
	maxAttemptsPerConnection = 32 // open at the same time on one upstream connection
	minBodyBudgetMB          = 32 // memory for request and response bodies in transit
	minConnections           = 64
	bytesPerMB               = 1 << 20
	msPerSecond              = 1000
)

// The configured roles that change a server's behavior.
const (
	roleParent = "parent"
	roleOrigin = "origin"
)

// Server is a cache server. Its exported fields must be set before Run is called.
type Server struct {
	Config    config.EdgeCache
	Telemetry *telemetry.Metrics
	Disk      *diskcache.Cache // nil without a disk cache
	Origin    Origin           // if not nil, serves all requests instead of the caches

	// OnRequest and OnResponse, if not nil, are called by the event loop for each request and each response. The lab
	// uses them to observe the server.
	OnRequest  func(cacheproto.Command)
	OnResponse func(id string, bytes int)

	classes  map[string]config.Class
	validity validityTracker
	handler  *handler.Handler
	pool     *upstream.Pool
	capacity capacity.Model
	now      func() clock.Instant

	events            chan event
	deferred          []event // handled after the current event; owned by the event loop
	loopDone          chan struct{}
	lastRequestNumber uint64
	requests          map[uint64]*openRequest
	attempts          map[uint64]*upstream.Attempt // by fill id

	connections          atomic.Int64
	unwritten            atomic.Int64 // responses that the sockets of their clients have not accepted
	needEndpointSnapshot atomic.Bool  // the complete endpoint list has not been received yet
}

// Run serves connections from a listener until the context ends, then waits up to the drain timeout for open requests
// to complete. It waits for all goroutines of the server before it returns, except for those that each read one chunk
// from the disk (see perform).
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.init()
	// Shutdown has three steps: close the listener, drain open requests, then stop all other goroutines.
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
	_ = ln.Close() // fails if the listener is already closed
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
	s.events = make(chan event, eventQueueLength)
	s.loopDone = make(chan struct{})
	s.requests = map[uint64]*openRequest{}
	s.attempts = map[uint64]*upstream.Attempt{}
	s.validity = newMemoryTracker(s.now)
	if s.Disk != nil {
		s.validity = s.Disk
	}
	s.needEndpointSnapshot.Store(true)
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
		MaxAttemptsPerConnection: maxAttemptsPerConnection,
	}
}

func newCapacityModel(c config.EdgeCache, startedAt float64) capacity.Model {
	return capacity.Model{
		StartedAt: startedAt,
		Params: capacity.Params{
			Cores:            c.Capacity.Cores,
			WorkSeconds:      c.Capacity.WorkMS / msPerSecond,
			LinkKBps:         c.Capacity.LinkKBPerSecond,
			LatencySeconds:   c.Capacity.LatencyMS / msPerSecond,
			InitialCoreShare: c.Capacity.ColdShare,
			WarmUpSeconds:    c.Capacity.ColdSeconds,
		},
	}
}

// runDisk runs the disk cache, if there is one, in a goroutine and returns a channel that receives its result. Run
// waits for that result.
func (s *Server) runDisk(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if s.Disk == nil {
		done <- nil
		return done
	}
	go func() { done <- s.Disk.Run(ctx) }()
	return done
}

// drain waits until no request is open and all responses are written, but not longer than the drain timeout.
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
