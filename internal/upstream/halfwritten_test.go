package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// partialAttemptPool is a connection whose socket accepted only a part of an attempt, with other attempts in flight and
// one in the queue.
type partialAttemptPool struct {
	*testPool
	endpointConn    net.Conn
	inFlight        []*Attempt // written completely
	partial, queued *Attempt
}

// newPartialAttemptPool starts attempts with the given ids and two more. The endpoint reads the given attempts,
// acceptedBytes bytes of the next one, and nothing of the last.
func newPartialAttemptPool(t *testing.T, acceptedBytes int, inFlight ...string) *partialAttemptPool {
	t.Helper()
	s := &partialAttemptPool{testPool: newTestPool(t)}
	s.MaxAttemptsPerConnection = 9
	s.Admission.AdmitEndpointConn(true) // so that all attempts share one connection
	bounds := Bounds{Deadline: clock.Now().Add(time.Minute)}
	for _, id := range inFlight {
		s.inFlight = append(s.inFlight, s.sendWithin(id, 0, bounds))
	}
	s.endpointConn = <-s.dialed
	reader := bufio.NewReader(s.endpointConn)
	for _, id := range inFlight {
		assert.Equal(t, "do "+id, readCommand(t, reader))
	}
	s.partial = s.sendWithin("half", 40_000, bounds)
	_, err := io.ReadFull(s.endpointConn, make([]byte, acceptedBytes))
	require.NoError(t, err)
	s.queued = s.sendWithin("queued", 0, bounds)
	return s
}

// An endpoint reads a non-idempotent attempt and then stops reading in the middle of another attempt, or before it. If
// the connection were closed for that, the response to the first attempt would be lost, and that attempt must not be
// repeated. It must still receive its response, while the attempts that cannot have run end immediately.
func TestAttemptInFlightSurvivesBlockedWrite(t *testing.T) {
	for name, acceptedBytes := range map[string]int{"partly read": 16, "not read": 0} {
		t.Run(name, func(t *testing.T) {
			s := newPartialAttemptPool(t, acceptedBytes, "order")
			order := s.inFlight[0]
			ends := s.nextTwoResults()
			assert.Equal(t, map[*Attempt]routing.AttemptResult{
				s.partial: routing.ConnectFailed,
				s.queued:  routing.NotSent,
			}, ends)
			s.Admission = admission.New(64, 256)
			assert.NotSame(t, order.Connection(), s.send("next", 0).Connection(), "the connection accepts no attempts")
			_, _ = io.WriteString(s.endpointConn, "order served digest=d,dated=1 2\r\nok\r\n")
			end := s.nextEnd()
			assert.Equal(t, order, end.Attempt)
			assert.Equal(t, routing.Completed, end.End.Result)
			assert.Contains(t, s.logAfterEnd(order.Connection()), "reason=slow_reader")
		})
	}
}

// An attempt is cancelled on a connection where its cancel line cannot be written. If it ended immediately, its retry
// would run concurrently with it. It ends with the connection, which closes after the last attempt on it.
func TestCancelOnUnwritableConnection(t *testing.T) {
	s := newPartialAttemptPool(t, 16, "order", "read")
	order, read := s.inFlight[0], s.inFlight[1]
	s.nextTwoResults()
	_, immediate := s.Cancel(read, routing.TimedOut)
	assert.False(t, immediate)
	time.Sleep(50 * time.Millisecond)
	for len(s.events) > 0 {
		_, ended := (<-s.events).(AttemptEnded)
		assert.False(t, ended, "the endpoint may still run the cancelled attempt")
	}
	_, immediate = s.Cancel(order, routing.Cancelled)
	assert.False(t, immediate)
	assert.Equal(t, map[*Attempt]routing.AttemptResult{
		read:  routing.TimedOut,
		order: routing.Cancelled,
	}, s.nextTwoResults())
	_, err := io.Copy(io.Discard, s.endpointConn)
	assert.NoError(t, err, "the endpoint sees the close")
}

