package frontend

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"testing"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an attempt that continues although no client waits for it: a client cancels its request, or closes its
// connection, before the response. The open request must be reported as cancelled once, and a later response must be
// dropped. A request that is already answered must not be reported.
func TestRequestIsDecodedAnsweredAndCancelled(t *testing.T) {
	c := newTestConn(t, true)
	before := clock.NowSeconds()
	_, _ = c.Write(requestFrame(1, "aa", clientproto.Field{Name: "heap", Value: "412.5"}))
	r := <-c.sink.arrived
	assert.Equal(t, []any{routing.RequestID("aa0123456789abcd"), "page", routing.ClassIndex(1), 3, 412.5},
		[]any{r.ID, r.ClassName, r.Class, r.PartNumber, r.SizeKB})
	assert.GreaterOrEqual(t, r.ArrivedAt, before)
	assert.InDelta(t, r.ArrivedAt+1.5, r.Deadline, 1e-6)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{ETag: "t", Body: &request.Body{Bytes: []byte("xyz")}}))
	assert.False(t, r.ResponseWriter.Respond(r, request.Response{}), "only one response per request")
	kind, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{clientproto.TypeResponse, uint32(1), "\x01\x01\x04etag\x00\x01txyz"},
		[]any{kind, stream, payload})
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0)) // the request is already answered
	_, _ = c.Write(requestFrame(2, "bb"))
	r = <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 2, 0))
	assert.Equal(t, r, <-c.sink.cancelled)
	assert.False(t, r.ResponseWriter.Respond(r, request.Response{}), "no client waits")
	_, _ = c.Write(requestFrame(3, "cc"))
	r = <-c.sink.arrived
	_ = c.Close()
	assert.Equal(t, r, <-c.sink.cancelled)
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, c.Metrics.Value(`requests_cancelled_total{class="page",reason="connection_closed"}`))
}

// Guards against a client that is not notified of a drain and keeps sending requests to a process that is about to end.
// Readiness replies and GOAWAY must follow the state of admission, and a request that still arrives must be served.
func TestReadinessFollowsAdmission(t *testing.T) {
	c := newTestConn(t, true)
	query := readinessQuery(5)
	for _, want := range []string{"\x00\x00", "\x01\x00"} {
		_, _ = c.Write(query)
		kind, stream, payload := c.readFrame(t)
		assert.Equal(t, []any{clientproto.TypeReadinessReply, uint32(5), want}, []any{kind, stream, payload})
		c.Admission.SetReady()
	}
	go c.BeginDrain()
	kind, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{clientproto.TypeGoAway, uint32(0), ""}, []any{kind, stream, payload})
	_, _ = c.Write(query)
	_, _, payload = c.readFrame(t)
	assert.Equal(t, "\x00\x00", payload, "not ready during the drain")
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	kind, _, _ = c.readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}), "a request that arrives during the drain is served")
	_, stream, _ = c.readFrame(t)
	assert.EqualValues(t, 1, stream)
}

// Guards against failing all requests of a client because one of them cannot be decoded. That request must be answered
// with an error on its stream, and the connection must stay open.
func TestMalformedRequestsAreAnsweredOnTheirStream(t *testing.T) {
	c := newTestConn(t, true)
	big := clientproto.AppendHeader(nil, clientproto.TypeRequest, 1, clientproto.MaxRequestBytes+1)
	for stream, bad := range [][]byte{
		append(big, make([]byte, clientproto.MaxRequestBytes+1)...),
		append(clientproto.AppendHeader(nil, clientproto.TypeRequest, 2, 1), 9),
		requestFrame(3, "zz"), requestFrame(4, "aa", clientproto.Field{Name: "op", Value: "page"}),
		bytes.Replace(requestFrame(5, "aa"), []byte("\x04page"), []byte("\x04what"), 1),
		bytes.Replace(requestFrame(6, "aa"), []byte("page"), []byte("what"), 1),
	} {
		_, _ = c.Write(bad)
		kind, on, payload := c.readFrame(t)
		assert.Equal(t, []any{clientproto.TypeResponse, uint32(stream + 1)}, []any{kind, on})
		assert.Equal(t, byte(9), payload[0])
		assert.Contains(t, payload, "error")
	}
	_, _ = c.Write(requestFrame(7, "aa"))
	r := <-c.sink.arrived
	r.ResponseWriter.Respond(r, request.Response{})
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 7, stream)
}

