package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// side is a pool with one member, and the member's end of what it dials.
type side struct {
	*Pool
	ends   chan Event
	dialed chan net.Conn
	log    *bytes.Buffer
	stop   func()
}

// testOwner is the owner of an attempt of a test.
type testOwner string

func (testOwner) OwnsUpstreamAttempt() {}

func pool(t *testing.T) *side {
	ctx, cancel := context.WithCancel(t.Context())
	s := &side{ends: make(chan Event, 99), dialed: make(chan net.Conn, 9), log: &bytes.Buffer{}}
	s.Pool = &Pool{Admission: admission.New(64, 5), Telemetry: telemetry.New(s.log, ""), ConnectTimeout: time.Second, EndpointIdleTimeout: time.Minute, MaxAttemptsPerConnection: 2,
		OnEvent: func(ev Event) { s.ends <- ev }, Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			s.dialed <- far
			return near, nil
		}}
	s.Start(ctx)
	s.UpdateEndpoints(true, []discovery.Endpoint{{Address: "a:1", Endpoint: routing.Endpoint{ID: "m"}}})
	s.stop = func() {
		cancel()
		assert.NoError(t, s.Wait())
	}
	t.Cleanup(s.stop)
	return s
}

// holdDials keeps connections from being made until the channel is closed.
func (s *side) holdDials() chan bool {
	hold, dial := make(chan bool), s.Dial
	s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		<-hold
		return dial(ctx, addr)
	}
	return hold
}

func (s *side) send(id string, body int, avoid ...*Connection) *Attempt {
	x := &request.Request{ID: id, ClassName: "page", Object: "ff", Part: "0"}
	if body > 0 {
		x.Body = &request.Body{Bytes: make([]byte, body)}
	}
	return s.Send(cacheproto.Attempt{Request: x, TimeoutSeconds: 1, StartAttempt: routing.StartAttempt{Endpoint: "m"}}, avoid, testOwner(id))
}

// end waits for the next end of a call.
func (s *side) end(t *testing.T) AttemptEnded {
	for {
		if e, ok := (<-s.ends).(AttemptEnded); ok {
			return e
		}
	}
}

// asked reads one hop as a member does and returns its id.
func asked(t *testing.T, r *bufio.Reader) string {
	text, err := r.ReadString('\n')
	assert.NoError(t, err)
	w := strings.Fields(text)
	if w[0] == "do" {
		_, err = r.ReadString('\n') // no body, and its end
		assert.NoError(t, err)
	}
	return w[0] + " " + w[1]
}

func TestAnswersComeInAnyOrder(t *testing.T) {
	s := pool(t)
	a, b := s.send("a", 0), s.send("b", 0)
	far := <-s.dialed
	r := bufio.NewReader(far)
	assert.Equal(t, "do a", asked(t, r))
	assert.Equal(t, "do b", asked(t, r))
	_, _ = io.WriteString(far, "b served digest=d,dated=1,remark=h 3\r\nxyz\r\nzz served - 2\r\nno\r\na not_here - 0\r\n\r\n")
	e := s.end(t)
	assert.Equal(t, b, e.Attempt)
	assert.Equal(t, "xyz", string(e.End.Body.Bytes))
	assert.Equal(t, routing.CacheHit, e.End.Detail)
	assert.EqualValues(t, 3, s.Admission.Bodies.UsedBytes())
	e.End.Body.Free()
	e.End.Body.Free()
	assert.Zero(t, s.Admission.Bodies.UsedBytes())
	assert.Equal(t, AttemptEnded{Attempt: a, End: request.AttemptEnd{Result: routing.CacheMiss}}, s.end(t))
	assert.EqualValues(t, 1, s.Telemetry.Value("member.late-answers"))
	assert.Equal(t, 1, s.ConnectionCount(), "one connection carries both")
}

