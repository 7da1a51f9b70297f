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

// connectionEnd is one kind of end of a client's connection.
type connectionEnd struct {
	name     string
	admitted bool
	input    []byte // that the client sends before
	begin    func(t *testing.T, c *testClient)
}

// connectionEnds are the kinds of ends in which nothing is wrong with the client.
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

// A client sends a request while its connection is ended: by the protocol it may cross the end for 50 ms. A connection
// that is not read on for so long is reset by the request, and output that the client has not read yet is lost with it.
// Every kind of end reads on for longer.
func TestRequestMayCrossTheEndFor50Milliseconds(t *testing.T) {
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
				require.NoError(t, err, "ended, not reset")
				require.NoError(t, <-written)
				assert.Eventually(t, func() bool {
					return c.socket.readAfterEnd.Load() >= int64(len(frame))
				}, time.Second, time.Millisecond, "the request was not read before the close")
				_ = c.Close()
				<-c.done
				c.sink.assertEmpty(t, "what crosses the end is not handed over")
			})
		}
	}
}

// A request is written in pieces. Counted from its first bytes, its deadline would pass early and it would be given up
// while its client still waits. Its time counts from its last byte.
func TestRequestInPiecesCountsFromItsLastByte(t *testing.T) {
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
