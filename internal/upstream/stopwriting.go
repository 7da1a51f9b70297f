package upstream

import (
	"errors"
	"os"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// affectsOnlyWriting reports whether a write error leaves the reading side of the connection usable: the endpoint reads
// too slowly, or this machine lacks resources for the write.
func affectsOnlyWriting(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || netconn.IsLocalError(err)
}

// stopWriting ends the writing side of a connection after an error. It reports whether the connection stays open for
// the attempts that the socket has accepted completely. All other attempts end, as they can no longer run.
//
// It guards against a write error of one attempt that ends the other attempts on its connection. Requests would fail
// although their endpoint responds to them, and some must not be repeated.
func (c *Connection) stopWriting(conn *netconn.Conn, cause error) bool {
	if !affectsOnlyWriting(cause) || conn.IsClosed() {
		return false
	}
	conn.SetEndCode(netconn.ClassifyError(cause), cause)
	unsent := unsentResult(cause)
	ended, staysOpen := c.removeUnsentAttempts(conn, unsent)
	for _, a := range ended {
		c.reportEnd(a, request.AttemptEnd{Result: resultAtConnectionEnd(conn, a, unsent)})
	}
	return staysOpen
}

// removeUnsentAttempts removes the attempts that the socket has not accepted completely, and clears the write queue. It
// does so only if other attempts remain, which it reports; otherwise the end of the connection ends all attempts.
func (c *Connection) removeUnsentAttempts(
	conn *netconn.Conn,
	unsent routing.AttemptResult,
) (removed []*Attempt, othersLeft bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if resultAtConnectionEnd(conn, a, unsent) != routing.ConnectionBroken {
			removed = append(removed, a)
		}
	}
	if len(removed) == len(c.attempts) || !c.setStateLocked(connReceiving) {
		return nil, false
	}
	for _, a := range removed {
		delete(c.attempts, a.id)
	}
	c.writeQueue = nil
	if len(c.cancelled) > 0 {
		c.recordUnwritableCancelLocked(clock.Now())
	}
	return removed, true
}

// recordUnwritableCancelLocked records that an attempt was cancelled whose cancel line cannot be written. From then on
// the reader goroutine waits for input for at most the connect timeout.
//
// It guards against an endpoint that hangs and delays a retry until the deadlines of the other attempts on its
// connection: requests that could be retried at another endpoint would time out. The other attempts end with the
// connection, and those that must not run twice are not retried.
func (c *Connection) recordUnwritableCancelLocked(now clock.Instant) {
	if c.unwritableSince.IsZero() {
		c.unwritableSince = now
	}
	// This interrupts the read. While attempts are open, readyToClose declines the close and sets the new deadline.
	c.conn.RequestClose(c.conn.EndCode())
}

// silenceDeadlineLocked returns the time by which input must arrive on a connection with a cancel that cannot be
// written, given the time of the last input. It is zero if there is no such cancel.
func (c *Connection) silenceDeadlineLocked(lastRead clock.Instant) time.Time {
	if c.unwritableSince.IsZero() {
		return time.Time{}
	}
	return max(c.unwritableSince, lastRead).Add(c.pool.ConnectTimeout).Time()
}

// setSilenceDeadline sets the deadline by which the next response must start. The reader goroutine must call it right
// after it has read the previous response.
func (c *Connection) setSilenceDeadline(conn *netconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetReadDeadline(c.silenceDeadlineLocked(clock.Now()))
}

// hasUnwritableCancel reports whether the connection has a cancelled attempt whose cancel line cannot be written. Only
// a reset of the connection then shows the endpoint that the attempt is cancelled.
//
// It guards against cancelled attempts that the operating system still delivers once the endpoint resumes reading. They
// would run concurrently with their retries, or after the final response.
func (c *Connection) hasUnwritableCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unwritableSince.IsZero()
}

// endByLateResponse ends a cancelled attempt whose cancel line cannot be written, as its response shows that the
// endpoint has finished it.
func (c *Connection) endByLateResponse(id string) {
	c.mu.Lock()
	a := c.cancelled[id]
	if a == nil || c.state != connReceiving {
		c.mu.Unlock()
		return
	}
	delete(c.cancelled, id)
	if len(c.cancelled) == 0 {
		c.unwritableSince = 0
	}
	c.mu.Unlock()
	c.reportEnd(a, request.AttemptEnd{Result: a.cancelResult})
}

// closeIfDoneLocked closes a connection in state receiving as soon as no attempt is open on it. Attempts that were
// cancelled in the meantime end with the connection: their cancel lines cannot be written.
func (c *Connection) closeIfDoneLocked() {
	if c.state == connReceiving && len(c.attempts) == 0 {
		c.conn.RequestClose(c.conn.EndCode())
	}
}

// unwritableEnd is the reason for the close of a connection on which nothing more could be written. It is a label of
// the connection counter.
type unwritableEnd string

// Reasons for the close of a connection on which nothing more could be written.
const (
	unwritableAnswered unwritableEnd = "answered" // no attempt was open any more, or the pool shut down
	unwritableSilent   unwritableEnd = "silent"   // a cancelled attempt was still pending, and no input arrived in time
	unwritableFailed   unwritableEnd = "failed"   // the endpoint closed it, or its input violated the protocol
)

// String returns the metric label.
func (e unwritableEnd) String() string { return string(e) }

// countUnwritableEnd counts the close of a connection on which nothing more could be written, labelled by the error
// that ended its read loop.
func (c *Connection) countUnwritableEnd(code netconn.EndCode, err error) {
	c.mu.Lock()
	receiving := c.state == connReceiving
	c.mu.Unlock()
	if !receiving {
		return
	}
	end := unwritableFailed
	switch {
	case errors.Is(err, errCloseRequested):
		end = unwritableAnswered
	case code == netconn.Unresponsive:
		end = unwritableSilent
	}
	c.pool.Metrics.Inc(telemetry.ConnectionsUnwritable.With(end))
}

// unsentResult returns the result of attempts that are not known to have been sent, given the error that ended their
// connection. A resource shortage on this machine is not a failure of the endpoint.
func unsentResult(cause error) routing.AttemptResult {
	if netconn.IsLocalError(cause) {
		return routing.NotSent
	}
	return routing.ConnectFailed
}
