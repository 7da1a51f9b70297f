package frontend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// client is a taker with one client's connection.
type testClient struct {
	*Server
	net.Conn
	sink   *testSink
	log    *bytes.Buffer
	done   chan bool
	admission   *admission.Controller
	socket *observedSocket // over TCP
}

// testSink is a RequestSink that keeps what it is handed.
type testSink struct {
	arrived   chan *request.Request
	cancelled chan *request.Request
	accept    func() bool // instead of keeping a request that arrives; nil to keep it
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

// assertEmpty checks that nothing more was handed over.
func (s *testSink) assertEmpty(t *testing.T, msgAndArgs ...any) {
	t.Helper()
	assert.Empty(t, s.arrived, msgAndArgs...)
	assert.Empty(t, s.cancelled, msgAndArgs...)
}

func newTestConn(t *testing.T, in bool) *testClient {
	near, far := net.Pipe()
	return newTestConnOver(t, near, far, in)
}

func newTestConnOver(t *testing.T, near, far net.Conn, in bool) *testClient {
	c := &testClient{Conn: far, sink: newTestSink(), log: &bytes.Buffer{}, done: make(chan bool)}
	c.Server = &Server{
		ClassIndexes: map[string]int{"page": 1}, Admission: admission.New(64, 256), Metrics: telemetry.New(c.log, ""),
		Requests: c.sink,
	}
	c.admission = c.Admission
	go func() {
		c.serveConn(t.Context(), near, in)
		close(c.done)
	}()
	t.Cleanup(func() {
		_ = far.Close()
		<-c.done
		assert.Equal(t, 1, strings.Count(c.log.String(), "connection ended"), "one line")
		assert.Zero(t, c.admission.OpenRequests(), "nothing is owed after the end")
		assert.Equal(t, c.Metrics.Value("taken"), c.Metrics.Value("answered")+c.Metrics.Value("left"))
	})
	return c
}

func (c *testClient) conn() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.conns {
		return p
	}
	return nil
}

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

// next reads one frame: its type, stream and payload.
func (c *testClient) readFrame(t *testing.T) (clientproto.FrameType, uint32, string) {
	head := make([]byte, clientproto.HeaderSize)
	_, err := io.ReadFull(c, head)
	assert.NoError(t, err)
	h, err := clientproto.ParseHeader(head)
	assert.NoError(t, err)
	payload := make([]byte, h.PayloadBytes)
	_, err = io.ReadFull(c, payload)
	assert.NoError(t, err)
	return h.Type, h.StreamID, string(payload)
}

func TestRequestIsDecodedAnsweredAndCancelled(t *testing.T) {
	c := newTestConn(t, true)
	before := float64(time.Now().UnixMicro()) / 1e6
	_, _ = c.Write(requestFrame(1, "aa", clientproto.Field{Name: "heap", Value: "412.5"}))
	r := <-c.sink.arrived
	assert.Equal(t, []any{"aa0123456789abcd", "page", 1, 3, 412.5}, []any{r.ID, r.ClassName, r.Class, r.PartNumber, r.SizeKB})
	assert.GreaterOrEqual(t, r.ArrivedAt, before)
	assert.InDelta(t, r.ArrivedAt+1.5, r.Deadline, 1e-6)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{ETag: "t", Body: &request.Body{Bytes: []byte("xyz")}}))
	assert.False(t, r.ResponseWriter.Respond(r, request.Response{}), "one answer a txn")
	kind, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{clientproto.TypeResponse, uint32(1), "\x01\x01\x04etag\x00\x01txyz"}, []any{kind, stream, payload})
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
	assert.EqualValues(t, 1, c.Metrics.Value("left.page.connection-ended"))
}

func TestReadinessFollowsAdmission(t *testing.T) {
	c := newTestConn(t, true)
	ask := append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 5, 1), 0)
	for _, want := range []string{"\x00\x00", "\x01\x00"} {
		_, _ = c.Write(ask)
		kind, stream, payload := c.readFrame(t)
		assert.Equal(t, []any{clientproto.TypeReadinessReply, uint32(5), want}, []any{kind, stream, payload})
		c.Admission.SetReady()
	}
	go c.BeginDrain()
	kind, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{clientproto.TypeGoAway, uint32(0), ""}, []any{kind, stream, payload})
	_, _ = c.Write(ask)
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