// Guards against one client that uses the memory of all: it opens more requests than a connection may have, or sends a
// body for which there is no memory. Such a request must be rejected immediately, and the reason must be counted.
func TestRequestsOverLimitsAreRejected(t *testing.T) {
	c := newTestConn(t, true)
	for stream := uint32(1); stream <= maxOpenRequests; stream++ {
		_, _ = c.Write(requestFrame(stream, string([]byte{'a' + byte(stream%6), 'a' + byte(stream/6)})))
		<-c.sink.arrived
	}
	_, _ = c.Write(requestFrame(maxOpenRequests+1, "ff"))
	_, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{uint32(maxOpenRequests + 1), "\x00\x00"}, []any{stream, payload})
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0))
	<-c.sink.cancelled
	free := useUpBodies(t, c.Admission.Bodies)
	_, _ = c.Write(requestFrame(maxOpenRequests+2, "ff"))
	_, stream, payload = c.readFrame(t)
	assert.Equal(t, []any{uint32(maxOpenRequests + 2), "\x00\x00"}, []any{stream, payload}, "no memory for a body")
	free()
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, answered(c, "page", "rejected", "too_many_streams"))
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, answered(c, "unknown", "rejected", "body_memory_exhausted"))
}

// Guards against a reader that waits for room in the full queue of the event loop, and notices neither a cancel nor a
// disconnect. The request must be rejected immediately, and the reader must continue.
func TestFullQueueRejectsImmediately(t *testing.T) {
	c := newTestConn(t, true)
	c.sink.accept = func() bool { return false }
	_, _ = c.Write(requestFrame(1, "aa", clientproto.Field{Name: "heap", Value: "1"}))
	_, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{uint32(1), "\x00\x00"}, []any{stream, payload})
	assert.EqualValues(t, 1, answered(c, "page", "rejected", "queue_full")) //nolint:testifylint // exact by intent
	assert.Zero(t, c.Admission.Bodies.UsedBytes())
	c.sink.accept = nil
	_, _ = c.Write(requestFrame(2, "bb"))
	r := <-c.sink.arrived
	_ = c.Close()
	assert.Equal(t, r, <-c.sink.cancelled)
}

// Guards against clients whose responses use the memory of all. A connection whose unwritten responses hold more than
// its share must get no further request, of any size, and every other connection must.
func TestConnectionOverItsShareOfMemoryGetsNoRequests(t *testing.T) {
	for _, over := range []bool{false, true} {
		c := newTestConn(t, true)
		_, _ = c.Write(readinessQuery(5))
		c.readFrame(t) // the connection is registered
		if over {
			held := c.Admission.Bodies.TryAllocateResponse(&c.conn().share, 100_000)
			defer held.Free()
		}
		free := useUpResponses(t, c.Admission.Bodies)
		for stream, size := range []int{0, 100} {
			fields := requestFrame(1, fmt.Sprintf("%02x", stream))[clientproto.HeaderSize:]
			payload := slices.Concat(fields, make([]byte, size))
			header := clientproto.AppendHeader(nil, clientproto.TypeRequest, uint32(stream+1), len(payload))
			_, _ = c.Write(append(header, payload...))
			if !over {
				r := <-c.sink.arrived
				r.Body.Free()
				r.ResponseWriter.Respond(r, request.Response{})
			}
			_, on, answer := c.readFrame(t)
			assert.EqualValues(t, stream+1, on)
			assert.Equal(t, map[bool]byte{false: 1, true: 0}[over], answer[0])
		}
		free()
	}
}

// Guards against a panic that ends the process with all its connections. A panic while a request is handled must abort
// only that request; a panic of the reader itself must close only its connection.
func TestPanicAbortsOneRequest(t *testing.T) {
	c := newTestConn(t, true)
	c.sink.accept = func() bool { panic("a fault") }
	_, _ = c.Write(requestFrame(1, "aa"))
	_, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{uint32(1), "\x09\x00"}, []any{stream, payload})
	assert.Contains(t, c.log.String(), "a fault")
	assert.EqualValues(t, 1, answered(c, "page", "aborted", "panic")) //nolint:testifylint // exact by intent
	_, _ = c.Write(readinessQuery(0))
	c.readFrame(t) // the reader has finished the request and does not use Admission until the next frame
	c.Admission = nil
	_, _ = c.Write(readinessQuery(0))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	c.Admission = c.admission
	<-c.done
	assert.Contains(t, c.log.String(), "reason=panic")
}

// Guards against bodies whose bytes are not returned to the budget when the dispatcher panics repeatedly while it takes
// over a request: the bytes would add up until every body is rejected. All of them must be returned.
func TestPanicFreesTheBody(t *testing.T) {
	c := newTestConn(t, true)
	c.sink.accept = func() bool { panic("a fault") }
	for stream := range uint32(3) {
		fields := requestFrame(stream+1, fmt.Sprintf("%02x", stream))[clientproto.HeaderSize:]
		payload := slices.Concat(fields, make([]byte, 1000))
		header := clientproto.AppendHeader(nil, clientproto.TypeRequest, stream+1, len(payload))
		_, _ = c.Write(append(header, payload...))
		c.readFrame(t)
	}
	assert.Zero(t, c.admission.Bodies.UsedBytes())
}
