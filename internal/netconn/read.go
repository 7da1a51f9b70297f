package netconn

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"cairnfront/internal/clock"
)

const (
	// finalReadTimeout limits the final read before a requested close. That read takes the input that the kernel has
	// already buffered and does not wait for more.
	finalReadTimeout = time.Millisecond

	// floodReadPause is the pause between two reads of discarded input after the byte allowance of DiscardUntilClosed
	// is used up. It limits the processor time that a flood costs, while the peer's close is still noticed.
	floodReadPause = 5 * time.Millisecond
)

// discardBufferBytes is the size of the pieces in which long input is dropped.
const discardBufferBytes = 32 << 10

// discardBuffers are the buffers for input that is dropped. None is in use while a read waits.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferBytes]byte) }}

// ErrLineTooLong is returned for a line that does not fit in the ring buffer.
var ErrLineTooLong = errors.New("line too long")

// SetReadDeadline sets the deadline of the following reads. It must be called from the reading goroutine.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.readDeadline = t
	c.readDeadlineStale = true
}

// SetFrameTimeout limits each wait for more input of a partial frame; 0 means no limit. It must be called from the
// reading goroutine.
func (c *Conn) SetFrameTimeout(timeout time.Duration) { c.frameTimeout = timeout }

// FrameComplete records that the reader has consumed a complete frame.
func (c *Conn) FrameComplete() {
	if c.in.Len() == 0 {
		c.frameStart.Store(0)
	} else {
		c.frameStart.Store(clock.Now())
	}
}

