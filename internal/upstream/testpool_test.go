package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testPool is a pool with one endpoint, and the endpoint's side of what it dials.
type testPool struct {
	*Pool
	events chan Event
	dialed chan net.Conn // the endpoint's sides
	log    *bytes.Buffer
	stop   func() // ends the pool and waits for it
}

// testOwner is the owner of an attempt of a test.
type testOwner string

// OwnsUpstreamAttempt makes it an Owner.
func (testOwner) OwnsUpstreamAttempt() {}

// newTestPool returns a pool that is started, with the endpoint m.
func newTestPool(t *testing.T) *testPool {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &testPool{events: make(chan Event, 99), dialed: make(chan net.Conn, 9), log: &bytes.Buffer{}}
	s.Pool = &Pool{
		Admission:                admission.New(64, 5),
		Metrics:                  telemetry.New(s.log, ""),
		ConnectTimeout:           time.Second,
		EndpointIdleTimeout:      time.Minute,
		MaxAttemptsPerConnection: 2,
		OnEvent:                  func(ev Event) { s.events <- ev },
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			s.dialed <- far
			return near, nil
		},
	}
	s.Start(ctx)
	s.UpdateEndpoints(true, []discovery.Endpoint{{Address: "a:1", Endpoint: routing.Endpoint{ID: "m"}}})
	s.stop = func() {
		cancel()
		assert.NoError(t, s.Wait())
	}
	t.Cleanup(s.stop)
	return s
}

// holdDials keeps connections from being established until the channel is closed.
func (s *testPool) holdDials() chan bool {
	hold, dial := make(chan bool), s.Dial
	s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		<-hold
		return dial(ctx, addr)
	}
	return hold
}

// send sends an attempt of an idempotent class, with a body of so many bytes.
func (s *testPool) send(id string, bodyBytes int, avoid ...*Connection) *Attempt {
	r := &request.Request{ID: routing.RequestID(id), ClassName: "page", Object: "ff", Part: "0"}
	if bodyBytes > 0 {
		r.Body = &request.Body{Bytes: make([]byte, bodyBytes)}
	}
	return s.Send(attemptOf(r), Bounds{}, avoid, testOwner(id))
}

// attemptOf returns the command of an attempt of a request at the endpoint m.
func attemptOf(r *request.Request) cacheproto.Attempt {
	return cacheproto.Attempt{
		Request:        r,
		TimeoutSeconds: 1,
		StartAttempt:   routing.StartAttempt{Endpoint: "m"},
	}
}

// endedWith returns the event of an attempt's end that says no more than its result.
func endedWith(a *Attempt, result routing.AttemptResult) AttemptEnded {
	return AttemptEnded{Attempt: a, End: request.AttemptEnd{Result: result}}
}

// nextEnd waits for the next end of an attempt.
func (s *testPool) nextEnd() AttemptEnded {
	for {
		if e, ok := (<-s.events).(AttemptEnded); ok {
			return e
		}
	}
}

// nextTwoResults waits for the next two ends of attempts, in whatever order.
func (s *testPool) nextTwoResults() map[*Attempt]routing.AttemptResult {
	results := map[*Attempt]routing.AttemptResult{}
	for range 2 {
		ended := s.nextEnd()
		results[ended.Attempt] = ended.End.Result
	}
	return results
}

// readCommand reads one command as an endpoint does and returns its first two words.
func readCommand(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	words := strings.Fields(line)
	if words[0] == "do" {
		_, err = r.ReadString('\n') // no body, and the line end after it
		assert.NoError(t, err)
	}
	return words[0] + " " + words[1]
}

// logAfterEnd waits until a connection has ended, ends the pool and returns the log.
func (s *testPool) logAfterEnd(c *Connection) string {
	for ev := range s.events {
		if ev == (ConnectionClosed{Connection: c}) {
			break
		}
	}
	s.stop()
	return s.log.String()
}

// closeObserver is the socket to an endpoint. It calls onClose before it is closed or half-closed.
type closeObserver struct {
	*net.TCPConn
	onClose func()
}

// CloseWrite ends the sending side.
func (c *closeObserver) CloseWrite() error {
	c.onClose()
	return c.TCPConn.CloseWrite()
}

// Close closes the socket.
func (c *closeObserver) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}

// dialLoopback makes the pool dial over loopback. OnClose is called once, when the pool begins to end a connection.
func (s *testPool) dialLoopback(onClose func(far net.Conn)) {
	s.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		far, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
		if err != nil {
			return nil, err
		}
		near, err := ln.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := near.(*net.TCPConn)
		if !ok {
			return nil, fmt.Errorf("accepted a %T", near)
		}
		s.dialed <- far
		return &closeObserver{tcp, sync.OnceFunc(func() { onClose(far) })}, nil
	}
}
