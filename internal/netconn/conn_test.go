package netconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Input crosses the end of the ring buffer, or ends in the middle of a frame. Bytes would be lost or read twice, and a
// cut taken for a clean end. All bytes come in order, and an end within a read is an error of its own.
func TestReadsWrapAroundTheBuffer(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 8, 0)
	go func() {
		_, _ = io.WriteString(far, "one\r\ntwo\n0123456789abcdefrest")
		_ = far.Close()
	}()
	a, err := c.ReadLine()
	require.NoError(t, err)
	b, err := c.ReadLine()
	require.NoError(t, err)
	assert.Equal(t, []string{"one", "two"}, []string{string(a), string(b)})
	require.NoError(t, c.Discard(4))
	p := make([]byte, 12)
	require.NoError(t, c.ReadFull(p))
	assert.Equal(t, "456789abcdef", string(p))
	require.ErrorIs(t, c.ReadFull(p), io.ErrUnexpectedEOF, "cut short is no clean end")
	assert.ErrorIs(t, c.ReadFull(p), io.EOF)
}

// A peer sends a line without an end. The buffer would grow without bound. A line longer than the buffer is an error of
// the protocol.
func TestLineLongerThanTheBufferIsAProtocolError(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.WriteString(far, strings.Repeat("x", 9)) }()
	_, err := New(near, 8, 0).ReadLine()
	assert.Equal(t, ProtocolError, ClassifyError(err))
}

// A connection breaks while a request is written. Whether the request may have run decides whether it may be repeated.
// The counts of what was handed to Write and of what the socket took are exact.
func TestBytesAreCounted(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 8, 0)
	got := make(chan string)
	go func() {
		p := make([]byte, 8)
		_, _ = io.ReadFull(far, p)
		_ = far.Close()
		got <- string(p)
	}()
	require.NoError(t, c.Write([]byte("0123456789")))
	assert.Equal(t, "01234567", <-got)
	require.Error(t, c.Flush())
	assert.Equal(t, []int64{10, 8}, []int64{c.BytesBuffered(), c.BytesWritten()})
}

// A peer reads nothing, or too little. The writer would wait for it without end. A write that stalls, and one that
// outlasts its deadline however steadily it is read, both fail as for a slow reader.
func TestSlowReadersEndWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(near, 8, time.Millisecond)
	assert.Equal(t, SlowReader, ClassifyError(c.Write([]byte("0123456789"))))
	near, far = net.Pipe()
	go func() {
		for p := make([]byte, 1); ; {
			if _, err := far.Read(p); err != nil {
				return
			}
		}
	}()
	c = New(near, 8, time.Hour)
	c.SetWriteDeadline(time.Now())
	assert.Equal(t, SlowReader, ClassifyError(c.Write(make([]byte, 1000))), "however steadily it is read")
	_ = far.Close()
}

// An operator sees a connection end and has to know which side caused it. Each error of a socket, also one that is
// wrapped, has the end code of its cause.
func TestErrorsAreClassified(t *testing.T) {
	for err, want := range map[error]EndCode{
		io.EOF:                 PeerClosed,
		syscall.ECONNRESET:     PeerReset,
		syscall.EPIPE:          PeerReset,
		io.ErrUnexpectedEOF:    PeerReset,
		os.ErrDeadlineExceeded: SlowReader,
		ErrLineTooLong:         ProtocolError,
		net.ErrClosed:          Shutdown,
		context.Canceled:       Shutdown,
		errors.New("x"):        SocketError,
	} {
		wrapped := fmt.Errorf("wrapped: %w", err)
		assert.Equal(t, want, ClassifyError(wrapped))
		if want == SlowReader { // the deadline of a write
			want = IdleTimeout
		}
		assert.Equal(t, want, ClassifyReadError(wrapped, IdleTimeout))
	}
}

