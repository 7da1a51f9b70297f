package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// A dial fails for lack of descriptors or ports on this machine. This must not get the endpoint ejected. Of the errors
// documented for socket, bind and connect, only those caused by the other side count against the endpoint.
func TestLocalDialErrorsDoNotCountAgainstEndpoint(t *testing.T) {
	for errno, want := range map[syscall.Errno]routing.AttemptResult{
		syscall.EMFILE:        routing.NotSent,
		syscall.ENFILE:        routing.NotSent,
		syscall.ENOBUFS:       routing.NotSent,
		syscall.ENOMEM:        routing.NotSent,
		syscall.EADDRNOTAVAIL: routing.NotSent,
		syscall.ENETUNREACH:   routing.NotSent,
		syscall.EAGAIN:        routing.NotSent,
		syscall.EINTR:         routing.NotSent,
		syscall.EPERM:         routing.NotSent,
		syscall.EACCES:        routing.NotSent,
		syscall.ECONNREFUSED:  routing.ConnectFailed,
		syscall.ECONNRESET:    routing.ConnectFailed,
		syscall.EHOSTUNREACH:  routing.ConnectFailed,
		syscall.ETIMEDOUT:     routing.ConnectFailed,
	} {
		s := newTestPool(t)
		s.Dial = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		a := s.send("a", 0)
		assert.Equal(t, endedWith(a, want), s.nextEnd(), "%v", errno)
	}
}

// failingOnceConn is a socket on which one read or one write fails.
type failingOnceConn struct {
	net.Conn
	readErr, writeErr error
	failed            atomic.Bool
}

func (c *failingOnceConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.readErr != nil && c.failed.CompareAndSwap(false, true) {
		return 0, c.readErr
	}
	return n, err
}

func (c *failingOnceConn) Write(p []byte) (int, error) {
	if c.writeErr != nil && c.failed.CompareAndSwap(false, true) {
		return 0, c.writeErr
	}
	return c.Conn.Write(p)
}

// A write or a read on a connection fails. Each error that shows a broken connection must end the attempt, which would
// otherwise be waited for until its deadline. The result states whether the attempt may have run, and the endpoint sees
// the close.
func TestConnectionErrorsEndAttempts(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.EIO,
	} {
		for _, write := range []bool{true, false} {
			s := newTestPool(t)
			dial := s.Dial
			s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				raw, err := dial(ctx, addr)
				if write {
					return &failingOnceConn{Conn: raw, writeErr: errno}, err
				}
				return &failingOnceConn{Conn: raw, readErr: errno}, err
			}
			a := s.send("a", 0)
			endpointConn := <-s.dialed
			want := routing.ConnectFailed
			if !write {
				want = routing.ConnectionBroken
				assert.Equal(t, "do a", readCommand(t, bufio.NewReader(endpointConn)))
				go func() { _, _ = io.WriteString(endpointConn, "a") }()
			}
			assert.Equal(t, endedWith(a, want), s.nextEnd(), "%v, write %t", errno, write)
			_ = endpointConn.SetReadDeadline(time.Now().Add(time.Second)) // fails if the other side is already closed
			_, err := io.Copy(io.Discard, endpointConn)
			assert.NoError(t, err, "the endpoint sees the close")
		}
	}
}

// Writes fail for lack of memory on this machine until the attempt is given up. This must not get the endpoint ejected:
// the attempt ends as not sent.
func TestLocalWriteShortageIsNotSent(t *testing.T) {
	s := newTestPool(t)
	s.Dial = func(context.Context, string) (net.Conn, error) {
		poolConn, _ := net.Pipe()
		return noBufferSpaceConn{poolConn}, nil
	}
	a := s.send("a", 0)
	assert.Equal(t, endedWith(a, routing.NotSent), s.nextEnd())
}

// noBufferSpaceConn is a socket whose writes fail with ENOBUFS.
type noBufferSpaceConn struct{ net.Conn }

func (noBufferSpaceConn) Write([]byte) (int, error) { return 0, syscall.ENOBUFS }

// An endpoint responds that the client's copy is current, but the response has the ETag of another copy or none. The
// client would continue to use a stale copy. Such a response completes a request only if its ETag is that of the
// client's copy.
func TestNotModifiedRequiresMatchingETag(t *testing.T) {
	for _, c := range []struct {
		clientETag, fields string
		want               routing.AttemptResult
	}{
		{"t1", "digest=t1,dated=1", routing.Completed},
		{"t1", "digest=t2,dated=1", routing.ServerError},
		{"t1", "dated=1", routing.ServerError},
		{"t1", "-", routing.ServerError},
		{"", "digest=t1,dated=1", routing.ServerError},
		{"", "-", routing.ServerError},
	} {
		s := newTestPool(t)
		r := &request.Request{ID: "a", ClassName: "page", Object: "ff", Part: "0", ETag: c.clientETag}
		s.Send(attemptOf(r), Bounds{}, nil, testOwner("a"))
		endpointConn := <-s.dialed
		assert.Equal(t, "do a", readCommand(t, bufio.NewReader(endpointConn)))
		_, _ = io.WriteString(endpointConn, "a still_good "+c.fields+" 0\r\n\r\n")
		assert.Equal(t, c.want, s.nextEnd().End.Result, "%+v", c)
	}
}
