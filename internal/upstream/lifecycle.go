package upstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

const (
	// writeStallTimeout is how long an endpoint may take nothing of what is written to it: small lines, and bodies
	// that fit the sockets' own buffers.
	writeStallTimeout = time.Second

	// minResponseStall is how long at least an endpoint may send no more of a response that it began. It is over the
	// scheduling pauses of a shared core, on either side.
	minResponseStall = time.Second

	// lingerTimeout and lingerBytes bound how long a connection without attempts is read on while it ends. An
	// endpoint in the middle of a late response is not reset, and no descriptor is held for a silent one.
	lingerTimeout = 100 * time.Millisecond
	lingerBytes   = 1 << 20
)

var (
	// errCloseRequested ends the reading of a connection that carries nothing and will not.
	errCloseRequested = errors.New("close requested")

	// errConnectionEnded ends the other goroutine of a connection.
	errConnectionEnded = errors.New("connection ended")
)

// readyToClose says whether the connection may end now: it takes no more attempts and has none, or the pool ends. It
// returns errCloseRequested where it may.
func (c *Connection) readyToClose(ctx context.Context, code netconn.EndCode) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	poolEnds := ctx.Err() != nil
	unused := !c.state.takesAttempts() && len(c.attempts) == 0
	if !poolEnds && !unused {
		c.conn.SetReadDeadline(c.silenceDeadlineLocked(c.conn.LastRead()))
		return nil
	}
	c.conn.SetEndCode(code, nil)
	return errCloseRequested
}

// run establishes the connection and serves it until it ends. Then every open attempt gets its end.
func (c *Connection) run(ctx context.Context) {
	began := time.Now()
	socket, err := c.dial(ctx)
	if err != nil {
		c.failedToConnect(ctx, began, err)
		return
	}
	conn := netconn.New(socket, admission.EndpointRingBytes, writeStallTimeout)
	conn.SetFrameTimeout(max(c.pool.ConnectTimeout, minResponseStall))
	c.serve(ctx, conn)
	c.endAttempts(conn, unsentResult(conn.EndErr()))
	conn.LogEnd(c.pool.Metrics, c.remote())
}

// remote is the connection's other end in log lines and counters.
func (c *Connection) remote() telemetry.Remote {
	return telemetry.Remote{
		Side:     telemetry.SideEndpoint,
		Endpoint: string(c.endpointID),
		Address:  c.dialedAddr(),
	}
}

// failedToConnect ends a connection that was not established.
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

// noSocket stands for the socket of a connection that was never established.
type noSocket struct{ net.Conn }

// Close does nothing.
func (noSocket) Close() error { return nil }

// serve reads and writes until the connection has ended. It owns the reading and the writing goroutine and waits for
// both.
func (c *Connection) serve(ctx context.Context, conn *netconn.Conn) {
	g, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conn.OnCloseRequest = func(code netconn.EndCode) error { return c.readyToClose(ctx, code) }
	conn.DiscardInput = true // an end is only decided while no attempt is open: no unread input is waited for
	c.mu.Lock()
	c.conn = conn
	c.moveLocked(connReady)
	c.mu.Unlock()
	stopShutdown := context.AfterFunc(ctx, func() { conn.RequestClose(netconn.Shutdown) })
	defer stopShutdown()
	g.Go(func() error {
		defer c.recoverPanic(conn, stop)
		code, err := c.readLoop(ctx, conn)
		c.countUnwritable(code, err)
		switch {
		case c.holdsUnwritableCancel():
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
			return nil // the reading goroutine goes on
		}
		if ctx.Err() == nil { // else the reading goroutine ends the connection
			conn.Close(netconn.ClassifyError(err), err)
		}
		return errConnectionEnded
	})
	_ = g.Wait() // the end is in conn
}

// recoverPanic ends the connection after a panic of one of its goroutines, and logs the stack. It has to be deferred.
func (c *Connection) recoverPanic(conn *netconn.Conn, stop context.CancelFunc) {
	if p := recover(); p != nil {
		c.pool.Metrics.RecordPanic(telemetry.ComponentUpstream, p)
		conn.Close(netconn.Panic, nil)
		stop()
	}
}

// endAttempts ends all that is open, and the connection, which is nil where it was not established. Attempts of which
// nothing is known to have been sent end with the result given.
func (c *Connection) endAttempts(conn *netconn.Conn, unsent routing.AttemptResult) {
	c.mu.Lock()
	c.moveLocked(connClosed)
	attempts, cancelled := c.attempts, slices.Collect(maps.Values(c.cancelled))
	c.attempts = map[string]*Attempt{}
	c.writeQueue = nil
	c.mu.Unlock()
	c.reportCancelled(cancelled)
	for _, a := range attempts {
		c.reportEnd(a, request.AttemptEnd{Result: resultAtEnd(conn, a, unsent)})
	}
	c.pool.OnEvent(ConnectionClosed{Connection: c})
}

// resultAtEnd returns how an attempt ends whose connection ended. One of which nothing was written crossed the end of
// an idle connection, which is no fault of the endpoint.
//
// It guards against a request that runs twice, and against one that is not retried though it cannot have run. One whose
// last byte the socket took may have run; any other did not, as an endpoint runs no attempt that is incomplete.
func resultAtEnd(conn *netconn.Conn, a *Attempt, unsent routing.AttemptResult) routing.AttemptResult {
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
