package upstream

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// An endpoint violates the protocol. Everything after that could be misread as the response to another attempt. The
// attempt ends as broken and the connection is closed, with one log line.
func TestProtocolErrorsCloseTheConnection(t *testing.T) {
	for _, bad := range []string{
		"a what - 0\r\n",
		"a served - 1\r\nxyz",
		"a served - x\r\n",
		strings.Repeat("x", admission.New(64, 5).EndpointRingBytes()),
		"\r\n",
	} {
		s := newTestPool(t)
		s.send("a", 0)
		endpointConn := <-s.dialed
		readCommand(t, bufio.NewReader(endpointConn))
		_, _ = io.WriteString(endpointConn, bad)
		assert.Equal(t, routing.ConnectionBroken, s.nextEnd().End.Result, bad[:min(len(bad), 20)])
		s.stop()
		assert.Contains(t, s.log.String(), "reason=protocol_error")
		assert.Equal(t, 1, strings.Count(s.log.String(), "connection closed"), "one line a connection")
	}
}

// A panic while a response is handled must not end the process with all its connections. It closes one connection and
// breaks the attempts that are open on it.
func TestPanicEndsOneConnectionOnly(t *testing.T) {
	s := newTestPool(t)
	a, b := s.send("a", 0), s.send("b", 0)
	endpointConn := <-s.dialed
	r := bufio.NewReader(endpointConn)
	readCommand(t, r)
	readCommand(t, r)
	onEvent := s.OnEvent
	s.OnEvent = func(ev Event) {
		if e, ok := ev.(AttemptEnded); ok && e.Attempt == a && e.End.Result == routing.CacheMiss {
			panic("a fault")
		}
		onEvent(ev)
	}
	_, _ = io.WriteString(endpointConn, "a not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(b, routing.ConnectionBroken), s.nextEnd())
	assert.Contains(t, s.logAfterEnd(a.Connection()), "reason=panic")
}

// A response stops in the middle of its body. Everything after it on the connection would wait for it. A stalled
// response ends its connection, and no attempt is sent on a connection while the response to a cancelled attempt is
// arriving.
func TestStalledResponseEndsConnection(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		s := newTestPool(t)
		a := s.send("a", 0)
		endpointConn := <-s.dialed
		readCommand(t, bufio.NewReader(endpointConn))
		_, _ = io.WriteString(endpointConn, "a served digest=d,dated=1,remark=h 10\r\nhalf")
		if !cancelled {
			assert.Equal(t, endedWith(a, routing.ConnectionBroken), s.nextEnd())
			assert.Contains(t, s.logAfterEnd(a.Connection()), "reason=stalled_response")
			continue
		}
		bodyBegan := func() bool { return !a.connection.conn.FrameStart().IsZero() }
		assert.Eventually(t, bodyBegan, time.Minute, time.Millisecond)
		go func() { _, _ = io.Copy(io.Discard, endpointConn) }()
		s.Cancel(a, routing.TimedOut)
		assert.Equal(t, routing.TimedOut, s.nextEnd().End.Result)
		assert.NotSame(t, a.Connection(), s.send("b", 0).Connection())
	}
}

// An endpoint accepted an attempt and sent nothing until it was cancelled, so it may have vanished, and the next
// attempt would wait as long. The connection is no longer used if the wait was longer than the connect timeout.
func TestSilentConnectionIsNotUsed(t *testing.T) {
	for connectTimeout, silent := range map[time.Duration]bool{time.Hour: false, 0: true} {
		s := newTestPool(t)
		a := s.send("a", 0)
		endpointConn := <-s.dialed
		r := bufio.NewReader(endpointConn)
		assert.Equal(t, "do a", readCommand(t, r))
		s.ConnectTimeout = connectTimeout
		s.Cancel(a, routing.TimedOut)
		assert.Equal(t, "undo a", readCommand(t, r))
		b := s.send("b", 0)
		assert.Equal(t, silent, a.Connection() != b.Connection())
		if silent {
			s.CloseIdle(clock.Now())
			assert.Contains(t, s.logAfterEnd(a.Connection()), "reason=unresponsive")
		}
	}
}

