// Package frontend serves the clients' connections: it accepts them, decodes their frames into requests, hands the
// requests to the event loop, and writes the responses, with one reader and one writer a connection.
//
// The package owns the listener, the connections, their timeouts and their end. The goroutine that reads a connection
// owns its end: others ask for it with RequestClose, and the reader ends the connection once nothing is under way on
// it. So a request that has arrived before the end is taken in, and one that crosses it is not reset but meets a
// half-closed connection. docs/races.md lists the races that this answers.
//
// The package does not decide where a request goes (routing), what the process may hold (admission), or the form of
// frames on the wire (clientproto).
package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"

	"cairnfront/internal/admission"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// unknownClass stands for the request class in the counters of requests that can't be decoded.
const unknownClass = "unknown"

// RequestSink takes the requests that clients send. The event loop implements it, and the goroutines that read the
// clients' connections call it, each for its own connection. Neither method may block.
type RequestSink interface {
	// RequestArrived hands over an admitted request and reports whether there was room for it. It does not wait: the
	// goroutine that reads a connection would not see its client disconnect.
	RequestArrived(r *request.Request) bool

	// RequestCancelled says that the client of a request that has arrived does not wait any more. It does not wait
	// either, and it goes before all other events.
	RequestCancelled(r *request.Request)
}

// Server accepts the clients' connections and serves them. Its exported fields are set before Serve.
type Server struct {
	ClassIndexes map[string]routing.ClassIndex // request classes by name
	Admission    *admission.Controller
	Metrics      *telemetry.Metrics
	Requests     RequestSink

	mu             sync.Mutex // guards the fields below
	listener       net.Listener
	listenerClosed bool
	conns          map[*clientConn]struct{}
}

// Serve accepts connections until the listener is closed or the context ends, then waits for the connections to end.
// It owns the goroutine of the sweeps and one for each connection, which serves it.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })() // Accept reports that it is closed
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
			// FinishDrain set the deadline. The listener closes only once no connection came until a second deadline:
			// the first one may have passed before the first accept.
			if backlogWaited {
				_ = ln.Close() // Accept reports that it is closed
			}
			backlogWaited = true
			s.limitAcceptWait()
		default:
			failures++
			s.acceptFailed(ctx, err, failures)
		}
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

// removeConn forgets a connection that has ended.
func (s *Server) removeConn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
