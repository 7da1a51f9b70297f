package netconn

import (
	"time"

	"cairnfront/internal/telemetry"
)

// interruptDeadline is a read deadline in the past. Setting it interrupts the read in progress.
var interruptDeadline = time.Unix(1, 0)

// States of a closing connection. Each transition is made by one method, and only the second one reverts another:
//
//	from             to               when
//	open             close requested  any goroutine calls RequestClose
//	close requested  open             the reading goroutine declines: OnCloseRequest returned nil
//	close requested  half-closed      OnCloseRequest returned an error, and the reader calls CloseGracefully
//	half-closed      closed           the peer closed its side, or lingerTimeout or lingerBytes is reached
//	any              closed           the socket failed, the peer does not read, or the process ends (Close)
//
// The end code is set once, by the first of these methods that has one (SetEndCode).

// RequestClose asks the reading goroutine to close the connection, and interrupts its read. A new code replaces one
// that has not been handled yet. It is safe for concurrent use.
func (c *Conn) RequestClose(code EndCode) {
	c.closeRequest.Store(&code)
	_ = c.raw.SetReadDeadline(interruptDeadline) // fails only on a closed socket, whose read ends anyway
}

// CloseBeforeNextRead makes a requested close take effect before the next read, as DiscardInput does: pending input is
// not read first. It is safe for concurrent use.
func (c *Conn) CloseBeforeNextRead() { c.closeBeforeNextRead.Store(true) }

// SetEndCode sets the code and the cause with which the connection will end, without closing it. Only the first call
// has an effect.
func (c *Conn) SetEndCode(code EndCode, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endCode == NoEndCode {
		c.endCode = code
		c.endErr = cause
	}
}

// EndCode returns the code with which the connection ends, or NoEndCode if none was set.
func (c *Conn) EndCode() EndCode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endCode
}

// EndErr returns the cause with which the connection ends, or nil if there is none.
func (c *Conn) EndErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

// Close closes the socket immediately, which resets the connection if input is unread. It is meant for a socket that
// has failed, a peer that does not read, and the shutdown of the process. Only the first call has an effect.
func (c *Conn) Close(code EndCode, cause error) {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.endReaderWait()
		c.SetEndCode(code, cause)
		c.unreadAtClose, c.unackedAtClose = c.UnreadBytes(), c.UnacknowledgedBytes()
		c.holdUnread()
		_ = c.raw.Close() // the end code and its cause are already recorded
	})
}

// Reset closes the socket immediately and discards output that is still in the kernel's send buffer, which Close would
// leave to be sent. It is meant for a peer that has stopped reading and must not process that output later.
func (c *Conn) Reset(code EndCode, cause error) {
	if socket, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only on a closed socket
	}
	c.Close(code, cause)
}

// IsClosed reports whether the socket is closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// CloseGracefully closes a connection that has no open request and no unwritten output. It shuts down the sending side,
// then discards input until the peer closes its side, lingerTimeout has passed or lingerBytes have been received, and
// closes the socket. It must be called from the reading goroutine.
//
// It guards against closing with unread input, which resets the connection and destroys output in transit: the peer
// would miss a response that was sent. Time and bytes are limited, so a peer that keeps sending cannot keep the socket
// open.
func (c *Conn) CloseGracefully(code EndCode, cause error, lingerTimeout time.Duration, lingerBytes int64) {
	c.SetEndCode(code, cause)
	defer c.Close(code, cause)
	sender, ok := c.raw.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if err := sender.CloseWrite(); err != nil && !IsLocalError(err) {
		return
	}
	c.OnCloseRequest = nil
	c.frameTimeout = 0
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	limit := c.bytesRead.Load() + lingerBytes
	for c.bytesRead.Load() < limit {
		c.in.Discard(c.in.Len())
		if c.fill() != nil {
			return
		}
	}
}

// UnreadInput closes the connection if it is still open, copies the start of the input that had arrived and was not
// consumed, and returns how many bytes it copied, and the length of that input. Of what the kernel had, nothing is
// copied if many connections closed at the same time. It must be called once, after the reading goroutine has stopped.
func (c *Conn) UnreadInput(p []byte) (copied int, length int64) {
	c.Close(Shutdown, nil)
	length = int64(c.in.Len()) + c.unreadAtClose
	copied = c.in.Peek(p)
	if c.peekedAtClose != nil {
		copied += copy(p[copied:], c.peekedAtClose)
		c.peekedAtClose = nil
		<-heldPeeks
	}
	return copied, length
}

// LogEnd closes the connection if it is still open, logs its end and updates the counters. It must be called after all
// goroutines that use the connection have stopped.
func (c *Conn) LogEnd(metrics *telemetry.Metrics, remote telemetry.Remote) {
	metrics.ConnectionEnded(c.finalState(remote))
}

// LogClientEnd is like LogEnd for the connection of a client, whose requests the end may have taken. It adds to taken
// what its peer has not taken.
func (c *Conn) LogClientEnd(metrics *telemetry.Metrics, remote telemetry.Remote, taken telemetry.TakenByEnd) {
	end := c.finalState(remote)
	taken.UnsentBytes += c.unackedAtClose + int64(c.out.Len())
	end.Taken = &taken
	metrics.ConnectionEnded(end)
}

// finalState closes the connection if it is still open, and returns how it ended.
func (c *Conn) finalState(remote telemetry.Remote) telemetry.ConnectionEnd {
	c.Close(Shutdown, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	return telemetry.ConnectionEnd{
		Remote:        remote,
		Reason:        c.endCode,
		Err:           c.endErr,
		OpenedAt:      c.openedAt,
		BytesReceived: c.bytesRead.Load(),
		BytesSent:     c.bytesWritten.Load(),
	}
}