// TestBadRequestsAreAnsweredOnTheirStream: the connection goes on.
func TestMalformedRequestsAreAnsweredOnTheirStream(t *testing.T) {
	c := newTestConn(t, true)
	big := clientproto.AppendHeader(nil, clientproto.TypeRequest, 1, clientproto.MaxRequestBytes+1)
	for stream, bad := range [][]byte{
		append(big, make([]byte, clientproto.MaxRequestBytes+1)...), append(clientproto.AppendHeader(nil, clientproto.TypeRequest, 2, 1), 9),
		requestFrame(3, "zz"), requestFrame(4, "aa", clientproto.Field{Name: "op", Value: "page"}),
		bytes.Replace(requestFrame(5, "aa"), []byte("\x04page"), []byte("\x04what"), 1), bytes.Replace(requestFrame(6, "aa"), []byte("page"), []byte("what"), 1),
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

// TestWhatCanNotBeFollowedEndsTheConnection: but what was taken is answered first.
func TestViolationClosesAfterOpenRequestsAreAnswered(t *testing.T) {
	for want, bad := range map[string][]byte{
		"length": {0xff, 0, 0, 0, 100, 0, 0, 0, 9}, "type 77": clientproto.AppendHeader(nil, 77, 9, 0),
		"stream 0": requestFrame(0, "bb"), "not new": requestFrame(1, "bb"),
	} {
		c := newTestConn(t, true)
		_, _ = c.Write(requestFrame(1, "aa"))
		r := <-c.sink.arrived
		_, _ = c.Write(bad)
		kind, stream, payload := c.readFrame(t)
		assert.Equal(t, []any{clientproto.TypeResponse, uint32(0)}, []any{kind, stream})
		assert.Contains(t, payload, want)
		r.ResponseWriter.Respond(r, request.Response{})
		_, stream, _ = c.readFrame(t)
		assert.EqualValues(t, 1, stream)
		_, err := c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		<-c.done
		assert.Contains(t, c.log.String(), "code=protocol")
	}
}

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
	assert.EqualValues(t, 1, c.Metrics.Value("answered.page.rejected.streams"))
	assert.EqualValues(t, 1, c.Metrics.Value("answered.unknown.rejected.memory"))
}

// TestPanicCostsOneTxn: one in the stages that a request is handed to is answered; one in a reader ends its connection.
func TestPanicAbortsOneRequest(t *testing.T) {
	c := newTestConn(t, true)
	c.sink.accept = func() bool { panic("a fault") }
	_, _ = c.Write(requestFrame(1, "aa"))
	_, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{uint32(1), "\x09\x00"}, []any{stream, payload})
	assert.Contains(t, c.log.String(), "a fault")
	assert.EqualValues(t, 1, c.Metrics.Value("answered.page.aborted.panic"))
	c.Admission = nil
	_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	c.Admission = c.admission
	<-c.done
	assert.Contains(t, c.log.String(), "code=panic")
}

func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	c := newTestConn(t, true)
	for range 1030 {
		if _, err := c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0)); err != nil {
			break
		}
	}
	<-c.done
	assert.Contains(t, c.log.String(), "code=slow-reader")
}

// TestStalledReadersEndWhileMemoryIsShort: but not those that read, nor any while there is room.
func TestStalledReaderIsClosedWhileMemoryIsShort(t *testing.T) {
	c := newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	body := c.Admission.Bodies.TryAllocate(22 << 20)
	c.sweep(time.Now().Add(2 * stalledTimeout))
	r.ResponseWriter.Respond(r, request.Response{Body: body})
	_, err := io.ReadFull(c, make([]byte, 1<<20))
	assert.NoError(t, err, "nothing waited")
	c.sweep(time.Now())
	_, err = io.ReadFull(c, make([]byte, 1<<20))
	assert.NoError(t, err, "it reads")
	c.sweep(time.Now().Add(2 * stalledTimeout))
	<-c.done
	assert.Contains(t, c.log.String(), "code=slow-reader")
	assert.Zero(t, c.Admission.Bodies.UsedBytes())
}

func TestStreamIDsAreUsedOnce(t *testing.T) {
	w := newStreamWindow()
	for _, s := range []uint32{2, 1, 3, 1 << 31} {
		assert.True(t, w.use(s))
		assert.False(t, w.use(s))
	}
	for s := uint32(10); s < 10+4*maxSparseStreams; s += 2 {
		assert.True(t, w.use(s))
	}
	assert.LessOrEqual(t, len(w.sparse), maxSparseStreams)
	assert.False(t, w.use(11), "what lies far back counts as used")
	assert.False(t, w.use(1<<31))
}

