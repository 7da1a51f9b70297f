// Package conn is one connection with a ring buffer for each direction and one end, which is logged with a code.
package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairnfront/internal/ringbuffer"
	"cairnfront/internal/telemetry"
)

// EndCode says why a connection ended. Its text stands in the log line of an ended connection and in the name of the
// counter of such ends; docs/oncall.md lists the texts. The zero value is that of a connection without a reason to end.
type EndCode uint8

// The end codes.
const (
	NoEndCode        EndCode = iota // nothing has asked for the end
	PeerClosed                      // the other side closed the connection
	PeerReset                       // the other side reset the connection, or closed it inside a frame
	ProtocolError                   // the input broke the protocol
	SlowReader                      // the other side did not take the output in time
	IdleTimeout                     // no request was open for the idle time
	NoFirstFrame                    // no whole frame came in time after the connection was made
	PartialFrame                    // a frame was begun and did not become whole in time
	Evicted                         // idle, and its descriptor was needed for another connection
	Unresponsive                    // no input although attempts were open
	StalledResponse                 // a response was begun and stopped
	ConnectFailed                   // the connection was never established
	EndpointRemoved                 // the endpoint left the endpoint list, or has another address
	ResourceLimit                   // descriptors or memory ran out
	Shutdown                        // the process ends
	MissedHeartbeats                // the discovery service sent no heartbeat in time
	SequenceGap                     // the numbers of the discovery service's events have a gap
	AddressChanged                  // the discovery service has another address
	Panic                           // this program panicked; the stack is in the log
	SocketError                     // any other error of the socket
)

var endCodeTexts = [...]string{
	NoEndCode:        "",
	PeerClosed:       "peer-closed",
	PeerReset:        "reset",
	ProtocolError:    "protocol",
	SlowReader:       "slow-reader",
	IdleTimeout:      "idle",
	NoFirstFrame:     "mute",
	PartialFrame:     "half-frame",
	Evicted:          "crowded",
	Unresponsive:     "silent",
	StalledResponse:  "stalled",
	ConnectFailed:    "no-connect",
	EndpointRemoved:  "unlisted",
	ResourceLimit:    "limit",
	Shutdown:         "shutdown",
	MissedHeartbeats: "no-beats",
	SequenceGap:      "gap",
	AddressChanged:   "moved",
	Panic:            "panic",
	SocketError:      "socket-error",
}

// String is the code's text in logs and counter names.
func (c EndCode) String() string { return endCodeTexts[c] }

// Conn is a connection. One goroutine may read while another writes. The one that reads owns the end of a connection
// that has not failed: others Ask it, and it ends the connection with Hangup where nothing is under way.
type Conn struct {
	// Asked, set before reading begins, says whether the connection may end now for the reason that it was asked to; it
	// is called by the goroutine that reads, between two reads, with nothing left unread. An error ends the read with it;
	// after nil the connection goes on, and who asked may ask again.
	OnCloseRequest func(code EndCode) error

	// Deaf, of the goroutine that reads, says that nothing unread matters any more: the question is put before the next
	// read, not after a last look. Else one that floods could put its end off for ever.
	DiscardInput bool

	raw   net.Conn
	in    *ringbuffer.Buffer
	out   *ringbuffer.Buffer
	since time.Time
	stall time.Duration // longest wait for room at the other side, 0 for any
	pause time.Duration // longest wait for more of a message that was begun, 0 for any
	by    time.Time     // by when what is being written must be out, zero for any
	until time.Time     // by when what is being read must have come, zero for any; of the goroutine that reads
	set   bool          // the socket's read deadline is not known to be none

	ask atomic.Pointer[EndCode] // why the reader is asked to end the connection; nil where it is not

	read, wrote         atomic.Int64
	entered             int64 // bytes that came into the outgoing ring, ever
	lastRead, lastWrite atomic.Int64
	frameStart          atomic.Int64 // when the first byte came of a message that is not whole, 0 for none

	once   sync.Once
	closed atomic.Bool
	mu     sync.Mutex
	code   EndCode
	err    error
}

// New wraps a socket. Size is that of each ring.
func New(raw net.Conn, size int, stall time.Duration) *Conn {
	c := &Conn{raw: raw, in: ringbuffer.New(size), out: ringbuffer.New(size), since: time.Now(), stall: stall}
	c.lastRead.Store(c.since.UnixNano())
	c.lastWrite.Store(c.since.UnixNano())
	return c
}

