package upstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

const (
	// writeStallTimeout is how long an endpoint may accept none of the bytes written to it. These are short lines, and
	// bodies that fit into the socket buffers.
	writeStallTimeout = time.Second

	// minResponseStall is the minimum time for which an endpoint may pause in the middle of a response. It exceeds the
	// scheduling pauses of a shared CPU core on either side.
	minResponseStall = time.Second

	// lingerTimeout and lingerBytes limit how long a connection without attempts continues to be read while it closes.
	// This avoids a reset of an endpoint that is in the middle of a late response, and releases the descriptor if the
	// endpoint is silent.
	lingerTimeout = 100 * time.Millisecond
	lingerBytes   = 1 << 20
)

var (
	// errCloseRequested ends the read loop of a connection for which readyToClose allows a requested close.
	errCloseRequested = errors.New("close requested")

	// errConnectionEnded stops the other goroutine of a connection.
	errConnectionEnded = errors.New("connection ended")
)

// readyToClose checks whether the connection may be closed now: it accepts no more attempts and has none, or the
// context is done because the pool is shutting down or the writer goroutine has ended the connection. It returns
// errCloseRequested if so. Otherwise it returns nil and sets the read deadline of silenceDeadlineLocked.
func (c *Connection) readyToClose(ctx context.Context, code netconn.EndCode) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	poolStopping := ctx.Err() != nil
	unused := !c.state.takesAttempts() && len(c.attempts) == 0
	if !poolStopping && !unused {
		c.conn.SetReadDeadline(c.silenceDeadlineLocked(c.conn.LastRead()))
		return nil
	}
	c.conn.SetEndCode(code, nil)
	return errCloseRequested
}

// run establishes the connection and serves it until it ends. Every attempt that is still open then ends.
func (c *Connection) run(ctx context.Context) {
	began := time.Now()
	socket, err := c.dial(ctx)
	if err != nil {
		c.failedToConnect(ctx, began, err)
		return
	}
	conn := netconn.New(socket, c.pool.Admission.EndpointRingBytes(), writeStallTimeout)
	conn.SetFrameTimeout(max(c.pool.ConnectTimeout, minResponseStall))
	c.serve(ctx, conn)
	c.endAttempts(conn, unsentResult(conn.EndErr()))
	conn.LogEnd(c.pool.Metrics, c.remote())
}

// remote describes the endpoint of the connection in log lines and counters.
func (c *Connection) remote() telemetry.Remote {
	return telemetry.Remote{
		Side:     telemetry.SideEndpoint,
		Endpoint: string(c.endpointID),
		Address:  c.dialedAddr(),
	}
}

// failedToConnect ends a connection that could not be established.
func (c *Connection) failedToConnect(ctx context.Context, began time.Time, cause error) {
	code, result := netconn.ConnectFailed, routing.ConnectFailed
	switch {
	case ctx.Err() != nil:
		code = netconn.Shutdown
	case netconn.IsLocalError(cause):
		code, result = netconn.ResourceLimit, routing.NotSent
	}
	conn := netconn.New(noSocket{}, 0, 0)
	conn.SetStartTime(began)
	conn.Close(code, cause)
	c.endAttempts(nil, result)
	conn.LogEnd(c.pool.Metrics, c.remote())
}

// noSocket is a placeholder for the socket of a connection that was never established.
type noSocket struct{ net.Conn }

// Close does nothing.
func (noSocket) Close() error { return nil }

// serve reads and writes until the connection has ended. It starts the reader and writer goroutines and waits for both.
func (c *Connection) serve(ctx context.Context, conn *netconn.Conn) {
	g, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conn.OnCloseRequest = func(code netconn.EndCode) error { return c.readyToClose(ctx, code) }
	// Requested closes only happen while no attempt is open, or at shutdown, so unread input can be dropped.
	conn.DiscardInput = true
	c.mu.Lock()
	c.conn = conn
	c.setStateLocked(connReady)
	c.mu.Unlock()
	stopShutdown := context.AfterFunc(ctx, func() { conn.RequestClose(netconn.Shutdown) })
	defer stopShutdown()
	g.Go(func() error {
		defer c.recoverPanic(conn, stop)
		code, err := c.readLoop(ctx, conn)
		c.countUnwritableEnd(code, err)
		switch {
		case c.hasUnwritableCancel():
			conn.Reset(code, err)
		case errors.Is(err, errCloseRequested):
			conn.CloseGracefully(netconn.Shutdown, nil, lingerTimeout, lingerBytes)
		default:
			conn.Close(code, err)
		}
		return errConnectionEnded
	})
	g.Go(func() error {
		defer c.recoverPanic(conn, stop)
		err := c.writeLoop(ctx, conn)
		if c.stopWriting(conn, err) {
			return nil // the reader goroutine continues
		}
		if ctx.Err() == nil { // otherwise the reader goroutine closes the connection
			conn.Close(netconn.ClassifyError(err), err)
		}
		return errConnectionEnded
	})
	_ = g.Wait() // conn holds the reason for the close
}

// recoverPanic closes the connection after a panic in one of its goroutines and logs the stack. It must be deferred.
func (c *Connection) recoverPanic(conn *netconn.Conn, stop context.CancelFunc) {
	if p := recover(); p != nil {
		c.pool.Metrics.RecordPanic(telemetry.ComponentUpstream, p)
		conn.Close(netconn.Panic, nil)
		stop()
	}
}

// endAttempts ends all open attempts and marks the connection as closed. Conn is nil if the connection was never
// established; all attempts then end with the given result. Otherwise only those end with it whose writing had started
// and that the socket has not accepted completely (resultAtConnectionEnd).
func (c *Connection) endAttempts(conn *netconn.Conn, unsent routing.AttemptResult) {
	c.mu.Lock()
	c.setStateLocked(connClosed)
	attempts, cancelled := c.attempts, slices.Collect(maps.Values(c.cancelled))
	c.attempts = map[string]*Attempt{}
	c.writeQueue = nil
	c.mu.Unlock()
	c.reportCancelled(cancelled)
	for _, a := range attempts {
		c.reportEnd(a, request.AttemptEnd{Result: resultAtConnectionEnd(conn, a, unsent)})
	}
	c.pool.OnEvent(ConnectionClosed{Connection: c})
}

// resultAtConnectionEnd returns the result of an attempt whose connection has ended. If nothing of the attempt was
// written, it raced with the close of an idle connection, which is not a failure of the endpoint.
//
// It guards against a request that runs twice, and against a missing retry of an attempt that cannot have run. An
// attempt whose last byte was accepted by the socket may have run. All others did not, as an endpoint never runs an
// incomplete attempt.
func resultAtConnectionEnd(conn *netconn.Conn, a *Attempt, unsent routing.AttemptResult) routing.AttemptResult {
	switch {
	case conn == nil:
		return unsent
	case !a.written:
		return routing.NotSent
	case a.endOffset <= conn.BytesWritten():
		return routing.ConnectionBroken
	}
	return unsent
}
