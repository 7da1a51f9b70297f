package netconn

import (
	"time"

	"cairnfront/internal/clock"
)

// SetWriteDeadline bounds the writes to come, however steadily the other side reads. It is for the writing goroutine.
func (c *Conn) SetWriteDeadline(t time.Time) { c.writeDeadline = t }

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

// writeOnce does one write to the socket within the write limits. A write that fails for a cause on this machine is
// tried again until then.
func (c *Conn) writeOnce() error {
	deadline := time.Now().Add(shortageTimeout)
	if c.writeStallTimeout > 0 {
		deadline = time.Now().Add(c.writeStallTimeout)
		if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
			deadline = c.writeDeadline
		}
		_ = c.raw.SetWriteDeadline(deadline) // fails on a closed socket only, as the write then does
	}
	for {
		err := c.tryWrite()
		if err == nil || !IsLocalShortage(err) || hasPassed(deadline) || c.IsClosed() {
			return err
		}
		time.Sleep(shortagePause)
	}
}

// tryWrite does one write to the socket.
func (c *Conn) tryWrite() error {
	c.lastWrite.Store(clock.Now())
	n, err := c.out.WriteOnceTo(c.raw)
	c.bytesWritten.Add(int64(n))
	if n > 0 {
		c.lastWrite.Store(clock.Now())
	}
	return err
}