// ReadFull reads exactly len(p) bytes. It returns io.ErrUnexpectedEOF if the input ends after some of them. What does
// not fit into the ring buffer is read without it.
func (c *Conn) ReadFull(p []byte) error {
	for done := 0; ; {
		done += c.in.Read(p[done:])
		if done == len(p) {
			return nil
		}
		var err error
		if rest := p[done:]; len(rest) >= c.in.Free() { // the ring buffer is empty
			var n int
			n, err = c.fillFrom(func() (int, error) { return c.raw.Read(rest) })
			done += n
		} else {
			err = c.fill()
		}
		if err != nil && done > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// BufferedBytes returns how many bytes can be read without a read from the socket. It must be called from the reading
// goroutine.
func (c *Conn) BufferedBytes() int { return c.in.Len() }

// Discard reads and drops n bytes. What does not fit into the ring buffer is read in larger pieces, as far as it has
// arrived.
func (c *Conn) Discard(n int) error {
	for {
		n -= c.in.Discard(n)
		if n == 0 {
			return nil
		}
		if n > c.in.Free() && c.UnreadBytes() > int64(c.in.Free()) {
			dropped, err := c.discardArrived(n)
			if err != nil {
				return err
			}
			n -= dropped
		} else if err := c.fill(); err != nil {
			return err
		}
	}
}

// discardArrived reads and drops up to n bytes of input that has arrived, with one read. The ring buffer must be empty.
func (c *Conn) discardArrived(n int) (int, error) {
	buffer := discardBuffers.Get().(*[discardBufferBytes]byte) //nolint:forcetypeassert // it holds nothing else
	defer discardBuffers.Put(buffer)
	return c.fillFrom(func() (int, error) { return c.raw.Read(buffer[:min(n, len(buffer))]) })
}

// DiscardUntilClosed reads and drops all input until an error: either the connection has ended, or a close was
// requested and OnCloseRequest allowed it. After allowanceBytes it reads slowly.
//
// It guards against a peer that floods the connection while its open requests are answered, which would use a full
// processor core. As reading continues, the peer's own close is still noticed.
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

// ReadLine reads up to the next line feed and returns the line without its line ending.
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

// fill reads until a read returns input. It handles a requested close only after a read that returned no input, or
// before the next read if DiscardInput is set or CloseBeforeNextRead was called.
//
// It guards against losing a request that had arrived when the close was decided: closing with the request unread would
// reset the connection at its client. Therefore only the reading goroutine decides on the close, with no input unread
// except in the second case.
func (c *Conn) fill() error {
	_, err := c.fillFrom(func() (int, error) { return c.in.ReadOnceFrom(c.raw) })
	return err
}

// fillFrom is like fill, with the function that does one read from the socket, and returns the number of bytes read.
func (c *Conn) fillFrom(readOnce func() (int, error)) (int, error) {
	var failingSince clock.Instant // start of a series of reads that failed for a local cause; zero if none
	frameDeadline := c.frameDeadline()
	for {
		if (c.DiscardInput || c.closeBeforeNextRead.Load()) && c.OnCloseRequest != nil {
			if err := c.handleCloseRequest(c.closeRequest.Load()); err != nil {
				return 0, err
			}
		}
		deadline := c.applyReadDeadline(frameDeadline)
		// Called after the deadline was set, as a later AwaitReader or RequestClose sets an interrupting one again.
		c.endReaderWait()
		request := c.closeRequest.Load()
		c.boundFinalRead(request)
		n, readErr := readOnce()
		if n > 0 {
			c.countRead(n)
			return n, nil
		}
		if IsLocalError(readErr) && c.waitAfterLocalError(&failingSince, deadline) {
			continue
		}
		if !errors.Is(readErr, os.ErrDeadlineExceeded) {
			return 0, readErr
		}
		c.readDeadlineStale = true // the deadline on the socket has passed, whichever it was
		if err := c.handleCloseRequest(request); err != nil {
			return 0, err
		}
		if request == nil && c.closeRequest.Load() == nil && hasPassed(deadline) {
			return 0, readErr
		}
	}
}

// boundFinalRead sets the deadline of the final read before a requested close, which only takes input that the kernel
// has already buffered. It does nothing for a request that is nil.
func (c *Conn) boundFinalRead(request *EndCode) {
	if request != nil {
		// Setting the deadline fails only on a closed socket, where the read fails too.
		_ = c.raw.SetReadDeadline(time.Now().Add(finalReadTimeout))
		c.readDeadlineStale = true
	}
}

// waitAfterLocalError pauses after a read that failed for a local cause. It returns false if the read must not be
// retried: the deadline or localErrorTimeout has passed, or the connection is closed.
//
// It guards against closing connections, and failing all requests that are open on them, because of a temporary local
// error. The pause prevents the retries from using a full processor core.
func (c *Conn) waitAfterLocalError(failingSince *clock.Instant, deadline time.Time) bool {
	now := clock.Now()
	if failingSince.IsZero() {
		*failingSince = now
	}
	if now.Sub(*failingSince) > localErrorTimeout || hasPassed(deadline) || c.IsClosed() {
		return false
	}
	time.Sleep(localErrorRetryDelay)
	return true
}

// hasPassed reports whether a deadline is set and has passed.
func hasPassed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// frameDeadline returns the deadline for more input of the current partial frame, or zero if there is no limit. fill
// calls it once, so interrupted reads do not extend the deadline, but input does.
func (c *Conn) frameDeadline() time.Time {
	if c.frameTimeout > 0 && !c.frameStart.Load().IsZero() {
		return time.Now().Add(c.frameTimeout)
	}
	return time.Time{}
}

// applyReadDeadline sets the socket's read deadline if it may differ from the one in force, and returns the latter: the
// deadline of the current partial frame, if any, else readDeadline.
func (c *Conn) applyReadDeadline(frameDeadline time.Time) time.Time {
	deadline := c.readDeadline
	if !frameDeadline.IsZero() {
		deadline = frameDeadline
	}
	if c.readDeadlineStale || c.frameTimeout > 0 {
		_ = c.raw.SetReadDeadline(deadline) // fails only on a closed socket, where the read fails too
		c.readDeadlineStale = false
	}
	return deadline
}

// handleCloseRequest handles a close request, which may be nil, by calling OnCloseRequest. Once CloseGracefully has
// begun, OnCloseRequest is nil and the request has no effect.
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

// countRead updates the counts and times for n received bytes.
func (c *Conn) countRead(n int) {
	c.bytesRead.Add(int64(n))
	now := clock.Now()
	c.lastRead.Store(now)
	c.frameStart.StoreIfZero(now)
}
