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

// Codes for why a connection ended; docs/oncall.md lists them.
const (
	PeerClosed = "peer-closed"  // the other side closed it
	Reset      = "reset"        // the other side broke it
	Protocol   = "protocol"     // what came could not be followed
	Slow       = "slow-reader"  // the other side did not take what was written
	Idle       = "idle"         // nothing was open on it
	Mute       = "mute"         // it never brought a whole message
	Half       = "half-frame"   // a message was begun and never came whole
	Crowded    = "crowded"      // nothing was open on it, and its place was needed
	Silent     = "silent"       // nothing came although hops were out
	Stalled    = "stalled"      // an answer was begun, and no more of it came
	NoConnect  = "no-connect"   // it never came up
	Unlisted   = "unlisted"     // its member left the list or moved
	Limit      = "limit"        // descriptors or memory ran out
	Shutdown   = "shutdown"     // the router ends
	Beats      = "no-beats"     // the notice board fell silent
	Gap        = "gap"          // the notice board's numbers do not follow
	Moved      = "moved"        // the notice board has a new address
	Panic      = "panic"        // a fault of this program; the stack is logged
	Other      = "socket-error" // any other error of the socket
)

// Conn is a connection. One goroutine may read while another writes. The one that reads owns the end of a connection
// that has not failed: others Ask it, and it ends the connection with Hangup where nothing is under way.
type Conn struct {
	// Asked, set before reading begins, says whether the connection may end now for the reason that it was asked to; it
	// is called by the goroutine that reads, between two reads, with nothing left unread. An error ends the read with it;
	// after nil the connection goes on, and who asked may ask again.
	Asked func(code string) error

	// Deaf, of the goroutine that reads, says that nothing unread matters any more: the question is put before the next
	// read, not after a last look. Else one that floods could put its end off for ever.
	Deaf bool

	raw   net.Conn
	in    *ringbuffer.Ring
	out   *ringbuffer.Ring
	since time.Time
	stall time.Duration // longest wait for room at the other side, 0 for any
	pause time.Duration // longest wait for more of a message that was begun, 0 for any
	by    time.Time     // by when what is being written must be out, zero for any
	until time.Time     // by when what is being read must have come, zero for any; of the goroutine that reads
	set   bool          // the socket's read deadline is not known to be none

	ask atomic.Pointer[string] // why the reader is asked to end the connection; nil where it is not

	read, wrote atomic.Int64
	entered     int64 // bytes that came into the outgoing ring, ever
	heard, took atomic.Int64
	begun       atomic.Int64 // when the first byte came of a message that is not whole, 0 for none

	once  sync.Once
	ended atomic.Bool
	mu    sync.Mutex
	code  string
	err   error
}

// New wraps a socket. Size is that of each ring.
func New(raw net.Conn, size int, stall time.Duration) *Conn {
	c := &Conn{raw: raw, in: ringbuffer.New(size), out: ringbuffer.New(size), since: time.Now(), stall: stall}
	c.heard.Store(c.since.UnixNano())
	c.took.Store(c.since.UnixNano())
	return c
}

// Peer is the other side's address.
func (c *Conn) Peer() string { return c.raw.RemoteAddr().String() }

// Since sets when the connection was begun, for one that took time to make.
func (c *Conn) Since(t time.Time) { c.since = t }

// Heard is the Unix time in nanoseconds at which bytes last came.
func (c *Conn) Heard() int64 { return c.heard.Load() }

// Took is the Unix time in nanoseconds at which the socket last took bytes, or there was nothing to take.
func (c *Conn) Took() int64 { return c.took.Load() }

// Begun is the Unix time in nanoseconds at which a message began that is not whole yet; 0 where there is none.
func (c *Conn) Begun() int64 { return c.begun.Load() }

// Whole says that the reader has taken a whole message.
func (c *Conn) Whole() {
	if c.in.Len() == 0 {
		c.begun.Store(0)
	} else {
		c.begun.Store(time.Now().UnixNano())
	}
}

// Age is how long ago the connection was made.
func (c *Conn) Age(now time.Time) time.Duration { return now.Sub(c.since) }

// Wrote is how many bytes the socket has taken.
func (c *Conn) Wrote() int64 { return c.wrote.Load() }

// Got is how many bytes have come.
func (c *Conn) Got() int64 { return c.read.Load() }

// Entered is how many bytes were handed to Write so far.
func (c *Conn) Entered() int64 { return c.entered }

// SetReadDeadline bounds the reads to come; for the goroutine that reads.
func (c *Conn) SetReadDeadline(t time.Time) { c.until, c.set = t, true }

