// Package netconn is one network connection with a fixed ring buffer for each direction and one end, which is logged
// with an end code. It owns the socket, its deadlines, the byte counts and the way in which the connection ends. It
// does not parse what it carries, and it does not decide when a connection has to end.
package netconn

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/ringbuffer"
)

// Conn is a connection. One goroutine may read while another one writes; each method's comment says where it is
// bound to one of them. The reading goroutine owns the end of a connection that has not failed: others call
// RequestClose, and the reader calls CloseGracefully where no request is open.
type Conn struct {
	// OnCloseRequest says whether the connection may end now with the requested code. It has to be set before
	// reading begins. The reading goroutine calls it between two reads, after all input that the system had was
	// read. An error ends the read with it. After nil the connection goes on, and the end may be requested again.
	OnCloseRequest func(code EndCode) error

	// DiscardInput says that unread input does not matter any more. A requested end is then handled before the next
	// read, so that a peer that floods cannot put it off. It belongs to the reading goroutine.
	DiscardInput bool

	raw      net.Conn
	in       *ringbuffer.Buffer
	out      *ringbuffer.Buffer
	openedAt time.Time

	writeStallTimeout time.Duration // longest wait for the peer to take output, 0 for any
	firstByteDeadline time.Time     // by when the socket has to take some output, zero for no limit
	writeDeadline     time.Time     // by when the output has to be written, zero for no limit
	writeDeadlineFrom int64         // bytesWritten as these two were set
	frameTimeout      time.Duration // longest wait for more of a frame that was begun, 0 for any
	readDeadline      time.Time     // by when input has to come, zero for no limit; of the reading goroutine
	readDeadlineStale bool          // the socket's read deadline may differ from readDeadline

	closeRequest atomic.Pointer[EndCode]      // the requested end that was not handled yet, nil for none
	inputRequest atomic.Pointer[inputRequest] // who waits for the reading goroutine, nil for nobody
	readNoMore   atomic.Bool                  // a requested end is handled before the next read

	bytesRead     atomic.Int64
	bytesWritten  atomic.Int64
	bytesBuffered int64 // of the writing goroutine

	lastRead   atomicInstant
	lastWrite  atomicInstant
	frameStart atomicInstant // when the first byte came of an incomplete frame; zero for none

	closeOnce sync.Once
	closed    atomic.Bool

	mu      sync.Mutex // guards the two below
	endCode EndCode
	endErr  error
}

// atomicInstant is an instant that several goroutines use.
type atomicInstant struct{ nanos atomic.Int64 }

func (a *atomicInstant) Load() clock.Instant { return clock.Instant(a.nanos.Load()) }

func (a *atomicInstant) Store(instant clock.Instant) { a.nanos.Store(int64(instant)) }

// StoreIfZero stores an instant where none is stored.
func (a *atomicInstant) StoreIfZero(instant clock.Instant) { a.nanos.CompareAndSwap(0, int64(instant)) }

// New wraps a socket. Each direction's ring buffer has bufferBytes. A writeStallTimeout of 0 sets no limit to a
// write.
func New(raw net.Conn, bufferBytes int, writeStallTimeout time.Duration) *Conn {
	c := &Conn{
		raw:               raw,
		in:                ringbuffer.New(bufferBytes),
		out:               ringbuffer.New(bufferBytes),
		openedAt:          time.Now(),
		writeStallTimeout: writeStallTimeout,
	}
	c.lastRead.Store(clock.At(c.openedAt))
	c.lastWrite.Store(clock.At(c.openedAt))
	return c
}

// RemoteAddr returns the other side's address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// SetStartTime sets when the connection was begun, for one that took time to establish.
func (c *Conn) SetStartTime(t time.Time) { c.openedAt = t }

// Age returns how long ago the connection was begun.
func (c *Conn) Age(now time.Time) time.Duration { return now.Sub(c.openedAt) }

// LastRead returns when input last came.
func (c *Conn) LastRead() clock.Instant { return c.lastRead.Load() }

// LastWrite returns when the socket last took output, or a write to it began.
func (c *Conn) LastWrite() clock.Instant { return c.lastWrite.Load() }

// FrameStart returns when a frame began that is not complete yet, zero for none.
func (c *Conn) FrameStart() clock.Instant { return c.frameStart.Load() }

// BytesRead returns how many bytes have come.
func (c *Conn) BytesRead() int64 { return c.bytesRead.Load() }

// BytesConsumed returns how many of the bytes that have come the reader has taken: the offset in the input of the next
// one. It is for the reading goroutine.
func (c *Conn) BytesConsumed() int64 { return c.bytesRead.Load() - int64(c.in.Len()) }

// BytesWritten returns how many bytes the socket has taken.
func (c *Conn) BytesWritten() int64 { return c.bytesWritten.Load() }

// BytesBuffered returns how many bytes were handed to Write so far. It is for the writing goroutine.
func (c *Conn) BytesBuffered() int64 { return c.bytesBuffered }
