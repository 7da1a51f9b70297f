package netconn

import (
	"errors"
	"io"
	"os"
	"time"

	"cairnfront/internal/clock"
)

const (
	// lastReadTimeout is the longest wait of the read that comes before a requested end. It takes in what the system
	// has already and waits for no more.
	lastReadTimeout = time.Millisecond

	// floodReadPause lies between two reads of discarded input past the allowance of DiscardUntilClosed. A flood then
	// costs little processor time, and its end is still noticed.
	floodReadPause = 5 * time.Millisecond
)

// ErrLineTooLong tells of a line that does not fit the ring buffer.
var ErrLineTooLong = errors.New("line too long")

// SetReadDeadline bounds the reads to come. It is for the reading goroutine.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.readDeadline = t
	c.readDeadlineStale = true
}

// SetFrameTimeout bounds the wait for more of a frame that was begun. It is for the reading goroutine.
func (c *Conn) SetFrameTimeout(timeout time.Duration) { c.frameTimeout = timeout }

// FrameComplete says that the reader has taken all of a frame.
func (c *Conn) FrameComplete() {
	if c.in.Len() == 0 {
		c.frameStart.Store(0)
	} else {
		c.frameStart.Store(clock.Now())
	}
}

// ReadFull reads exactly len(p) bytes. Input that ends inside them is io.ErrUnexpectedEOF.
func (c *Conn) ReadFull(p []byte) error {
	for done := 0; ; {
		done += c.in.Read(p[done:])
		if done == len(p) {
			return nil
		}
		err := c.fill()
		if err != nil && done > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// Discard reads n bytes and drops them.
func (c *Conn) Discard(n int) error {
	for {
		n -= c.in.Discard(n)
		if n == 0 {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// DiscardUntilClosed reads on and drops all input until an error: that the connection has ended, or that it was
// requested to and may. Past allowanceBytes it reads slowly.
//
// It guards against a peer that floods while its open requests are answered, which would take a core. The peer's own
// end is still noticed, as reading goes on.
func (c *Conn) DiscardUntilClosed(allowanceBytes int64) error {
	c.DiscardInput = true
	limit := c.bytesRead.Load() + allowanceBytes
	for {
		c.in.Discard(c.in.Len())
		if c.bytesRead.Load() > limit {
			time.Sleep(floodReadPause)
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// ReadLine reads up to the next line feed and returns the line without its end.
func (c *Conn) ReadLine() ([]byte, error) {
	for searched := 0; ; {
		if end := c.in.IndexByte('\n', searched); end >= 0 {
			line := make([]byte, end+1)
			c.in.Read(line)
			if end > 0 && line[end-1] == '\r' {
				end--
			}
			return line[:end], nil
		}
		searched = c.in.Len()
		if c.in.Free() == 0 {
			return nil, ErrLineTooLong
		}
		if err := c.fill(); err != nil {
			return nil, err
		}
	}
}

// fill does one read that brings input. A requested end is handled after a read that brought none.
//
// It guards against a request that had arrived as the end was decided: unread, it would be destroyed by the close, and
// its client would see a reset. The reading goroutine alone decides the end, with nothing unread.
func (c *Conn) fill() error {
	var failingSince clock.Instant // when reads began to fail for a cause on this machine; zero while they don't
	frameDeadline := c.frameDeadline()
	for {
		if (c.DiscardInput || c.readNoMore.Load()) && c.OnCloseRequest != nil {
			if err := c.handleCloseRequest(c.closeRequest.Load()); err != nil {
				return err
			}
		}
		deadline := c.applyReadDeadline(frameDeadline)
		// After the deadline was set: later requests set it anew.
		c.endInputRequest()
		request := c.closeRequest.Load()
		n, readErr := c.readOnce(request)
		if n > 0 {
			c.countRead(n)
			return nil
		}
		if IsLocalShortage(readErr) && c.waitForShortage(&failingSince, deadline) {
			continue
		}
		if !errors.Is(readErr, os.ErrDeadlineExceeded) {
			return readErr
		}
		c.readDeadlineStale = true // the socket's deadline has passed, whichever it was
		if err := c.handleCloseRequest(request); err != nil {
			return err
		}
		if request == nil && c.closeRequest.Load() == nil && hasPassed(deadline) {
			return readErr
		}
	}
}

// readOnce does one read. The last one before a requested end takes what the system has already.
func (c *Conn) readOnce(request *EndCode) (int, error) {
	if request != nil {
		// It fails on a closed socket only, as the read then does.
		_ = c.raw.SetReadDeadline(time.Now().Add(lastReadTimeout))
		c.readDeadlineStale = true
	}
	return c.in.ReadOnceFrom(c.raw)
}

// waitForShortage pauses after a read that failed for a cause on this machine. It returns false where reads are not
// tried again: the deadline or shortageTimeout has passed, or the connection is closed.
//
// It guards against connections that end, with all that is open on them, for a want that passes. The pause keeps the
// tries from taking a core.
func (c *Conn) waitForShortage(failingSince *clock.Instant, deadline time.Time) bool {
	now := clock.Now()
	if failingSince.IsZero() {
		*failingSince = now
	}
	if now.Sub(*failingSince) > shortageTimeout || hasPassed(deadline) || c.IsClosed() {
		return false
	}
	time.Sleep(shortagePause)
	return true
}

// hasPassed says whether there is a deadline and it has passed.
func hasPassed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// frameDeadline is by when more has to come of a frame that was begun, zero for no limit. Interrupted reads do not put
// it off.
func (c *Conn) frameDeadline() time.Time {
	if c.frameTimeout > 0 && !c.frameStart.Load().IsZero() {
		return time.Now().Add(c.frameTimeout)
	}
	return time.Time{}
}

// applyReadDeadline sets the socket's read deadline where it may be another one, and returns the deadline in force:
// that of a frame that was begun, if any.
func (c *Conn) applyReadDeadline(frameDeadline time.Time) time.Time {
	deadline := c.readDeadline
	if !frameDeadline.IsZero() {
		deadline = frameDeadline
	}
	if c.readDeadlineStale || c.frameTimeout > 0 {
		_ = c.raw.SetReadDeadline(deadline) // fails on a closed socket only, as the read then does
		c.readDeadlineStale = false
	}
	return deadline
}

// handleCloseRequest takes a requested end, nil for none, and asks the connection's user about it. Once
// CloseGracefully has begun there is nobody to ask.
func (c *Conn) handleCloseRequest(request *EndCode) error {
	if request == nil {
		return nil
	}
	c.closeRequest.CompareAndSwap(request, nil)
	if c.OnCloseRequest == nil {
		return nil
	}
	return c.OnCloseRequest(*request)
}

// countRead counts n bytes that have come.
func (c *Conn) countRead(n int) {
	c.bytesRead.Add(int64(n))
	now := clock.Now()
	c.lastRead.Store(now)
	c.frameStart.StoreIfZero(now)
}