// Peer is the other side's address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Since sets when the connection was begun, for one that took time to make.
func (c *Conn) SetStartTime(t time.Time) { c.since = t }

// Heard is the Unix time in nanoseconds at which bytes last came.
func (c *Conn) LastReadUnixNano() int64 { return c.lastRead.Load() }

// Took is the Unix time in nanoseconds at which the socket last took bytes, or there was nothing to take.
func (c *Conn) LastWriteUnixNano() int64 { return c.lastWrite.Load() }

// Begun is the Unix time in nanoseconds at which a message began that is not whole yet; 0 where there is none.
func (c *Conn) FrameStartUnixNano() int64 { return c.frameStart.Load() }

// Whole says that the reader has taken a whole message.
func (c *Conn) FrameComplete() {
	if c.in.Len() == 0 {
		c.frameStart.Store(0)
	} else {
		c.frameStart.Store(time.Now().UnixNano())
	}
}

// Age is how long ago the connection was made.
func (c *Conn) Age(now time.Time) time.Duration { return now.Sub(c.since) }

// Wrote is how many bytes the socket has taken.
func (c *Conn) BytesWritten() int64 { return c.wrote.Load() }

// Got is how many bytes have come.
func (c *Conn) BytesRead() int64 { return c.read.Load() }

// Entered is how many bytes were handed to Write so far.
func (c *Conn) BytesBuffered() int64 { return c.entered }

// SetReadDeadline bounds the reads to come; for the goroutine that reads.
func (c *Conn) SetReadDeadline(t time.Time) { c.until, c.set = t, true }

// Pause bounds the wait for more of a message that was begun.
func (c *Conn) SetFrameTimeout(most time.Duration) { c.pause = most }