// An endpoint moves to another address, and its previous address passes to another machine, which would respond to
// attempts on the old connection. New attempts use a new connection, and the old one is closed once it is idle.
func TestConnectionToPreviousAddressIsClosed(t *testing.T) {
	s := newTestPool(t)
	c := s.send("a", 0)
	endpointConn := <-s.dialed
	readCommand(t, bufio.NewReader(endpointConn))
	s.UpdateEndpoints(false, []discovery.Endpoint{{Address: "b:1", Endpoint: routing.Endpoint{ID: "m"}}})
	s.CloseIdle(clock.Now())
	assert.NotSame(t, c.Connection(), s.send("b", 0).Connection(), "the old address may belong to another machine")
	_, _ = io.WriteString(endpointConn, "a nobody - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.NotSent), s.nextEnd())
	s.CloseIdle(clock.Now().Add(time.Second))
	assert.Equal(t, ConnectionClosed{Connection: c.Connection()}, <-s.events, "the old connection closes when idle")
	s.stop()
	assert.Contains(t, s.log.String(), "reason=endpoint_removed")
}

// A connection is closed while the endpoint sends the first part of a response that is too long to be read completely
// before the close. A reset would destroy data that the endpoint has not read yet. The endpoint must see an end of file
// and no reset when it is removed, when the connection is idle, and when the pool shuts down.
func TestCloseDuringInputDoesNotReset(t *testing.T) {
	for _, code := range []string{"endpoint_removed", "idle_timeout", "shutdown"} {
		s := newTestPool(t)
		s.dialLoopback(func(endpointConn net.Conn) {
			_, _ = io.WriteString(endpointConn, "a served digest=d,dated=1 240000\r\n"+strings.Repeat("x", 200_000))
		})
		a := s.send("a", 0)
		endpointConn := <-s.dialed
		r := bufio.NewReader(endpointConn)
		assert.Equal(t, "do a", readCommand(t, r))
		_, _ = io.WriteString(endpointConn, "a nobody - 0\r\n\r\n")
		s.nextEnd()
		readEnd := make(chan error)
		go func() {
			_, err := io.Copy(io.Discard, r)
			_ = endpointConn.Close()
			readEnd <- err
		}()
		switch code {
		case "endpoint_removed":
			s.UpdateEndpoints(true, nil)
			s.CloseIdle(clock.Now().Add(time.Second))
		case "idle_timeout":
			s.CloseIdle(clock.Now().Add(time.Hour))
		}
		if code == "shutdown" {
			s.stop()
			assert.Contains(t, s.log.String(), "reason=shutdown")
		} else {
			assert.Contains(t, s.logAfterEnd(a.Connection()), "reason="+code)
		}
		assert.NoError(t, <-readEnd, "the connection is closed without a reset")
	}
}

// An endpoint floods a connection that is no longer used. A close that waits for the end of its input would never
// complete. The connection must close, and the log line must have its end code.
func TestContinuousInputDoesNotDelayClose(t *testing.T) {
	s := newTestPool(t)
	s.dialLoopback(func(net.Conn) {})
	a := s.send("a", 0)
	endpointConn := <-s.dialed
	readCommand(t, bufio.NewReader(endpointConn))
	_, _ = io.WriteString(endpointConn, "a nobody - 0\r\n\r\n")
	s.nextEnd()
	go func() {
		for flood := strings.Repeat("zz nobody - 0\r\n\r\n", 10_000); ; {
			if _, err := io.WriteString(endpointConn, flood); err != nil {
				return
			}
		}
	}()
	flooded := func() bool { return s.Metrics.Value("upstream_late_responses_total") > 1000 }
	assert.Eventually(t, flooded, time.Minute, time.Millisecond)
	s.UpdateEndpoints(true, nil)
	s.CloseIdle(clock.Now().Add(time.Second))
	assert.Contains(t, s.logAfterEnd(a.Connection()), "reason=endpoint_removed")
}

// An endpoint lost its state of a connection without closing it, and the time limit of each attempt is shorter than the
// connect timeout. No single attempt waits long enough to show that. Consecutive attempts are counted together, so that
// the connection is no longer used.
func TestDeadConnectionIsDetectedAcrossAttempts(t *testing.T) {
	s := newTestPool(t)
	s.ConnectTimeout = 40 * time.Millisecond
	first := s.send("a", 0)
	endpointConn := <-s.dialed
	go func() { _, _ = io.Copy(io.Discard, endpointConn) }() // read everything and never respond
	for i := range 6 {
		a := first
		if i > 0 {
			a = s.send("b"+strconv.Itoa(i), 0)
		}
		if a.Connection() != first.Connection() {
			return
		}
		time.Sleep(10 * time.Millisecond)
		s.Cancel(a, routing.TimedOut)
		s.nextEnd()
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("all attempts were sent on the silent connection")
}
