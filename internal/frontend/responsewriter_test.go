package frontend

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTestWriter makes a response writer with an open request on stream 1.
func newTestWriter(t *testing.T) (*responseWriter, *request.Request) {
	t.Helper()
	admitted := admission.New(64, 256)
	w := newResponseWriter(telemetry.New(&bytes.Buffer{}, ""), admitted)
	r := &request.Request{StreamID: 1, ClassName: "page"}
	assert.Empty(t, admitted.AdmitRequest(0))
	w.open(r)
	return w, r
}

// A client cancels a stream whose response is queued. The client could have forgotten the stream, and the body would
// stay in memory until it is written. The response is dropped and its body is given back.
func TestResponseToCancelledStreamIsDropped(t *testing.T) {
	w, r := newTestWriter(t)
	body := w.admission.Bodies.TryAllocate(100)
	assert.True(t, w.Respond(r, request.Response{Body: body}))
	assert.Nil(t, w.cancel(1, request.ConnectionEnded))
	assert.False(t, w.busy())
	assert.Zero(t, w.admission.Bodies.UsedBytes())
	assert.Zero(t, w.admission.OpenRequests())
}

// A connection ends with one response queued and one request open. Both would stay in memory, and the open request
// would be answered to nobody. The open request is returned as cancelled, a later response is refused, and both bodies
// are given back.
func TestClosedWriterAcceptsNothing(t *testing.T) {
	w, r := newTestWriter(t)
	y := &request.Request{StreamID: 2, ClassName: "page"}
	assert.Empty(t, w.admission.AdmitRequest(0))
	w.open(y)
	assert.True(t, w.Respond(y, request.Response{Body: w.admission.Bodies.TryAllocate(100)}))
	assert.Equal(t, []*request.Request{r}, w.close(request.ConnectionEnded))
	assert.False(t, w.Respond(r, request.Response{Body: w.admission.Bodies.TryAllocate(100)}))
	assert.Zero(t, w.admission.Bodies.UsedBytes(), "the body of a response that is not accepted is freed")
	assert.Zero(t, w.admission.OpenRequests())
	assert.Equal(t, []float64{2, 1, 1, 0}, []float64{
		w.metrics.Total("requests_received_total"),
		w.metrics.Total("requests_answered_total"),
		w.metrics.Total("requests_cancelled_total"),
		w.metrics.Value("requests_open"),
	})
}

// A client stops reading in the middle of a response. The writer would wait without end and hold the response in
// memory. The write fails after its limit.
func TestWriteToSlowReaderFails(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	w, r := newTestWriter(t)
	c := netconn.New(near, 64, time.Millisecond)
	assert.True(t, w.Respond(r, request.Response{Body: w.admission.Bodies.TryAllocate(1000)}))
	require.Error(t, w.run(t.Context(), c))
	var log bytes.Buffer
	c.LogEnd(telemetry.New(&log, ""), telemetry.Remote{Side: telemetry.SideClient, Address: "x"})
	assert.Contains(t, log.String(), "reason=slow_reader")
	assert.Zero(t, w.admission.Bodies.UsedBytes())
	for range maxQueuedFrames + 1 {
		assert.False(t, w.queueFull())
		w.sendControl(nil)
	}
	assert.True(t, w.queueFull())
}

// A connection is closed as idle, and between the check and the close a request is opened or a frame is queued. Its
// answer would be lost. No request may be open, and no output queued or on its way into the socket, and after quiesce
// returned true no control frame is queued.
func TestQuiesceChecksAndClosesInOneStep(t *testing.T) {
	near, far := net.Pipe()
	w, r := newTestWriter(t)
	assert.False(t, w.quiesce(), "a request is open")
	assert.True(t, w.Respond(r, request.Response{}))
	assert.False(t, w.quiesce(), "its response is queued")
	done := make(chan error)
	go func() { done <- w.run(t.Context(), netconn.New(near, 64, time.Minute)) }()
	_, _ = far.Read(make([]byte, 1))
	assert.False(t, w.quiesce(), "the socket has not taken all of it")
	go func() { _, _ = io.Copy(io.Discard, far) }()
	assert.Eventually(t, w.quiesce, time.Minute, time.Millisecond)
	w.sendControl([]byte("more"))
	assert.False(t, w.busy(), "no control frame is queued any more")
	w.finish()
	require.NoError(t, <-done)
	assert.True(t, w.quiesce())
}

// A client cancels, and the event loop handles that only after what is queued. Attempts would be sent for nobody
// meanwhile. Everyone with the request sees the cancellation at once.
func TestCancellationTakesEffectAtOnce(t *testing.T) {
	w, r := newTestWriter(t)
	assert.False(t, r.Cancelled())
	w.cancel(1, request.ConnectionEnded)
	assert.True(t, r.Cancelled())
	w, r = newTestWriter(t)
	w.close(request.ConnectionEnded)
	assert.True(t, r.Cancelled())
}

// Responses are written after the deadline, when the client has given up, and the counters of completed requests look
// well. Each late response counts, and those well after their deadline are logged.
func TestLateResponsesAreCountedAndLogged(t *testing.T) {
	const wantLine = `msg="response written after deadline" request_id=ab class=page delay_seconds=36`
	for _, test := range []struct {
		lateSeconds float64
		counted     float64
		logged      bool
	}{{-3600, 0, false}, {3600, 1, true}} {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		var log bytes.Buffer
		admitted := admission.New(64, 256)
		w := newResponseWriter(telemetry.New(&log, ""), admitted)
		r := &request.Request{ID: "ab", StreamID: 1, ClassName: "page"}
		r.Deadline = float64(time.Now().Unix()) - test.lateSeconds
		assert.Empty(t, admitted.AdmitRequest(0))
		w.open(r)
		assert.True(t, w.Respond(r, request.Response{}))
		w.finish()
		require.NoError(t, w.run(t.Context(), netconn.New(near, 64, time.Minute)))
		_ = far.Close()
		//nolint:testifylint // exact by intent
		assert.Equal(t, test.counted, w.metrics.Value("responses_after_deadline_total"))
		assert.Equal(t, test.logged, strings.Contains(log.String(), wantLine))
		assert.Zero(t, admitted.OpenRequests())
	}
}

// A client cancels a request whose response waits to be written, behind another one's. A response to another stream
// must not be dropped in its place.
func TestCancelDropsTheWaitingResponseOfItsStreamOnly(t *testing.T) {
	w := newResponseWriter(telemetry.New(io.Discard, ""), admission.New(64, 256))
	w.sendControl([]byte("control"))
	for stream := range uint32(3) {
		r := &request.Request{StreamID: stream}
		w.admission.CountRequest()
		w.open(r)
		assert.True(t, w.Respond(r, request.Response{}))
	}
	assert.Nil(t, w.cancel(1, request.ConnectionEnded))
	var streams []uint32
	for _, frame := range w.queue[1:] {
		streams = append(streams, frame.request.StreamID)
	}
	assert.Equal(t, []uint32{0, 2}, streams)
	assert.EqualValues(t, 2, w.admission.OpenRequests())
}
