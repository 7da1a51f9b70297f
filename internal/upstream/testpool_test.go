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

// testPool is a pool with one endpoint, with access to the endpoint's side of the connections that the pool dials.
type testPool struct {
	*Pool
	events chan Event
	dialed chan net.Conn // the endpoint's sides of the dialed connections
	log    *bytes.Buffer
	stop   func() // stops the pool and waits for it
}

// testOwner is the owner of an attempt in a test.
type testOwner string

// OwnsUpstreamAttempt implements Owner.
func (testOwner) OwnsUpstreamAttempt() {}

// newTestPool returns a started pool with the endpoint m.
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
			poolConn, endpointConn := net.Pipe()
			s.dialed <- endpointConn
			return poolConn, nil
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

// holdDials blocks dials until the returned channel is closed.
func (s *testPool) holdDials() chan bool {
	releaseDials, dial := make(chan bool), s.Dial
	s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		<-releaseDials
		return dial(ctx, addr)
	}
	return releaseDials
}

// send sends an attempt of an idempotent class, with a body of bodyBytes bytes.
func (s *testPool) send(id string, bodyBytes int, avoid ...*Connection) *Attempt {
	r := &request.Request{ID: routing.RequestID(id), ClassName: "page", Object: "ff", Part: "0"}
	if bodyBytes > 0 {
		r.Body = &request.Body{Bytes: make([]byte, bodyBytes)}
	}
	return s.Send(attemptOf(r), Bounds{}, avoid, testOwner(id))
}

// attemptOf returns the command for an attempt of a request at the endpoint m.
func attemptOf(r *request.Request) cacheproto.Attempt {
	return cacheproto.Attempt{
		Request:        r,
		TimeoutSeconds: 1,
		StartAttempt:   routing.StartAttempt{Endpoint: "m"},
	}
}

// endedWith returns the event for the end of an attempt that has a result and nothing else.
func endedWith(a *Attempt, result routing.AttemptResult) AttemptEnded {
	return AttemptEnded{Attempt: a, End: request.AttemptEnd{Result: result}}
}

// nextEnd waits until the next attempt ends.
func (s *testPool) nextEnd() AttemptEnded {
	for {
		if e, ok := (<-s.events).(AttemptEnded); ok {
			return e
		}
	}
}

// nextTwoResults waits until two attempts have ended, in any order, and returns their results.
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
		_, err = r.ReadString('\n') // the line end after an empty body
		assert.NoError(t, err)
	}
	return words[0] + " " + words[1]
}

// logAfterEnd waits until a connection has ended, stops the pool and returns the log.
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

// CloseWrite closes the sending side.
func (c *closeObserver) CloseWrite() error {
	c.onClose()
	return c.TCPConn.CloseWrite()
}

// Close closes the socket.
func (c *closeObserver) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}

// dialLoopback makes the pool dial over loopback. OnClose is called once for a connection, when the pool starts to
// close it.
func (s *testPool) dialLoopback(onClose func(endpointConn net.Conn)) {
	s.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		endpointConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
		if err != nil {
			return nil, err
		}
		poolConn, err := ln.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := poolConn.(*net.TCPConn)
		if !ok {
			return nil, fmt.Errorf("accepted a %T", poolConn)
		}
		s.dialed <- endpointConn
		return &closeObserver{tcp, sync.OnceFunc(func() { onClose(endpointConn) })}, nil
	}
}
