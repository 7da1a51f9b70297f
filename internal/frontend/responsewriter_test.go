package frontend

import (
	"bytes"
	"cairnfront/internal/admission"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// outlet is one with an open txn on stream 1.
func outlet(t *testing.T) (*responseWriter, *request.Request) {
	g := admission.New(64, 256)
	o, x := newResponseWriter(telemetry.New(&bytes.Buffer{}, ""), g), &request.Request{StreamID: 1, ClassName: "page"}
	assert.Empty(t, g.AdmitRequest(0))
	o.open(x)
	return o, x
}

func TestAnswerThatNobodyWaitsForIsDropped(t *testing.T) {
	o, x := outlet(t)
	body := o.admission.Bodies.TryAllocate(100)
	assert.True(t, o.Respond(x, request.Response{Body: body}))
	assert.Nil(t, o.cancel(1, request.CancelledByClient))
	assert.False(t, o.busy())
	assert.Zero(t, o.admission.Bodies.UsedBytes())
	assert.Zero(t, o.admission.OpenRequests())
}

func TestClosedresponseWriterTakesNothing(t *testing.T) {
	o, x := outlet(t)
	y := &request.Request{StreamID: 2, ClassName: "page"}
	assert.Empty(t, o.admission.AdmitRequest(0))
	o.open(y)
	assert.True(t, o.Respond(y, request.Response{Body: o.admission.Bodies.TryAllocate(100)}))
	assert.Equal(t, []*request.Request{x}, o.close(request.ConnectionEnded))
	assert.False(t, o.Respond(x, request.Response{Body: o.admission.Bodies.TryAllocate(100)}))
	assert.Zero(t, o.admission.Bodies.UsedBytes(), "what comes too late is freed as well")
	assert.Zero(t, o.admission.OpenRequests())
	assert.Equal(t, []int64{2, 1, 1, 0}, []int64{o.metrics.Value("taken"), o.metrics.Value("answered"), o.metrics.Value("left"), o.metrics.Value("open")})
}

func TestSlowReaderEnds(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	o, x := outlet(t)
	c := netconn.New(near, 64, time.Millisecond)
	assert.True(t, o.Respond(x, request.Response{Body: o.admission.Bodies.TryAllocate(1000)}))
	assert.Error(t, o.run(t.Context(), c))
	var log bytes.Buffer
	c.LogEnd(telemetry.New(&log, ""), "client", "x")
	assert.Contains(t, log.String(), "code=slow-reader")
	assert.Zero(t, o.admission.Bodies.UsedBytes())
	for range maxQueuedFrames + 1 {
		assert.False(t, o.queueFull())
		o.sendControl(nil)
	}
	assert.True(t, o.queueFull())
}

// TestLookAndEndAreOneStep: nothing may be open, wait, or be on its way into the socket; after a yes nothing more is said.
func TestLookAndEndAreOneStep(t *testing.T) {
	near, far := net.Pipe()
	o, x := outlet(t)
	assert.False(t, o.quiesce(), "a txn is open")
	assert.True(t, o.Respond(x, request.Response{}))
	assert.False(t, o.quiesce(), "its answer waits")
	done := make(chan error)
	go func() { done <- o.run(t.Context(), netconn.New(near, 64, time.Minute)) }()
	_, _ = far.Read(make([]byte, 1))
	assert.False(t, o.quiesce(), "the socket has not taken all of it")
	go func() { _, _ = io.Copy(io.Discard, far) }()
	assert.Eventually(t, o.quiesce, time.Minute, time.Millisecond)
	o.sendControl([]byte("more"))
	assert.False(t, o.busy(), "nothing more is said")
	o.finish()
	assert.NoError(t, <-done)
	assert.True(t, o.quiesce())
}

// TestNewsOfALeaverCountsAtOnce: whoever holds the txn sees it before the route stage has heard.
func TestNewsOfALeaverCountsAtOnce(t *testing.T) {
	o, x := outlet(t)
	assert.False(t, x.Cancelled())
	o.cancel(1, request.CancelledByClient)
	assert.True(t, x.Cancelled())
	o, x = outlet(t)
	o.close(request.ConnectionEnded)
	assert.True(t, x.Cancelled())
}
