package upstream

import (
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// idleCloseFraction is the part of the endpoints' idle timeout after which an idle connection is closed from this
// side, so that no attempt crosses a close of theirs. Such an attempt shows as not sent or connect failed, and costs
// its request time and a retry.
const idleCloseFraction = 0.8

// idleCloseTimeout returns after which time an idle connection is closed, 0 for never.
func idleCloseTimeout(endpointIdleTimeout time.Duration) time.Duration {
	return time.Duration(idleCloseFraction * float64(endpointIdleTimeout))
}

// CloseIdle closes connections on which no attempt is open and none will be: those that were idle for too long, and
// those to an endpoint or an address that left the endpoint list.
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

// closeIfIdle closes the connection if no attempt is open on it and none was since a time.
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
	c.moveLocked(connClosing)
	c.conn.RequestClose(code)
}
