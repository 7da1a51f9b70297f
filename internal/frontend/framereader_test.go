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

// A client cancels a request, or closes its connection, before the answer. An attempt would go on for nobody. The open
// request is reported as cancelled once, and a response that comes later is dropped. One that is answered already is
// not.
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
	assert.False(t, r.ResponseWriter.Respond(r, request.Response{}), "one response a request")
	kind, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{clientproto.TypeResponse, uint32(1), "\x01\x01\x04etag\x00\x01txyz"},
		[]any{kind, stream, payload})
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0)) // too late to matter
	_, _ = c.Write(requestFrame(2, "bb"))
	r = <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 2, 0))
	assert.Equal(t, r, <-c.sink.cancelled)
	assert.False(t, r.ResponseWriter.Respond(r, request.Response{}), "nobody waits")
	_, _ = c.Write(requestFrame(3, "cc"))
	r = <-c.sink.arrived
	_ = c.Close()
	assert.Equal(t, r, <-c.sink.cancelled)
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, c.Metrics.Value(`requests_cancelled_total{class="page",reason="connection_closed"}`))
}

// A client that is not informed of a drain goes on to send requests to a process that ends. Readiness and GOAWAY follow
// the state of admission, and a request that comes all the same is served.
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
	assert.Equal(t, "\x00\x00", payload, "no new clients while it ends")
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	kind, _, _ = c.readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}), "and yet what comes is served")
	_, stream, _ = c.readFrame(t)
	assert.EqualValues(t, 1, stream)
}

// One request of a client can not be decoded. Ending the connection would fail its other requests too. The request is
// answered with an error on its stream, and the connection goes on.
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

// A client opens more requests than a connection may have, or sends a body for which there is no memory. Both would let
// one client take the memory of all. The request is rejected at once and the reason is counted.
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
	body := c.Admission.Bodies.TryAllocate(64<<20*35/100 - 50)
	assert.NotNil(t, body)
	_, _ = c.Write(requestFrame(maxOpenRequests+2, "ff"))
	_, stream, payload = c.readFrame(t)
	assert.Equal(t, []any{uint32(maxOpenRequests + 2), "\x00\x00"}, []any{stream, payload}, "no memory for a body")
	body.Free()
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, answered(c, "page", "rejected", "too_many_streams"))
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, answered(c, "unknown", "rejected", "body_memory_exhausted"))
}

// The queue of the event loop is full. A reader that waits for room sees neither a cancel nor a disconnect. The request
// is rejected at once, and the reader goes on.
func TestFullQueueRejectsAtOnce(t *testing.T) {
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

// Memory for bodies is nearly full. Small requests would fill what is left, and large ones would never be served.
// Requests of all sizes are rejected alike.
func TestShortMemoryRejectsAllSizesAlike(t *testing.T) {
	c := newTestConn(t, true)
	stream := uint32(0)
	for _, full := range []bool{false, true} {
		held := c.Admission.Bodies.TryAllocate(64<<20*35/100*9/10 - 1000)
		more := (*request.Body)(nil)
		if full {
			more = c.Admission.Bodies.TryAllocate(2000)
		}
		for _, size := range []int{0, clientproto.MaxBodyBytes} {
			stream++
			fields := requestFrame(stream, fmt.Sprintf("%02x", stream))[clientproto.HeaderSize:]
			payload := slices.Concat(fields, make([]byte, size))
			go func() {
				header := clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload))
				_, _ = c.Write(append(header, payload...))
			}()
			if !full {
				r := <-c.sink.arrived
				r.Body.Free()
				r.ResponseWriter.Respond(r, request.Response{})
			}
			_, on, answer := c.readFrame(t)
			assert.Equal(t, stream, on)
			assert.Equal(t, map[bool]byte{false: 1, true: 0}[full], answer[0])
		}
		held.Free()
		more.Free()
	}
}

// The handling of one request panics, or the reader itself does. The process would end with all connections. The first
// aborts its request alone, and the second closes its connection.
func TestPanicAbortsOneRequest(t *testing.T) {
	c := newTestConn(t, true)
	c.sink.accept = func() bool { panic("a fault") }
	_, _ = c.Write(requestFrame(1, "aa"))
	_, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{uint32(1), "\x09\x00"}, []any{stream, payload})
	assert.Contains(t, c.log.String(), "a fault")
	assert.EqualValues(t, 1, answered(c, "page", "aborted", "panic")) //nolint:testifylint // exact by intent
	_, _ = c.Write(readinessQuery(0))
	c.readFrame(t) // the reader is done with the request, and with Admission until the next frame
	c.Admission = nil
	_, _ = c.Write(readinessQuery(0))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	c.Admission = c.admission
	<-c.done
	assert.Contains(t, c.log.String(), "reason=panic")
}

// The dispatcher panics while it takes a request over, again and again. Bytes of the bodies that stayed in the budget
// would add up until each body is rejected. All are given back.
func TestPanicGivesTheBodysBytesBack(t *testing.T) {
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
