package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendWithin sends an attempt with bounds.
func (s *testPool) sendWithin(id string, bodyBytes int, bounds Bounds) *Attempt {
	r := &request.Request{ID: routing.RequestID(id), ClassName: "page", Object: "ff", Part: "0"}
	if bodyBytes > 0 {
		r.Body = &request.Body{Bytes: make([]byte, bodyBytes)}
	}
	return s.Send(attemptOf(r), bounds, nil, testOwner(id))
}

// A slow dial or a blocked socket delays an attempt until its bounds have expired. It must not be written then: it
// would run for a client that has given up, or outside its permitted time. It ends as not sent, which does not count
// against the endpoint.
func TestAttemptIsNotWrittenAfterItsBounds(t *testing.T) {
	const wait = 50 * time.Millisecond
	past := clock.Now().Add(wait)
	for name, bounds := range map[string]Bounds{
		"deadline":    {Deadline: past},
		"send before": {Deadline: clock.Now().Add(time.Hour), SendBefore: past},
	} {
		t.Run(name+", connection", func(t *testing.T) {
			s := newTestPool(t)
			releaseDials := s.holdDials()
			a := s.sendWithin("a", 0, bounds)
			time.Sleep(2 * wait)
			close(releaseDials)
			assert.Equal(t, endedWith(a, routing.NotSent), s.nextEnd())
			assertNothingSent(t, <-s.dialed)
		})
		t.Run(name+", socket", func(t *testing.T) {
			s := newTestPool(t)
			s.Admission.AdmitEndpointConn(true) // so that b shares the connection of a
			a := s.sendWithin("a", 0, Bounds{})
			endpointConn := <-s.dialed
			b := s.sendWithin("b", 0, bounds)
			time.Sleep(2 * wait)
			assert.Same(t, a.Connection(), b.Connection())
			reader := bufio.NewReader(endpointConn)
			assert.Equal(t, "do a", readCommand(t, reader))
			assert.Equal(t, endedWith(b, routing.NotSent), s.nextEnd())
			assertNothingSent(t, endpointConn)
		})
	}
}

// assertNothingSent checks that nothing is sent to an endpoint.
func assertNothingSent(t *testing.T, endpointConn net.Conn) {
	t.Helper()
	require.NoError(t, endpointConn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	n, _ := endpointConn.Read(make([]byte, 1))
	assert.Zero(t, n)
}

// An endpoint reads only the first part of an attempt. The deadline in its command line would be stale once the rest is
// read. The connection ends soon, and the attempt has not run.
func TestPartiallyWrittenAttemptEndsConnection(t *testing.T) {
	s := newTestPool(t)
	a := s.sendWithin("a", 40_000, Bounds{Deadline: clock.Now().Add(time.Minute)})
	endpointConn := <-s.dialed
	startedAt := time.Now()
	_, _ = endpointConn.Read(make([]byte, 16))
	assert.Equal(t, endedWith(a, routing.ConnectFailed), s.nextEnd())
	assert.Less(t, time.Since(startedAt), writeStallTimeout/2)
}

// The socket of an endpoint accepts no bytes. Its attempts would wait for their deadlines one after another. The
// connection fails after the write stall timeout, which counts against the endpoint.
func TestBlockedSocketCountsAgainstEndpoint(t *testing.T) {
	s := newTestPool(t)
	a := s.sendWithin("a", 0, Bounds{Deadline: clock.Now().Add(time.Minute)})
	startedAt := time.Now()
	assert.Equal(t, endedWith(a, routing.ConnectFailed), s.nextEnd())
	assert.InDelta(t, writeStallTimeout, time.Since(startedAt), float64(writeStallTimeout/2))
}

// An attempt is cancelled while its line waits for a socket that accepts no bytes. The attempt must not be written
// later, as nobody waits for it: only its cancel line is written, and it ends as cancelled.
func TestCancelWhileSocketIsBlocked(t *testing.T) {
	s := newTestPool(t)
	a := s.sendWithin("a", 0, Bounds{Deadline: clock.Now().Add(time.Minute)})
	endpointConn := <-s.dialed
	time.Sleep(maxLineAge / 2)
	s.Cancel(a, routing.Cancelled)
	time.Sleep(maxLineAge)
	reader := bufio.NewReader(endpointConn)
	assert.Equal(t, "undo a", readCommand(t, reader))
	assert.Equal(t, endedWith(a, routing.Cancelled), s.nextEnd())
}

// An endpoint starts to read just before a blocked command line would be formatted again, and reads the rest some
// milliseconds later. A time limit measured from the start of the write closed the connection right after the endpoint
// had read a part. The attempt must arrive, with a deadline that agrees with the client's.
func TestEndpointThatReadsLateReceivesAttempt(t *testing.T) {
	const timeLeft, toleranceSeconds = 10 * time.Second, 0.15 // allowed by the protocol
	for _, readsAfter := range []time.Duration{
		maxFirstByteWait - 5*time.Millisecond, 2*maxFirstByteWait - 5*time.Millisecond, maxLineAge - 5*time.Millisecond,
		5*maxFirstByteWait - 2*time.Millisecond,
	} {
		t.Run(readsAfter.String(), func(t *testing.T) {
			s := newTestPool(t)
			deadline := clock.Now().Add(timeLeft)
			s.Send(attemptOf(&request.Request{
				ID: "9b1f03aa5c7e2d41", ClassName: "page", Object: "7f3a9c21e0b4d655", Part: "0",
				Body: &request.Body{Bytes: make([]byte, 40_000)},
			}), Bounds{Deadline: deadline}, nil, testOwner("a"))
			endpointConn := <-s.dialed
			time.Sleep(readsAfter)
			first := make([]byte, 16)
			_, err := io.ReadFull(endpointConn, first)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			reader := bufio.NewReader(io.MultiReader(bytes.NewReader(first), endpointConn))
			line, err := reader.ReadString('\n')
			require.NoError(t, err)
			_, err = io.CopyN(io.Discard, reader, 40_000+int64(len(cacheproto.LineEnd)))
			require.NoError(t, err, "the connection was closed in the middle of the attempt")
			command, err := cacheproto.ParseCommand([]byte(strings.TrimSpace(line)))
			require.NoError(t, err)
			leftNow := deadline.Sub(clock.Now()).Seconds()
			assert.LessOrEqual(t, command.TimeoutSeconds, leftNow+toleranceSeconds)
			assert.Greater(t, command.TimeoutSeconds, leftNow-toleranceSeconds, "the deadline is not much shorter")
		})
	}
}
