package frontend

// connState is the state of a client connection. It is not stored but derived from the activity of the connection's
// reader and writer, so the connection is always in exactly one state. For any goroutine but the reader, the state may
// be out of date as soon as it is returned. The reader therefore confirms each close that was requested because of it
// (readyToClose). All transitions:
//
//	from           to             when
//	idle           partial frame  the first bytes of a frame were received
//	partial frame  active         the frame is complete and was a request
//	partial frame  idle           the frame is complete, is no request, and any reply to it is written
//	idle           active         a GOAWAY is queued
//	active         partial frame  the last output is written, and a frame has begun meanwhile
//	active         idle           the last output is written
//	idle           closed         the reader confirmed a close (timeouts, eviction, drain), or the client closed
//	partial frame  closed         the reader confirmed a close (its timeouts, drain), or the client closed
//	active         closed         the client disconnected or reads no output, the socket failed, or the process ends
type connState uint8

// The states of a client connection.
const (
	// stateIdle: no request is open, all output is written, and no frame has begun. The timeouts are idleTimeout and,
	// until the first complete frame, firstFrameTimeout. Only connections in this state are evicted.
	stateIdle connState = iota

	// statePartialFrame: like stateIdle, but the first bytes of a frame were received. The timeout is
	// partialFrameTimeout.
	statePartialFrame

	// stateActive: a request is open, or output is not completely written. The only timeout is stalledTimeout, and it
	// applies only while the body budget is nearly full.
	stateActive

	// stateClosed: the socket is closed.
	stateClosed
)

// state returns the current state of the connection.
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