// Pause bounds the wait for more of a message that was begun.
func (c *Conn) Pause(most time.Duration) { c.pause = most }

// Ask asks the goroutine that reads to end the connection, and wakes it for that. The newest reason counts.
func (c *Conn) Ask(code string) {
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
		if c.pause > 0 && c.begun.Load() != 0 {
			by = time.Now().Add(c.pause)
		}
		if c.set || c.pause > 0 {
			_ = c.raw.SetReadDeadline(by)
			c.set = false
		}
		if asked := c.ask.Load(); asked != nil && c.Deaf && c.Asked != nil {
			c.ask.CompareAndSwap(asked, nil)
			if err := c.Asked(*asked); err != nil {
				return err
			}
		}
		asked := c.ask.Load() // after the deadline was set: one asked for later sets it anew
		if asked != nil {
			_ = c.raw.SetReadDeadline(time.Now().Add(lastLook))
			c.set = true
		}
		n, err := c.in.Fill(c.raw)
		if n > 0 {
			c.read.Add(int64(n))
			now := time.Now().UnixNano()
			c.heard.Store(now)
			c.begun.CompareAndSwap(0, now)
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.set = true // whatever it was: it has passed
		switch {
		case asked != nil:
			c.ask.CompareAndSwap(asked, nil)
			if c.Asked == nil { // it is ending
				continue
			}
			if err := c.Asked(*asked); err != nil {
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
func (c *Conn) Skip(n int) error {
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
func (c *Conn) Drop(bytes int64) error {
	c.Deaf = true
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
var ErrLong = errors.New("line too long")

// Line reads up to the next line feed and returns the line without its end.
func (c *Conn) Line() ([]byte, error) {
	for from := 0; ; {
		if i := c.in.Index('\n', from); i >= 0 {
			line := make([]byte, i+1)
			c.in.Read(line)
			if i > 0 && line[i-1] == '\r' {
				i--
			}
			return line[:i], nil
		}
		if from = c.in.Len(); c.in.Free() == 0 {
			return nil, ErrLong
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
func (c *Conn) WriteBy(t time.Time) { c.by = t }

func (c *Conn) drain() error {
	if c.stall > 0 {
		end := time.Now().Add(c.stall)
		if !c.by.IsZero() && c.by.Before(end) {
			end = c.by
		}
		_ = c.raw.SetWriteDeadline(end)
	}
	c.took.Store(time.Now().UnixNano())
	n, err := c.out.Drain(c.raw)
	if c.wrote.Add(int64(n)); n > 0 {
		c.took.Store(time.Now().UnixNano())
	}
	return err
}

// Blame sets the code under which the connection will end, without ending it yet.
func (c *Conn) Blame(code string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.code == "" {
		c.code, c.err = code, err
	}
}

// End closes the socket. The first code given is the one that counts.
func (c *Conn) End(code string, err error) {
	c.once.Do(func() {
		c.ended.Store(true)
		c.Blame(code, err)
		_ = c.raw.Close()
	})
}

// Hangup ends a connection on which nothing is under way and all is written: it ends the sending side, drops what still
// comes until the other side ends too, some time has passed or too much has come, and closes. A close with input unread
// would reset the connection and destroy the last words on their way. For the goroutine that reads.
func (c *Conn) Hangup(code string, err error, most time.Duration, bytes int64) {
	c.Blame(code, err)
	defer c.End(code, err)
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.Asked, c.pause = nil, 0
	c.SetReadDeadline(time.Now().Add(most))
	for bytes += c.read.Load(); c.read.Load() < bytes; {
		if c.in.Discard(c.in.Len()); c.fill() != nil {
			return
		}
	}
}

// Code is the reason for which the connection ends, empty while there is none.
func (c *Conn) Code() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.code
}

// Ended says whether the socket is closed.
func (c *Conn) Ended() bool { return c.ended.Load() }

// Done books the end, once all that used the connection have stopped.
func (c *Conn) Done(b *telemetry.Book, side, peer string) {
	c.End(Shutdown, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Ended(telemetry.Ended{Side: side, Peer: peer, Code: c.code, Err: c.err, Since: c.since,
		In: c.read.Load(), Out: c.wrote.Load()})
}

// Reason names the code for an error of a read or write.
func Reason(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrUnexpectedEOF):
		return Reset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Slow
	case errors.Is(err, ErrLong):
		return Protocol
	case errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed):
		return Shutdown
	}
	return Other
}
