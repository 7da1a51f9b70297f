package frontend

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
)

// errPanic is returned by a connection's goroutine after a recovered panic.
var errPanic = errors.New("panic")

// clientConn is a client connection with its response writer and the observations of its reader.
type clientConn struct {
	*netconn.Conn
	writer    *responseWriter
	admission *admission.Controller
	share     request.Share // what the connection holds of the resources that all share

	progress frameProgress // used by the reader only

	delivered    int64         // bytes that the client's socket has accepted, as of the last sweep; used by sweep only
	stalledSince clock.Instant // first sweep since which they have not changed; zero if none; used by sweep only

	held              atomic.Bool  // the reader does not read, so that the client has to wait
	waitsUntil        atomic.Int64 // clock.Instant of the latest deadline of a request that was read
	unreadSince       atomic.Int64 // clock.Instant of the earliest input that may be unread after that; zero if none is
	firstFrameRead    atomic.Bool  // a complete frame was received
	carriedRequest    atomic.Bool  // a request was received and decoded
	finalGoAwaySent   atomic.Bool  // sendFinalGoAway was called; GOAWAY is not sent again
	evictionRequested atomic.Bool  // an eviction was requested; reset when the reader declines a close
	inputIgnored      atomic.Bool  // the process ends, and input is not read any more
	observedAt        atomic.Int64 // clock.Instant at which the condition for the last requested close was observed
}

// newConn wraps an accepted socket in a client connection.
func (s *Server) newConn(raw net.Conn) *clientConn {
	c := &clientConn{
		Conn:      netconn.New(raw, s.Admission.ClientRingBytes(), writeStallTimeout),
		writer:    newResponseWriter(s.Metrics, s.Admission),
		admission: s.Admission,
	}
	c.OnCloseRequest = c.readyToClose
	c.TellUnread = true
	c.writer.mayEnd = c.endLosesNothing
	c.writer.share = &c.share
	c.writer.handOver = func(r *request.Request) { s.handOver(r, c.writer) }
	c.writer.objectives, c.writer.maxRetryAfter = s.LatencyObjectives, s.MaxRetryAfter
	return c
}

// pauseReading records that the reader does not read until the returned function is called. Only the reader may call
// both.
func (c *clientConn) pauseReading() (resume func()) {
	c.BeginPause()
	if c.unreadSince.Load() == 0 {
		c.unreadSince.Store(int64(clock.Now()))
	}
	c.held.Store(true)
	return func() {
		c.EndPause()
		c.held.Store(false)
	}
}

// noteProgress records since when input may be unread that arrived while the reader paused. Only the reader may call
// it.
func (c *clientConn) noteProgress() {
	if c.unreadSince.Load() != 0 {
		c.unreadSince.Store(int64(c.UnreadSince()))
	}
}

// InputOverdue implements request.Client.
func (c *clientConn) InputOverdue() bool {
	since := clock.Instant(c.unreadSince.Load())
	return !since.IsZero() && clock.Now().Sub(since) > maxReadLag
}

// serveConn serves a connection until it ends. A connection that is not admitted receives an error frame and is closed.
// It reads on the calling goroutine, and starts one that writes.
func (s *Server) serveConn(ctx context.Context, raw net.Conn, admitted bool) {
	c := s.newConn(raw)
	s.Metrics.ConnectionOpened(telemetry.SideClient)
	s.addConn(c)
	if s.Admission.Draining() { // BeginDrain may have run before addConn; otherwise it sends GOAWAY to c itself
		c.sendFinalGoAway()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(ctx, func() { c.Close(netconn.Shutdown, nil) })()
	written := make(chan struct{})
	go func() {
		defer close(written)
		if s.writeConn(ctx, c) != nil {
			cancel()
		}
	}()
	_ = s.readConn(ctx, c, admitted) // the end code and its cause are stored in c
	cancel()
	<-written
	bodyMemory := c.admission.Bodies.UsedBytes()
	handedOver, taken := c.writer.close()
	for _, r := range handedOver {
		s.Requests.RequestCancelled(r)
	}
	s.removeConn(c)
	taken.BodyMemoryBytes = bodyMemory
	taken.UnreadRequests, taken.UnreadBytes = c.unreadInput()
	c.LogClientEnd(s.Metrics, telemetry.Remote{Side: telemetry.SideClient, Address: c.RemoteAddr()}, taken)
}

// readConn reads the connection until it ends, and closes it.
func (s *Server) readConn(ctx context.Context, c *clientConn, admitted bool) (err error) {
	defer s.recoverPanic(c.Conn, &err)
	reader := newFrameReader(ctx, s, c)
	if admitted {
		err = reader.readFrames() //nolint:contextcheck // the reader has the connection's context
	} else {
		err = reader.rejectRequests() //nolint:contextcheck // the reader has the connection's context
	}
	if broken := (*connectionError)(nil); errors.As(err, &broken) {
		err = c.refuseInput(broken)
	}
	if errors.Is(err, errReadyToClose) {
		c.CloseGracefully(netconn.Shutdown, nil, lingerTimeout(c.EndCode()), maxDiscardedInputBytes)
		return err
	}
	c.Close(netconn.ClassifyError(err), err)
	return err
}

// writeConn writes responses until the connection ends. After refuseInput it requests the close once all output is
// written.
func (s *Server) writeConn(ctx context.Context, c *clientConn) (err error) {
	defer s.recoverPanic(c.Conn, &err)
	err = c.writer.run(ctx, c.Conn)
	if err == nil {
		c.RequestClose(netconn.ProtocolError)
	}
	return err
}

// recoverPanic closes the connection after a panic in one of its goroutines. The process continues.
func (s *Server) recoverPanic(c *netconn.Conn, err *error) {
	if p := recover(); p != nil {
		s.Metrics.RecordPanic(telemetry.ComponentFrontend, p)
		*err = errPanic
		c.Close(netconn.Panic, nil)
	}
}
