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

// stopsWriting says whether an error of a write leaves the other direction as it is: the endpoint reads too slowly, or
// this machine lacks what the write needs.
func stopsWriting(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || netconn.IsLocalError(err)
}

// stopWriting ends the writing side of a connection for an error, and says whether the connection goes on for the
// attempts that the socket has taken completely. All others end: they cannot run any more.
//
// It guards against attempts that end because of another one on their connection. That shows as requests that fail
// though their endpoint answers them, and must not be repeated.
func (c *Connection) stopWriting(conn *netconn.Conn, cause error) bool {
	if !stopsWriting(cause) || conn.IsClosed() {
		return false
	}
	conn.SetEndCode(netconn.ClassifyError(cause), cause)
	unsent := unsentResult(cause)
	ended, goesOn := c.removeUntaken(conn, unsent)
	for _, a := range ended {
		c.reportEnd(a, request.AttemptEnd{Result: resultAtEnd(conn, a, unsent)})
	}
	return goesOn
}

// removeUntaken takes the attempts off the connection that the socket has not taken completely, and everything that
// waits to be written. It does so where others are left, which it reports; else the connection's end ends them all.
func (c *Connection) removeUntaken(
	conn *netconn.Conn,
	unsent routing.AttemptResult,
) (removed []*Attempt, othersLeft bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if resultAtEnd(conn, a, unsent) != routing.ConnectionBroken {
			removed = append(removed, a)
		}
	}
	if len(removed) == len(c.attempts) || !c.moveLocked(connReceiving) {
		return nil, false
	}
	for _, a := range removed {
		delete(c.attempts, a.id)
	}
	c.writeQueue = nil
	if len(c.cancelled) > 0 {
		c.noteUnwritableCancelLocked(clock.Now())
	}
	return removed, true
}

// noteUnwritableCancelLocked notes that an attempt was cancelled whose cancel can't be written. The reading goroutine
// then waits for input for the connect timeout at the most.
//
// It guards against an endpoint that hangs and holds a retry back until the deadlines of the other attempts on its
// connection. That shows as requests that could go on elsewhere and time out. The others end with the connection: one
// that must not run twice is not retried.
func (c *Connection) noteUnwritableCancelLocked(now clock.Instant) {
	if c.unwritableSince.IsZero() {
		c.unwritableSince = now
	}
	c.conn.RequestClose(c.conn.EndCode()) // interrupts the read, so that its deadline is set
}

// silenceDeadlineLocked returns by when input has to come on a connection on which a cancel can't be written and input
// last came at a time; zero where there is no such cancel.
func (c *Connection) silenceDeadlineLocked(lastRead clock.Instant) time.Time {
	if c.unwritableSince.IsZero() {
		return time.Time{}
	}
	return max(c.unwritableSince, lastRead).Add(c.pool.ConnectTimeout).Time()
}

// boundSilence sets by when the next response has to begin. It is for the reading goroutine, which has just taken the
// one before.
func (c *Connection) boundSilence(conn *netconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetReadDeadline(c.silenceDeadlineLocked(clock.Now()))
}

// holdsUnwritableCancel says whether the connection has an attempt whose cancel can't be written. Only its end then
// shows the endpoint that the attempt is given up.
//
// It guards against attempts that were given up and that the system still sends once the endpoint reads again. They
// would run beside their retries, or after the final answer.
func (c *Connection) holdsUnwritableCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unwritableSince.IsZero()
}

// endByLateResponse ends an attempt that was cancelled and whose cancel can't be written, as the endpoint is done with
// it.
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

// closeIfDoneLocked ends a connection that only receives once no attempt is open on it. Attempts that were cancelled
// meanwhile end with it: their cancel lines can't be written.
func (c *Connection) closeIfDoneLocked() {
	if c.state == connReceiving && len(c.attempts) == 0 {
		c.conn.RequestClose(c.conn.EndCode())
	}
}

// unwritableEnd is how a connection ends on which nothing can be written any more, a label of its counter.
type unwritableEnd string

// The ends of such connections.
const (
	unwritableAnswered unwritableEnd = "answered" // each attempt on it had its end
	unwritableSilent   unwritableEnd = "silent"   // it held back an attempt that was cancelled, and nothing came
	unwritableFailed   unwritableEnd = "failed"   // the other side ended it, or its input broke the protocol
)

// String returns the label.
func (e unwritableEnd) String() string { return string(e) }

// countUnwritable counts the end of a connection on which nothing can be written any more, by what ended its reading.
func (c *Connection) countUnwritable(code netconn.EndCode, err error) {
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

// unsentResult returns how attempts end of which nothing is known to have been sent, by the error that ended their
// connection. A shortage of this machine is no fault of the endpoint.
func unsentResult(cause error) routing.AttemptResult {
	if netconn.IsLocalError(cause) {
		return routing.NotSent
	}
	return routing.ConnectFailed
}
