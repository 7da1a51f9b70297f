package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

	"golang.org/x/sync/errgroup"
)

// Bounds of a graceful close: how long, and for how many bytes, the client's input is read and dropped after the
// half-close, so that the last output reaches a client that still sends.
const (
	gracefulCloseTimeout = 500 * time.Millisecond
	evictionCloseTimeout = 50 * time.Millisecond // shorter, as the place is needed; a crossing request comes by then
	discardedInputBytes  = 2 << 20

	// refusedReadTimeout is how long requests are read, and rejected, on a connection that is not admitted.
	refusedReadTimeout = 100 * time.Millisecond

	// finalWriteTimeout is how long a connection waits for its last output at the end of the process.
	finalWriteTimeout = 100 * time.Millisecond
	finalWritePoll    = time.Millisecond
)

// connState is what goes on on a client's connection. It is derived from the connection's reader and writer, so it may
// be outdated at once for everyone but the reader. A close that was requested because of it is confirmed by the reader
// (readyToClose).
type connState uint8

// The states of a client's connection.
const (
	// stateIdle: no request is open, all output is written, and no frame has begun. The timeouts are idleTimeout, and
	// firstFrameTimeout until the first complete frame. It is the only state in which a connection is evicted.
	stateIdle connState = iota

	// statePartialFrame: as stateIdle, but the first bytes of a frame have come. The timeout is partialFrameTimeout.
	statePartialFrame

	// stateActive: a request is open, or output is not wholly written. The only timeout is stalledTimeout, while the
	// body budget is nearly full.
	stateActive

	// stateClosed: the socket is closed.
	stateClosed
)

// errReadyToClose ends the reading of a connection whose close was requested and may happen.
var errReadyToClose = errors.New("connection is ready to close")

// errPanic ends a connection's goroutine after a recovered panic.
var errPanic = errors.New("panic")

// connectionError is a fault of the client after which its frames can't be followed. The text is sent to the client on
// stream 0, so it is part of the protocol.
type connectionError struct{ text string }

// Error returns the text that the client is sent.
func (e *connectionError) Error() string { return e.text }

// errTooManyConnections tells a client that the process has no place for its connection.
var errTooManyConnections = &connectionError{"too many connections"}

// clientConn is a client's connection with its response writer and what its reader has seen so far.
type clientConn struct {
	*netconn.Conn
	writer    *responseWriter
	admission *admission.Controller

	firstFrameRead    atomic.Bool  // a complete frame has come
	carriedRequest    atomic.Bool  // a request has come
	finalGoAwaySent   atomic.Bool  // GOAWAY was sent during the drain and is not repeated
	evictionRequested atomic.Bool  // a close was requested to make room, and not refused
	observedAt        atomic.Int64 // clock.Instant of the observation that led to the last requested close
}

// newConn wraps an accepted socket.
func (s *Server) newConn(raw net.Conn) *clientConn {
	c := &clientConn{
		Conn:      netconn.New(raw, admission.ClientRingBytes, writeStallTimeout),
		writer:    newResponseWriter(s.Metrics, s.Admission),
		admission: s.Admission,
	}
	c.OnCloseRequest = c.readyToClose
	return c
}

// state returns the state of the connection now.
func (c *clientConn) state() connState {
	switch {
	case c.writer.busy():
		return stateActive
	case c.IsClosed():
		return stateClosed
	case !c.FrameStart().IsZero():
		return statePartialFrame
	}
	return stateIdle
}

// requestClose asks the reader to close the connection because of what was seen of it at a time.
func (c *clientConn) requestClose(code netconn.EndCode, observedAt clock.Instant) {
	c.observedAt.Store(int64(observedAt))
	c.RequestClose(code)
}

// closeDue reports whether what asks for a close with the code holds, as of a time.
func (c *clientConn) closeDue(code netconn.EndCode, at clock.Instant) bool {
	frameStart := c.FrameStart()
	switch code {
	case netconn.PartialFrame:
		return !frameStart.IsZero() && at.Sub(frameStart) > partialFrameTimeout
	case netconn.NoFirstFrame:
		return !c.firstFrameRead.Load()
	case netconn.IdleTimeout:
		return frameStart.IsZero() && at.Sub(c.LastRead()) > idleTimeout
	case netconn.Evicted:
		return frameStart.IsZero() && at.Sub(c.LastRead()) > evictionMinIdle
	case netconn.Shutdown: // a request that has begun to arrive is waited for
		return frameStart.IsZero() || at.Sub(frameStart) > partialFrameTimeout
	}
	return true
}

// readyToClose answers a requested close: with errReadyToClose, after which nothing more is written, or nil where the
// connection goes on. The reader calls it with no input unread; what led to the request may have passed since.
func (c *clientConn) readyToClose(code netconn.EndCode) error {
	if c.admission.Ending() {
		return c.readyToEnd(code)
	}
	observedAt := clock.Instant(c.observedAt.Load())
	if !c.closeDue(code, observedAt) || !c.writer.quiesce() {
		c.evictionRequested.Store(false)
		return nil
	}
	c.SetEndCode(code, nil)
	return errReadyToClose
}

