package frontend

import (
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// evictionMinIdle is the minimum time since the last input of a connection that is evicted. A client that has just
// received a response may already have sent its next request.
const evictionMinIdle = 100 * time.Millisecond

// evict requests the close of an idle connection to make room for a new one, and reports whether it found one.
//
// It guards against clients that hold idle connections while others are rejected, which shows as rejected connections
// at a router with little load. Only an idle connection is evicted, and its reader confirms that it is still idle.
// Until the evicted connection has ended, it and the new one both count against the limit; admission limits how many
// connections there are over the limit.
func (s *Server) evict(now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *clientConn
	for c := range s.conns {
		if c.evictable(now) && (victim == nil || c.evictBefore(victim)) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.evictionRequested.Store(true)
	victim.requestClose(netconn.Evicted, now)
	return true
}

// evictable reports whether the connection is idle, its client has taken all responses that it may still wait for, and
// no eviction of it was requested.
func (c *clientConn) evictable(now clock.Instant) bool {
	return c.activity().closeDue(netconn.Evicted, now) && !c.evictionRequested.Load() && c.state() == stateIdle &&
		(c.answersExpired(now) || c.UnacknowledgedBytes() == 0)
}

// evictBefore orders the candidates for eviction: connections on which no request was decoded first, then by the
// time since their last input, longest first.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if carried := c.carriedRequest.Load(); carried != other.carriedRequest.Load() {
		return !carried
	}
	return c.LastRead() < other.LastRead()
}