func TestClientOverLimitIsTold(t *testing.T) {
	c := newTestConn(t, false)
	_, stream, payload := c.readFrame(t)
	assert.EqualValues(t, 0, stream)
	assert.Contains(t, payload, "too many connections")
	<-c.done
	assert.Contains(t, c.log.String(), "code=limit")
}

// TestStillConnectionsEnd: one without a whole frame soonest, one with something open never.
func TestTimeoutsCloseConnections(t *testing.T) {
	ask := append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0)
	for _, x := range []struct {
		says []byte
		age  time.Duration
		code string
	}{{nil, firstFrameTimeout, "mute"}, {ask, idleTimeout, "idle"}, {append(ask, ask[:5]...), partialFrameTimeout, "half-frame"}, {ask[:9], partialFrameTimeout, "half-frame"}} {
		c := newTestConn(t, true)
		_, _ = c.Write(x.says)
		if len(x.says) >= len(ask) {
			c.readFrame(t)
		}
		assert.Eventually(t, func() bool { // until the bytes have been seen
			c.sweep(time.Now().Add(x.age - 300*time.Millisecond))
			return c.conn().firstFrameRead.Load() == (len(x.says) >= len(ask)) && (c.conn().FrameStartUnixNano() != 0) == (x.code == "half-frame")
		}, time.Minute, time.Millisecond)
		c.sweepUntilDone(x.age + time.Second)
		assert.Contains(t, c.log.String(), "code="+x.code)
	}
	late := newTestConn(t, true) // one that begins its first frame late has not two more seconds for it
	assert.Eventually(t, func() bool { return late.conn() != nil }, time.Minute, time.Millisecond)
	late.conn().SetStartTime(time.Now().Add(-2 * firstFrameTimeout))
	_, _ = late.Write(ask[:5])
	late.sweepUntilDone(0)
	assert.Contains(t, late.log.String(), "code=mute")
	c := newTestConn(t, true)
	_, _ = c.Write(append(requestFrame(1, "aa"), 0, 0))
	r := <-c.sink.arrived
	c.sweep(time.Now().Add(time.Hour))
	r.ResponseWriter.Respond(r, request.Response{})
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 1, stream, "what is open is answered")
}

