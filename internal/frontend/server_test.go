package frontend

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a server that does not end because it waits for its clients: the process is asked to end while a
// connection is open. The server and its connections must end with the context.
func TestServeEndsWithItsContext(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	s := &Server{Admission: admission.New(64, 256), Metrics: telemetry.New(io.Discard, "")}
	done := make(chan error)
	go func() { done <- s.Serve(ctx, ln) }()
	far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	_, _ = far.Write(readinessQuery(0))
	_, err = io.ReadFull(far, make([]byte, 11))
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-done)
	_, err = far.Read(make([]byte, 1))
	require.Error(t, err)
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, s.Metrics.Value(`connections_closed_total{side="client",reason="shutdown"}`))
}

// Guards against clients that reconnect immediately because they do not know why they were refused. A client over the
// connection limit must receive an error frame with the reason before the close.
func TestClientOverLimitReceivesTheReason(t *testing.T) {
	c := newTestConn(t, false)
	_, stream, payload := c.readFrame(t)
	assert.EqualValues(t, 0, stream)
	assert.Contains(t, payload, "too many connections")
	<-c.done
	assert.Contains(t, c.log.String(), "reason=resource_limit")
}

// descriptorShortageListener is a listener whose first accept fails for lack of a descriptor.
type descriptorShortageListener struct {
	net.Listener
	once sync.Once
}

func (s *descriptorShortageListener) Accept() (net.Conn, error) {
	var err error
	s.once.Do(func() {
		err = &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	})
	if err != nil {
		return nil, err
	}
	return s.Listener.Accept()
}

// Guards against idle connections that use every descriptor, so that accepts fail and no client can connect until one
// of them disconnects. An idle connection must be evicted for the new one, and the listener must continue.
func TestAcceptWithoutDescriptorEvicts(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	assert.Eventually(t, func() bool {
		conn := c.conn()
		return conn != nil && clock.Now().Sub(conn.LastRead()) > evictionMinIdle
	}, time.Minute, time.Millisecond)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- c.Serve(ctx, &descriptorShortageListener{Listener: ln}) }()
	c.readUntilEnd(t)
	assert.Contains(t, c.log.String(), "reason=evicted")
	cancel()
	assert.NoError(t, <-done, "the listener continues until the context is done")
}

// Guards against a client over the connection limit that cannot know whether the requests it already sent have run.
// Each request that was read must be rejected before the close.
func TestRequestsOnConnOverLimitAreRejected(t *testing.T) {
	c := newTestConn(t, false)
	for stream := uint32(1); stream <= 3; stream++ {
		_, err := c.Write(requestFrame(stream, "0"+strconv.Itoa(int(stream))))
		require.NoError(t, err)
		kind, answered, payload := c.readFrame(t)
		assert.Equal(t, clientproto.TypeResponse, kind)
		assert.Equal(t, stream, answered)
		assert.EqualValues(t, 0, payload[0], "rejected")
	}
	_, stream, payload := c.readFrame(t)
	assert.EqualValues(t, 0, stream)
	assert.Contains(t, payload, "too many connections")
	<-c.done
	assert.Contains(t, c.log.String(), "reason=resource_limit")
	c.sink.assertEmpty(t)
}
