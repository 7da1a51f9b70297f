package netconn

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// failingSocket is a socket whose calls fail so many times, or for a time, before they succeed.
type failingSocket struct {
	net.Conn
	mu       sync.Mutex
	err      error
	failures int
	until    time.Time
}

func (s *failingSocket) fail() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.failures--
		return s.err
	}
	if time.Now().Before(s.until) {
		return s.err
	}
	return nil
}

func (s *failingSocket) Read(p []byte) (int, error) {
	if err := s.fail(); err != nil {
		return 0, err
	}
	return s.Conn.Read(p)
}

func (s *failingSocket) Write(p []byte) (int, error) {
	if err := s.fail(); err != nil {
		return 0, err
	}
	return s.Conn.Write(p)
}

// momentaryErrors are those that send and recv document for a cause on this machine.
var momentaryErrors = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.ENETDOWN}

// A read or a write fails for a want of memory on this machine that passes. The connection would end, with all requests
// on it. Calls that fail once, in series and for a while are tried again, and the bytes come through, once and in
// order.
func TestReadsAndWritesThatFailForAMomentAreTriedAgain(t *testing.T) {
	for _, errno := range momentaryErrors {
		for _, duration := range []struct {
			failures int
			lasting  time.Duration
		}{{1, 0}, {20, 0}, {0, 300 * time.Millisecond}} {
			t.Run(fmt.Sprint(errno, duration), func(t *testing.T) {
				t.Parallel()
				near, far := net.Pipe()
				failing := func(socket net.Conn, call string) *Conn {
					return New(&failingSocket{
						Conn:     socket,
						err:      &net.OpError{Op: call, Err: os.NewSyscallError(call, errno)},
						failures: duration.failures,
						until:    time.Now().Add(duration.lasting),
					}, 64, time.Second)
				}
				writer, reader := failing(near, "write"), failing(far, "read")
				text := "a text that is longer than what either of the two buffers has room for at a time, to be sure"
				written := make(chan error, 1)
				go func() {
					err := writer.Write([]byte(text))
					if err == nil {
						err = writer.Flush()
					}
					written <- err
				}()
				got := make([]byte, len(text))
				require.NoError(t, reader.ReadFull(got))
				require.NoError(t, <-written)
				assert.Equal(t, text, string(got))
				writer.Close(Shutdown, nil)
				reader.Close(Shutdown, nil)
			})
		}
	}
}

// The want of memory does not pass. A write that is tried without end would hold its connection for ever. It fails
// after its limit.
func TestShortageThatLastsEnds(t *testing.T) {
	near, _ := net.Pipe()
	failing := &failingSocket{Conn: near, err: syscall.ENOBUFS, until: time.Now().Add(time.Hour)}
	c := New(failing, 64, 50*time.Millisecond)
	startedAt := time.Now()
	require.NoError(t, c.Write([]byte("x")))
	require.ErrorIs(t, c.Flush(), syscall.ENOBUFS)
	assert.Less(t, time.Since(startedAt), time.Second)
	c.Close(Shutdown, nil)
}

// Reads fail for a want of memory, and the time for input is over. Tried on for as long as writes are, a request would
// wait past its connection's limit.
func TestShortageEndsWithTheReadDeadline(t *testing.T) {
	near, _ := net.Pipe()
	failing := &failingSocket{Conn: near, err: syscall.ENOBUFS, until: time.Now().Add(time.Hour)}
	c := New(failing, 64, 0)
	startedAt := time.Now()
	c.SetReadDeadline(startedAt.Add(50 * time.Millisecond))
	_, err := c.ReadLine()
	require.ErrorIs(t, err, syscall.ENOBUFS)
	assert.Less(t, time.Since(startedAt), time.Second)
	c.Close(Shutdown, nil)
}