// sweepUntilDone sweeps as if later, again and again: what a sweep asks for is done where nothing is under way, and an
// answer that its client has read may not yet be known as written.
func (c *testClient) sweepUntilDone(later time.Duration) {
	for {
		c.sweep(time.Now().Add(later))
		select {
		case <-c.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestStillOnesMakeRoom: one that never brought a txn before one that did, however long that is still.
func TestEvictionPrefersConnsWithoutRequests(t *testing.T) {
	a, b := newTestConn(t, true), newTestConn(t, true)
	_, _ = a.Write(requestFrame(1, "aa"))
	r := <-a.sink.arrived
	s := &Server{conns: map[*clientConn]struct{}{}}
	for _, c := range []*testClient{a, b} {
		assert.Eventually(t, func() bool { return c.conn() != nil }, time.Minute, time.Millisecond)
		c.mu.Lock()
		maps.Copy(s.conns, c.conns)
		c.mu.Unlock()
	}
	assert.False(t, s.evict(time.Now().Add(-time.Hour)), "none has been still")
	assert.True(t, s.evict(time.Now().Add(time.Hour)))
	<-b.done
	assert.Contains(t, b.log.String(), "code=crowded")
	assert.False(t, s.evict(time.Now().Add(time.Hour)), "a txn is open")
	r.ResponseWriter.Respond(r, request.Response{})
	a.readFrame(t)
	assert.Eventually(t, func() bool { return s.evict(time.Now().Add(time.Hour)) }, time.Minute, time.Millisecond, "once the answer is known as written")
	<-a.done
}

// TestLastWordsReachAClientThatStillSends: a close with input unread would reset the connection.
func TestLastOutputReachesClientThatStillSends(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	s := &Server{Admission: admission.New(64, 256), Metrics: telemetry.New(io.Discard, "")}
	done := make(chan error)
	go func() { done <- s.Serve(ctx, ln) }()
	far, err := net.Dial("tcp", ln.Addr().String())
	assert.NoError(t, err)
	_, _ = far.Write(clientproto.AppendHeader(nil, 77, 1, 0))
	for range 20 {
		_, err = far.Write(make([]byte, 64<<10))
		assert.NoError(t, err)
	}
	words, err := io.ReadAll(far)
	assert.NoError(t, err)
	assert.Contains(t, string(words), "unknown type 77")
	_ = far.Close()
	cancel()
	assert.NoError(t, <-done)
}

func TestServeEndsWithItsContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	s := &Server{Admission: admission.New(64, 256), Metrics: telemetry.New(io.Discard, "")}
	done := make(chan error)
	go func() { done <- s.Serve(ctx, ln) }()
	far, err := net.Dial("tcp", ln.Addr().String())
	assert.NoError(t, err)
	_, _ = far.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
	_, err = io.ReadFull(far, make([]byte, 11))
	assert.NoError(t, err)
	cancel()
	assert.NoError(t, <-done)
	_, err = far.Read(make([]byte, 1))
	assert.Error(t, err)
	assert.EqualValues(t, 1, s.Metrics.Value("conn.client.ended.shutdown"))
}

// ending is a client's socket that tells when the router ends it, before that is done, and when it wakes its reader.
type observedSocket struct {
	*net.TCPConn
	onReaderWoken, onClose func()
	halfClosed      atomic.Bool
	lingerNanos    atomic.Int64 // ns for which it is read on after its end at the most
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

// overTCP is a taker with one client's connection over loopback. End is called once, in the moment in which the router
// ends the connection; wake each time that its reader is woken.
func newTestConnOverTCP(t *testing.T, wake, end func(far net.Conn)) *testClient {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	near, err := ln.Accept()
	require.NoError(t, err)
	e := &observedSocket{TCPConn: near.(*net.TCPConn), onReaderWoken: func() { wake(far) }, onClose: sync.OnceFunc(func() { end(far) })}
	c := newTestConnOver(t, e, far, true)
	c.socket = e
	return c
}

func ignoreSocket(net.Conn) {}

// whole reads until the router ends its side, and fails on a reset.
func (c *testClient) readUntilEnd(t *testing.T) {
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "ended, not reset")
	_ = c.Close()
	<-c.done
}

// TestRequestThatMeetsAnIdleEnd: one that comes before the end is decided is taken in; one that crosses it meets a half-close,
// so that its client knows that it was not taken and comes again, and no reset.
func TestRequestThatCrossesIdleClose(t *testing.T) {
	ask := append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 5, 1), 0)
	var came atomic.Bool
	c := newTestConnOverTCP(t, func(far net.Conn) {
		if came.CompareAndSwap(false, true) {
			_, _ = far.Write(requestFrame(1, "aa"))
		}
	}, func(far net.Conn) { _, _ = far.Write(requestFrame(2, "bb")) })
	_, _ = c.Write(ask)
	c.readFrame(t)
	var r *request.Request
	for r == nil { // until a sweep has seen that nothing is open
		c.sweep(time.Now().Add(idleTimeout + time.Second))
		select {
		case r = <-c.sink.arrived:
		case <-time.After(time.Millisecond):
		}
	}
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	_, stream, _ := c.readFrame(t)
	assert.EqualValues(t, 1, stream, "it came before the end")
	c.sweepUntil(t, netconn.IdleTimeout)
	c.readUntilEnd(t)
	c.sink.assertEmpty(t, "what crossed the end is not taken")
	assert.Contains(t, c.log.String(), "code=idle")
}

// sweepUntil sweeps until the connection is about to end for a reason.
func (c *testClient) sweepUntil(t *testing.T, code netconn.EndCode) {
	assert.Eventually(t, func() bool {
		c.sweep(time.Now().Add(time.Hour))
		x := c.conn()
		return x == nil || x.EndCode() == code
	}, time.Minute, time.Millisecond)
}

