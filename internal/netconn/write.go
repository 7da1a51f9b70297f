package netconn

import (
	"errors"
	"os"
	"time"

	"cairnfront/internal/clock"
)

// writeProgressInterval is the longest time that one write to the socket waits. The system tells only at a write's end
// how much the socket took, so what is known of a slow reader is at most that old.
const writeProgressInterval = 100 * time.Millisecond

// SetWriteDeadline bounds the writes to come, however steadily the other side reads. It is for the writing goroutine.
func (c *Conn) SetWriteDeadline(t time.Time) { c.SetWriteDeadlines(t, t) }

// SetWriteDeadlines bounds the writes to come: until firstByte the socket has to take some of them, and until lastByte
// all. It is for the writing goroutine.
func (c *Conn) SetWriteDeadlines(firstByte, lastByte time.Time) {
	c.firstByteDeadline = firstByte
	c.writeDeadline = lastByte
	c.writeDeadlineFrom = c.bytesWritten.Load()
}

// Write puts p into the ring buffer and writes to the socket whenever that is full.
func (c *Conn) Write(p []byte) error {
	for len(p) > 0 {
		n := c.out.Write(p)
		c.bytesBuffered += int64(n)
		p = p[n:]
		if len(p) == 0 {
			return nil
		}
		if err := c.writeOnce(); err != nil {
			return err
		}
	}
	return nil
}

// Flush writes what the ring buffer holds to the socket.
func (c *Conn) Flush() error {
	for c.out.Len() > 0 {
		if err := c.writeOnce(); err != nil {
			return err
		}
	}
	return nil
}

// Unwritten returns how many bytes were handed to Write that the socket has not taken.
func (c *Conn) Unwritten() int { return c.out.Len() }

// DropUnwritten takes back what the socket has not taken.
func (c *Conn) DropUnwritten() {
	c.bytesBuffered -= int64(c.out.Len())
	c.out.Discard(c.out.Len())
}

// writeOnce writes to the socket until that takes something, within the write limits. A write that fails for a cause on
// this machine is tried again until then.
//
// It guards against ending the connection of a peer that reads slowly and steadily: the stall timeout runs from the
// last byte that the socket took, not from the begin of a write of many bytes.
func (c *Conn) writeOnce() error {
	now := time.Now()
	c.lastWrite.Store(clock.At(now))
	deadline := c.writeLimit(now)
	for {
		c.boundNextWrite(deadline)
		n, err := c.tryWrite()
		waited := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil, waited && n > 0:
			return nil
		case hasPassed(deadline), c.IsClosed():
			return err
		case waited: // for writeProgressInterval
		case IsLocalShortage(err):
			time.Sleep(shortagePause)
		default:
			return err
		}
	}
}

// writeLimit returns until when a write that begins now may take nothing.
func (c *Conn) writeLimit(now time.Time) time.Time {
	if c.writeStallTimeout == 0 {
		return now.Add(shortageTimeout)
	}
	limit := now.Add(c.writeStallTimeout)
	deadline := c.writeDeadline
	if c.bytesWritten.Load() == c.writeDeadlineFrom {
		deadline = c.firstByteDeadline
	}
	if !deadline.IsZero() && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// boundNextWrite sets the socket's write deadline for one write. Without a stall timeout there is none.
func (c *Conn) boundNextWrite(deadline time.Time) {
	if c.writeStallTimeout == 0 {
		return
	}
	if next := time.Now().Add(writeProgressInterval); next.Before(deadline) {
		deadline = next
	}
	_ = c.raw.SetWriteDeadline(deadline) // fails on a closed socket only, as the write then does
}

// tryWrite does one write to the socket and returns how many bytes that took.
func (c *Conn) tryWrite() (int, error) {
	n, err := c.out.WriteOnceTo(c.raw)
	c.bytesWritten.Add(int64(n))
	if n > 0 {
		c.lastWrite.Store(clock.Now())
	}
	return n, err
}