// TestTruthOfBrokenConnections: only what the socket took whole may have run.
func TestTruthOfBrokenConnections(t *testing.T) {
	s := pool(t)
	whole, part := s.send("a", 0), s.send("b", 200_000)
	far := <-s.dialed
	assert.Equal(t, "do a", asked(t, bufio.NewReaderSize(far, 16))) // and some of b
	_ = far.Close()
	ends := map[*Attempt]routing.AttemptResult{}
	for range 2 {
		e := s.end(t)
		ends[e.Attempt] = e.End.Result
	}
	assert.Equal(t, map[*Attempt]routing.AttemptResult{whole: routing.ConnectionBroken, part: routing.ConnectFailed}, ends)
}

// TestHopThatCrossesACloseIsMoot: nothing of it was written, and the member may just have closed an idle connection.
func TestHopThatCrossesACloseIsMoot(t *testing.T) {
	s := pool(t)
	s.MaxAttemptsPerConnection = 3
	s.send("a", 200_000) // holds the writer up
	b := s.send("b", 0)
	far := <-s.dialed
	_, _ = far.Read(make([]byte, 16))
	_ = far.Close()
	ends := map[*Attempt]routing.AttemptResult{}
	for range 2 {
		e := s.end(t)
		ends[e.Attempt] = e.End.Result
	}
	assert.Equal(t, routing.NotSent, ends[b])
}

func TestBodyCutShortIsBroken(t *testing.T) {
	s := pool(t)
	s.send("a", 0)
	far := <-s.dialed
	asked(t, bufio.NewReader(far))
	_, _ = io.WriteString(far, "a served digest=d,dated=1 10\r\nhalf")
	_ = far.Close()
	assert.Equal(t, request.AttemptEnd{Result: routing.ConnectionBroken}, s.end(t).End)
	assert.Zero(t, s.Admission.Bodies.UsedBytes())
}

func TestMembersOutOfStepAreClosed(t *testing.T) {
	for _, bad := range []string{"a what - 0\r\n", "a served - 1\r\nxyz", "a served - x\r\n", strings.Repeat("x", admission.EndpointRingBytes), "\r\n"} {
		s := pool(t)
		s.send("a", 0)
		far := <-s.dialed
		asked(t, bufio.NewReader(far))
		_, _ = io.WriteString(far, bad)
		assert.Equal(t, routing.ConnectionBroken, s.end(t).End.Result, bad[:min(len(bad), 20)])
		s.stop()
		assert.Contains(t, s.log.String(), "code=protocol")
		assert.Equal(t, 1, strings.Count(s.log.String(), "connection ended"), "one line a connection")
	}
}

func TestNoConnectionProvesThatNothingRan(t *testing.T) {
	for how, code := range map[error]routing.AttemptResult{syscall.ECONNREFUSED: routing.ConnectFailed, nil: routing.ConnectFailed, syscall.EMFILE: routing.NotSent} {
		s := pool(t)
		s.ConnectTimeout = 20 * time.Millisecond
		s.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			if how == nil { // a machine that says nothing
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return nil, how
		}
		c := s.send("a", 0)
		assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{Result: code}}, s.end(t))
		assert.Equal(t, ConnectionClosed{c.Connection()}, <-s.ends)
		s.RemoveConnection(c.Connection())
		assert.Zero(t, s.ConnectionCount())
	}
}

func TestPanicEndsTheLinkOnly(t *testing.T) {
	s := pool(t)
	a, b := s.send("a", 0), s.send("b", 0)
	far := <-s.dialed
	r := bufio.NewReader(far)
	asked(t, r)
	asked(t, r)
	post := s.OnEvent
	s.OnEvent = func(ev Event) {
		if e, ok := ev.(AttemptEnded); ok && e.Attempt == a && e.End.Result == routing.CacheMiss {
			panic("a fault")
		}
		post(ev)
	}
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: b, End: request.AttemptEnd{Result: routing.ConnectionBroken}}, s.end(t))
	assert.Contains(t, s.after(t, a.Connection()), "code=panic")
}

