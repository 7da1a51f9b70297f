package upstream

import (
	"errors"
	"os"

	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/routing"
)

// stopsWriting says whether an error of a write leaves the other direction as it is: the endpoint reads too slowly, or
// this machine lacks what the write needs.
func stopsWriting(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || netconn.IsLocalShortage(err)
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
	return removed, true
}

// closeIfDoneLocked ends a connection that only receives once no attempt is open on it. Attempts that were cancelled
// meanwhile end with it: their cancel lines can't be written.
func (c *Connection) closeIfDoneLocked() {
	if c.state == connReceiving && len(c.attempts) == 0 {
		c.conn.RequestClose(c.conn.EndCode())
	}
}

// unsentResult returns how attempts end of which nothing is known to have been sent, by the error that ended their
// connection. A shortage of this machine is no fault of the endpoint.
func unsentResult(cause error) routing.AttemptResult {
	if netconn.IsLocalShortage(cause) {
		return routing.NotSent
	}
	return routing.ConnectFailed
}
