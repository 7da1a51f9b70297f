package frontend

// connState is the state of a client connection. It is not stored but derived from the activity of the connection's
// reader and writer, so the connection is always in exactly one state. For any goroutine but the reader, the state may
// be out of date as soon as it is returned. The reader therefore confirms each close that was requested because of it
// (readyToClose). In any state, a failed socket, a panic or the end of the process also closes the connection. The
// other transitions until the socket is closed:
//
//	from           to             when
//	idle           partial frame  the first bytes of a frame were received
//	partial frame  active         the frame is complete and was a request, or a control frame is queued
//	partial frame  idle           the frame is complete, is no request, and any reply to it is written
//	idle           active         a control frame is queued: GOAWAY, or the error on a connection over the limit
//	active         partial frame  no request is open and all output is written, and a frame has begun meanwhile
//	active         idle           the last output is written
//	idle           closed         the reader confirmed a close (timeouts, eviction, drain), or the client closed
//	partial frame  closed         the reader confirmed a close (timeouts, drain, protocol error), or the client closed
//	active         closed         the client disconnected or reads no output
type connState uint8

// The states of a client connection.
const (
	// stateIdle: no request is open, all output is written, and no frame has begun. The timeouts are silenceTimeout
	// and, until the first complete frame, firstFrameTimeout. Only connections in this state are evicted.
	stateIdle connState = iota

	// statePartialFrame: like stateIdle, but the first bytes of a frame were received. The timeouts are
	// partialFrameTimeout, or silenceTimeout after a request, and, until the first complete frame, firstFrameTimeout.
	statePartialFrame

	// stateActive: a request is open, or output is not completely written. Writes are limited by writeStallTimeout and
	// maxWriteDuration, or maxTotalWriteDuration while other requests are open. Server.sweep ends the connection only
	// if its client takes no output and that loses nothing (outputstall.go).
	stateActive

	// stateClosed: the socket is closed, no request is open, and no output is unwritten. A connection whose socket is
	// closed before that is still in stateActive.
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