// A connection that fails is closed by several goroutines, each with a code of its own. The log would name a
// consequence in place of the cause. The first code stays, with one line and one count a connection.
func TestFirstEndCodeStays(t *testing.T) {
	near, _ := net.Pipe()
	c := New(near, 8, 0)
	var log bytes.Buffer
	b := telemetry.New(&log, "n1")
	b.ConnectionOpened(telemetry.SideClient)
	c.SetEndCode(ProtocolError, errors.New("why"))
	c.Close(IdleTimeout, nil)
	c.Close(PeerReset, nil)
	c.LogEnd(b, telemetry.Remote{Side: telemetry.SideClient, Address: "x:1"})
	assert.Contains(t, log.String(), "side=client reason=protocol_error remote_address=x:1")
	assert.Contains(t, log.String(), "error=why")
	assert.Equal(t, 1, strings.Count(log.String(), "\n"))
	assert.EqualValues(t, 1, b.Value(`connections_opened_total{side="client"}`)) //nolint:testifylint // exact by intent
	assert.EqualValues(t, 0, b.Value(`connections_open{side="client"}`))         //nolint:testifylint // exact by intent
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, b.Value(`connections_closed_total{side="client",reason="protocol_error"}`))
}

// tcpPair returns both sides of a connection over loopback: the near one as the program has it, and the far one.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	raw, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = c.Close()
	})
	near, nearOK := raw.(*net.TCPConn)
	far, farOK := c.(*net.TCPConn)
	require.True(t, nearOK && farOK)
	return near, far
}

// A connection is closed while input is unread. The system would reset it, and the output would not arrive. The output
// arrives, and the connection reads on until the other side has ended too.
func TestGracefulCloseDeliversTheOutput(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 1024, time.Second)
	_, err := far.Write(make([]byte, 100_000))
	require.NoError(t, err)
	output := strings.Repeat("output ", 14000)
	require.NoError(t, errors.Join(c.Write([]byte(output)), c.Flush()))
	done := make(chan bool)
	go func() {
		c.CloseGracefully(IdleTimeout, nil, time.Minute, 1<<20)
		close(done)
	}()
	got, err := io.ReadAll(far)
	require.NoError(t, err)
	assert.Equal(t, output, string(got))
	assert.False(t, c.IsClosed(), "it reads on until the other side has ended too")
	_ = far.Close()
	<-done
	assert.True(t, c.IsClosed())
}

// A peer neither sends nor closes, or floods the connection. A close that waits for its end would never be over. It is
// bounded in time and in bytes.
func TestGracefulCloseIsBounded(t *testing.T) {
	near, _ := tcpPair(t)
	c := New(near, 1024, 0)
	c.CloseGracefully(IdleTimeout, nil, time.Millisecond, 1<<20)
	assert.True(t, c.IsClosed())
	near, far := tcpPair(t)
	go func() { _, _ = far.Write(make([]byte, 10_000)) }()
	c = New(near, 1024, 0)
	c.CloseGracefully(IdleTimeout, nil, time.Minute, 2000)
	assert.True(t, c.IsClosed())
}

// scriptedSocket is a socket whose reads are scripted. Each waits for its turn.
type scriptedSocket struct {
	net.Conn
	reading     chan bool
	reads       chan func(p []byte) (int, error)
	interrupted chan bool
}

func (s *scriptedSocket) Read(p []byte) (int, error) {
	s.reading <- true
	return (<-s.reads)(p)
}

func (s *scriptedSocket) Close() error { return nil }

func (s *scriptedSocket) SetReadDeadline(at time.Time) error {
	if at.Equal(interruptDeadline) {
		s.interrupted <- true
	}
	return nil
}

