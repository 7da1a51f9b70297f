package upstream

import (
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// idleCloseFraction is the fraction of the endpoints' idle timeout after which this side closes an idle connection, so
// that no attempt races with a close by the endpoint. Such an attempt ends as not sent or connect failed, which costs
// its request time and a retry.
const idleCloseFraction = 0.8

// idleCloseTimeout returns the time after which an idle connection is closed, or 0 if it never is.
func idleCloseTimeout(endpointIdleTimeout time.Duration) time.Duration {
	return time.Duration(idleCloseFraction * float64(endpointIdleTimeout))
}

// CloseIdle closes connections that have no open attempt and will not get one: those that exceeded the idle timeout,
// and those to an endpoint or address that was removed from the endpoint list.
func (p *Pool) CloseIdle(now clock.Instant) {
	idleTimeout := idleCloseTimeout(p.EndpointIdleTimeout)
	for _, e := range p.connected {
		for _, c := range e.connections {
			switch {
			case e.removed || !p.isCurrent(e, c):
				c.closeIfIdle(netconn.EndpointRemoved, now)
			case idleTimeout > 0:
				c.closeIfIdle(netconn.IdleTimeout, now.Add(-idleTimeout))
			}
		}
	}
}

// closeIfIdle closes the connection if no attempt is open on it and none has been since the given time.
func (c *Connection) closeIfIdle(code netconn.EndCode, since clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connReady || len(c.attempts) > 0 {
		return
	}
	if c.isSilentLocked() {
		code = netconn.Unresponsive
	} else if c.lastUsed > since {
		return
	}
	c.setStateLocked(connClosing)
	c.conn.RequestClose(code)
}
