package frontend

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testClient is a client connection to a Server that serves only this client.
type testClient struct {
	*Server
	net.Conn
	sink      *testSink
	log       *bytes.Buffer
	done      chan bool
	admission *admission.Controller
	socket    *observedSocket // set for connections over TCP
}

// testSink is a RequestSink that records the requests that are handed to it.
type testSink struct {
	arrived   chan *request.Request
	cancelled chan *request.Request
	accept    func() bool // replaces the recording of arriving requests if not nil
}

func newTestSink() *testSink {
	return &testSink{
		arrived:   make(chan *request.Request, 99),
		cancelled: make(chan *request.Request, 99),
	}
}

func (s *testSink) RequestArrived(r *request.Request) bool {
	if s.accept != nil {
		return s.accept()
	}
	s.arrived <- r
	return true
}

func (s *testSink) RequestCancelled(r *request.Request) { s.cancelled <- r }

// assertEmpty checks that no further request was handed over.
func (s *testSink) assertEmpty(t *testing.T, msgAndArgs ...any) {
	t.Helper()
	assert.Empty(t, s.arrived, msgAndArgs...)
	assert.Empty(t, s.cancelled, msgAndArgs...)
}

// newTestConn connects a client over a pipe. If admitted is false, the connection is over the connection limit.
func newTestConn(t *testing.T, admitted bool) *testClient {
	t.Helper()
	near, far := net.Pipe()
	return newTestConnOver(t, near, far, admitted)
}

// newTestConnOver connects a client over a pair of sockets. At the end of the test it checks what must hold for each
// connection: one log line, no open request, balanced counters.
func newTestConnOver(t *testing.T, near, far net.Conn, admitted bool) *testClient {
	t.Helper()
	c := &testClient{Conn: far, sink: newTestSink(), log: &bytes.Buffer{}, done: make(chan bool)}
	c.Server = &Server{
		ClassIndexes: map[string]routing.ClassIndex{"page": 1},
		Admission:    admission.New(64, 256),
		Metrics:      telemetry.New(c.log, ""),
		Requests:     c.sink,
	}
	c.admission = c.Admission
	go func() {
		c.serveConn(t.Context(), near, admitted)
		close(c.done)
	}()
	t.Cleanup(func() {
		_ = far.Close()
		<-c.done
		assert.Equal(t, 1, strings.Count(c.log.String(), "connection closed"), "one log line")
		assert.Nil(t, c.conn(), "the connection is unregistered")
		assert.Zero(t, c.admission.OpenRequests(), "no request is open after the end")
		//nolint:testifylint // exact by intent
		assert.Equal(t, c.Metrics.Total("requests_received_total"),
			c.Metrics.Total("requests_answered_total")+c.Metrics.Total("requests_cancelled_total"))
	})
	return c
}

// answered returns the number of requests of a class that were answered with a result and a reason.
func answered(c *testClient, class, result, reason string) float64 {
	labels := `class="` + class + `",result="` + result + `",reason="` + reason + `"`
	return c.Metrics.Value("requests_answered_total{" + labels + "}")
}

// conn returns the connection, or nil before and after it is served.
func (c *testClient) conn() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.conns {
		return p
	}
	return nil
}

// requestFrame returns the frame of a request. id is the first two hex digits of its ID.
func requestFrame(stream uint32, id string, more ...clientproto.Field) []byte {
	payload := clientproto.AppendFields(nil, append([]clientproto.Field{
		{Name: "op", Value: "page"},
		{Name: "call", Value: id + "0123456789abcd"},
		{Name: "ttl", Value: "1500"},
		{Name: "row", Value: "7f3a9c21e0b4d655"},
		{Name: "seg", Value: "3"},
	}, more...)...)
	return append(clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload)), payload...)
}

// readinessQuery returns the frame of a readiness query.
func readinessQuery(stream uint32) []byte {
	return append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, stream, 1), 0)
}

// readFrame reads one frame and returns its type, stream and payload.
func (c *testClient) readFrame(t *testing.T) (clientproto.FrameType, uint32, string) {
	t.Helper()
	head := make([]byte, clientproto.HeaderSize)
	_, err := io.ReadFull(c, head)
	require.NoError(t, err)
	h, err := clientproto.ParseHeader(head)
	require.NoError(t, err)
	payload := make([]byte, h.PayloadBytes)
	_, err = io.ReadFull(c, payload)
	require.NoError(t, err)
	return h.Type, h.StreamID, string(payload)
}

