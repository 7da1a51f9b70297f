package relay

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
)

// outlet is one with an open txn on stream 1.
func outlet(t *testing.T) (*Outlet, *request.Request) {
	g := admission.New(64, 256)
	o, x := New(telemetry.New(&bytes.Buffer{}, ""), g), &request.Request{StreamID: 1, ClassName: "page"}
	assert.Empty(t, g.AdmitRequest(0))
	o.Open(x)
	return o, x
}

func TestAnswerThatNobodyWaitsForIsDropped(t *testing.T) {
	o, x := outlet(t)
	body := o.gate.Bodies.TryAllocate(100)
	assert.True(t, o.Respond(x, request.Response{Body: body}))
	assert.Nil(t, o.Leave(1, request.CancelledByClient))
	assert.False(t, o.Busy())
	assert.Zero(t, o.gate.Bodies.UsedBytes())
	assert.Zero(t, o.gate.OpenRequests())
}

func TestClosedOutletTakesNothing(t *testing.T) {
	o, x := outlet(t)
	y := &request.Request{StreamID: 2, ClassName: "page"}
	assert.Empty(t, o.gate.AdmitRequest(0))
	o.Open(y)
	assert.True(t, o.Respond(y, request.Response{Body: o.gate.Bodies.TryAllocate(100)}))
	assert.Equal(t, []*request.Request{x}, o.Close(request.ConnectionEnded))
	assert.False(t, o.Respond(x, request.Response{Body: o.gate.Bodies.TryAllocate(100)}))
	assert.Zero(t, o.gate.Bodies.UsedBytes(), "what comes too late is freed as well")
	assert.Zero(t, o.gate.OpenRequests())
	assert.Equal(t, []int64{2, 1, 1, 0}, []int64{o.book.Value("taken"), o.book.Value("answered"), o.book.Value("left"), o.book.Value("open")})
}

func TestSlowReaderEnds(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	o, x := outlet(t)
	c := netconn.New(near, 64, time.Millisecond)
	assert.True(t, o.Respond(x, request.Response{Body: o.gate.Bodies.TryAllocate(1000)}))
	assert.Error(t, o.Run(t.Context(), c))
	var log bytes.Buffer
	c.LogEnd(telemetry.New(&log, ""), "client", "x")
	assert.Contains(t, log.String(), "code=slow-reader")
	assert.Zero(t, o.gate.Bodies.UsedBytes())
	for range mostQueued + 1 {
		assert.False(t, o.Full())
		o.Say(nil)
	}
	assert.True(t, o.Full())
}

// TestLookAndEndAreOneStep: nothing may be open, wait, or be on its way into the socket; after a yes nothing more is said.
func TestLookAndEndAreOneStep(t *testing.T) {
	near, far := net.Pipe()
	o, x := outlet(t)
	assert.False(t, o.Shut(), "a txn is open")
	assert.True(t, o.Respond(x, request.Response{}))
	assert.False(t, o.Shut(), "its answer waits")
	done := make(chan error)
	go func() { done <- o.Run(t.Context(), netconn.New(near, 64, time.Minute)) }()
	_, _ = far.Read(make([]byte, 1))
	assert.False(t, o.Shut(), "the socket has not taken all of it")
	go func() { _, _ = io.Copy(io.Discard, far) }()
	assert.Eventually(t, o.Shut, time.Minute, time.Millisecond)
	o.Say([]byte("more"))
	assert.False(t, o.Busy(), "nothing more is said")
	o.Finish()
	assert.NoError(t, <-done)
	assert.True(t, o.Shut())
}

// TestNewsOfALeaverCountsAtOnce: whoever holds the txn sees it before the route stage has heard.
func TestNewsOfALeaverCountsAtOnce(t *testing.T) {
	o, x := outlet(t)
	assert.False(t, x.Cancelled())
	o.Leave(1, request.CancelledByClient)
	assert.True(t, x.Cancelled())
	o, x = outlet(t)
	o.Close(request.ConnectionEnded)
	assert.True(t, x.Cancelled())
}