// Input arrives as the end of a connection is requested. A request would be dropped unread. That input is taken in, the
// user is asked whether the connection may end only once nothing is unread, and after a no the connection goes on.
func TestCloseRequestReadsPendingInputFirst(t *testing.T) {
	timeout := func([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }
	bring := func(text string) func([]byte) (int, error) {
		return func(p []byte) (int, error) { return copy(p, text), nil }
	}
	s := &scriptedSocket{
		reading:     make(chan bool),
		reads:       make(chan func([]byte) (int, error)),
		interrupted: make(chan bool, 9),
	}
	c := New(s, 8, 0)
	requested, reply := make(chan EndCode), make(chan error)
	c.OnCloseRequest = func(code EndCode) error {
		requested <- code
		return <-reply
	}
	got := make(chan string)
	go func() {
		p := make([]byte, 1)
		for err := error(nil); err == nil; {
			if err = c.ReadFull(p); err == nil {
				got <- string(p)
			} else {
				got <- err.Error()
			}
		}
	}()
	next := func(f func([]byte) (int, error)) {
		<-s.reading
		s.reads <- f
	}
	<-s.reading
	c.RequestClose(IdleTimeout)
	<-s.interrupted
	s.reads <- timeout // the read that was under way
	next(bring("x"))   // the read before the end
	assert.Equal(t, "x", <-got)
	next(timeout) // still requested, and nothing is unread
	assert.Equal(t, IdleTimeout, <-requested)
	reply <- nil
	next(bring("y"))
	assert.Equal(t, "y", <-got)
	next(timeout) // an interrupt without a request
	<-s.reading
	c.RequestClose(Shutdown)
	<-s.interrupted
	s.reads <- timeout
	next(timeout)
	assert.Equal(t, Shutdown, <-requested)
	reply <- errors.New("it may")
	assert.Equal(t, "it may", <-got)
}

// readSlowly reads a number of bytes, one each interval.
func readSlowly(from net.Conn, bytes int, interval time.Duration) {
	for range bytes {
		time.Sleep(interval)
		_, _ = from.Read(make([]byte, 1))
	}
}

// A peer takes a few bytes at a time, steadily. A stall timeout that runs from the begin of a write of many bytes would
// end its connection. It runs from the last byte that the peer took.
func TestSteadyReaderIsNotStalled(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(near, 16, 80*time.Millisecond)
	go readSlowly(far, 16, 20*time.Millisecond)
	require.NoError(t, c.Write(make([]byte, 16)))
	assert.NoError(t, c.Flush())
}

// A peer takes a few bytes at a time, steadily, and the sweep for stalled output looks at the last write. The time that
// a write of many bytes began would show it as stalled. LastWrite follows what the peer takes.
func TestLastWriteFollowsASteadyReader(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(near, 64, time.Second)
	go readSlowly(far, 64, 10*time.Millisecond)
	flushed := make(chan error, 1)
	go func() { flushed <- errors.Join(c.Write(make([]byte, 64)), c.Flush()) }()
	oldest := time.Duration(0)
	for len(flushed) == 0 {
		time.Sleep(time.Millisecond)
		oldest = max(oldest, clock.Now().Sub(c.LastWrite()))
	}
	require.NoError(t, <-flushed)
	assert.Less(t, oldest, 3*writeProgressInterval)
}

// A peer takes a first part of what has to be written soon, and the rest a little later. A limit for the first part
// that held for the rest too would end the connection some milliseconds after the peer took something.
func TestFirstByteDeadlineIsNotThatOfTheRest(t *testing.T) {
	for name, test := range map[string]struct {
		firstPart, rest time.Duration // after the begin
		taken           int
	}{
		"first part late": {200 * time.Millisecond, 0, 0},
		"rest later":      {50 * time.Millisecond, 150 * time.Millisecond, 16},
		"rest too late":   {50 * time.Millisecond, time.Second, 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			defer far.Close()
			c := New(near, 16, time.Minute)
			now := time.Now()
			go func() {
				time.Sleep(test.firstPart)
				_, _ = io.ReadFull(far, make([]byte, 8))
				time.Sleep(time.Until(now.Add(test.rest)))
				_, _ = io.ReadFull(far, make([]byte, 8))
			}()
			c.SetWriteDeadlines(now.Add(100*time.Millisecond), now.Add(400*time.Millisecond))
			err := errors.Join(c.Write(make([]byte, 16)), c.Flush())
			assert.Equal(t, test.taken < 16, errors.Is(err, os.ErrDeadlineExceeded))
			assert.EqualValues(t, test.taken, c.BytesWritten())
		})
	}
}