// sweepUntilDone sweeps, as if later had passed, until the connection has ended. One sweep is not enough: the reader
// declines a close while a request is open or output is unwritten, and a response that its client has read may not be
// recorded as written yet.
func (c *testClient) sweepUntilDone(later time.Duration) {
	for {
		c.sweep(clock.Now().Add(later))
		select {
		case <-c.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// observedSocket is the server's socket of a connection. It calls a hook before its reader is interrupted and before it
// is closed.
type observedSocket struct {
	*net.TCPConn
	onReaderWoken, onClose func()
	halfClosed             atomic.Bool
	lingerNanos            atomic.Int64 // longest time in ns for which input is read after the half-close
	readAfterHalfClose     atomic.Int64 // bytes read after the half-close
	writes                 atomic.Int64 // calls of Write
}

func (e *observedSocket) Write(p []byte) (int, error) {
	e.writes.Add(1)
	return e.TCPConn.Write(p)
}

func (e *observedSocket) Read(p []byte) (int, error) {
	n, err := e.TCPConn.Read(p)
	if e.halfClosed.Load() {
		e.readAfterHalfClose.Add(int64(n))
	}
	return n, err
}

func (e *observedSocket) SetReadDeadline(at time.Time) error {
	if at.Equal(time.Unix(1, 0)) && e.onReaderWoken != nil {
		e.onReaderWoken()
	}
	if e.halfClosed.Load() {
		e.lingerNanos.Store(max(e.lingerNanos.Load(), int64(time.Until(at))))
	}
	return e.TCPConn.SetReadDeadline(at)
}

func (e *observedSocket) CloseWrite() error {
	e.onClose()
	e.halfClosed.Store(true)
	return e.TCPConn.CloseWrite()
}

func (e *observedSocket) Close() error {
	e.onClose()
	return e.TCPConn.Close()
}

// newTestConnOverTCP is like newTestConn, over loopback. onClose is called once, before the close or half-close;
// onReaderWoken is called each time before the reader is interrupted.
func newTestConnOverTCP(t *testing.T, onReaderWoken, onClose func(far net.Conn)) *testClient {
	t.Helper()
	return newObservedConn(t, true, onReaderWoken, onClose)
}

// newObservedConn is like newTestConnOverTCP, but the connection may be one that is not admitted.
func newObservedConn(t *testing.T, admitted bool, onReaderWoken, onClose func(far net.Conn)) *testClient {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	near, err := ln.Accept()
	require.NoError(t, err)
	tcp, ok := near.(*net.TCPConn)
	require.True(t, ok)
	e := &observedSocket{
		TCPConn:       tcp,
		onReaderWoken: func() { onReaderWoken(far) },
		onClose:       sync.OnceFunc(func() { onClose(far) }),
	}
	c := newTestConnOver(t, e, far, admitted)
	c.socket = e
	return c
}

// allocateBody is one of the methods of a body budget that allocate.
type allocateBody func(context.Context, *request.Share, int) (*request.Body, error)

// useUpBodies allocates all memory for bodies and returns a function that frees it.
func useUpBodies(t *testing.T, budget *request.BodyBudget) (free func()) {
	t.Helper()
	freeRequests, freeResponses := useUp(t, budget.AllocateRequest), useUpResponses(t, budget)
	return func() {
		freeRequests()
		freeResponses()
	}
}

// useUpResponses is like useUpBodies, for the memory for responses.
func useUpResponses(t *testing.T, budget *request.BodyBudget) (free func()) {
	t.Helper()
	return useUp(t, budget.AllocateResponse)
}

func useUp(t *testing.T, allocate allocateBody) (free func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var bodies []*request.Body
	for _, size := range []int{200_000, 20_000, 1000, 1} {
		for body, err := allocate(ctx, nil, size); err == nil; body, err = allocate(ctx, nil, size) {
			bodies = append(bodies, body)
		}
	}
	return func() {
		for _, body := range bodies {
			body.Free()
		}
	}
}

// ignoreSocket is a hook that does nothing.
func ignoreSocket(net.Conn) {}

// readUntilEnd reads until the server closes its side, and fails on a reset.
func (c *testClient) readUntilEnd(t *testing.T) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "the connection must end without a reset")
	_ = c.Close()
	<-c.done
}

// sweepUntil sweeps until the connection is about to end with an end code.
func (c *testClient) sweepUntil(t *testing.T, code netconn.EndCode) {
	t.Helper()
	assert.Eventually(t, func() bool {
		c.sweep(clock.Now().Add(time.Hour))
		conn := c.conn()
		return conn == nil || conn.EndCode() == code
	}, time.Minute, time.Millisecond)
}

// evictSoon evicts the connection once it is served.
func (c *testClient) evictSoon(t *testing.T) {
	t.Helper()
	assert.Eventually(t, func() bool { return c.evict(clock.Now().Add(time.Hour)) }, time.Minute, time.Millisecond)
}

// startServer serves a listener on loopback until the test ends. If prepare is not nil, it is called before the first
// accept.
func startServer(t *testing.T, prepare func(net.Listener)) (s *Server, sink *testSink, dial func() *testClient) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sink = newTestSink()
	s = &Server{
		ClassIndexes: map[string]routing.ClassIndex{"page": 1},
		Admission:    admission.New(64, 256),
		Metrics:      telemetry.New(io.Discard, ""),
		Requests:     sink,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	dial = func() *testClient {
		far, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = far.Close() })
		return &testClient{Conn: far}
	}
	if prepare != nil {
		prepare(ln)
	}
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return s, sink, dial
}

// serveOn starts a server on a listener and returns a function that stops it.
func serveOn(t *testing.T, ln net.Listener) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &Server{Admission: admission.New(64, 256), Metrics: telemetry.New(io.Discard, "")}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	return func() {
		cancel()
		assert.NoError(t, <-done)
	}
}
