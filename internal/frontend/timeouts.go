package frontend

import (
	"context"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// Timeouts of a client connection. Clients close their connections after 4 s without an open request. A connection
// without a complete frame must end within 3 s.
const (
	sweepInterval    = 200 * time.Millisecond
	maxSweepInterval = 2 * sweepInterval // a later sweep shows that the process was stopped

	trimInterval = time.Second // between two looks for buffers that are not used any more

	idleTimeout         = 6 * time.Second         // since the last input, without an open request
	firstFrameTimeout   = 2500 * time.Millisecond // from the accept to the first complete frame
	partialFrameTimeout = 2 * time.Second         // since the first byte of a partial frame

	// heldUpTimeout takes the place of idleTimeout and partialFrameTimeout on a connection that has carried requests,
	// unless client connections are near their limit: then it is idleTimeout.
	heldUpTimeout = 15 * time.Second
)

// sweepPeriodically closes connections whose timeout has passed, and drops idle buffers, until the context is done.
func (s *Server) sweepPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	last := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Now()
			s.sweepAfter(now.Sub(last), now)
			last = now
		case <-trim.C:
			s.Admission.Bodies.TrimIdle()
		}
	}
}

// sweepAfter sweeps, unless it comes much later than it should.
//
// It guards against connections that are ended for the time in which this process stood still.
func (s *Server) sweepAfter(interval time.Duration, now clock.Instant) {
	if interval <= maxSweepInterval {
		s.sweep(now)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stalledSince = 0
	}
}

// sweep requests the close of connections whose timeout has passed. The reader of each connection confirms the close
// after it has processed the input that arrived by then. Connections that do not read their responses are closed
// immediately, once that loses nothing: a graceful close needs a client that reads.
func (s *Server) sweep(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	memoryShort := s.Admission.BodiesNearlyFull()
	for c := range s.conns {
		c.writer.releaseOverdue(now)
		if cause := c.handleStall(now, memoryShort); cause != nil {
			c.Close(netconn.SlowReader, cause)
		} else if code := c.timeoutPassed(now); code != netconn.NoEndCode {
			c.requestClose(code, now)
		}
	}
}

// timeoutPassed returns the end code of the timeout that has passed on a connection, or NoEndCode if none has. A
// connection with an open request or unwritten output has no timeout.
func (c *clientConn) timeoutPassed(now clock.Instant) netconn.EndCode {
	if c.state() == stateActive {
		return netconn.NoEndCode
	}
	seen := c.activity()
	switch {
	case seen.closeDue(netconn.PartialFrame, now):
		return netconn.PartialFrame
	case c.Age(now.Time()) > firstFrameTimeout && seen.closeDue(netconn.NoFirstFrame, now): // even if partly received
		return netconn.NoFirstFrame
	case seen.closeDue(netconn.IdleTimeout, now):
		return netconn.IdleTimeout
	}
	return netconn.NoEndCode
}

// activity is the activity on a connection that its timeouts depend on.
type activity struct {
	frameStart     clock.Instant // start of the current partial frame; zero if none
	lastRead       clock.Instant // time of the last input, or of the accept
	firstFrameRead bool          // a complete frame was received
	carriedRequest bool          // a request was received and decoded
	nearLimit      bool          // the process has few places for further connections
}

// activity returns the activity that the reader has observed so far.
func (c *clientConn) activity() activity {
	return activity{
		frameStart:     c.FrameStart(),
		lastRead:       c.LastRead(),
		firstFrameRead: c.firstFrameRead.Load(),
		carriedRequest: c.carriedRequest.Load(),
		nearLimit:      c.admission.ClientsNearLimit(),
	}
}

// closeDue reports whether the condition for closing the connection with a code holds at a time.
//
// It is evaluated twice: when the close is requested, and by the reader after it has processed the input that arrived
// by then. Without the second check, a request that arrives while an idle connection is being closed would be lost, and
// its client would see the connection end without a response.
func (a activity) closeDue(code netconn.EndCode, at clock.Instant) bool {
	switch code { //nolint:exhaustive // any other code needs no condition
	case netconn.PartialFrame:
		return a.frameOverdue(at)
	case netconn.NoFirstFrame:
		return !a.firstFrameRead
	case netconn.IdleTimeout:
		return a.idleFor(a.silenceTimeout(), at)
	case netconn.Evicted:
		return a.idleFor(evictionMinIdle, at)
	case netconn.Shutdown: // wait for the rest of a request that has begun to arrive
		return a.frameStart.IsZero() || a.frameOverdue(at)
	}
	return true
}

// silenceTimeout returns for how long a client may send nothing.
//
// It guards against requests that are lost with the connection, as the network holds them up: they count as taken once
// they are written. A client that has nothing to send closes the connection itself.
func (a activity) silenceTimeout() time.Duration {
	if a.carriedRequest && !a.nearLimit {
		return heldUpTimeout
	}
	return idleTimeout
}

// frameOverdue reports whether a frame began and was not completed within its timeout.
func (a activity) frameOverdue(at clock.Instant) bool {
	timeout := partialFrameTimeout
	if a.carriedRequest {
		timeout = a.silenceTimeout()
	}
	return !a.frameStart.IsZero() && at.Sub(a.frameStart) > timeout
}

// idleFor reports whether no frame has begun and no input was received for longer than the timeout.
func (a activity) idleFor(timeout time.Duration, at clock.Instant) bool {
	return a.frameStart.IsZero() && at.Sub(a.lastRead) > timeout
}
