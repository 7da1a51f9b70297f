package frontend

import (
	"bytes"
	"net"
	"slices"
	"testing"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request whose time begins when it is read: it waited in the socket, behind one that waited for
// memory. Its time must count from its arrival.
func TestTimeCountsFromArrivalWhileTheReaderWaits(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(readinessQuery(0))
	c.readFrame(t) // the connection is registered
	free := useUpBodies(t, c.Admission.Bodies)
	_, _ = c.Write(requestFrame(1, "aa"))
	require.Eventually(t, func() bool { return c.conn().held.Load() }, time.Minute, 100*time.Microsecond)
	_, _ = c.Write(requestFrame(2, "bb"))
	arrivedBy := clock.NowSeconds()
	time.Sleep(maxShareWait / 2)
	free()
	for range 2 {
		r := <-c.sink.arrived
		assert.LessOrEqual(t, r.ArrivedAt, arrivedBy)
		assert.InDelta(t, 1.5, r.Deadline-r.ArrivedAt, 1e-9)
		r.ResponseWriter.Respond(r, request.Response{})
		c.readFrame(t)
	}
}

// Guards against a request that is begun long after its client has cancelled it, as both waited in the socket. One that
// is read late must be rejected, and none of the connection may be begun meanwhile.
func TestRequestThatIsReadLateIsRejected(t *testing.T) {
	const blocks = 12 // of the largest size, which the client does not read at first
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	limitSocketBuffers(t, c)
	_, _ = c.Write(requestFrame(99, "aa"))
	early := <-c.sink.arrived
	assert.False(t, early.ClientGone())
	for stream := range uint32(blocks) {
		c.answerWithLargestBody(t, stream+1)
	}
	_, _ = c.Write(bytes.Repeat(readinessQuery(1), maxFrames))
	require.Eventually(t, func() bool { return c.conn().held.Load() }, time.Minute, 100*time.Microsecond)
	frames := append(requestFrame(200, "bb"), clientproto.AppendHeader(nil, clientproto.TypeCancel, 200, 0)...)
	_, _ = c.Write(append(frames, requestFrame(201, "cc")...))
	assert.Eventually(t, early.ClientGone, time.Second, time.Millisecond, "its cancel may be unread")
	replies, rejected := 0, []uint32(nil)
	for replies < maxFrames || !slices.Contains(rejected, 201) {
		kind, stream, payload := c.readFrame(t)
		switch {
		case kind == clientproto.TypeReadinessReply:
			replies++
		case stream >= 200:
			assert.Equal(t, "\x00\x00", payload)
			rejected = append(rejected, stream)
		}
	}
	assert.Subset(t, []uint32{200, 201}, rejected)                         // its cancel may drop the answer to 200
	assert.EqualValues(t, 2, answered(c, "page", "rejected", "read_late")) //nolint:testifylint // exact by intent
	assert.Eventually(t, func() bool { return !early.ClientGone() }, time.Second, time.Millisecond, "all is read")
	c.sink.assertEmpty(t)
	_, _ = c.Write(requestFrame(202, "dd"))
	for _, r := range []*request.Request{early, <-c.sink.arrived} {
		r.ResponseWriter.Respond(r, request.Response{})
		for stream := uint32(0); stream != r.StreamID; {
			_, stream, _ = c.readFrame(t)
		}
	}
}

// limitSocketBuffers has both sockets of a connection take about one of the largest responses.
func limitSocketBuffers(t *testing.T, c *testClient) {
	t.Helper()
	require.NoError(t, c.socket.SetWriteBuffer(maxResponseBytes))
	if far, ok := c.Conn.(*net.TCPConn); ok {
		require.NoError(t, far.SetReadBuffer(maxResponseBytes))
	}
}

// answerWithLargestBody sends a request and answers it with a body of the largest size.
func (c *testClient) answerWithLargestBody(t *testing.T, stream uint32) {
	t.Helper()
	id := string([]byte{'a' + byte(stream%6), 'a' + byte(stream/6)})
	_, _ = c.Write(requestFrame(stream, id))
	r := <-c.sink.arrived
	body := c.Admission.Bodies.TryAllocateResponse(r.Share, maxResponseBytes)
	require.NotNil(t, body)
	require.True(t, r.ResponseWriter.Respond(r, request.Response{Body: body}))
}

// Guards against a request that is answered late, and against one whose cancel is read late, because its client has
// large responses to take. The reader must read on, and small answers must overtake the large ones.
func TestReaderReadsOnWhileLargeResponsesAreUnwritten(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	const blocks = 12
	limitSocketBuffers(t, c)
	for stream := range uint32(blocks) {
		c.answerWithLargestBody(t, stream+1)
	}
	_, _ = c.Write(requestFrame(100, "fa"))
	r := <-c.sink.arrived
	_, _ = c.Write(requestFrame(101, "fb"))
	cancelled := <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 101, 0))
	assert.Equal(t, cancelled, <-c.sink.cancelled)
	r.ResponseWriter.Respond(r, request.Response{})
	var streams []uint32
	for range blocks + 1 {
		_, stream, _ := c.readFrame(t)
		streams = append(streams, stream)
	}
	assert.Contains(t, streams[:blocks/2], uint32(100), "the small answer has overtaken large ones")
}
