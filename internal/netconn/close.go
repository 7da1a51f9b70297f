package netconn

import (
	"time"

	"cairnfront/internal/telemetry"
)

// interruptDeadline is a read deadline in the past. It interrupts the read under way.
var interruptDeadline = time.Unix(1, 0)

// How a connection ends. Each step is made by one method, and none is undone but the second:
//
//	from             to               when
//	open             close requested  any goroutine wants the end (RequestClose)
//	close requested  open             the reader was asked and refuses: OnCloseRequest returned nil
//	close requested  half-closed      OnCloseRequest returned an error, and the reader calls CloseGracefully
//	half-closed      closed           the other side has ended, or lingerTimeout or lingerBytes are over
//	any              closed           the socket failed, the peer does not read, or the process ends (Close)
//
// The end code is set once, by the first of these that has one (SetEndCode).

// RequestClose asks the reading goroutine to end the connection, and interrupts its read for that. The newest code
// replaces one that was not handled yet. Any goroutine may call it.
func (c *Conn) RequestClose(code EndCode) {
	c.closeRequest.Store(&code)
	_ = c.raw.SetReadDeadline(interruptDeadline) // fails on a closed socket only: its read ends anyway
}

// ReadNoMore has a requested end handled before the next read, as DiscardInput does. Any goroutine may call it.
func (c *Conn) ReadNoMore() { c.readNoMore.Store(true) }

// SetEndCode sets the code and the cause with which the connection will end, and does not end it yet. The first code
// that was set stays.
func (c *Conn) SetEndCode(code EndCode, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endCode == NoEndCode {
		c.endCode = code
		c.endErr = cause
	}
}

// EndCode returns the code with which the connection ends, NoEndCode where none was set.
func (c *Conn) EndCode() EndCode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endCode
}

// EndErr returns the cause with which the connection ends, nil where there is none.
func (c *Conn) EndErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

// Close closes the socket at once, which resets the connection where input is unread. It is for a socket that has
// failed, for a peer that does not read, and for the end of the process. More calls do nothing.
func (c *Conn) Close(code EndCode, cause error) {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.endInputRequest()
		c.SetEndCode(code, cause)
		_ = c.raw.Close() // the cause of the end is recorded
	})
}

// Reset closes the socket at once and drops what the system still holds of the output, which a Close would leave to be
// sent. It is for a peer that reads nothing and must not take up later what it was sent.
func (c *Conn) Reset(code EndCode, cause error) {
	if socket, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails on a closed socket only
	}
	c.Close(code, cause)
}

// IsClosed says whether the socket is closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// CloseGracefully ends a connection on which no request is open and all output is written. It ends the sending side,
// then discards input until the other side ends too, lingerTimeout has passed or lingerBytes have come, and closes. It
// is for the reading goroutine.
//
// It guards against a close with unread input, which resets the connection and destroys the output on its way: the
// peer would miss an answer that was sent. Time and bytes are bounded, so a peer that sends on cannot hold the socket.
func (c *Conn) CloseGracefully(code EndCode, cause error, lingerTimeout time.Duration, lingerBytes int64) {
	c.SetEndCode(code, cause)
	defer c.Close(code, cause)
	sender, ok := c.raw.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if err := sender.CloseWrite(); err != nil && !IsLocalShortage(err) {
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

// LogEnd closes the connection where that has not happened, logs its end and counts it. It has to be called once all
// goroutines that used the connection have stopped.
func (c *Conn) LogEnd(metrics *telemetry.Metrics, remote telemetry.Remote) {
	c.Close(Shutdown, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	metrics.ConnectionEnded(telemetry.ConnectionEnd{
		Remote:        remote,
		Reason:        c.endCode,
		Err:           c.endErr,
		OpenedAt:      c.openedAt,
		BytesReceived: c.bytesRead.Load(),
		BytesSent:     c.bytesWritten.Load(),
	})
}
