package frontend

// connState is what goes on on a client's connection. It is not stored but derived from what the connection's reader
// and writer do, so two states never hold at once, and it may be outdated at once for everyone but the reader. A close
// that was requested because of it is confirmed by the reader (readyToClose). These are all transitions:
//
//	from           to             when
//	idle           partial frame  the first bytes of a frame have come
//	partial frame  active         the frame is complete and was a request
//	partial frame  idle           the frame is complete, was none, and what answers it is written
//	idle           active         output is queued: a GOAWAY
//	active         partial frame  the last output is written, and a frame has begun meanwhile
//	active         idle           the last output is written
//	idle           closed         the reader confirmed a close (timeouts, eviction, drain), or the client closed
//	partial frame  closed         likewise, by partialFrameTimeout and firstFrameTimeout
//	active         closed         the client disconnected or takes no output, the socket failed, or the process ends
type connState uint8

// The states of a client's connection.
const (
	// stateIdle: no request is open, all output is written, and no frame has begun. The timeouts are idleTimeout, and
	// firstFrameTimeout until the first complete frame. It is the only state in which a connection is evicted.
	stateIdle connState = iota

	// statePartialFrame: as stateIdle, but the first bytes of a frame have come. The timeout is partialFrameTimeout.
	statePartialFrame

	// stateActive: a request is open, or output is not wholly written. The only timeout is stalledTimeout, while the
	// body budget is nearly full.
	stateActive

	// stateClosed: the socket is closed.
	stateClosed
)

// state returns the state of the connection now.
func (c *clientConn) state() connState {
	switch {
	case c.writer.busy():
		return stateActive
	case c.IsClosed():
		return stateClosed
	case !c.FrameStart().IsZero():
		return statePartialFrame
	}
	return stateIdle
}
