package frontend

import (
	"io"
	"maps"
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against connections that use a descriptor forever because their clients send nothing, a partial frame, or
// nothing after some frames. Each must be closed with its own end code, and none while a request is open.
func TestTimeoutsCloseConnections(t *testing.T) {
	query := readinessQuery(0)
	for _, test := range []struct {
		input []byte
		age   time.Duration
		code  string
	}{
		{nil, firstFrameTimeout, "no_first_frame"},
		{query, idleTimeout, "idle_timeout"},
		{append(query, query[:5]...), partialFrameTimeout, "partial_frame"},
		{query[:9], partialFrameTimeout, "partial_frame"},
	} {
		c := newTestConn(t, true)
		_, _ = c.Write(test.input)
		if len(test.input) >= len(query) {
			c.readFrame(t)
		}
		assert.Eventually(t, func() bool { // until the bytes were read
			c.sweep(clock.Now().Add(test.age - 300*time.Millisecond))
			return c.conn().firstFrameRead.Load() == (len(test.input) >= len(query)) &&
				(!c.conn().FrameStart().IsZero()) == (test.code == "partial_frame")
		}, time.Minute, time.Millisecond)
		c.sweepUntilDone(test.age + time.Second)
		assert.Contains(t, c.log.String(), "reason="+test.code)
	}
	late := newTestConn(t, true) // a first frame that begins late does not extend the timeout
	assert.Eventually(t, func() bool { return late.conn() != nil }, time.Minute, time.Millisecond)
	late.conn().SetStartTime(time.Now().Add(-2 * firstFrameTimeout))
	_, _ = late.Write(query[:5])
	late.sweepUntilDone(0)
	assert.Contains(t, late.log.String(), "reason=no_first_frame")
	c := newTestConn(t, true)
	_, _ = c.Write(append(requestFrame(1, "aa"), 0, 0))
	r := <-c.sink.arrived
	c.sweep(clock.Now().Add(time.Hour))
	r.ResponseWriter.Respond(r, request.Response{})
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 1, stream, "the open request is answered")
}

// Guards against rejecting other requests for lack of memory because clients that do not read hold their responses in
// it. Only while memory is nearly used up must such a client be closed, and never one that reads.
func TestStalledReaderIsClosedWhileMemoryIsShort(t *testing.T) {
	c := newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	body := c.Admission.Bodies.TryAllocateResponse(nil, 200_000)
	free := useUpBodies(t, c.Admission.Bodies)
	c.sweep(clock.Now().Add(2 * memoryStallTimeout))
	r.ResponseWriter.Respond(r, request.Response{Body: body})
	_, err := io.ReadFull(c, make([]byte, 50_000))
	require.NoError(t, err, "no output was unwritten at the sweep")
	c.sweep(clock.Now())
	_, err = io.ReadFull(c, make([]byte, 50_000))
	require.NoError(t, err, "the client reads")
	c.sweep(clock.Now().Add(2 * memoryStallTimeout))
	<-c.done
	assert.Contains(t, c.log.String(), "reason=slow_reader")
	free()
	assert.Zero(t, c.Admission.Bodies.UsedBytes())
}

// Guards against losing requests by evicting a connection that is in use. A connection that never carried a request
// must be evicted first, and none with an open request may be evicted.
func TestEvictionPrefersConnsWithoutRequests(t *testing.T) {
	carried := newTestConn(t, true)
	unused := newTestConn(t, true)
	_, _ = carried.Write(requestFrame(1, "aa"))
	r := <-carried.sink.arrived
	s := &Server{conns: map[*clientConn]struct{}{}}
	for _, c := range []*testClient{carried, unused} {
		assert.Eventually(t, func() bool { return c.conn() != nil }, time.Minute, time.Millisecond)
		c.mu.Lock()
		maps.Copy(s.conns, c.conns)
		c.mu.Unlock()
	}
	assert.False(t, s.evict(clock.Now().Add(-time.Hour)), "no connection was idle by then")
	assert.True(t, s.evict(clock.Now().Add(time.Hour)))
	<-unused.done
	assert.Contains(t, unused.log.String(), "reason=evicted")
	assert.False(t, s.evict(clock.Now().Add(time.Hour)), "a request is open")
	r.ResponseWriter.Respond(r, request.Response{})
	carried.readFrame(t)
	assert.Eventually(t, func() bool { return s.evict(clock.Now().Add(time.Hour)) }, time.Minute, time.Millisecond,
		"evicted once the response is recorded as written")
	<-carried.done
}

// Guards against an evicted connection that delays the new one by the full timeout of a graceful close, because its
// client never closes its side. It must be closed within the shorter eviction timeout.
func TestEvictedConnIsClosedQuickly(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	c.evictSoon(t)
	<-c.done
	assert.Positive(t, c.socket.lingerNanos.Load())
	assert.LessOrEqual(t, c.socket.lingerNanos.Load(), int64(evictionCloseTimeout), "a new client is waiting")
}

// Guards against losing requests by closing an idle connection too early: clients close theirs after 4 s without an
// open request, and may send requests until then. The connection must stay open for longer than that.
func TestIdleConnStaysOpenBeyondTheClientsTimeout(t *testing.T) {
	const clientsIdleTimeout = 4 * time.Second
	c := newTestConn(t, true)
	_, _ = c.Write(readinessQuery(0))
	c.readFrame(t)
	for range 10 {
		c.sweep(clock.Now().Add(clientsIdleTimeout))
		time.Sleep(time.Millisecond)
	}
	go func() { _, _ = c.Write(readinessQuery(0)) }()
	c.readFrame(t)
}
