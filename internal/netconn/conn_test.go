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

// Guards against bytes that are lost or read twice where input wraps around the end of the ring buffer, and against a
// truncated read that looks like a regular close. All bytes must arrive in order, and input that ends within a read
// must return an error of its own.
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
	require.ErrorIs(t, c.ReadFull(p), io.ErrUnexpectedEOF, "truncated input is not a regular close")
	assert.ErrorIs(t, c.ReadFull(p), io.EOF)
}

// Guards against a buffer that grows without bound for a line without a line feed. A line longer than the buffer must
// be a protocol error.
func TestLineLongerThanTheBufferIsAProtocolError(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.WriteString(far, strings.Repeat("x", 9)) }()
	_, err := New(near, 8, 0).ReadLine()
	assert.Equal(t, ProtocolError, ClassifyError(err))
}

// When a connection breaks while a request is written, the byte counts decide whether the request may have run and may
// be retried. The counts of bytes passed to Write and of bytes accepted by the socket must be exact.
func TestByteCountsAreExact(t *testing.T) {
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
	assert.Equal(t, []int64{10, 8}, []int64{c.OutputOffset(), c.BytesWritten()})
}

// Guards against a writer that blocks forever on a peer that reads nothing, or too little. A stalled write, and one
// that passes its deadline although the peer reads steadily, must both fail as a slow reader.
func TestWritesToSlowReadersFail(t *testing.T) {
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
	assert.Equal(t, SlowReader, ClassifyError(c.Write(make([]byte, 1000))), "although the peer reads steadily")
	_ = far.Close()
}

// Guards against a log line that blames the wrong side for the end of a connection. Each socket error, also a wrapped
// one, must have the end code of its cause.
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
		if want == SlowReader { // a write deadline
			want = IdleTimeout
		}
		assert.Equal(t, want, ClassifyReadError(wrapped, IdleTimeout))
	}
}

// Guards against a log line that names a consequence in place of the cause: several goroutines close a failed
// connection, each with its own code. The first code must win, with one log line and one count for each connection.
func TestFirstEndCodeWins(t *testing.T) {
	near, _ := net.Pipe()
	c := New(near, 8, 0)
	var log bytes.Buffer
	m := telemetry.New(&log, "n1")
	m.ConnectionOpened(telemetry.SideClient)
	c.SetEndCode(ProtocolError, errors.New("why"))
	c.Close(IdleTimeout, nil)
	c.Close(PeerReset, nil)
	c.LogEnd(m, telemetry.Remote{Side: telemetry.SideClient, Address: "x:1"})
	assert.Contains(t, log.String(), "side=client reason=protocol_error remote_address=x:1")
	assert.Contains(t, log.String(), "error=why")
	assert.Equal(t, 1, strings.Count(log.String(), "\n"))
	assert.EqualValues(t, 1, m.Value(`connections_opened_total{side="client"}`)) //nolint:testifylint // exact by intent
	assert.EqualValues(t, 0, m.Value(`connections_open{side="client"}`))         //nolint:testifylint // exact by intent
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, m.Value(`connections_closed_total{side="client",reason="protocol_error"}`))
}

// tcpPair returns both sides of a connection over loopback: the program's side and the peer's.
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

// Guards against lost output: closing a connection with unread input makes the kernel reset it. The output must arrive,
// and the connection must read on until the peer has closed its side too.
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
	assert.False(t, c.IsClosed(), "it reads on until the peer has closed its side too")
	_ = far.Close()
	<-done
	assert.True(t, c.IsClosed())
}

// Guards against a graceful close that never finishes because the peer neither sends nor closes, or floods the
// connection. The close must be limited in time and in bytes.
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

// scriptedSocket is a socket whose reads are scripted. Each read waits until the test supplies its result.
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

// Guards against a request that is dropped unread because it arrives while a close is requested. Pending input must be
// read first, OnCloseRequest must be called only once no input is unread, and if it declines, the connection must stay
// open.
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
	s.reads <- timeout // the read in progress
	next(bring("x"))   // the final read before the close
	assert.Equal(t, "x", <-got)
	next(timeout) // the close is still requested, and no input is unread
	assert.Equal(t, IdleTimeout, <-requested)
	reply <- nil
	next(bring("y"))
	assert.Equal(t, "y", <-got)
	next(timeout) // an interrupt without a close request
	<-s.reading
	c.RequestClose(Shutdown)
	<-s.interrupted
	s.reads <- timeout
	next(timeout)
	assert.Equal(t, Shutdown, <-requested)
	reply <- errors.New("it may")
	assert.Equal(t, "it may", <-got)
}

// readSlowly reads a number of bytes, one in each interval.
func readSlowly(from net.Conn, bytes int, interval time.Duration) {
	for range bytes {
		time.Sleep(interval)
		_, _ = from.Read(make([]byte, 1))
	}
}