// TestEndsOfEveryKindResetNothing: whatever a client writes in the moment in which its connection ends.
func TestGracefulClosesResetNothing(t *testing.T) {
	ask := append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 5, 1), 0)
	for code, says := range map[netconn.EndCode][]byte{netconn.NoFirstFrame: nil, netconn.IdleTimeout: ask, netconn.PartialFrame: ask[:7]} {
		c := newTestConnOverTCP(t, ignoreSocket, func(far net.Conn) { _, _ = far.Write(append(ask, make([]byte, 50_000)...)) })
		_, _ = c.Write(says)
		if code == netconn.IdleTimeout {
			c.readFrame(t)
		}
		assert.Eventually(t, func() bool {
			x := c.conn()
			return x != nil && (x.FrameStartUnixNano() != 0) == (code == netconn.PartialFrame)
		}, time.Minute, time.Millisecond)
		c.sweepUntil(t, code)
		c.readUntilEnd(t)
		assert.Contains(t, c.log.String(), "code="+code.String())
	}
	c := newTestConnOverTCP(t, ignoreSocket, func(far net.Conn) { _, _ = far.Write(append(ask, make([]byte, 500_000)...)) })
	assert.Eventually(t, func() bool { return c.evict(time.Now().Add(time.Hour)) }, time.Minute, time.Millisecond)
	c.readUntilEnd(t)
	assert.Contains(t, c.log.String(), "code=crowded")
}

// TestClientThatGoesAfterAFaultIsNoticed: nothing it sends is followed any more, but its end is.
func TestDisconnectAfterViolationIsNoticed(t *testing.T) {
	c := newTestConn(t, true)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	c.readFrame(t)
	_, _ = c.Write(requestFrame(2, "bb"))
	_ = c.Close()
	assert.Equal(t, r, <-c.sink.cancelled)
	assert.True(t, r.Cancelled())
	c.sink.assertEmpty(t)
}

// flood writes until the connection fails, and then says so.
func (c *testClient) flood() <-chan bool {
	over := make(chan bool)
	go func() {
		defer close(over)
		for text := make([]byte, 64<<10); ; {
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}()
	return over
}

// TestFloodWhileAnAnswerIsOwedIsSlowed: a client that can't be followed any more, has a txn open and floods is read on, but
// not at the price of the processor: what it can bring until the answer is bounded.
func TestFloodIsSlowedWhileRequestIsOpen(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(requestFrame(1, "aa"))
	r := <-c.sink.arrived
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	flooded := c.flood()
	assert.Eventually(t, func() bool { return c.conn().BytesRead() > discardedInputBytes }, time.Minute, time.Millisecond)
	before, began := c.conn().BytesRead(), time.Now()
	assert.Eventually(t, func() bool { return c.conn().BytesRead() > before+20*admission.ClientRingBytes }, time.Minute, time.Millisecond)
	assert.Greater(t, time.Since(began), 50*time.Millisecond)
	assert.True(t, r.ResponseWriter.Respond(r, request.Response{}))
	<-c.done
	<-flooded
}

// TestFloodAfterAFaultPutsNoEndOff: one whose frames can't be followed and who goes on sending is ended all the same.
func TestFloodAfterViolationDoesNotDelayClose(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	_, _ = c.Write(clientproto.AppendHeader(nil, 77, 9, 0))
	flooded := c.flood()
	<-c.done
	<-flooded
	assert.Contains(t, c.log.String(), "code=protocol")
}

// TestNoRoomInTheQueue: the txn is rejected at once, and the reader goes on: it sees what comes next, an end too.
func TestFullQueueRejectsAtOnce(t *testing.T) {
	c := newTestConn(t, true)
	c.sink.accept = func() bool { return false }
	_, _ = c.Write(requestFrame(1, "aa", clientproto.Field{Name: "heap", Value: "1"}))
	_, stream, payload := c.readFrame(t)
	assert.Equal(t, []any{uint32(1), "\x00\x00"}, []any{stream, payload})
	assert.EqualValues(t, 1, c.Metrics.Value("answered.page.rejected.queue"))
	assert.Zero(t, c.Admission.Bodies.UsedBytes())
	c.sink.accept = nil
	_, _ = c.Write(requestFrame(2, "bb"))
	r := <-c.sink.arrived
	_ = c.Close()
	assert.Equal(t, r, <-c.sink.cancelled)
}

// starved is a listener that finds no descriptor, once.
type descriptorlessListener struct {
	net.Listener
	once sync.Once
}

func (s *descriptorlessListener) Accept() (net.Conn, error) {
	var err error
	if s.once.Do(func() { err = &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)} }); err != nil {
		return nil, err
	}
	return s.Listener.Accept()
}

