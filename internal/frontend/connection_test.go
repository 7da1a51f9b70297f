package frontend

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client sends queries and reads no answer. The answers would pile up in memory. Its connection is closed as that of
// a slow reader.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	c := newTestConn(t, true)
	for range 1030 {
		if _, err := c.Write(readinessQuery(0)); err != nil {
			break
		}
	}
	<-c.done
	assert.Contains(t, c.log.String(), "reason=slow_reader")
}

// A client breaks the protocol while a request is open. Closing at once would lose an answer that is paid for, and the
// client would not learn what was wrong. It gets an error frame, then the answer, then the end.
func TestViolationClosesAfterOpenRequestsAreAnswered(t *testing.T) {
	for want, bad := range map[string][]byte{
		"length": {0xff, 0, 0, 0, 100, 0, 0, 0, 9}, "type 77": clientproto.AppendHeader(nil, 77, 9, 0),
		"stream 0": requestFrame(0, "bb"), "not new": requestFrame(1, "bb"),
	} {
		c := newTestConn(t, true)
		_, _ = c.Write(requestFrame(1, "aa"))
		r := <-c.sink.arrived
		_, _ = c.Write(bad)
		kind, stream, payload := c.readFrame(t)
		assert.Equal(t, []any{clientproto.TypeResponse, uint32(0)}, []any{kind, stream})
		assert.Contains(t, payload, want)
		r.ResponseWriter.Respond(r, request.Response{})
		_, stream, _ = c.readFrame(t)
		assert.EqualValues(t, 1, stream)
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		<-c.done
		assert.Contains(t, c.log.String(), "reason=protocol_error")
	}
}

// After a violation no frame is followed any more, and the client disconnects while a request is open. The request
// would go on for nobody. The disconnect cancels it.
func TestDisconnectAfterViolationIsNoticed(t *testing.T) {
	c := newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	c.readFrame(t)
	_, _ = c.Write(requestFrame(2, "bb"))
	_ = c.Close()
	assert.Equal(t, r, <-c.sink.cancelled)
	assert.True(t, r.Cancelled())
	c.sink.assertEmpty(t)
}

// flood writes until the connection fails, and then closes the channel.
func (c *testClient) flood() <-chan bool {
	over := make(chan bool)
	go func() {
		defer close(over)
		for text := make([]byte, 64<<10); ; {
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}()
	return over
}

// After a violation a client floods the connection while a request is open. To read and drop all of it would cost the
// processor that others need. Input is read on, so that a disconnect is noticed, but slowly.
func TestFloodIsSlowedWhileRequestIsOpen(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	flooded := c.flood()
	assert.Eventually(t, func() bool {
		return c.conn().BytesRead() > discardedInputBytes
	}, time.Minute, time.Millisecond)
	before, began := c.conn().BytesRead(), time.Now()
	assert.Eventually(t, func() bool {
		return c.conn().BytesRead() > before+20*admission.ClientRingBytes
	}, time.Minute, time.Millisecond)
	assert.Greater(t, time.Since(began), 50*time.Millisecond)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	<-c.done
	<-flooded
}

// After a violation a client goes on to send without end. A connection that reads until its input ends would never
// close. The close comes all the same.
func TestFloodAfterViolationDoesNotDelayClose(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	flooded := c.flood()
	<-c.done
	<-flooded
	assert.Contains(t, c.log.String(), "reason=protocol_error")
}

// A connection is closed with unread input. The system would reset it, and the client would lose the error frame that
// says why. The last output arrives, and then the end.
func TestLastOutputReachesClientThatStillSends(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stop := serveOn(t, ln)
	far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	_, _ = far.Write(clientproto.AppendHeader(nil, 77, 1, 0))
	for range 20 {
		_, err = far.Write(make([]byte, 64<<10))
		require.NoError(t, err)
	}
	output, err := io.ReadAll(far)
	require.NoError(t, err)
	assert.Contains(t, string(output), "unknown type 77")
	_ = far.Close()
	stop()
}

// A request crosses the close of an idle connection. After a reset its client could not know whether it has run. One
// that arrives before the close is decided is served. One that crosses the close meets a half-closed connection and no
// reset, so its client knows that it was not served.
func TestRequestThatCrossesIdleClose(t *testing.T) {
	query := readinessQuery(5)
	var came atomic.Bool
	c := newTestConnOverTCP(t, func(far net.Conn) {
		if came.CompareAndSwap(false, true) {
			_, _ = far.Write(requestFrame(1, "aa"))
		}
	}, func(far net.Conn) { _, _ = far.Write(requestFrame(2, "bb")) })
	_, _ = c.Write(query)
	c.readFrame(t)
	var r *request.Request
	for r == nil { // until a sweep has seen that nothing is open
		c.sweep(clock.Now().Add(idleTimeout + time.Second))
		select {
		case r = <-c.sink.arrived:
		case <-time.After(time.Millisecond):
		}
	}
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 1, stream, "it came before the close")
	c.sweepUntil(t, netconn.IdleTimeout)
	c.readUntilEnd(t)
	c.sink.assertEmpty(t, "the request that crossed the close is not handed over")
	assert.Contains(t, c.log.String(), "reason=idle_timeout")
}

// A timeout closes a connection at the moment at which its client writes. A reset would destroy output that is on its
// way. Under every timeout the client sees an end and no reset.
func TestGracefulClosesResetNothing(t *testing.T) {
	query := readinessQuery(5)
	for code, input := range map[netconn.EndCode][]byte{
		netconn.NoFirstFrame: nil,
		netconn.IdleTimeout:  query,
		netconn.PartialFrame: query[:7],
	} {
		c := newTestConnOverTCP(t, ignoreSocket, func(far net.Conn) {
			_, _ = far.Write(append(query, make([]byte, 50_000)...))
		})
		_, _ = c.Write(input)
		if code == netconn.IdleTimeout {
			c.readFrame(t)
		}
		assert.Eventually(t, func() bool {
			conn := c.conn()
			return conn != nil && (!conn.FrameStart().IsZero()) == (code == netconn.PartialFrame)
		}, time.Minute, time.Millisecond)
		c.sweepUntil(t, code)
		c.readUntilEnd(t)
		assert.Contains(t, c.log.String(), "reason="+code.String())
	}
	c := newTestConnOverTCP(t, ignoreSocket, func(far net.Conn) {
		_, _ = far.Write(append(query, make([]byte, 500_000)...))
	})
	c.evictSoon(t)
	c.readUntilEnd(t)
	assert.Contains(t, c.log.String(), "reason=evicted")
}
