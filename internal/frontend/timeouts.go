package frontend

import (
	"context"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// Timeouts of a connection. Clients close theirs after 4 s with nothing open. A connection on which no complete frame
// comes has to end within 3 s.
const (
	sweepInterval = 200 * time.Millisecond

	idleTimeout         = 6 * time.Second         // since the last input, with nothing open
	firstFrameTimeout   = 2500 * time.Millisecond // since the accept, until the first complete frame
	partialFrameTimeout = 2 * time.Second         // since the first byte of an incomplete frame
	stalledTimeout      = time.Second             // since the socket last took output, while the body budget is short
	evictionMinIdle     = 100 * time.Millisecond  // since the last input of a connection that is evicted
)

// sweepPeriodically closes useless connections until the context ends.
func (s *Server) sweepPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sweep(clock.Now())
		}
	}
}

// sweep requests the close of connections whose timeout has passed. The reader of each decides: what has arrived by
// then is taken in. While the body budget is nearly full, sweep also closes connections that don't read their
// responses, at once: a few slow readers could hold all of the budget, and a graceful close needs a client that reads.
func (s *Server) sweep(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	memoryShort := s.Admission.BodiesNearlyFull()
	for c := range s.conns {
		if memoryShort && c.outputStalled(now) {
			c.Close(netconn.SlowReader, nil)
		} else if code := c.timeoutPassed(now); code != netconn.NoEndCode {
			c.requestClose(code, now)
		}
	}
}

// outputStalled reports whether output waits and the socket takes none.
func (c *clientConn) outputStalled(now clock.Instant) bool {
	return c.writer.hasUnwritten() && now.Sub(c.LastWrite()) > stalledTimeout
}

// timeoutPassed returns the code of the timeout that has passed on a connection, or NoEndCode. A connection with an
// open request or unwritten output has no timeout.
func (c *clientConn) timeoutPassed(now clock.Instant) netconn.EndCode {
	switch {
	case c.state() == stateActive:
		return netconn.NoEndCode
	case c.closeDue(netconn.PartialFrame, now):
		return netconn.PartialFrame
	case c.Age(now.Time()) > firstFrameTimeout && c.closeDue(netconn.NoFirstFrame, now): // also inside the first frame
		return netconn.NoFirstFrame
	case c.closeDue(netconn.IdleTimeout, now):
		return netconn.IdleTimeout
	}
	return netconn.NoEndCode
}

// evict requests the close of an idle connection, so that its place goes to a new one, and reports whether there was
// one. Until the evicted connection has ended both places are taken; admission bounds how many such there are.
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
	return c.closeDue(netconn.Evicted, now) && !c.evictionRequested.Load() && c.state() == stateIdle
}

// evictBefore orders the candidates: a connection that never carried a request goes first, then the one that has been
// idle for longest.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if carried := c.carriedRequest.Load(); carried != other.carriedRequest.Load() {
		return !carried
	}
	return c.LastRead() < other.LastRead()
}
