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

// An endpoint sends what the protocol does not allow. Everything after it could be misread as the answer to another
// attempt. The attempt is broken and the connection ends, with one line in the log.
func TestProtocolErrorsCloseTheConnection(t *testing.T) {
	for _, bad := range []string{
		"a what - 0\r\n",
		"a served - 1\r\nxyz",
		"a served - x\r\n",
		strings.Repeat("x", admission.EndpointRingBytes),
		"\r\n",
	} {
		s := newTestPool(t)
		s.send("a", 0)
		far := <-s.dialed
		readCommand(t, bufio.NewReader(far))
		_, _ = io.WriteString(far, bad)
		assert.Equal(t, routing.ConnectionBroken, s.nextEnd().End.Result, bad[:min(len(bad), 20)])
		s.stop()
		assert.Contains(t, s.log.String(), "reason=protocol_error")
		assert.Equal(t, 1, strings.Count(s.log.String(), "connection closed"), "one line a connection")
	}
}

// The handling of a response panics. The process would end with all its connections. The panic ends one connection and
// breaks the attempts that are open on it.
func TestPanicEndsItsConnectionOnly(t *testing.T) {
	s := newTestPool(t)
	a, b := s.send("a", 0), s.send("b", 0)
	far := <-s.dialed
	r := bufio.NewReader(far)
	readCommand(t, r)
	readCommand(t, r)
	onEvent := s.OnEvent
	s.OnEvent = func(ev Event) {
		if e, ok := ev.(AttemptEnded); ok && e.Attempt == a && e.End.Result == routing.CacheMiss {
			panic("a fault")
		}
		onEvent(ev)
	}
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(b, routing.ConnectionBroken), s.nextEnd())
	assert.Contains(t, s.logAfterEnd(a.Connection()), "reason=panic")
}

// A response stops in the middle of its body. Whatever comes after it on the connection waits behind it. The connection
// ends while a response stalls, and takes no attempt while the response to a cancelled one is coming.
func TestStalledResponseEndsItsConnection(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		s := newTestPool(t)
		a := s.send("a", 0)
		far := <-s.dialed
		readCommand(t, bufio.NewReader(far))
		_, _ = io.WriteString(far, "a served digest=d,dated=1,remark=h 10\r\nhalf")
		if !cancelled {
			assert.Equal(t, endedWith(a, routing.ConnectionBroken), s.nextEnd())
			assert.Contains(t, s.logAfterEnd(a.Connection()), "reason=stalled_response")
			continue
		}
		bodyBegan := func() bool { return !a.connection.conn.FrameStart().IsZero() }
		assert.Eventually(t, bodyBegan, time.Minute, time.Millisecond)
		go func() { _, _ = io.Copy(io.Discard, far) }()
		s.Cancel(a, routing.TimedOut)
		assert.Equal(t, routing.TimedOut, s.nextEnd().End.Result)
		assert.NotSame(t, a.Connection(), s.send("b", 0).Connection())
	}
}

// An endpoint took an attempt and sent nothing until it was cancelled: it may have vanished. The next attempt would
// wait as long. That counts after a wait as long as the connect timeout, and then the connection is not used.
func TestSilentConnectionIsNotUsed(t *testing.T) {
	for connectTimeout, silent := range map[time.Duration]bool{time.Hour: false, 0: true} {
		s := newTestPool(t)
		a := s.send("a", 0)
		far := <-s.dialed
		r := bufio.NewReader(far)
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

// An endpoint moves to another address, and the former one passes to another machine. An attempt on the old connection
// would be answered by a stranger. New attempts use a new connection, and the old one ends once it is idle.
func TestConnectionToAFormerAddressIsClosed(t *testing.T) {
	s := newTestPool(t)
	c := s.send("a", 0)
	far := <-s.dialed
	readCommand(t, bufio.NewReader(far))
	s.UpdateEndpoints(false, []discovery.Endpoint{{Address: "b:1", Endpoint: routing.Endpoint{ID: "m"}}})
	s.CloseIdle(clock.Now())
	assert.NotSame(t, c.Connection(), s.send("b", 0).Connection(), "the address passed to another machine")
	_, _ = io.WriteString(far, "a nobody - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.NotSent), s.nextEnd())
	s.CloseIdle(clock.Now().Add(time.Second))
	assert.Equal(t, ConnectionClosed{Connection: c.Connection()}, <-s.events, "it ends once idle")
	s.stop()
	assert.Contains(t, s.log.String(), "reason=endpoint_removed")
}

// A connection is closed while the endpoint sends the first part of a response that is too long to be read before. A
// reset would destroy what the endpoint has still to read. For a removed endpoint, an idle connection and the end of
// the pool the endpoint sees an end and no reset.
func TestCloseWithInputOnItsWayIsNoReset(t *testing.T) {
	for _, code := range []string{"endpoint_removed", "idle_timeout", "shutdown"} {
		s := newTestPool(t)
		s.dialLoopback(func(far net.Conn) {
			_, _ = io.WriteString(far, "a served digest=d,dated=1 240000\r\n"+strings.Repeat("x", 200_000))
		})
		a := s.send("a", 0)
		far := <-s.dialed
		r := bufio.NewReader(far)
		assert.Equal(t, "do a", readCommand(t, r))
		_, _ = io.WriteString(far, "a nobody - 0\r\n\r\n")
		s.nextEnd()
		readEnd := make(chan error)
		go func() {
			_, err := io.Copy(io.Discard, r)
			_ = far.Close()
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
		assert.NoError(t, <-readEnd, "ended, not reset")
	}
}

// An endpoint floods a connection that is not used any more. A close that waits for its input to end would never come.
// It comes, and its code is in the log.
func TestFloodDoesNotDelayAClose(t *testing.T) {
	s := newTestPool(t)
	s.dialLoopback(func(net.Conn) {})
	a := s.send("a", 0)
	far := <-s.dialed
	readCommand(t, bufio.NewReader(far))
	_, _ = io.WriteString(far, "a nobody - 0\r\n\r\n")
	s.nextEnd()
	go func() {
		for flood := strings.Repeat("zz nobody - 0\r\n\r\n", 10_000); ; {
			if _, err := io.WriteString(far, flood); err != nil {
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

// An endpoint has forgotten a connection without a word, and each attempt has less time than a connect takes. None of
// them alone waits long enough to show it. They show it together, one after another, and the connection is not used any
// more.
func TestForgottenConnectionIsNotUsedForEver(t *testing.T) {
	s := newTestPool(t)
	s.ConnectTimeout = 40 * time.Millisecond
	first := s.send("a", 0)
	far := <-s.dialed
	go func() { _, _ = io.Copy(io.Discard, far) }() // taken, and never answered
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
	t.Error("all attempts were sent on the connection that is silent")
}