// Guards against closing the connection of a peer that reads a few bytes at a time, but steadily: a stall timeout that
// runs from the start of a large write would do that. It must run from the last byte that the peer read.
func TestSteadyReaderIsNotStalled(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(near, 16, 80*time.Millisecond)
	go readSlowly(far, 16, 20*time.Millisecond)
	require.NoError(t, c.Write(make([]byte, 16)))
	assert.NoError(t, c.Flush())
}

// Guards against the sweep for stalled output taking a steady reader for a stalled one, as it would if LastWrite were
// the start of a large write. LastWrite must advance with each byte that the peer reads.
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

// Guards against closing a connection a few milliseconds after the peer read something: a peer reads the first part of
// the output in time and the rest later. The first-byte deadline must not apply to the rest.
func TestFirstByteDeadlineDoesNotApplyToTheRest(t *testing.T) {
	for name, test := range map[string]struct {
		firstPart, rest time.Duration // time after the start of the write
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

// A writer waits for a reader that is waiting for input, is busy elsewhere, or has ended. The wait must end once the
// reader has processed the received input, at the latest at its timeout, and must not change the reader's own deadline.
func TestAwaitReader(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 64, 0)
	c.SetFrameTimeout(100 * time.Millisecond)
	lines := make(chan string, 9)
	resumeReader, ended := make(chan struct{}), make(chan error)
	go func() {
		line, _ := c.ReadLine()
		<-resumeReader
		lines <- string(line)
		_, err := c.ReadLine()
		c.Close(IdleTimeout, nil)
		ended <- err
	}()
	_, _ = io.WriteString(far, "one\npart")
	c.AwaitReader(20 * time.Millisecond)
	assert.Empty(t, lines, "AwaitReader returns at the timeout")
	close(resumeReader)
	startedAt := time.Now()
	c.AwaitReader(time.Minute)
	assert.Len(t, lines, 1)
	for time.Since(startedAt) < 80*time.Millisecond {
		c.AwaitReader(time.Minute)
	}
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	assert.Less(t, time.Since(startedAt), 150*time.Millisecond, "the frame deadline was extended")
	c.AwaitReader(time.Minute) // returns immediately, as the connection is closed
}

// Guards against attempts that end late by the timeout of AwaitReader: the connection closes while a writer waits for
// its reader, which is busy elsewhere. The close must end the wait.
func TestCloseEndsAwaitReader(t *testing.T) {
	near, _ := net.Pipe()
	c := New(near, 64, 0)
	time.AfterFunc(20*time.Millisecond, func() { c.Close(IdleTimeout, nil) })
	startedAt := time.Now()
	c.AwaitReader(10 * time.Second)
	assert.Less(t, time.Since(startedAt), time.Second)
}

// Guards against a peer that resumes reading and processes requests that were given up: the peer stops reading, and the
// kernel still holds unsent output. A reset must discard that output.
func TestResetDropsUnsentOutput(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 1<<10, 50*time.Millisecond)
	for c.Write(make([]byte, 1<<10)) == nil { // until the kernel accepts no more
	}
	c.Reset(Unresponsive, nil)
	n, err := io.Copy(io.Discard, far)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Less(t, n, c.BytesWritten())
}

// Guards against taking every endpoint for unresponsive: this is decided by the time of the last input. LastRead must
// advance when input arrives.
func TestLastReadFollowsTheInput(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 64, 0)
	before := clock.Now()
	go func() { _, _ = io.WriteString(far, "one\n") }()
	_, err := c.ReadLine()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, c.LastRead(), before)
}

// Guards against a flooding peer that delays a requested close for as long as it sends. If pending input does not
// matter any more, the close must take effect before the next read.
func TestFloodDoesNotDelayRequestedClose(t *testing.T) {
	errEnd := errors.New("end")
	for name, ignoreInput := range map[string]func(*Conn){
		"discarded":              func(c *Conn) { c.DiscardInput = true },
		"close before next read": (*Conn).CloseBeforeNextRead,
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
		assert.LessOrEqual(t, lines, 2, "%s: only lines that were read before the request", name)
		c.Close(Shutdown, nil)
	}
}

// Guards against replacing the cause of a close: the sending side is shut down, the peer still sends, and another error
// occurs meanwhile. The first cause must be reported.
func TestGracefulCloseKeepsItsCause(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 64, 0)
	ended := make(chan struct{})
	go func() {
		c.CloseGracefully(IdleTimeout, io.ErrNoProgress, time.Second, 1<<10)
		close(ended)
	}()
	_, err := io.Copy(io.Discard, far)
	require.NoError(t, err, "the sending side is shut down")
	c.SetEndCode(SocketError, io.ErrClosedPipe)
	_ = far.Close()
	<-ended
	assert.Equal(t, IdleTimeout, c.EndCode())
	assert.Equal(t, io.ErrNoProgress, c.EndErr())
}
