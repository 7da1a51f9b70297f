package conn

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

	"cairnfront/internal/book"

	"github.com/stretchr/testify/assert"
)

func TestReadsAcrossTheRing(t *testing.T) {
	near, far := net.Pipe()
	c := New(near, 8, 0)
	go func() {
		_, _ = io.WriteString(far, "one\r\ntwo\n0123456789abcdefrest")
		_ = far.Close()
	}()
	a, err := c.Line()
	assert.NoError(t, err)
	b, err := c.Line()
	assert.NoError(t, err)
	assert.Equal(t, []string{"one", "two"}, []string{string(a), string(b)})
	assert.NoError(t, c.Skip(4))
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
	_, err := New(near, 8, 0).Line()
	assert.Equal(t, Protocol, Reason(err))
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
	assert.Equal(t, []int64{10, 8}, []int64{c.Entered(), c.Wrote()})
}

func TestStalledAndTrickledWritesEnd(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(near, 8, time.Millisecond)
	assert.Equal(t, Slow, Reason(c.Write([]byte("0123456789"))))
	near, far = net.Pipe()
	go func() {
		for p := make([]byte, 1); ; {
			if _, err := far.Read(p); err != nil {
				return
			}
		}
	}()
	c = New(near, 8, time.Hour)
	c.WriteBy(time.Now())
	assert.Equal(t, Slow, Reason(c.Write(make([]byte, 1000))), "however steadily it is read")
	_ = far.Close()
}

func TestReasons(t *testing.T) {
	for err, want := range map[error]string{io.EOF: PeerClosed, syscall.ECONNRESET: Reset, syscall.EPIPE: Reset, io.ErrUnexpectedEOF: Reset,
		os.ErrDeadlineExceeded: Slow, net.ErrClosed: Shutdown, context.Canceled: Shutdown, errors.New("x"): Other} {
		assert.Equal(t, want, Reason(fmt.Errorf("wrapped: %w", err)))
	}
}

func TestFirstCodeCounts(t *testing.T) {
	near, _ := net.Pipe()
	c := New(near, 8, 0)
	var log bytes.Buffer
	b := book.New(&log, "n1")
	b.Began("client")
	c.Blame(Protocol, errors.New("why"))
	c.End(Idle, nil)
	c.End(Reset, nil)
	c.Done(b, "client", "x:1")
	assert.Contains(t, log.String(), "side=client code=protocol peer=x:1")
	assert.Contains(t, log.String(), "err=why")
	assert.Equal(t, 1, strings.Count(log.String(), "\n"))
	assert.Equal(t, []int64{1, 0, 1}, []int64{b.Count("conn.client.begun"), b.Count("conn.client.open"), b.Count("conn.client.ended.protocol")})
}