func TestUndo(t *testing.T) {
	s := pool(t)
	hold := s.holdDials()
	a := s.send("a", 0)
	b := s.send("b", 0)
	code, atOnce := s.Cancel(a, routing.Cancelled)
	assert.True(t, atOnce && code == routing.NotSent, "nothing of it was written")
	close(hold)
	far := <-s.dialed
	r := bufio.NewReader(far)
	assert.Equal(t, "do b", asked(t, r), "and nothing of it will be")
	c := s.send("c", 0)
	assert.Equal(t, "do c", asked(t, r))
	_, atOnce = s.Cancel(b, routing.Cancelled)
	assert.False(t, atOnce)
	assert.Equal(t, "undo b", asked(t, r))
	assert.Equal(t, AttemptEnded{b, request.AttemptEnd{Result: routing.Cancelled}}, s.end(t))
	_, _ = io.WriteString(far, "b served - 4\r\nlate\r\nc overload - 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{Result: routing.Overloaded}}, s.end(t), "a late answer to what was given up is passed over")
	assert.NotSame(t, b.Connection(), s.send("b", 0, b.Connection()).Connection(), "the id is not used again where it may still be answered")
}

// TestGivenUpOnceTold: a hop that its member knows of is over when the member has been told, not before: a further
// hop would be a second one out at the same time. Where the member takes nothing, the connection's end tells it.
func TestGivenUpOnceTold(t *testing.T) {
	for _, reads := range []bool{true, false} {
		s := pool(t)
		s.MaxAttemptsPerConnection = 3
		a := s.send("a", 0)
		far := <-s.dialed
		r := bufio.NewReader(iotest.OneByteReader(far))
		assert.Equal(t, "do a", asked(t, r))
		s.send("b", 200_000)
		_, _ = r.ReadByte() // the writer is busy with b
		_, atOnce := s.Cancel(a, routing.TimedOut)
		assert.False(t, atOnce)
		assert.Empty(t, s.ends)
		if reads {
			_, _ = io.CopyN(io.Discard, r, 200_000)
			for text := ""; text != "undo a\r\n"; text, _ = r.ReadString('\n') {
				assert.Empty(t, s.ends)
			}
		} else {
			_ = far.Close()
		}
		assert.Equal(t, AttemptEnded{a, request.AttemptEnd{Result: routing.TimedOut}}, s.end(t))
	}
}

func TestOneConnectionCarriesSoMany(t *testing.T) {
	s := pool(t)
	a, b, c := s.send("a", 0), s.send("b", 0), s.send("c", 0)
	assert.Same(t, a.Connection(), b.Connection())
	assert.NotSame(t, a.Connection(), c.Connection())
}

// TestAnswerThatStopsShort: nothing new goes on its connection once its hop is given up, and that ends by itself.
func TestAnswerThatStopsShort(t *testing.T) {
	for _, undone := range []bool{true, false} {
		s := pool(t)
		a := s.send("a", 0)
		far := <-s.dialed
		asked(t, bufio.NewReader(far))
		_, _ = io.WriteString(far, "a served digest=d,dated=1,remark=h 10\r\nhalf")
		if !undone {
			assert.Equal(t, AttemptEnded{Attempt: a, End: request.AttemptEnd{Result: routing.ConnectionBroken}}, s.end(t))
			assert.Contains(t, s.after(t, a.Connection()), "code=stalled")
			continue
		}
		assert.Eventually(t, func() bool { return a.connection.conn.FrameStartUnixNano() != 0 }, time.Minute, time.Millisecond)
		go func() { _, _ = io.Copy(io.Discard, far) }()
		s.Cancel(a, routing.TimedOut)
		assert.Equal(t, routing.TimedOut, s.end(t).End.Result)
		assert.NotSame(t, a.Connection(), s.send("b", 0).Connection())
	}
}

// TestSpoiltAnswerCostsItsOwnHopOnly: while descriptors allow, no hop shares its connection.
func TestSpoiltAnswerCostsItsOwnHopOnly(t *testing.T) {
	s := pool(t)
	s.Admission = admission.New(64, 256)
	a := s.send("a", 0)
	far := <-s.dialed
	b := s.send("b", 0)
	other := <-s.dialed
	asked(t, bufio.NewReader(far))
	asked(t, bufio.NewReader(other))
	_, _ = io.WriteString(far, "a served digest=\x00\r\n")
	assert.Equal(t, AttemptEnded{Attempt: a, End: request.AttemptEnd{Result: routing.ConnectionBroken}}, s.end(t))
	_, _ = io.WriteString(other, "b not_here - 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: b, End: request.AttemptEnd{Result: routing.CacheMiss}}, s.end(t))
	assert.Same(t, b.Connection(), s.send("c", 0).Connection(), "one that nothing is open on is used again")
}

// TestSilentLinkIsNotUsed: a member that heard a hop and said nothing until it was given up may have vanished. The
// wait after which that counts is how long a connection may take to come up.
func TestSilentLinkIsNotUsed(t *testing.T) {
	for connect, silent := range map[time.Duration]bool{time.Hour: false, 0: true} {
		s := pool(t)
		a := s.send("a", 0)
		far := <-s.dialed
		r := bufio.NewReader(far)
		assert.Equal(t, "do a", asked(t, r))
		s.ConnectTimeout = connect
		s.Cancel(a, routing.TimedOut)
		assert.Equal(t, "undo a", asked(t, r))
		b := s.send("b", 0)
		assert.Equal(t, silent, a.Connection() != b.Connection())
		if silent {
			s.CloseIdle(time.Now())
			assert.Contains(t, s.after(t, a.Connection()), "code=silent")
		}
	}
}

// after waits until a link has ended and returns the log.
func (s *side) after(t *testing.T, l *Connection) string {
	for ev := range s.ends {
		if ev == (ConnectionClosed{l}) {
			break
		}
	}
	s.stop()
	return s.log.String()
}

func TestSweep(t *testing.T) {
	s := pool(t)
	c := s.send("a", 0)
	far := <-s.dialed
	asked(t, bufio.NewReader(far))
	s.UpdateEndpoints(false, []discovery.Endpoint{{Address: "b:1", Endpoint: routing.Endpoint{ID: "m"}}})
	s.CloseIdle(time.Now())
	assert.NotSame(t, c.Connection(), s.send("b", 0).Connection(), "the address passed to another machine")
	_, _ = io.WriteString(far, "a nobody - 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{Result: routing.NotSent}}, s.end(t))
	s.CloseIdle(time.Now().Add(time.Second))
	assert.Equal(t, ConnectionClosed{c.Connection()}, <-s.ends, "the old link ends once nothing is open on it")
	s.stop()
	assert.Contains(t, s.log.String(), "code=unlisted")
}

func TestChecks(t *testing.T) {
	s := pool(t)
	s.RequestLoadReports = true
	c := s.SendHealthCheck("m", testOwner("owner"))
	far := <-s.dialed
	assert.Equal(t, "top check1", asked(t, bufio.NewReader(far)))
	_, _ = io.WriteString(far, "check1 green report=util:0.5 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{LoadReport: []routing.LoadMetric{{Name: "util", Value: 0.5}}}}, s.end(t))
	assert.Nil(t, s.SendHealthCheck("nobody", nil))
}

func TestDescriptorsAreBounded(t *testing.T) {
	s := pool(t)
	s.Admission = admission.New(64, 5) // two for members
	s.MaxAttemptsPerConnection = 0
	assert.NotNil(t, s.send("a", 0))
	assert.NotNil(t, s.send("b", 0))
	assert.Nil(t, s.send("c", 0))
}

// TestNothingBeginsForAClientThatLeft: a hop that waits for its connection, or its turn on one, is never written
// once its client is gone, though the route stage has not heard of it; what else waits there goes on.
func TestNothingBeginsForAClientThatLeft(t *testing.T) {
	s := pool(t)
	hold := s.holdDials()
	a := s.send("a", 0)
	b := s.send("b", 0)
	a.request.Cancel()
	close(hold)
	r := bufio.NewReader(<-s.dialed)
	assert.Equal(t, "do b", asked(t, r))
	assert.Equal(t, AttemptEnded{a, request.AttemptEnd{Result: routing.NotSent}}, s.end(t))
	_, atOnce := s.Cancel(a, routing.Cancelled)
	assert.True(t, atOnce, "and no line undoes it")
	assert.NotNil(t, b.Connection())
}

// crossing is a member's socket that tells when the router ends it, before that is done.
type crossing struct {
	*net.TCPConn
	end func()
}

func (c *crossing) CloseWrite() error {
	c.end()
	return c.TCPConn.CloseWrite()
}

func (c *crossing) Close() error {
	c.end()
	return c.TCPConn.Close()
}

// overTCP makes the pool dial over loopback. End is called once, in the moment in which the router ends a connection.
func (s *side) overTCP(end func(far net.Conn)) {
	s.Dial = func(context.Context, string) (net.Conn, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		far, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			return nil, err
		}
		near, err := ln.Accept()
		if err != nil {
			return nil, err
		}
		s.dialed <- far
		return &crossing{near.(*net.TCPConn), sync.OnceFunc(func() { end(far) })}, nil
	}
}

// TestHalfALineThatMeetsAnEndIsNotReset: or the first part of a long answer, so long that it can't all be read
// before; of a member that left the list, of an idle connection, at the router's end.
func TestHalfALineThatMeetsAnEndIsNotReset(t *testing.T) {
	for _, how := range []string{"unlisted", "idle", "shutdown"} {
		s := pool(t)
		s.overTCP(func(far net.Conn) {
			_, _ = io.WriteString(far, "a served digest=d,dated=1 240000\r\n"+strings.Repeat("x", 200_000))
		})
		a := s.send("a", 0)
		far := <-s.dialed
		r := bufio.NewReader(far)
		assert.Equal(t, "do a", asked(t, r))
		_, _ = io.WriteString(far, "a nobody - 0\r\n\r\n")
		s.end(t)
		over := make(chan error)
		go func() {
			_, err := io.Copy(io.Discard, r)
			_ = far.Close()
			over <- err
		}()
		switch how {
		case "unlisted":
			s.UpdateEndpoints(true, nil)
			s.CloseIdle(time.Now().Add(time.Second))
		case "idle":
			s.CloseIdle(time.Now().Add(time.Hour))
		}
		if how == "shutdown" {
			s.stop()
			assert.Contains(t, s.log.String(), "code=shutdown")
		} else {
			assert.Contains(t, s.after(t, a.Connection()), "code="+how)
		}
		assert.NoError(t, <-over, "ended, not reset")
	}
}

// TestMemberThatFloodsPutsNoEndOff: of a connection that is not used any more.
func TestMemberThatFloodsPutsNoEndOff(t *testing.T) {
	s := pool(t)
	s.overTCP(func(net.Conn) {})
	a := s.send("a", 0)
	far := <-s.dialed
	asked(t, bufio.NewReader(far))
	_, _ = io.WriteString(far, "a nobody - 0\r\n\r\n")
	s.end(t)
	go func() {
		for text := strings.Repeat("zz nobody - 0\r\n\r\n", 10_000); ; {
			if _, err := io.WriteString(far, text); err != nil {
				return
			}
		}
	}()
	assert.Eventually(t, func() bool { return s.Telemetry.Value("member.late-answers") > 1000 }, time.Minute, time.Millisecond)
	s.UpdateEndpoints(true, nil)
	s.CloseIdle(time.Now().Add(time.Second))
	assert.Contains(t, s.after(t, a.Connection()), "code=unlisted")
}
