package netconn

import (
	"slices"
	"syscall"
	"time"

	"cairnfront/internal/clock"

	"golang.org/x/sys/unix"
)

// heldBackTime is how long after a pause the input counts as sent during it: the socket had no room for it then, and
// the peer's kernel still held it.
const heldBackTime = 20 * time.Millisecond

// maxInputMarks limits the marks of a connection. Further ones make the arrival times of the input between them less
// exact, never too late.
const maxInputMarks = 8

// MaxPeekedBytes limits the unread input that is copied as a connection closes, to tell what the close takes.
const MaxPeekedBytes = 16 << 10

// maxHeldPeeks limits the connections of which that input is held at the same time, from the close to UnreadInput.
const maxHeldPeeks = 16

// heldPeeks has an element for each of them.
var heldPeeks = make(chan struct{}, maxHeldPeeks)

// inputMark records how many bytes had arrived by a time, with those that are still in the kernel's receive buffer.
type inputMark struct {
	at     clock.Instant
	offset int64
}

// BeginPause records that the reader does not read until EndPause, so that ArrivedAt knows when the input came that it
// reads afterwards. It must be called from the reading goroutine.
func (c *Conn) BeginPause() {
	c.CatchUp()
	c.markInput()
}

// EndPause records that the reader reads again. It must be called from the reading goroutine.
func (c *Conn) EndPause() { c.markInput() }

// markInput records how much input has arrived by now.
func (c *Conn) markInput() {
	consumed := c.BytesConsumed()
	later := slices.IndexFunc(c.inputMarks, func(m inputMark) bool { return m.offset >= consumed })
	c.inputMarks = slices.Delete(c.inputMarks, 0, max(later-1, 0)) // the last earlier one bounds the next input
	if len(c.inputMarks) == maxInputMarks {
		c.inputMarks = c.inputMarks[:maxInputMarks-1]
	}
	c.inputMarks = append(c.inputMarks, inputMark{at: clock.Now(), offset: c.bytesRead.Load() + c.UnreadBytes()})
}

// CatchUp reports whether the reader has read all input that was sent while it paused, and read as it came what came
// since. It must be called from the reading goroutine.
func (c *Conn) CatchUp() bool {
	if len(c.inputMarks) == 0 {
		return true
	}
	consumed := c.BytesConsumed()
	if consumed < c.lastMark().offset {
		return false
	}
	inputWaits := consumed < c.bytesRead.Load() || c.UnreadBytes() > 0
	if inputWaits && clock.Now().Sub(c.lastMark().at) <= heldBackTime {
		return false
	}
	c.inputMarks = c.inputMarks[:0]
	return true
}

// ArrivedAt returns the earliest time at which the input that the reader has consumed last may have been sent. That is
// the time of the last read, or that of a mark if the input was sent before the reader went on. It must be called from
// the reading goroutine.
func (c *Conn) ArrivedAt() clock.Instant {
	if len(c.inputMarks) == 0 {
		return c.LastRead()
	}
	consumed, last := c.BytesConsumed(), c.lastMark()
	if consumed > last.offset && c.LastRead().Sub(last.at) > heldBackTime {
		return c.LastRead()
	}
	return c.markBefore(min(consumed, last.offset))
}

// UnreadSince returns the earliest time at which input may have been sent that the reader has not consumed, or zero if
// it has caught up. It must be called from the reading goroutine.
func (c *Conn) UnreadSince() clock.Instant {
	if c.CatchUp() {
		return 0
	}
	return c.markBefore(min(c.BytesConsumed()+1, c.lastMark().offset))
}

func (c *Conn) lastMark() inputMark { return c.inputMarks[len(c.inputMarks)-1] }

// markBefore returns the time of the last mark by which the input up to an offset had not arrived completely, or of the
// first mark if there is none. The offset must not be above that of the last mark.
func (c *Conn) markBefore(offset int64) clock.Instant {
	first := slices.IndexFunc(c.inputMarks, func(m inputMark) bool { return m.offset >= offset })
	return c.inputMarks[max(first-1, 0)].at
}

// UnreadBytes returns how many bytes of input are in the kernel's receive buffer, or 0 for a socket that cannot tell.
func (c *Conn) UnreadBytes() int64 { return c.socketCount(unix.TIOCINQ) }

// PeekInput copies the start of the input that has arrived and was not consumed, and returns its length. It must be
// called from the reading goroutine.
func (c *Conn) PeekInput(p []byte) int {
	n := c.in.Peek(p)
	return n + c.peekUnread(p[n:])
}

// holdUnread copies the start of the input in the kernel's receive buffer for UnreadInput, unless it is not wanted or
// too many connections hold theirs.
func (c *Conn) holdUnread() {
	if !c.TellUnread || c.unreadAtClose == 0 {
		return
	}
	select {
	case heldPeeks <- struct{}{}:
		peeked := make([]byte, min(c.unreadAtClose, MaxPeekedBytes))
		c.peekedAtClose = peeked[:c.peekUnread(peeked)]
	default:
	}
}

// peekUnread copies the first bytes of the input in the kernel's receive buffer, leaves them there, and returns their
// number. It returns 0 for a socket that cannot tell.
func (c *Conn) peekUnread(p []byte) int {
	socket, ok := c.raw.(syscall.Conn)
	if !ok || len(p) == 0 {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	peek := func(fd uintptr) { n, _, err = unix.Recvfrom(int(fd), p, unix.MSG_PEEK|unix.MSG_DONTWAIT) }
	if raw.Control(peek) != nil || err != nil {
		return 0
	}
	return n
}

// UnacknowledgedBytes returns how many bytes the socket has accepted and the peer's has not: they stay in the kernel
// while the peer reads nothing. It returns 0 for a socket that cannot tell.
func (c *Conn) UnacknowledgedBytes() int64 { return c.socketCount(unix.TIOCOUTQ) }

// socketCount returns the number that an ioctl request of the socket yields, or 0 if there is none.
func (c *Conn) socketCount(ioctlRequest uint) int64 {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	if raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), ioctlRequest) }) != nil || err != nil {
		return 0
	}
	return int64(count)
}