// TestAcceptWithoutADescriptorMakesRoom: the connection that is of least use ends, and the listener goes on.
func TestAcceptWithoutDescriptorEvicts(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	assert.Eventually(t, func() bool {
		x := c.conn()
		return x != nil && time.Since(time.Unix(0, x.LastReadUnixNano())) > evictionMinIdle
	}, time.Minute, time.Millisecond)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- c.Serve(ctx, &descriptorlessListener{Listener: ln}) }()
	c.readUntilEnd(t)
	assert.Contains(t, c.log.String(), "code=crowded")
	cancel()
	assert.NoError(t, <-done, "the listener itself goes on until it is told")
}

// listening is a taker that accepts on loopback.
func startServer(t *testing.T, before func(net.Listener)) (s *Server, sink *testSink, dial func() *testClient) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sink = newTestSink()
	s = &Server{ClassIndexes: map[string]int{"page": 1}, Admission: admission.New(64, 256), Metrics: telemetry.New(io.Discard, ""), Requests: sink}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	dial = func() *testClient {
		far, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = far.Close() })
		return &testClient{Conn: far}
	}
	if before != nil {
		before(ln)
	}
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return s, sink, dial
}

// TestDrainTellsThoseThatComeAfterIt: at once, without a request of theirs.
func TestConnAcceptedDuringDrainGetsGoAway(t *testing.T) {
	s, _, dial := startServer(t, nil)
	s.BeginDrain()
	kind, _, _ := dial().readFrame(t)
	assert.EqualValues(t, clientproto.TypeGoAway, kind)
}

// TestBacklogIsTakenInAtTheEnd: one that connected, and wrote, before the listener closed is owed an answer. The listener's
// time is up before the first accept: without a last look it would close over its backlog and reset it.
func TestBacklogIsServedDuringDrain(t *testing.T) {
	var c *testClient
	s, sink, _ := startServer(t, func(ln net.Listener) {
		far, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		c = &testClient{Conn: far}
		_, _ = c.Write(requestFrame(1, "aa"))
		_ = ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
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
	assert.NoError(t, err, "ended, not reset")
	_ = c.Close()
	<-finished
}

// TestEvictedOnesGiveTheirPlaceBackSoon: though their clients never end their side, new ones are not turned away for it.
func TestEvictedConnFreesItsPlaceSoon(t *testing.T) {
	c := newTestConnOverTCP(t, ignoreSocket, ignoreSocket)
	assert.Eventually(t, func() bool { return c.evict(time.Now().Add(time.Hour)) }, time.Minute, time.Millisecond)
	<-c.done
	assert.Positive(t, c.socket.lingerNanos.Load())
	assert.LessOrEqual(t, c.socket.lingerNanos.Load(), int64(evictionCloseTimeout), "the place is needed")
}

// TestFinishEndsInOrder: a resting connection ends at once, one with something open after its answer, one in the middle
// of a request once that has come whole and is answered.
func TestFinishDrainClosesInOrder(t *testing.T) {
	s, sink, dial := startServer(t, nil)
	rests, waits, writes := dial(), dial(), dial()
	_, _ = rests.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 5, 1), 0))
	rests.readFrame(t)
	_, _ = waits.Write(requestFrame(1, "aa"))
	r := <-sink.arrived
	text := requestFrame(1, "bb")
	_, _ = writes.Write(append(append([]byte{}, clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 5, 1)...), append([]byte{0}, text[:20]...)...))
	writes.readFrame(t)
	s.BeginDrain()
	finished := make(chan bool)
	go func() {
		s.FinishDrain(t.Context())
		close(finished)
	}()
	_, err := io.Copy(io.Discard, rests)
	assert.NoError(t, err)
	_ = rests.Close()
	_, _ = writes.Write(text[20:])
	y := <-sink.arrived
	for _, z := range []*request.Request{r, y} {
		assert.True(t, z.ResponseWriter.Respond(z, request.Response{Body: &request.Body{Bytes: make([]byte, 200_000)}}))
	}
	for _, c := range []*testClient{waits, writes} {
		n, err := io.Copy(io.Discard, c)
		assert.NoError(t, err)
		assert.Greater(t, n, int64(200_000), "the answer is whole")
		_ = c.Close()
	}
	<-finished
}

// TestWhileMemoryIsShortSizesAreAlike: what is left of the budget is not filled with small requests while large ones starve.
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
			payload := append(requestFrame(stream, fmt.Sprintf("%02x", stream))[clientproto.HeaderSize:], make([]byte, size)...)
			go func() {
				_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload)), payload...))
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
