package frontend

import (
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// evictionMinIdle is the least time since the last input of a connection that is evicted. A client that has just had
// its answer may have the next request on the way.
const evictionMinIdle = 100 * time.Millisecond

// evict requests the close of an idle connection, so that its place goes to a new one, and reports whether there was
// one.
//
// It guards against clients that hold idle connections while others find no place, which shows as rejected connections
// at a router with little to do. Only an idle connection is evicted, and its reader confirms that it still is. Until
// the evicted connection has ended both places are taken; admission bounds how many such there are.
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

// evictable reports whether the connection is idle and not evicted already.
func (c *clientConn) evictable(now clock.Instant) bool {
	return c.activity().closeDue(netconn.Evicted, now) && !c.evictionRequested.Load() && c.state() == stateIdle
}

// evictBefore orders the candidates: a connection that never carried a request goes first, then the one that has been
// idle for longest.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if carried := c.carriedRequest.Load(); carried != other.carriedRequest.Load() {
		return !carried
	}
	return c.LastRead() < other.LastRead()
}
