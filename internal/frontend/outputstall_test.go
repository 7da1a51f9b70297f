package frontend

import (
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an eviction that resets a connection as its client, which has paused, sends on before it reads.
func TestResponseThatIsNotTakenIsNotCutOffByAnEviction(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	client, ok := c.Conn.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, client.SetReadBuffer(8<<10))
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	r.ResponseWriter.Respond(r, request.Response{Body: c.Admission.Bodies.TryAllocateResponse(nil, 200_000)})
	require.Eventually(t, func() bool { return c.conn().state() == stateIdle }, time.Second, time.Millisecond)
	for i := range time.Duration(3) {
		c.sweep(clock.Now().Add(i * 2 * holdStalledAfter))
	}
	c.evict(clock.Now().Add(2 * evictionMinIdle))
	time.Sleep(2 * evictionCloseTimeout)
	_, _ = c.Write(requestFrame(2, "bb"))
	go func() { // the request may be rejected in place of being handed over
		select {
		case second := <-c.sink.arrived:
			second.ResponseWriter.Respond(second, request.Response{})
		case <-t.Context().Done():
		}
	}()
	for stream := range uint32(2) {
		_, answered, _ := c.readFrame(t)
		assert.Equal(t, stream+1, answered)
	}
}

// Guards against a connection that is ended for the time in which the process was stopped, as a response was written.
func TestTimeOfAStoppedProcessDoesNotCountAsStall(t *testing.T) {
	const stopped = 3 * time.Second
	c := newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	body := c.Admission.Bodies.TryAllocateResponse(nil, 200_000)
	defer useUpBodies(t, c.Admission.Bodies)()
	r.ResponseWriter.Respond(r, request.Response{Body: body})
	_, err := io.ReadFull(c, make([]byte, 50_000))
	require.NoError(t, err)
	c.sweepAfter(sweepInterval, clock.Now())
	c.sweepAfter(stopped, clock.Now().Add(stopped))
	_, err = io.ReadFull(c, make([]byte, 100_000))
	require.NoError(t, err, "the client reads")
}

// Guards against responses in the socket that are lost as the connection ends because of one that has begun after them.
func TestConnectionWithEarlierResponsesIsNotEndedForABegunOne(t *testing.T) {
	w, r := newTestWriter(t)
	w.cancel(r.StreamID, request.CancelledByClient)
	w.unwritten, w.writingFrom = 1, 100
	assert.True(t, w.onlyBegunLeft(100, 101))
	assert.False(t, w.onlyBegunLeft(99, 101), "an earlier response is not taken")
	assert.False(t, w.onlyBegunLeft(100, 100), "it has not begun")
	w.unwritten = 2
	assert.False(t, w.onlyBegunLeft(100, 101), "the response before it is not written")
}
