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

// A dial fails for want of descriptors or ports on this machine. The endpoint would be ejected for it. Of the errors
// that socket, bind and connect document, only those of the other side count against the endpoint.
func TestDialErrorsBlameTheEndpointOnlyForItsOwn(t *testing.T) {
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

// failingOnceConn is a socket whose reads or writes fail once.
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

// A write or a read of a connection fails. An attempt without an end would be waited for until its deadline. With each
// error that tells of a broken connection the attempt ends, as one that did not run or as one that may have, and the
// endpoint sees the end.
func TestErrorsOfAConnectionEndItsAttempts(t *testing.T) {
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
			far := <-s.dialed
			want := routing.ConnectFailed
			if !write {
				want = routing.ConnectionBroken
				assert.Equal(t, "do a", readCommand(t, bufio.NewReader(far)))
				go func() { _, _ = io.WriteString(far, "a") }()
			}
			assert.Equal(t, endedWith(a, want), s.nextEnd(), "%v, write %t", errno, write)
			_ = far.SetReadDeadline(time.Now().Add(time.Second)) // an error where the other side is closed already
			_, err := io.Copy(io.Discard, far)
			assert.NoError(t, err, "the endpoint sees the end")
		}
	}
}

// A socket fails for want of memory on this machine until its attempts are given up. The endpoint would be ejected for
// it. The attempt ends as not sent.
func TestShortageOnAConnectionBlamesNobody(t *testing.T) {
	s := newTestPool(t)
	s.Dial = func(context.Context, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return shortOfMemory{near}, nil
	}
	a := s.send("a", 0)
	assert.Equal(t, endedWith(a, routing.NotSent), s.nextEnd())
}

// shortOfMemory is a socket whose writes fail for want of memory.
type shortOfMemory struct{ net.Conn }

func (shortOfMemory) Write([]byte) (int, error) { return 0, syscall.ENOBUFS }

// An endpoint answers that the copy of the client is current, and means another copy or names none. The client would go
// on with a stale one. Such an answer completes a request only if it names the copy that the client has.
func TestNotModifiedHasToNameTheClientsCopy(t *testing.T) {
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
		far := <-s.dialed
		assert.Equal(t, "do a", readCommand(t, bufio.NewReader(far)))
		_, _ = io.WriteString(far, "a still_good "+c.fields+" 0\r\n\r\n")
		assert.Equal(t, c.want, s.nextEnd().End.Result, "%+v", c)
	}
}
