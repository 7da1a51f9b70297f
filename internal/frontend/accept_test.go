package frontend

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose accepts fail so many times, or for a time.
type failingListener struct {
	net.Listener
	errno    syscall.Errno
	mu       sync.Mutex
	failures int
	until    time.Time
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	failing := l.failures > 0 || time.Now().Before(l.until)
	l.failures--
	l.mu.Unlock()
	if failing {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// An accept fails, for want of descriptors or since a client in the backlog has left. A listener that ends with it
// serves nobody any more, and one that waits each time serves everybody late. With each error that accept documents,
// once, in series and for a time, a client is served as soon as accepts succeed; after a connection that ended in the
// backlog nothing is waited for.
func TestAcceptGoesOnAfterEachError(t *testing.T) {
	descriptors := map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
	}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
		syscall.EAGAIN, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EPERM,
	} {
		for _, c := range []struct {
			failures int
			lasting  time.Duration
			most     time.Duration // until the client is served
		}{
			{1, 0, 8 * time.Millisecond},
			{10, 0, 8 * time.Millisecond},
			{0, 300 * time.Millisecond, 400 * time.Millisecond},
		} {
			t.Run(errno.Error(), func(t *testing.T) {
				ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
				require.NoError(t, err)
				startedAt := time.Now()
				failing := &failingListener{
					Listener: ln, errno: errno, failures: c.failures, until: startedAt.Add(c.lasting),
				}
				served := serveOn(t, failing)
				far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
				require.NoError(t, err)
				_, err = far.Write(readinessQuery(0))
				require.NoError(t, err)
				require.NoError(t, far.SetReadDeadline(time.Now().Add(10*time.Second)))
				_, err = far.Read(make([]byte, 1))
				require.NoError(t, err)
				if !descriptors[errno] {
					assert.Less(t, time.Since(startedAt), c.most)
				}
				_ = far.Close()
				served()
			})
		}
	}
}
