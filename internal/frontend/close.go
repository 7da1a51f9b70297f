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

// Limits of a graceful close: for how long, and for how many bytes, the client's input is read and dropped after the
// half-close, so that the last output reaches a client that is still sending.
const (
	gracefulCloseTimeout = 500 * time.Millisecond

	// evictionCloseTimeout is shorter, as a new client waits. By the protocol, requests may arrive until 50 ms after
	// the close.
	evictionCloseTimeout = 80 * time.Millisecond

	// maxDiscardedInputBytes ends the reading after the half-close. After a protocol violation, where input is dropped
	// before the half-close too (refuseInput), reading beyond this many bytes only becomes slower.
	maxDiscardedInputBytes = 2 << 20

	// finalWriteTimeout is how long a connection that is not read any more waits for its last output to be written when
	// the process ends.
	finalWriteTimeout      = 50 * time.Millisecond
	finalWritePollInterval = time.Millisecond

	// bodyDeliveryTime is how long the kernel's buffers take to pass on the end of a large body, at the slowest pace of
	// a usual client.
	bodyDeliveryTime = 100 * time.Millisecond
)

// errReadyToClose ends the reading of a connection whose requested close may take effect.
var errReadyToClose = errors.New("connection is ready to close")

// connectionError is a protocol violation by the client after which the frames on its connection cannot be parsed. The
// text is sent to the client on stream 0 and is therefore part of the protocol.
type connectionError struct{ text string }

// Error returns the text that is sent to the client.
func (e *connectionError) Error() string { return e.text }

// unknownClassError is returned for a request whose class is not in the settings.
type unknownClassError struct{ className string }

// Error returns the text that is sent to the client.
func (e *unknownClassError) Error() string {
	return fmt.Sprintf(clientproto.TextUnknownClass, e.className)
}

// errTooManyConnections is sent to a client whose connection is over the connection limit.
var errTooManyConnections = &connectionError{"too many connections"}

// lingerTimeout returns how long input is read and dropped after the half-close of a connection, which depends on its
// end code.
func lingerTimeout(code netconn.EndCode) time.Duration {
	if code == netconn.Evicted {
		return evictionCloseTimeout
	}
	return gracefulCloseTimeout
}

// requestClose asks the reader to close the connection because of the state that was observed at observedAt.
func (c *clientConn) requestClose(code netconn.EndCode, observedAt clock.Instant) {
	c.observedAt.Store(int64(observedAt))
	c.RequestClose(code)
}

// readyToClose handles a requested close. It returns errReadyToClose if the connection may be closed, after which
// nothing more is written, or nil if it stays open. The reader calls it with no input unread, as the condition that led
// to the request may no longer hold; input may be unread only if it is being dropped (refuseInput) or the process ends.
func (c *clientConn) readyToClose(code netconn.EndCode) error {
	if c.admission.Ending() {
		return c.readyToCloseAtShutdown(code)
	}
	observedAt := clock.Instant(c.observedAt.Load())
	if !c.activity().closeDue(code, observedAt) || !c.endIsSeenSoon(code) || !c.writer.quiesce() {
		c.evictionRequested.Store(false)
		return nil
	}
	c.SetEndCode(code, nil)
	return errReadyToClose
}

// endIsSeenSoon reports whether the client will see a close with a code as soon as it is made, as nothing that it may
// still wait for is under way to it.
//
// It guards against a request that is lost because its client sends it while it still receives a response behind which
// the connection has ended: by the protocol, only requests of the last 50 ms are sent again.
func (c *clientConn) endIsSeenSoon(code netconn.EndCode) bool {
	now := clock.Now()
	if code != netconn.Shutdown && code != netconn.Evicted || c.answersExpired(now) {
		return true
	}
	return c.UnacknowledgedBytes() == 0 && c.writer.sinceLargeWritten(now) >= bodyDeliveryTime
}

// readyToCloseAtShutdown handles a close that is requested because the process ends. Requests that arrive are still
// read, and rejected, until the connection closes at a moment at which all of them are answered. A connection that
// CloseBeforeNextRead was called for closes with input unread, as a client that ignores GOAWAY may keep sending: then
// requests that were read are answered first, for at most finalWriteTimeout.
func (c *clientConn) readyToCloseAtShutdown(code netconn.EndCode) error {
	if !c.inputIgnored.Load() && !c.endIsSeenSoon(code) {
		return nil
	}
	for waited := time.Duration(0); !c.writer.quiesce(); waited += finalWritePollInterval {
		if !c.inputIgnored.Load() || waited >= finalWriteTimeout {
			return nil
		}
		time.Sleep(finalWritePollInterval)
	}
	c.SetEndCode(code, nil)
	return errReadyToClose
}

// refuseInput reports a protocol violation to the client. Open requests are still answered; then the writer requests
// the close. Until then input is read and dropped, so that the client's disconnect is noticed.
func (c *clientConn) refuseInput(broken *connectionError) error {
	c.SetEndCode(netconn.ProtocolError, broken)
	c.writer.sendControl(clientproto.AppendResponse(nil, 0, request.Response{
		Result:    request.Aborted,
		ErrorText: broken.text,
	}))
	c.writer.finish()
	return c.DiscardUntilClosed(maxDiscardedInputBytes)
}