// readyToEnd answers a close that is requested because the process ends. Input may be unread, as a client that does not
// heed GOAWAY goes on sending: what comes from now on crosses the close. What was read is answered first; while it is
// not, for a short time, nothing more is read.
func (c *clientConn) readyToEnd(code netconn.EndCode) error {
	for waited := time.Duration(0); !c.writer.quiesce(); waited += finalWritePoll {
		if waited >= finalWriteTimeout {
			return nil
		}
		time.Sleep(finalWritePoll)
	}
	c.SetEndCode(code, nil)
	return errReadyToClose
}

// sendGoAway tells the client to send no new requests on the connection.
func (c *clientConn) sendGoAway() {
	c.writer.sendControl(clientproto.AppendHeader(nil, clientproto.TypeGoAway, 0, 0))
}

// sendFinalGoAway sends GOAWAY unless a call before has.
func (c *clientConn) sendFinalGoAway() {
	if c.finalGoAwaySent.CompareAndSwap(false, true) {
		c.sendGoAway()
	}
}

// serveConn serves a connection until it ends. One that is not admitted gets an error frame and is closed.
func (s *Server) serveConn(ctx context.Context, raw net.Conn, admitted bool) {
	c := s.newConn(raw)
	s.Metrics.ConnectionOpened(telemetry.SideClient)
	s.addConn(c)
	if s.Admission.Draining() { // BeginDrain came before addConn, or sees the connection
		c.sendFinalGoAway()
	}
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { c.Close(netconn.Shutdown, nil) })()
	g.Go(func() error { return s.readConn(c, admitted) })
	g.Go(func() error { return s.writeConn(ctx, c) })
	_ = g.Wait()
	for _, r := range c.writer.close(request.ConnectionEnded) {
		s.Requests.RequestCancelled(r)
	}
	s.removeConn(c)
	c.LogEnd(s.Metrics, telemetry.Remote{Side: telemetry.SideClient, Address: c.RemoteAddr()})
}

// readConn reads the connection until it ends, and ends it.
func (s *Server) readConn(c *clientConn, admitted bool) (err error) {
	defer s.recoverPanic(c.Conn, &err)
	reader := newFrameReader(s, c)
	if admitted {
		err = reader.readFrames()
	} else {
		err = reader.rejectRequests()
	}
	if broken := (*connectionError)(nil); errors.As(err, &broken) {
		err = c.refuseInput(broken)
	}
	if errors.Is(err, errReadyToClose) {
		timeout := gracefulCloseTimeout
		if c.EndCode() == netconn.Evicted {
			timeout = evictionCloseTimeout
		}
		c.CloseGracefully(netconn.Shutdown, nil, timeout, discardedInputBytes)
		return err
	}
	c.Close(netconn.ClassifyError(err), err)
	return err
}

// rejectRequests reads frames of a connection that is not admitted, for a short time, and rejects each request: what
// was read has to be answered before the connection is closed.
func (r *frameReader) rejectRequests() error {
	r.rejectAll = request.ReasonTooManyRequests
	r.conn.SetReadDeadline(time.Now().Add(refusedReadTimeout))
	err := r.readFrames()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	r.conn.SetReadDeadline(time.Time{})
	r.conn.SetEndCode(netconn.ResourceLimit, nil)
	return errTooManyConnections
}

// refuseInput tells the client of its fault. Open requests are still answered; then the writer requests the close.
// Until then input is read and dropped, so that a client that disconnects is noticed.
func (c *clientConn) refuseInput(broken *connectionError) error {
	c.SetEndCode(netconn.ProtocolError, broken)
	c.writer.sendControl(clientproto.AppendResponse(nil, 0, request.Response{
		Result:    request.Aborted,
		ErrorText: broken.text,
	}))
	c.writer.finish()
	return c.DiscardUntilClosed(discardedInputBytes)
}

// writeConn writes responses until the connection ends. After refuseInput it requests the close once all is written.
func (s *Server) writeConn(ctx context.Context, c *clientConn) (err error) {
	defer s.recoverPanic(c.Conn, &err)
	err = c.writer.run(ctx, c.Conn)
	if err == nil {
		c.RequestClose(netconn.ProtocolError)
	}
	return err
}

// recoverPanic closes the connection after a panic in one of its goroutines; the process goes on.
func (s *Server) recoverPanic(c *netconn.Conn, err *error) {
	if p := recover(); p != nil {
		s.Metrics.RecordPanic(telemetry.ComponentFrontend, p)
		*err = errPanic
		c.Close(netconn.Panic, nil)
	}
}
