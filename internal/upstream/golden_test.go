package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// failingConn is a socket whose reads fail with an unclassified error once it has been written to.
type failingConn struct {
	net.Conn
	written chan bool
}

func (c failingConn) Read([]byte) (int, error) {
	<-c.written
	return 0, errors.New("read failed")
}

func (c failingConn) Write(p []byte) (int, error) {
	if bytes.HasSuffix(p, []byte("\r\n\r\n")) {
		time.AfterFunc(10*time.Millisecond, func() { close(c.written) })
	}
	return len(p), nil
}

func (failingConn) Close() error                     { return nil }
func (failingConn) SetReadDeadline(time.Time) error  { return nil }
func (failingConn) SetWriteDeadline(time.Time) error { return nil }

// failDials makes the pool's dials fail.
func failDials(s *testPool, err error) {
	s.Dial = func(context.Context, string) (net.Conn, error) { return nil, err }
}

// sendAndRead sends an attempt, reads it as the endpoint, and returns it with the endpoint's side of the connection.
func sendAndRead(t *testing.T, s *testPool) (*Attempt, net.Conn) {
	t.Helper()
	a := s.send("a", 0)
	endpointConn := <-s.dialed
	readCommand(t, bufio.NewReader(endpointConn))
	return a, endpointConn
}

// sendAndRespond sends an attempt and responds to it, so that its connection is idle.
func sendAndRespond(t *testing.T, s *testPool) (*Attempt, net.Conn) {
	t.Helper()
	a, endpointConn := sendAndRead(t, s)
	_, _ = io.WriteString(endpointConn, "a nobody - 0\r\n\r\n")
	s.nextEnd()
	return a, endpointConn
}

// connectionEnds lists the reasons for which an upstream connection ends. Each cause function provokes one of them and
// returns the attempt whose connection ends.
var connectionEnds = []struct {
	name  string
	cause func(t *testing.T, s *testPool) *Attempt
}{
	{"closed by the endpoint", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRespond(t, s)
		_ = endpointConn.Close()
		return a
	}},
	{"closed inside a body", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRead(t, s)
		_, _ = io.WriteString(endpointConn, "a served digest=d,dated=1 10\r\nhalf")
		_ = endpointConn.Close()
		return a
	}},
	{"unknown code", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRead(t, s)
		_, _ = io.WriteString(endpointConn, "a what - 0\r\n")
		return a
	}},
	{"line too long", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRead(t, s)
		_, _ = io.WriteString(endpointConn, strings.Repeat("x", admission.New(64, 5).EndpointRingBytes()))
		return a
	}},
	{"no line end after a body", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRead(t, s)
		_, _ = io.WriteString(endpointConn, "a served - 1\r\nxyz")
		return a
	}},
	{"response stalls", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRead(t, s)
		_, _ = io.WriteString(endpointConn, "a served digest=d,dated=1,remark=h 10\r\nhalf")
		return a
	}},
	{"endpoint does not read", func(_ *testing.T, s *testPool) *Attempt {
		return s.send("a", 200_000)
	}},
	{"idle", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, _ := sendAndRespond(t, s)
		s.CloseIdle(clock.Now().Add(time.Hour))
		return a
	}},
	{"endpoint removed", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, _ := sendAndRespond(t, s)
		s.UpdateEndpoints(true, nil)
		s.CloseIdle(clock.Now().Add(time.Second))
		return a
	}},
	{"silent after a cancel", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, endpointConn := sendAndRead(t, s)
		s.ConnectTimeout = 0
		s.Cancel(a, routing.TimedOut)
		assert.Equal(t, "undo a", readCommand(t, bufio.NewReader(endpointConn)))
		s.nextEnd()
		s.CloseIdle(clock.Now())
		return a
	}},
	{"panic", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		onEvent := s.OnEvent
		s.OnEvent = func(ev Event) {
			if e, ok := ev.(AttemptEnded); ok && e.End.Result == routing.CacheMiss {
				panic("a fault")
			}
			onEvent(ev)
		}
		a, endpointConn := sendAndRead(t, s)
		_, _ = io.WriteString(endpointConn, "a not_here - 0\r\n\r\n")
		return a
	}},
	{"read error", func(_ *testing.T, s *testPool) *Attempt {
		s.Dial = func(context.Context, string) (net.Conn, error) { return failingConn{written: make(chan bool)}, nil }
		return s.send("a", 0)
	}},
	{"refused", func(_ *testing.T, s *testPool) *Attempt {
		failDials(s, syscall.ECONNREFUSED)
		return s.send("a", 0)
	}},
	{"no descriptors", func(_ *testing.T, s *testPool) *Attempt {
		failDials(s, syscall.EMFILE)
		return s.send("a", 0)
	}},
	{"all addresses in cooldown", func(_ *testing.T, s *testPool) *Attempt {
		s.AddressSelector = address.New(1)
		s.EndpointAddresses = func(discovery.Endpoint) []address.Addr { return []address.Addr{firstAddr, secondAddr} }
		s.RefreshAddresses()
		now := clock.NowSeconds()
		s.AddressSelector.DialEnded(now, "m", firstAddr, address.DialRefused, 0)
		s.AddressSelector.DialEnded(now, "m", secondAddr, address.DialRefused, 0)
		return s.send("a", 0)
	}},
	{"shutdown", func(t *testing.T, s *testPool) *Attempt {
		t.Helper()
		a, _ := sendAndRespond(t, s)
		go s.stop()
		return a
	}},
}

// TestEndedConnectionLogLines ends a connection for each reason and compares the log lines with the golden file. Times,
// durations and the error text of the codec, which belongs to another package, are masked.
func TestEndedConnectionLogLines(t *testing.T) {
	volatile := regexp.MustCompile(`(time|duration_seconds|stack)=("(\\.|[^"])*"|\S+)`)
	codecError := regexp.MustCompile(`error=.*what.*`)
	var lines strings.Builder
	for _, end := range connectionEnds {
		s := newTestPool(t)
		a := end.cause(t, s)
		log := s.logAfterEnd(a.Connection())
		log = codecError.ReplaceAllString(volatile.ReplaceAllString(log, "$1=*"), "error=*")
		lines.WriteString(end.name + "\n" + log)
	}
	const file = "testdata/ended-connections.golden"
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(lines.String()), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	assert.Equal(t, string(want), lines.String())
}
