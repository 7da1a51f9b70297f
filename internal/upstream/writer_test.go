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

// An endpoint begins to read just before a line that waits for it would be formatted anew, and takes the rest some
// milliseconds later. A limit that ran from the begin of the write ended the connection right after the endpoint had
// taken a part. The attempt arrives, with a deadline that its client has.
func TestEndpointThatBeginsToReadLateTakesAnAttempt(t *testing.T) {
	const left, tooLong = 10 * time.Second, 0.15 // the latter in seconds, by the protocol's terms
	for _, readsAfter := range []time.Duration{
		maxFirstByteWait - 5*time.Millisecond, 2*maxFirstByteWait - 5*time.Millisecond, maxLineAge - 5*time.Millisecond,
		5*maxFirstByteWait - 2*time.Millisecond,
	} {
		t.Run(readsAfter.String(), func(t *testing.T) {
			s := newTestPool(t)
			deadline := clock.Now().Add(left)
			s.Send(attemptOf(&request.Request{
				ID: "9b1f03aa5c7e2d41", ClassName: "page", Object: "7f3a9c21e0b4d655", Part: "0",
				Body: &request.Body{Bytes: make([]byte, 40_000)},
			}), Bounds{Deadline: deadline}, nil, testOwner("a"))
			far := <-s.dialed
			time.Sleep(readsAfter)
			first := make([]byte, 16)
			_, err := io.ReadFull(far, first)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			reader := bufio.NewReader(io.MultiReader(bytes.NewReader(first), far))
			line, err := reader.ReadString('\n')
			require.NoError(t, err)
			_, err = io.CopyN(io.Discard, reader, 40_000+int64(len(cacheproto.LineEnd)))
			require.NoError(t, err, "the connection was ended inside the attempt")
			command, err := cacheproto.ParseCommand([]byte(strings.TrimSpace(line)))
			require.NoError(t, err)
			leftNow := deadline.Sub(clock.Now()).Seconds()
			assert.LessOrEqual(t, command.TimeoutSeconds, leftNow+tooLong)
			assert.Greater(t, command.TimeoutSeconds, leftNow-tooLong, "and not much less")
		})
	}
}