// Ask asks the goroutine that reads to end the connection, and wakes it for that. The newest reason counts.
func (c *Conn) RequestClose(code EndCode) {
	c.ask.Store(&code)
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

// lastLook is how long the last read before an end waits: what the system has is read, no more is waited for.
const lastLook = time.Millisecond

// fill reads what there is, once. A reader that is asked to end the connection first reads what the system has already:
// what came before the end was decided is taken in, not destroyed by it.
func (c *Conn) fill() error {
	for {
		by := c.until
		if c.pause > 0 && c.frameStart.Load() != 0 {
			by = time.Now().Add(c.pause)
		}
		if c.set || c.pause > 0 {
			_ = c.raw.SetReadDeadline(by)
			c.set = false
		}
		if asked := c.ask.Load(); asked != nil && c.DiscardInput && c.OnCloseRequest != nil {
			c.ask.CompareAndSwap(asked, nil)
			if err := c.OnCloseRequest(*asked); err != nil {
				return err
			}
		}
		asked := c.ask.Load() // after the deadline was set: one asked for later sets it anew
		if asked != nil {
			_ = c.raw.SetReadDeadline(time.Now().Add(lastLook))
			c.set = true
		}
		n, err := c.in.ReadOnceFrom(c.raw)
		if n > 0 {
			c.read.Add(int64(n))
			now := time.Now().UnixNano()
			c.lastRead.Store(now)
			c.frameStart.CompareAndSwap(0, now)
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.set = true // whatever it was: it has passed
		switch {
		case asked != nil:
			c.ask.CompareAndSwap(asked, nil)
			if c.OnCloseRequest == nil { // it is ending
				continue
			}
			if err := c.OnCloseRequest(*asked); err != nil {
				return err
			}
		case c.ask.Load() == nil && !by.IsZero() && !time.Now().Before(by):
			return err
		}
	}
}

// ReadFull reads exactly len(p) bytes.
func (c *Conn) ReadFull(p []byte) error {
	for done := 0; ; {
		if done += c.in.Read(p[done:]); done == len(p) {
			return nil
		}
		if err := c.fill(); err != nil {
			if errors.Is(err, io.EOF) && done > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// Skip reads n bytes and drops them.
func (c *Conn) Discard(n int) error {
	for {
		if n -= c.in.Discard(n); n == 0 {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// dropPause lies between two reads of what is dropped, once that is more than any sound client has under way: a flood
// must not cost the processor, and the end of one is still noticed.
const dropPause = 5 * time.Millisecond

// Drop reads on and drops all that comes, slowly past so many bytes, until an error: that it has ended, or that it was
// asked to and may.
func (c *Conn) DiscardUntilClosed(bytes int64) error {
	c.DiscardInput = true
	for bytes += c.read.Load(); ; {
		if c.in.Discard(c.in.Len()); c.read.Load() > bytes {
			time.Sleep(dropPause)
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// ErrLong tells of a line that does not fit the ring.
var ErrLineTooLong = errors.New("line too long")

// Line reads up to the next line feed and returns the line without its end.
func (c *Conn) ReadLine() ([]byte, error) {
	for from := 0; ; {
		if i := c.in.IndexByte('\n', from); i >= 0 {
			line := make([]byte, i+1)
			c.in.Read(line)
			if i > 0 && line[i-1] == '\r' {
				i--
			}
			return line[:i], nil
		}
		if from = c.in.Len(); c.in.Free() == 0 {
			return nil, ErrLineTooLong
		}
		if err := c.fill(); err != nil {
			return nil, err
		}
	}
}

// Write puts p into the outgoing ring and flushes when that is full.
func (c *Conn) Write(p []byte) error {
	for len(p) > 0 {
		n := c.out.Write(p)
		c.entered += int64(n)
		if p = p[n:]; len(p) > 0 {
			if err := c.drain(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Flush writes out what the outgoing ring holds.
func (c *Conn) Flush() error {
	for c.out.Len() > 0 {
		if err := c.drain(); err != nil {
			return err
		}
	}
	return nil
}

// WriteBy bounds the writes to come, however steadily the other side reads.
func (c *Conn) SetWriteDeadline(t time.Time) { c.by = t }

func (c *Conn) drain() error {
	if c.stall > 0 {
		end := time.Now().Add(c.stall)
		if !c.by.IsZero() && c.by.Before(end) {
			end = c.by
		}
		_ = c.raw.SetWriteDeadline(end)
	}
	c.lastWrite.Store(time.Now().UnixNano())
	n, err := c.out.WriteOnceTo(c.raw)
	if c.wrote.Add(int64(n)); n > 0 {
		c.lastWrite.Store(time.Now().UnixNano())
	}
	return err
}

// Blame sets the code under which the connection will end, without ending it yet.
func (c *Conn) SetEndCode(code EndCode, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.code == NoEndCode {
		c.code, c.err = code, err
	}
}

// End closes the socket. The first code given is the one that counts.
func (c *Conn) Close(code EndCode, err error) {
	c.once.Do(func() {
		c.closed.Store(true)
		c.SetEndCode(code, err)
		_ = c.raw.Close()
	})
}

// Hangup ends a connection on which nothing is under way and all is written: it ends the sending side, drops what still
// comes until the other side ends too, some time has passed or too much has come, and closes. A close with input unread
// would reset the connection and destroy the last words on their way. For the goroutine that reads.
func (c *Conn) CloseGracefully(code EndCode, err error, most time.Duration, bytes int64) {
	c.SetEndCode(code, err)
	defer c.Close(code, err)
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.OnCloseRequest, c.pause = nil, 0
	c.SetReadDeadline(time.Now().Add(most))
	for bytes += c.read.Load(); c.read.Load() < bytes; {
		if c.in.Discard(c.in.Len()); c.fill() != nil {
			return
		}
	}
}

// Code is the reason for which the connection ends, empty while there is none.
func (c *Conn) EndCode() EndCode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.code
}

// Ended says whether the socket is closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// Done books the end, once all that used the connection have stopped.
func (c *Conn) LogEnd(b *telemetry.Metrics, side, peer string) {
	c.Close(Shutdown, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.ConnectionEnded(telemetry.ConnectionEnd{Side: side, RemoteAddr: peer, Code: c.code.String(), Err: c.err, OpenedAt: c.since,
		BytesIn: c.read.Load(), BytesOut: c.wrote.Load()})
}

// Reason names the code for an error of a read or write.
func ClassifyError(err error) EndCode {
	switch {
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrUnexpectedEOF):
		return PeerReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return SlowReader
	case errors.Is(err, ErrLineTooLong):
		return ProtocolError
	case errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed):
		return Shutdown
	}
	return SocketError
}
