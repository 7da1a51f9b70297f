package frontend

import (
	"errors"
	"fmt"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
)

// Bounds of a graceful close: how long, and for how many bytes, the client's input is read and dropped after the
// half-close, so that the last output reaches a client that still sends.
const (
	gracefulCloseTimeout = 500 * time.Millisecond
	evictionCloseTimeout = 80 * time.Millisecond // as the place is needed; a crossing request comes within 50 ms
	discardedInputBytes  = 2 << 20

	// finalWriteTimeout is how long a connection waits for its last output at the end of the process.
	finalWriteTimeout = 100 * time.Millisecond
	finalWritePoll    = time.Millisecond
)

// errReadyToClose ends the reading of a connection whose close was requested and may happen.
var errReadyToClose = errors.New("connection is ready to close")

// connectionError is a fault of the client after which its frames can't be followed. The text is sent to the client on
// stream 0, so it is part of the protocol.
type connectionError struct{ text string }

// Error returns the text that the client is sent.
func (e *connectionError) Error() string { return e.text }

// unknownClassError is returned for a request of a class that the settings do not name.
type unknownClassError struct{ className string }

// Error returns the text that the client is sent.
func (e *unknownClassError) Error() string {
	return fmt.Sprintf(clientproto.TextUnknownClass, e.className)
}

// errTooManyConnections tells a client that the process has no place for its connection.
var errTooManyConnections = &connectionError{"too many connections"}

// lingerTimeout returns how long the input is read and dropped after the half-close of a connection that ends with a
// code.
func lingerTimeout(code netconn.EndCode) time.Duration {
	if code == netconn.Evicted {
		return evictionCloseTimeout
	}
	return gracefulCloseTimeout
}

// requestClose asks the reader to close the connection because of what was seen of it at a time.
func (c *clientConn) requestClose(code netconn.EndCode, observedAt clock.Instant) {
	c.observedAt.Store(int64(observedAt))
	c.RequestClose(code)
}

// readyToClose answers a requested close: with errReadyToClose, after which nothing more is written, or nil where the
// connection goes on. The reader calls it with no input unread; what led to the request may have passed since.
func (c *clientConn) readyToClose(code netconn.EndCode) error {
	if c.admission.Ending() {
		return c.readyToEnd(code)
	}
	observedAt := clock.Instant(c.observedAt.Load())
	if !c.activity().closeDue(code, observedAt) || !c.writer.quiesce() {
		c.evictionRequested.Store(false)
		return nil
	}
	c.SetEndCode(code, nil)
	return errReadyToClose
}

// readyToEnd answers a close that is requested because the process ends. Input may be unread, as a client that does not
// heed GOAWAY goes on sending: what comes from now on crosses the close. What was read is answered first; while it is
// not, for a short time, nothing more is read.
func (c *clientConn) readyToEnd(code netconn.EndCode) error {
	for waited := time.Duration(0); !c.writer.quiesce(); waited += finalWritePoll {
		if waited >= finalWriteTimeout {
			return nil
		}
		time.Sleep(finalWritePoll)
	}
	c.SetEndCode(code, nil)
	return errReadyToClose
}

// refuseInput tells the client of its fault. Open requests are still answered; then the writer requests the close.
// Until then input is read and dropped, so that a client that disconnects is noticed.
func (c *clientConn) refuseInput(broken *connectionError) error {
	c.SetEndCode(netconn.ProtocolError, broken)
	c.writer.sendControl(clientproto.AppendResponse(nil, 0, request.Response{
		Result:    request.Aborted,
		ErrorText: broken.text,
	}))
	c.writer.finish()
	return c.DiscardUntilClosed(discardedInputBytes)
}
