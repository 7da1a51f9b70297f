// Package frontend serves client connections: it accepts them, decodes their frames into requests, hands the requests
// to the event loop, and writes the responses. Each connection has one reading and one writing goroutine.
//
// The package owns the listener, the connections, their timeouts and their shutdown. Only the goroutine that reads a
// connection closes it gracefully: others ask for it with RequestClose, and the reader closes the connection once no
// request is open and no output is unwritten. So a request that arrived before the close is served, and one that
// arrives during the close meets a half-closed connection instead of a reset. docs/races.md lists the races that this
// design resolves.
//
// The package does not decide where a request is sent (routing), how many connections and requests the process may have
// (admission), or the encoding of frames on the wire (clientproto).
package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// unknownClass is the class name in the counters of requests that cannot be decoded.
const unknownClass = "unknown"

// RequestSink receives the requests that clients send. The event loop implements it. The goroutines that read the
// client connections call it, each for its own connection. Neither method may block.
type RequestSink interface {
	// RequestArrived hands over an admitted request and reports whether the queue had room for it. It must not wait:
	// while it did, the goroutine that reads a connection would not notice that its client disconnects.
	RequestArrived(r *request.Request) bool

	// RequestCancelled reports that the client of a request that was handed over no longer waits for it. It must not
	// wait either, and it is processed before all other events.
	RequestCancelled(r *request.Request)
}

// Server accepts and serves client connections. Its exported fields must be set before Serve is called.
type Server struct {
	ClassIndexes map[string]routing.ClassIndex // request classes by name
	Admission    *admission.Controller
	Metrics      *telemetry.Metrics
	Requests     RequestSink

	LatencyObjectives []time.Duration // of the classes, for a request without a size
	MaxRetryAfter     time.Duration   // longest delay that a rejection asks for; 0 for none

	mu             sync.Mutex // guards the fields below
	listener       net.Listener
	listenerClosed bool
	conns          map[*clientConn]struct{}
	forceCloseAt   clock.Instant // time from which connections close with input unread; zero until BeginEnd
}

// Serve accepts connections until the listener is closed or the context is done, then waits for the connections to end.
// It starts one goroutine for the timeout sweeps and two for each connection: serveConn and the one that it starts.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })() // makes Accept return net.ErrClosed
	g.Go(func() error {
		s.sweepPeriodically(ctx)
		return nil
	})
	backlogWaited, failures := false, 0
	for {
		raw, err := ln.Accept()
		switch {
		case err == nil:
			backlogWaited, failures = false, 0
			s.admitConn(ctx, g, raw)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			s.mu.Lock()
			s.listenerClosed = true
			s.mu.Unlock()
			return g.Wait()
		case errors.Is(err, os.ErrDeadlineExceeded):
			// FinishDrain set the deadline. The listener is closed only if no connection arrives until a second
			// deadline: the first one may have passed before the first call of Accept.
			if backlogWaited {
				_ = ln.Close() // makes Accept return net.ErrClosed
			}
			backlogWaited = true
			s.limitAcceptWait()
		default:
			failures++
			s.handleAcceptError(ctx, err, failures)
		}
	}
}

// handOver hands an admitted request over to the event loop, or rejects it if the loop's queue is full.
func (s *Server) handOver(r *request.Request, w *responseWriter) {
	if !s.Requests.RequestArrived(r) {
		r.Body.Free()
		r.Done()
		w.Respond(r, w.rejection(r, request.ReasonQueueFull))
	}
}

// addConn registers a connection.
func (s *Server) addConn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*clientConn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

// removeConn unregisters a connection that has ended.
func (s *Server) removeConn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
