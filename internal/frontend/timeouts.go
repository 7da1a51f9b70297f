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
	if c.state() == stateActive {
		return netconn.NoEndCode
	}
	seen := c.activity()
	switch {
	case seen.closeDue(netconn.PartialFrame, now):
		return netconn.PartialFrame
	case c.Age(now.Time()) > firstFrameTimeout && seen.closeDue(netconn.NoFirstFrame, now): // also inside that frame
		return netconn.NoFirstFrame
	case seen.closeDue(netconn.IdleTimeout, now):
		return netconn.IdleTimeout
	}
	return netconn.NoEndCode
}

// activity is what the timeouts of a connection go by.
type activity struct {
	frameStart     clock.Instant // when the first byte of an incomplete frame came, zero for none
	lastRead       clock.Instant // when input last came, or the accept
	firstFrameRead bool          // a complete frame has come
}

// activity returns what the reader has seen so far.
func (c *clientConn) activity() activity {
	return activity{
		frameStart:     c.FrameStart(),
		lastRead:       c.LastRead(),
		firstFrameRead: c.firstFrameRead.Load(),
	}
}

// closeDue reports whether what asks for a close with the code holds, as of a time.
//
// It is asked twice: where the close is requested, and by the reader once it has taken in what had arrived by then. A
// request that crosses the close of an idle connection would else be lost, which shows as a client whose request is
// answered by the end of its connection.
func (a activity) closeDue(code netconn.EndCode, at clock.Instant) bool {
	switch code { //nolint:exhaustive // a close for any other reason holds at all times
	case netconn.PartialFrame:
		return a.frameOverdue(at)
	case netconn.NoFirstFrame:
		return !a.firstFrameRead
	case netconn.IdleTimeout:
		return a.idleFor(idleTimeout, at)
	case netconn.Evicted:
		return a.idleFor(evictionMinIdle, at)
	case netconn.Shutdown: // a request that has begun to arrive is waited for
		return a.frameStart.IsZero() || a.frameOverdue(at)
	}
	return true
}

// frameOverdue reports whether a frame was begun and not completed in time.
func (a activity) frameOverdue(at clock.Instant) bool {
	return !a.frameStart.IsZero() && at.Sub(a.frameStart) > partialFrameTimeout
}

// idleFor reports whether no frame has begun and no input came for longer than a time.
func (a activity) idleFor(longest time.Duration, at clock.Instant) bool {
	return a.frameStart.IsZero() && at.Sub(a.lastRead) > longest
}
