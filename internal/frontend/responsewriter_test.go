package frontend

import (
	"bytes"
	"context"
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

// newTestWriter returns a response writer with an open request on stream 1.
func newTestWriter(t *testing.T) (*responseWriter, *request.Request) {
	t.Helper()
	admitted := admission.New(64, 256)
	w := newResponseWriter(telemetry.New(&bytes.Buffer{}, ""), admitted)
	r := &request.Request{StreamID: 1, ClassName: "page"}
	assert.Empty(t, admitted.AdmitRequest(t.Context(), r))
	w.open(r)
	return w, r
}

// Guards against a response whose body stays in memory, and which is sent to a client that may have discarded the
// stream: the client cancels a stream whose response is queued. The response must be dropped and its body freed.
func TestResponseToCancelledStreamIsDropped(t *testing.T) {
	w, r := newTestWriter(t)
	body := w.admission.Bodies.TryAllocateResponse(nil, 100)
	assert.True(t, w.Respond(r, request.Response{Body: body}))
	assert.Nil(t, w.cancel(1, request.ConnectionEnded))
	assert.False(t, w.busy())
	assert.Zero(t, w.admission.Bodies.UsedBytes())
	assert.Zero(t, w.admission.OpenRequests())
}

// Guards against memory leaks when a connection ends with one response queued and one request open. The open request
// must be returned as cancelled, a later response must not be accepted, and both bodies must be freed.
func TestClosedWriterAcceptsNothing(t *testing.T) {
	w, r := newTestWriter(t)
	queued := &request.Request{StreamID: 2, ClassName: "page"}
	assert.Empty(t, w.admission.AdmitRequest(t.Context(), queued))
	w.open(queued)
	assert.True(t, w.Respond(queued, request.Response{Body: w.admission.Bodies.TryAllocateResponse(nil, 100)}))
	handedOver, taken := w.close()
	assert.Equal(t, []*request.Request{r}, handedOver)
	assert.Equal(t, []int{1, 1}, []int{taken.OpenRequests, taken.UnsentResponses})
	assert.False(t, w.Respond(r, request.Response{Body: w.admission.Bodies.TryAllocateResponse(nil, 100)}))
	assert.Zero(t, w.admission.Bodies.UsedBytes(), "the body of a response that is not accepted is freed")
	assert.Zero(t, w.admission.OpenRequests())
	assert.Equal(t, []float64{2, 1, 1, 0}, []float64{
		w.metrics.Total("requests_received_total"),
		w.metrics.Total("requests_answered_total"),
		w.metrics.Total("requests_cancelled_total"),
		w.metrics.Value("requests_open"),
	})
}

// Guards against a writer that blocks forever, and holds a response in memory, because the client stops reading in the
// middle of it. The write must fail at its limit.
func TestWriteToSlowReaderFails(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	w, r := newTestWriter(t)
	c := netconn.New(near, 64, time.Millisecond)
	assert.True(t, w.Respond(r, request.Response{Body: w.admission.Bodies.TryAllocateResponse(nil, 1000)}))
	require.Error(t, w.run(t.Context(), c))
	var log bytes.Buffer
	c.LogEnd(telemetry.New(&log, ""), telemetry.Remote{Side: telemetry.SideClient, Address: "x"})
	assert.Contains(t, log.String(), "reason=slow_reader")
	assert.Zero(t, w.admission.Bodies.UsedBytes())
}

// Guards against a client that reads nothing and whose responses use more and more memory. From a number of open
// requests and unwritten frames on, the reader must wait until some are written.
func TestReaderWaitsWhileMuchIsUnwritten(t *testing.T) {
	for name, queue := range map[string]func(w *responseWriter, number int){
		"frames": func(w *responseWriter, _ int) { w.sendControl([]byte("x")) },
		"responses": func(w *responseWriter, number int) {
			r := &request.Request{StreamID: uint32(number)}
			w.admission.CountRequest()
			w.open(r)
			w.Respond(r, request.Response{Body: &request.Body{Bytes: make([]byte, 100)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			w := newResponseWriter(telemetry.New(io.Discard, ""), admission.New(64, 256))
			for number := 0; !w.full(); number++ {
				require.Less(t, number, maxFrames)
				queue(w, number)
			}
			waited := make(chan error, 1)
			go func() { waited <- w.awaitRoom(t.Context()) }()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- w.run(ctx, netconn.New(near, 64, time.Minute)) }()
			assert.Empty(t, waited)
			go func() { _, _ = io.Copy(io.Discard, far) }()
			require.NoError(t, <-waited)
			cancel()
			require.ErrorIs(t, <-ended, context.Canceled)
		})
	}
}

// Guards against losing the response to a request that is opened, or a frame that is queued, between the check that a
// connection is idle and its close. quiesce must return true only if no request is open and no output is queued or
// being written, and afterwards no control frame may be queued.
func TestQuiesceChecksAndChangesStateInOneStep(t *testing.T) {
	near, far := net.Pipe()
	w, r := newTestWriter(t)
	assert.False(t, w.quiesce(), "a request is open")
	assert.True(t, w.Respond(r, request.Response{}))
	assert.False(t, w.quiesce(), "its response is queued")
	done := make(chan error)
	go func() { done <- w.run(t.Context(), netconn.New(near, 64, time.Minute)) }()
	_, _ = far.Read(make([]byte, 1))
	assert.False(t, w.quiesce(), "the socket has not accepted all of it")
	go func() { _, _ = io.Copy(io.Discard, far) }()
	assert.Eventually(t, w.quiesce, time.Minute, time.Millisecond)
	w.sendControl([]byte("more"))
	assert.False(t, w.busy(), "control frames are no longer queued")
	w.finish()
	require.NoError(t, <-done)
	assert.True(t, w.quiesce())
}

// Guards against attempts that are sent although no client waits: the event loop handles a cancellation only after the
// events queued before it. Every reference to the request must show the cancellation immediately.
func TestCancellationTakesEffectImmediately(t *testing.T) {
	w, r := newTestWriter(t)
	assert.False(t, r.Cancelled())
	w.cancel(1, request.ConnectionEnded)
	assert.True(t, r.Cancelled())
	w, r = newTestWriter(t)
	w.close()
	assert.True(t, r.Cancelled())
}

// Guards against counters of completed requests that look normal while responses are written after the deadline, when
// clients have given up. Each late response must be counted, and one that is late by more than the threshold must be
// logged.
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
		assert.Empty(t, admitted.AdmitRequest(t.Context(), r))
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

// Guards against dropping the response to another stream when a client cancels a request whose response is queued
// behind others. Only the response of the cancelled stream must be dropped.
func TestCancelDropsOnlyTheQueuedResponseOfItsStream(t *testing.T) {
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
	for _, frame := range w.queue.Drain()[1:] {
		streams = append(streams, frame.answered.streamID)
	}
	assert.Equal(t, []uint32{0, 2}, streams)
	assert.EqualValues(t, 2, w.admission.OpenRequests())
}
