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

// failingSocket is a socket whose calls fail a number of times, or until a time, before they succeed.
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

// transientErrors are the errors with a local cause that the manual pages of send and recv document.
var transientErrors = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.ENETDOWN}

// Guards against a connection that ends, with all its open requests, because of a temporary local shortage of memory.
// Reads and writes fail once, in series or for some time; they must be retried, and every byte must arrive once and in
// order.
func TestTransientErrorsAreRetried(t *testing.T) {
	for _, errno := range transientErrors {
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

// Guards against a connection that is never closed because its write is retried without end during a lasting shortage
// of memory. The write must fail at its limit.
func TestWriteFailsAfterLastingLocalError(t *testing.T) {
	near, _ := net.Pipe()
	failing := &failingSocket{Conn: near, err: syscall.ENOBUFS, until: time.Now().Add(time.Hour)}
	c := New(failing, 64, 50*time.Millisecond)
	startedAt := time.Now()
	require.NoError(t, c.Write([]byte("x")))
	require.ErrorIs(t, c.Flush(), syscall.ENOBUFS)
	assert.Less(t, time.Since(startedAt), time.Second)
	c.Close(Shutdown, nil)
}

// Guards against a request that waits past its connection's read deadline: reads that fail for lack of memory would be
// retried for localErrorTimeout, as writes are. The read must fail at its deadline.
func TestLocalErrorEndsWithTheReadDeadline(t *testing.T) {
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
