package frontend

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against replies that accumulate in memory because a client sends queries and does not read the replies. Its
// connection must be closed as that of a slow reader.
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

// Guards against losing the response to an open request, and the error text, when a client violates the protocol: an
// immediate close would lose both. The client must receive an error frame, then the response, then the end of the
// connection.
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

// Guards against a request that continues although no client waits for it: after a protocol violation frames are no
// longer parsed, and the client disconnects while a request is open. The disconnect must cancel the request.
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

// flood writes until the connection fails, and then closes the returned channel.
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

// Guards against a client that uses up processor time by flooding its connection after a protocol violation, while a
// request is open. Input must still be read, so that a disconnect is noticed, but slowly.
func TestFloodIsSlowedWhileRequestIsOpen(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	flooded := c.flood()
	assert.Eventually(t, func() bool {
		return c.conn().BytesRead() > maxDiscardedInputBytes
	}, time.Minute, time.Millisecond)
	before, began := c.conn().BytesRead(), time.Now()
	assert.Eventually(t, func() bool {
		return c.conn().BytesRead() > before+20*int64(c.Admission.ClientRingBytes())
	}, time.Minute, time.Millisecond)
	assert.Greater(t, time.Since(began), 50*time.Millisecond)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	<-c.done
	<-flooded
}

// Guards against a connection that is never closed because its client keeps sending after a protocol violation, and the
// connection is read until its input ends. The close must happen in any case.
func TestFloodAfterViolationDoesNotDelayClose(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	flooded := c.flood()
	<-c.done
	<-flooded
	assert.Contains(t, c.log.String(), "reason=protocol_error")
}

// Guards against losing the error frame that explains a close: the kernel resets a connection that is closed with
// unread input. The client must receive the last output and then the end of the connection.
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

// Guards against resetting a connection while a request is in transit: its client could not know whether the request
// has run. A request that arrives before the close of an idle connection is decided must be served. One that arrives
// later must meet a half-closed connection and no reset, so that its client knows that it was not served.
func TestRequestDuringIdleClose(t *testing.T) {
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
	for r == nil { // until a sweep has found that no request is open
		c.sweep(clock.Now().Add(idleTimeout + time.Second))
		select {
		case r = <-c.sink.arrived:
		case <-time.After(time.Millisecond):
		}
	}
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 1, stream, "the request arrived before the close")
	c.sweepUntil(t, netconn.IdleTimeout)
	c.readUntilEnd(t)
	c.sink.assertEmpty(t, "the request that arrived after the close is not handed over")
	assert.Contains(t, c.log.String(), "reason=idle_timeout")
}

// Guards against a reset that destroys output in transit when a timeout closes a connection while its client writes.
// Under every timeout the client must see the end of the connection and no reset.
func TestTimeoutsCloseWithoutReset(t *testing.T) {
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