// A writer waits until the reader has taken what came, while the reader waits for more, or is elsewhere, or has ended.
// It is not held longer than it takes, nor past its timeout, and the reader's own deadline stays.
func TestAwaitReader(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 64, 0)
	c.SetFrameTimeout(100 * time.Millisecond)
	lines := make(chan string, 9)
	elsewhere, ended := make(chan struct{}), make(chan error)
	go func() {
		line, _ := c.ReadLine()
		<-elsewhere
		lines <- string(line)
		_, err := c.ReadLine()
		c.Close(IdleTimeout, nil)
		ended <- err
	}()
	_, _ = io.WriteString(far, "one\npart")
	c.AwaitReader(20 * time.Millisecond)
	assert.Empty(t, lines, "it waits no longer than the timeout")
	close(elsewhere)
	startedAt := time.Now()
	c.AwaitReader(time.Minute)
	assert.Len(t, lines, 1)
	for time.Since(startedAt) < 80*time.Millisecond {
		c.AwaitReader(time.Minute)
	}
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	assert.Less(t, time.Since(startedAt), 150*time.Millisecond, "the stall was put off")
	c.AwaitReader(time.Minute) // returns at once
}

// A connection ends while a writer waits for its reader, which is elsewhere. The ends of its attempts would be late by
// the timeout.
func TestAwaitReaderEndsWithTheConnection(t *testing.T) {
	near, _ := net.Pipe()
	c := New(near, 64, 0)
	time.AfterFunc(20*time.Millisecond, func() { c.Close(IdleTimeout, nil) })
	startedAt := time.Now()
	c.AwaitReader(10 * time.Second)
	assert.Less(t, time.Since(startedAt), time.Second)
}

// A peer reads nothing while it is sent more than it has room for, and the connection is given up. What the system
// still holds would reach the peer once it reads again, and it would work on it. A reset drops it.
func TestResetDropsWhatIsNotSent(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 1<<10, 50*time.Millisecond)
	for c.Write(make([]byte, 1<<10)) == nil { // until the system takes no more
	}
	c.Reset(Unresponsive, nil)
	n, err := io.Copy(io.Discard, far)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Less(t, n, c.BytesWritten())
}

// Whether an endpoint is silent is shown by when input last came. A time that stands still would take each for silent.
func TestLastReadFollowsTheInput(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 64, 0)
	before := clock.Now()
	go func() { _, _ = io.WriteString(far, "one\n") }()
	_, err := c.ReadLine()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, c.LastRead(), before)
}

// A peer floods and the end of its connection is requested. Input would put the end off for as long as it comes. Where
// it does not matter any more, the end comes before the next read.
func TestRequestedEndIsNotPutOffByAFlood(t *testing.T) {
	errEnd := errors.New("end")
	for name, ignoreInput := range map[string]func(*Conn){
		"discarded":    func(c *Conn) { c.DiscardInput = true },
		"read no more": (*Conn).ReadNoMore,
	} {
		near, far := net.Pipe()
		c := New(near, 8, 0)
		c.OnCloseRequest = func(EndCode) error { return errEnd }
		go func() {
			for {
				if _, err := io.WriteString(far, "line\n"); err != nil {
					return
				}
			}
		}()
		_, err := c.ReadLine()
		require.NoError(t, err)
		ignoreInput(c)
		c.RequestClose(Shutdown)
		var lines int
		for err == nil {
			_, err = c.ReadLine()
			lines++
		}
		require.ErrorIs(t, err, errEnd, name)
		assert.LessOrEqual(t, lines, 2, "%s: what was read before, and no more", name)
		c.Close(Shutdown, nil)
	}
}

// The sending side is ended and the other side still sends. Another cause that shows meanwhile would take the place of
// the one for which the connection ends.
func TestGracefulCloseKeepsItsCause(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 64, 0)
	ended := make(chan struct{})
	go func() {
		c.CloseGracefully(IdleTimeout, io.ErrNoProgress, time.Second, 1<<10)
		close(ended)
	}()
	_, err := io.Copy(io.Discard, far)
	require.NoError(t, err, "the sending side has ended")
	c.SetEndCode(SocketError, io.ErrClosedPipe)
	_ = far.Close()
	<-ended
	assert.Equal(t, IdleTimeout, c.EndCode())
	assert.Equal(t, io.ErrNoProgress, c.EndErr())
}
