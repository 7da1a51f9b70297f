package upstream

import (
	"bufio"
	"net"
	"testing"
	"time"

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

// The connection, or the socket, is held back until an attempt may not be begun any more. Written then, it would run
// for a client that has given up, or outside of what its bounds allow. It ends as one that did not run, and blames
// nobody.
func TestNothingIsBegunOnceItsBoundsHavePassed(t *testing.T) {
	const wait = 50 * time.Millisecond
	past := clock.Now().Add(wait)
	for name, bounds := range map[string]Bounds{
		"deadline":    {Deadline: past},
		"send before": {Deadline: clock.Now().Add(time.Hour), SendBefore: past},
	} {
		t.Run(name+", connection", func(t *testing.T) {
			s := newTestPool(t)
			hold := s.holdDials()
			a := s.sendWithin("a", 0, bounds)
			time.Sleep(2 * wait)
			close(hold)
			assert.Equal(t, endedWith(a, routing.NotSent), s.nextEnd())
			assertNothingComes(t, <-s.dialed)
		})
		t.Run(name+", socket", func(t *testing.T) {
			s := newTestPool(t)
			s.Admission.AdmitEndpointConn(true) // so that b shares the connection of a
			a := s.sendWithin("a", 0, Bounds{})
			far := <-s.dialed
			b := s.sendWithin("b", 0, bounds)
			time.Sleep(2 * wait)
			assert.Same(t, a.Connection(), b.Connection())
			reader := bufio.NewReader(far)
			assert.Equal(t, "do a", readCommand(t, reader))
			assert.Equal(t, endedWith(b, routing.NotSent), s.nextEnd())
			assertNothingComes(t, far)
		})
	}
}

// assertNothingComes checks that an endpoint is sent nothing.
func assertNothingComes(t *testing.T, far net.Conn) {
	t.Helper()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	n, _ := far.Read(make([]byte, 1))
	assert.Zero(t, n)
}

// An endpoint takes the first part of an attempt and no more. Its deadline would be stale once it is complete. The
// connection ends soon, and the attempt has not run.
func TestAttemptTakenInPartEndsItsConnection(t *testing.T) {
	s := newTestPool(t)
	a := s.sendWithin("a", 40_000, Bounds{Deadline: clock.Now().Add(time.Minute)})
	far := <-s.dialed
	startedAt := time.Now()
	_, _ = far.Read(make([]byte, 16))
	assert.Equal(t, endedWith(a, routing.ConnectFailed), s.nextEnd())
	assert.Less(t, time.Since(startedAt), writeStallTimeout/2)
}

// The socket of an endpoint takes nothing. Its attempts would wait until their deadlines, one after another. The
// endpoint is given up after the stall timeout, and is blamed.
func TestSocketThatTakesNothingEndsWithBlame(t *testing.T) {
	s := newTestPool(t)
	a := s.sendWithin("a", 0, Bounds{Deadline: clock.Now().Add(time.Minute)})
	startedAt := time.Now()
	assert.Equal(t, endedWith(a, routing.ConnectFailed), s.nextEnd())
	assert.InDelta(t, writeStallTimeout, time.Since(startedAt), float64(writeStallTimeout/2))
}

// An attempt is cancelled while its line waits for a socket that takes nothing. Written later, it would run for nobody.
// Only its cancel is written, and it ends as cancelled.
func TestCancelWhileTheSocketTakesNothing(t *testing.T) {
	s := newTestPool(t)
	a := s.sendWithin("a", 0, Bounds{Deadline: clock.Now().Add(time.Minute)})
	far := <-s.dialed
	time.Sleep(maxLineAge / 2)
	s.Cancel(a, routing.Cancelled)
	time.Sleep(maxLineAge)
	reader := bufio.NewReader(far)
	assert.Equal(t, "undo a", readCommand(t, reader))
	assert.Equal(t, endedWith(a, routing.Cancelled), s.nextEnd())
}
