package netconn

import (
	"errors"
	"os"
	"syscall"
	"time"

	"cairnfront/internal/clock"

	"golang.org/x/sys/unix"
)

// writeProgressInterval is the longest time that one write to the socket blocks. The number of accepted bytes is known
// only when a write returns, so the progress recorded for a slow reader is at most this old.
const writeProgressInterval = 100 * time.Millisecond

// SetWriteDeadline sets the deadline of the following writes, which holds even if the peer reads steadily. It has no
// effect if writeStallTimeout is 0. It must be called from the writing goroutine.
func (c *Conn) SetWriteDeadline(t time.Time) { c.SetWriteDeadlines(t, t) }

// SetWriteDeadlines sets the deadlines of the following writes: the socket must accept the first byte by firstByte and
// all bytes by lastByte. It has no effect if writeStallTimeout is 0. It must be called from the writing goroutine.
func (c *Conn) SetWriteDeadlines(firstByte, lastByte time.Time) {
	c.firstByteDeadline = firstByte
	c.writeDeadline = lastByte
	c.writeDeadlineFrom = c.bytesWritten.Load()
}

// maxUnsentBytes is how much output of a peer that does not keep up the kernel takes before it has begun to send it.
const maxUnsentBytes = 64 << 10

// LimitUnsentWhenBehind returns how many bytes of output the peer has not acknowledged. Once they are more than
// maxUnsentBytes, the kernel takes no more than that ahead: what it has taken cannot be overtaken by later output. The
// limit has no effect on a socket that does not know it. It must be called from the writing goroutine.
func (c *Conn) LimitUnsentWhenBehind() (unacknowledged int64) {
	unacknowledged = c.UnacknowledgedBytes()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unsentLimited && unacknowledged > maxUnsentBytes {
		c.unsentLimited = true
		c.setUnsentLimit(maxUnsentBytes)
	}
	return unacknowledged
}

// AllowUnsent lets the kernel take so many bytes more ahead, if LimitUnsentWhenBehind has limited them, until that is
// called again. It is safe for concurrent use.
func (c *Conn) AllowUnsent(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsentLimited {
		c.unsentLimited = false
		c.setUnsentLimit(maxUnsentBytes + bytes)
	}
}

func (c *Conn) setUnsentLimit(bytes int) {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // the socket is closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}

// minDirectWriteRings is how many times as large as the ring buffer output has to be to be written without it.
const minDirectWriteRings = 2

// Write copies p into the ring buffer and writes to the socket whenever the buffer is full. Large output is written
// without the ring buffer while that is empty.
func (c *Conn) Write(p []byte) error {
	for len(p) > 0 {
		if c.out.Len() == 0 && len(p) >= minDirectWriteRings*c.out.Free() {
			n, err := c.writeDirectly(p)
			p = p[n:]
			if err != nil {
				return err
			}
			continue
		}
		n := c.out.Write(p)
		c.outputOffset += int64(n)
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

// writeDirectly writes a part of p to the socket and returns its length.
func (c *Conn) writeDirectly(p []byte) (written int, err error) {
	err = c.writeOnceFrom(func() (int, error) {
		n, err := c.raw.Write(p)
		written += n
		c.outputOffset += int64(n)
		return n, err
	})
	return written, err
}

// Flush writes the contents of the ring buffer to the socket.
func (c *Conn) Flush() error {
	for c.out.Len() > 0 {
		if err := c.writeOnce(); err != nil {
			return err
		}
	}
	return nil
}

// Unwritten returns how many bytes were passed to Write and not yet accepted by the socket.
func (c *Conn) Unwritten() int { return c.out.Len() }

// DropUnwritten discards the output that the socket has not accepted.
func (c *Conn) DropUnwritten() {
	c.outputOffset -= int64(c.out.Len())
	c.out.Discard(c.out.Len())
}

// writeOnce writes to the socket until it accepts some bytes, within the write limits. A write that fails for a local
// cause is retried within the same limits.
//
// It guards against closing the connection of a peer that reads slowly but steadily: the stall timeout runs from the
// last byte that the socket accepted, not from the start of a write of many bytes.
func (c *Conn) writeOnce() error {
	return c.writeOnceFrom(func() (int, error) { return c.out.WriteOnceTo(c.raw) })
}

// writeOnceFrom is like writeOnce, with the function that does one write to the socket.
func (c *Conn) writeOnceFrom(write func() (int, error)) error {
	now := time.Now()
	c.lastWrite.Store(clock.At(now))
	deadline := c.writeLimit(now)
	for {
		c.boundNextWrite(deadline)
		n, err := c.tryWrite(write)
		waited := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil, waited && n > 0:
			return nil
		case hasPassed(deadline), c.IsClosed():
			return err
		case waited: // writeProgressInterval has passed; try again
		case IsLocalError(err):
			time.Sleep(localErrorRetryDelay)
		default:
			return err
		}
	}
}

// writeLimit returns the time by which the socket must accept some bytes of a write that begins now. If
// writeStallTimeout is 0, the returned time limits only the retries after local errors.
func (c *Conn) writeLimit(now time.Time) time.Time {
	if c.writeStallTimeout == 0 {
		return now.Add(localErrorTimeout)
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

// boundNextWrite sets the socket's deadline for the next write. Without a stall timeout no deadline is set.
func (c *Conn) boundNextWrite(deadline time.Time) {
	if c.writeStallTimeout == 0 {
		return
	}
	if next := time.Now().Add(writeProgressInterval); next.Before(deadline) {
		deadline = next
	}
	_ = c.raw.SetWriteDeadline(deadline) // fails only on a closed socket, where the write fails too
}

// tryWrite does one write to the socket and returns how many bytes it accepted.
func (c *Conn) tryWrite(write func() (int, error)) (int, error) {
	n, err := write()
	c.bytesWritten.Add(int64(n))
	if n > 0 {
		c.lastWrite.Store(clock.Now())
	}
	return n, err
}
