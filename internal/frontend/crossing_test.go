package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectionEnd is a way in which a client connection is closed by the server.
type connectionEnd struct {
	name     string
	admitted bool
	input    []byte // sent by the client before the close
	begin    func(t *testing.T, c *testClient)
}

// connectionEnds returns the ways of closing the connection of a correct client.
func connectionEnds() []connectionEnd {
	query := readinessQuery(5)
	sweepUntil := func(code netconn.EndCode) func(*testing.T, *testClient) {
		return func(t *testing.T, c *testClient) {
			t.Helper()
			c.sweepUntil(t, code)
		}
	}
	return []connectionEnd{
		{"idle", true, query, sweepUntil(netconn.IdleTimeout)},
		{"no first frame", true, nil, sweepUntil(netconn.NoFirstFrame)},
		{"partial frame", true, query[:7], sweepUntil(netconn.PartialFrame)},
		{"evicted", true, query, func(t *testing.T, c *testClient) {
			t.Helper()
			c.evictSoon(t)
		}},
		{"over the limit", false, nil, func(*testing.T, *testClient) {}},
		{"drain", true, query, func(t *testing.T, c *testClient) {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			t.Cleanup(cancel)
			c.BeginDrain()
			go c.FinishDrain(ctx)
		}},
	}
}

// Guards against a reset that destroys output which the client has not read yet. By the protocol, a client may send a
// request up to 50 ms after its connection is closed; the kernel resets a connection that receives it and is no longer
// read. In each way of closing, the connection must be read for longer than that.
func TestRequestMayArrive50MillisecondsAfterTheClose(t *testing.T) {
	for _, end := range connectionEnds() {
		for _, delay := range []time.Duration{1, 20, 49} {
			t.Run(fmt.Sprintf("%s, %d ms", end.name, delay), func(t *testing.T) {
				t.Parallel()
				frame := requestFrame(1, "aa")
				written := make(chan error, 1)
				c := newObservedConn(t, end.admitted, ignoreSocket, func(far net.Conn) {
					time.AfterFunc(delay*time.Millisecond, func() {
						_, err := far.Write(frame)
						written <- err
					})
				})
				_, _ = c.Write(end.input)
				assert.Eventually(t, func() bool {
					conn := c.conn()
					return conn != nil && conn.BytesRead() >= int64(len(end.input))
				}, time.Minute, time.Millisecond)
				end.begin(t, c)
				_, err := io.Copy(io.Discard, c)
				require.NoError(t, err, "the connection must end without a reset")
				require.NoError(t, <-written)
				assert.Eventually(t, func() bool {
					return c.socket.readAfterHalfClose.Load() >= int64(len(frame))
				}, time.Second, time.Millisecond, "the request was not read before the close")
				_ = c.Close()
				<-c.done
				c.sink.assertEmpty(t, "a request that arrives after the close is not handed over")
			})
		}
	}
}

// Guards against a deadline that passes early because it counts from the first bytes of a request that arrives in
// pieces: the request would be given up while its client still waits. Its time must count from its last byte.
func TestDeadlineCountsFromTheLastByteOfARequest(t *testing.T) {
	const pause = 60 * time.Millisecond
	c := newTestConn(t, true)
	frame := requestFrame(1, "aa")
	for _, piece := range [][]byte{frame[:3], frame[3:20], frame[20 : len(frame)-1]} {
		_, _ = c.Write(piece)
		time.Sleep(pause)
	}
	lastByteAt := clock.NowSeconds()
	_, _ = c.Write(frame[len(frame)-1:])
	r := <-c.sink.arrived
	assert.GreaterOrEqual(t, r.ArrivedAt, lastByteAt)
	assert.InDelta(t, 1.5, r.Deadline-r.ArrivedAt, 1e-9)
	r.ResponseWriter.Respond(r, request.Response{})
	c.readFrame(t)
}
