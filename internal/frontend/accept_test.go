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

// failingListener is a listener whose accepts fail a number of times, or until a time.
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

// Guards against a listener that ends after a failed accept and serves no more clients, and against one that delays
// every retry and serves all clients late. For each error that accept documents, which occurs once, in series or for
// some time, a client must be served as soon as accepts succeed. After a connection that ended in the backlog there
// must be no delay.
func TestAcceptContinuesAfterEachError(t *testing.T) {
	descriptors := map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
	}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
		syscall.EAGAIN, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EPERM,
	} {
		for _, c := range []struct {
			failures int
			duration time.Duration
			maxDelay time.Duration // longest time until the client is served
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
					Listener: ln, errno: errno, failures: c.failures, until: startedAt.Add(c.duration),
				}
				stop := serveOn(t, failing)
				far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
				require.NoError(t, err)
				_, err = far.Write(readinessQuery(0))
				require.NoError(t, err)
				require.NoError(t, far.SetReadDeadline(time.Now().Add(10*time.Second)))
				_, err = far.Read(make([]byte, 1))
				require.NoError(t, err)
				if !descriptors[errno] {
					assert.Less(t, time.Since(startedAt), c.maxDelay)
				}
				_ = far.Close()
				stop()
			})
		}
	}
}
