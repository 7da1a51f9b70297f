package frontend

import (
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a client that connects during a drain and sends requests to a process that is about to end. It must
// receive GOAWAY immediately, before it sends a request.
func TestConnAcceptedDuringDrainGetsGoAway(t *testing.T) {
	s, _, dial := startServer(t, nil)
	s.BeginDrain()
	kind, _, _ := dial().readFrame(t)
	assert.Equal(t, clientproto.TypeGoAway, kind)
}

// Guards against resetting a request in the backlog: a client connected and wrote before the listener closed, and its
// connection was not accepted yet. The request must receive a response, even if the accept deadline has passed before
// the first accept, as a second wait follows.
func TestBacklogIsServedDuringDrain(t *testing.T) {
	var c *testClient
	s, sink, _ := startServer(t, func(ln net.Listener) {
		far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
		require.NoError(t, err)
		c = &testClient{Conn: far}
		_, _ = c.Write(requestFrame(1, "aa"))
		tcp, ok := ln.(*net.TCPListener)
		require.True(t, ok)
		require.NoError(t, tcp.SetDeadline(time.Unix(1, 0)))
	})
	s.BeginDrain()
	finished := make(chan bool)
	go func() {
		s.FinishDrain(t.Context())
		close(finished)
	}()
	r := <-sink.arrived
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	for kind := clientproto.TypeGoAway; kind == clientproto.TypeGoAway; {
		var stream uint32
		if kind, stream, _ = c.readFrame(t); kind != clientproto.TypeGoAway {
			assert.Equal(t, []any{clientproto.TypeResponse, uint32(1)}, []any{kind, stream})
		}
	}
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "the connection must end without a reset")
	_ = c.Close()
	<-finished
}

// Guards against losing responses because the end of a drain closes connections with open requests. An idle connection
// must be closed immediately, one with an open request after its response, and one with a partial request after that
// request has arrived and is answered.
func TestFinishDrainWaitsForOpenRequests(t *testing.T) {
	s, sink, dial := startServer(t, nil)
	idleClient, openClient, partialClient := dial(), dial(), dial()
	_, _ = idleClient.Write(readinessQuery(5))
	idleClient.readFrame(t)
	_, _ = openClient.Write(requestFrame(1, "aa"))
	fromOpen := <-sink.arrived
	frame := requestFrame(1, "bb")
	_, _ = partialClient.Write(append(readinessQuery(5), frame[:20]...))
	partialClient.readFrame(t)
	s.BeginDrain()
	finished := make(chan bool)
	go func() {
		s.FinishDrain(t.Context())
		close(finished)
	}()
	_, err := io.Copy(io.Discard, idleClient)
	require.NoError(t, err)
	_ = idleClient.Close()
	_, _ = partialClient.Write(frame[20:])
	fromPartial := <-sink.arrived
	for _, r := range []*request.Request{fromOpen, fromPartial} {
		assert.True(t, r.ResponseWriter.Respond(r, request.Response{Body: &request.Body{Bytes: make([]byte, 200_000)}}))
	}
	for _, c := range []*testClient{openClient, partialClient} {
		n, err := io.Copy(io.Discard, c)
		require.NoError(t, err)
		assert.Greater(t, n, int64(200_000), "the response is complete")
		_ = c.Close()
	}
	<-finished
}