// The endpoint closes a connection on which nothing more can be written. The attempts in flight may have run.
func TestCloseOfUnwritableConnectionByEndpoint(t *testing.T) {
	s := newPartialAttemptPool(t, 16, "order")
	s.nextTwoResults()
	_ = s.endpointConn.Close()
	assert.Equal(t, endedWith(s.inFlight[0], routing.ConnectionBroken), s.nextEnd())
}

// resultsWithin returns the results of the attempts that end within a time.
func (s *partialAttemptPool) resultsWithin(wait time.Duration) map[*Attempt]routing.AttemptResult {
	results := map[*Attempt]routing.AttemptResult{}
	for timeout := time.After(wait); ; {
		select {
		case event := <-s.events:
			if ended, ok := event.(AttemptEnded); ok {
				results[ended.Attempt] = ended.End.Result
			}
		case <-timeout:
			return results
		}
	}
}

// An endpoint hangs with two attempts, and one of them is cancelled for a retry. Its cancel line cannot be written, but
// the retry must not wait for the deadline of the other attempt. The connection ends when no input has arrived for the
// connect timeout.
func TestUnwritableCancelEndsAfterConnectTimeout(t *testing.T) {
	s := newPartialAttemptPool(t, 16, "order", "read")
	order, read := s.inFlight[0], s.inFlight[1]
	s.nextTwoResults()
	s.Cancel(read, routing.TimedOut)
	assert.Empty(t, s.resultsWithin(s.ConnectTimeout-100*time.Millisecond))
	assert.Equal(t, map[*Attempt]routing.AttemptResult{
		read:  routing.TimedOut,
		order: routing.ConnectionBroken,
	}, s.resultsWithin(300*time.Millisecond))
	assert.InDelta(t, 1, s.Metrics.Value(`upstream_unwritable_connections_total{end="silent"}`), 0)
}

// An endpoint stops reading but still sends responses slowly. A cancel that cannot be written must not end the
// connection with the other attempts on it: each response shows that the endpoint works, and the response to the
// cancelled attempt ends that attempt.
func TestSlowResponsesKeepUnwritableConnectionOpen(t *testing.T) {
	s := newPartialAttemptPool(t, 16, "order", "read", "other", "slow")
	s.nextTwoResults()
	read, slow := s.inFlight[1], s.inFlight[3]
	pause := s.ConnectTimeout * 2 / 3
	results := []routing.AttemptResult{routing.Completed, routing.TimedOut, routing.Completed}
	s.Cancel(read, routing.TimedOut)
	s.Cancel(slow, routing.Cancelled)
	for i, id := range []string{"other", "read", "order"} {
		assert.Empty(t, s.resultsWithin(pause))
		_, _ = io.WriteString(s.endpointConn, id+" served digest=d,dated=1 2\r\nok\r\n")
		end := s.nextEnd()
		assert.Equal(t, id, end.Attempt.id)
		assert.Equal(t, results[i], end.End.Result)
	}
	assert.Equal(t, endedWith(slow, routing.Cancelled), s.nextEnd(), "ends with the last attempt on the connection")
	s.logAfterEnd(slow.Connection())
	assert.InDelta(t, 1, s.Metrics.Value(`upstream_unwritable_connections_total{end="answered"}`), 0)
}

// A cancel line waits for a socket that accepts nothing until the write stall timeout ends writing, and the endpoint
// hangs. The retry of the cancelled attempt must not wait for the deadline of the other attempt.
func TestQueuedCancelEndsAfterWriteStall(t *testing.T) {
	s := newPartialAttemptPool(t, 0, "order", "read")
	order, read := s.inFlight[0], s.inFlight[1]
	s.Cancel(s.queued, routing.Cancelled)
	s.Cancel(read, routing.TimedOut)
	results := s.resultsWithin(writeStallTimeout + s.ConnectTimeout + 300*time.Millisecond)
	assert.Equal(t, routing.TimedOut, results[read])
	assert.Equal(t, routing.ConnectionBroken, results[order])
}
