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

	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadsAcrossTheRing(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 8, 0)
	go func() {
		_, _ = io.WriteString(far, "one\r\ntwo\n0123456789abcdefrest")
		_ = far.Close()
	}()
	a, err := c.ReadLine()
	assert.NoError(t, err)
	b, err := c.ReadLine()
	assert.NoError(t, err)
	assert.Equal(t, []string{"one", "two"}, []string{string(a), string(b)})
	assert.NoError(t, c.Discard(4))
	p := make([]byte, 12)
	assert.NoError(t, c.ReadFull(p))
	assert.Equal(t, "456789abcdef", string(p))
	assert.ErrorIs(t, c.ReadFull(p), io.ErrUnexpectedEOF, "cut short is no clean end")
	assert.ErrorIs(t, c.ReadFull(p), io.EOF)
}

func TestOverlongLine(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.WriteString(far, strings.Repeat("x", 9)) }()
	_, err := New(near, 8, 0).ReadLine()
	assert.Equal(t, ProtocolError, ClassifyError(err))
}

// TestBytesAreCounted: what was handed in and what the socket took tell whether a request may have run.
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
	assert.NoError(t, c.Write([]byte("0123456789")))
	assert.Equal(t, "01234567", <-got)
	assert.Error(t, c.Flush())
	assert.Equal(t, []int64{10, 8}, []int64{c.BytesBuffered(), c.BytesWritten()})
}

func TestStalledAndTrickledWritesEnd(t *testing.T) {
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

func TestReasons(t *testing.T) {
	for err, want := range map[error]EndCode{io.EOF: PeerClosed, syscall.ECONNRESET: PeerReset, syscall.EPIPE: PeerReset, io.ErrUnexpectedEOF: PeerReset,
		os.ErrDeadlineExceeded: SlowReader, net.ErrClosed: Shutdown, context.Canceled: Shutdown, errors.New("x"): SocketError} {
		assert.Equal(t, want, ClassifyError(fmt.Errorf("wrapped: %w", err)))
	}
}

func TestFirstCodeCounts(t *testing.T) {
	near, _ := net.Pipe()
	c := New(near, 8, 0)
	var log bytes.Buffer
	b := telemetry.New(&log, "n1")
	b.ConnectionOpened("client")
	c.SetEndCode(ProtocolError, errors.New("why"))
	c.Close(IdleTimeout, nil)
	c.Close(PeerReset, nil)
	c.LogEnd(b, "client", "x:1")
	assert.Contains(t, log.String(), "side=client code=protocol peer=x:1")
	assert.Contains(t, log.String(), "err=why")
	assert.Equal(t, 1, strings.Count(log.String(), "\n"))
	assert.Equal(t, []int64{1, 0, 1}, []int64{b.Value("conn.client.begun"), b.Value("conn.client.open"), b.Value("conn.client.ended.protocol")})
}

// pair is a connection over loopback: the near side as the program has it, and the far side.
func pair(t *testing.T) (near, far *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	raw, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = c.Close()
	})
	return raw.(*net.TCPConn), c.(*net.TCPConn)
}

// TestHangupDestroysNothing: the last words arrive though the other side has written what nobody reads; a close at once
// would reset the connection.
func TestHangupDestroysNothing(t *testing.T) {
	near, far := pair(t)
	c := New(near, 1024, time.Second)
	_, err := far.Write(make([]byte, 100_000))
	require.NoError(t, err)
	words := strings.Repeat("last words ", 9000)
	require.NoError(t, errors.Join(c.Write([]byte(words)), c.Flush()))
	done := make(chan bool)
	go func() {
		c.CloseGracefully(IdleTimeout, nil, time.Minute, 1<<20)
		close(done)
	}()
	got, err := io.ReadAll(far)
	assert.NoError(t, err)
	assert.Equal(t, words, string(got))
	assert.False(t, c.IsClosed(), "it reads on until the other side has ended too")
	_ = far.Close()
	<-done
	assert.True(t, c.IsClosed())
}

// TestHangupIsBounded: in time for one that says nothing more and does not end, in bytes for one that floods.
func TestHangupIsBounded(t *testing.T) {
	near, _ := pair(t)
	c := New(near, 1024, 0)
	c.CloseGracefully(IdleTimeout, nil, time.Millisecond, 1<<20)
	assert.True(t, c.IsClosed())
	near, far := pair(t)
	go func() { _, _ = far.Write(make([]byte, 10_000)) }()
	c = New(near, 1024, 0)
	c.CloseGracefully(IdleTimeout, nil, time.Minute, 2000)
	assert.True(t, c.IsClosed())
}

// script is a socket whose reads are scripted: each waits for its turn.
type script struct {
	net.Conn
	reading chan bool
	reads   chan func(p []byte) (int, error)
	woken   chan bool
}

func (s *script) Read(p []byte) (int, error) {
	s.reading <- true
	return (<-s.reads)(p)
}

func (s *script) Close() error { return nil }

func (s *script) SetReadDeadline(at time.Time) error {
	if at.Equal(time.Unix(1, 0)) {
		s.woken <- true
	}
	return nil
}

// TestAskedReadsWhatHasComeFirst: bytes that came in the moment in which the end was asked for are taken in; only when
// nothing is unread is it asked whether the connection may end, and after a no it goes on.
func TestAskedReadsWhatHasComeFirst(t *testing.T) {
	late := func([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }
	bring := func(text string) func([]byte) (int, error) {
		return func(p []byte) (int, error) { return copy(p, text), nil }
	}
	s := &script{reading: make(chan bool), reads: make(chan func([]byte) (int, error)), woken: make(chan bool, 9)}
	c := New(s, 8, 0)
	asked, may := make(chan EndCode), make(chan error)
	c.OnCloseRequest = func(code EndCode) error {
		asked <- code
		return <-may
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
	<-s.woken
	s.reads <- late  // the read that was under way
	next(bring("x")) // the last look
	assert.Equal(t, "x", <-got)
	next(late) // asked still, and nothing is unread
	assert.Equal(t, IdleTimeout, <-asked)
	may <- nil
	next(bring("y"))
	assert.Equal(t, "y", <-got)
	next(late) // a wake for nothing
	<-s.reading
	c.RequestClose(Shutdown)
	<-s.woken
	s.reads <- late
	next(late)
	assert.Equal(t, Shutdown, <-asked)
	may <- errors.New("it may")
	assert.Equal(t, "it may", <-got)
}
