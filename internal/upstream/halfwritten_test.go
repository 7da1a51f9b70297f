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

// halfTakenAttempt is a connection on which an attempt was taken in part, with others in flight and one queued.
type halfTakenAttempt struct {
	*testPool
	far              net.Conn
	inFlight         []*Attempt // taken completely
	halfTaken, queue *Attempt
}

// newHalfTakenAttempt starts attempts with the ids given, and two more: an endpoint takes them, and of the next the
// first bytes, or nothing.
func newHalfTakenAttempt(t *testing.T, takenBytes int, inFlight ...string) *halfTakenAttempt {
	t.Helper()
	s := &halfTakenAttempt{testPool: newTestPool(t)}
	s.MaxAttemptsPerConnection = 9
	s.Admission.AdmitEndpointConn(true) // so that all share one connection
	bounds := Bounds{Deadline: clock.Now().Add(time.Minute)}
	for _, id := range inFlight {
		s.inFlight = append(s.inFlight, s.sendWithin(id, 0, bounds))
	}
	s.far = <-s.dialed
	reader := bufio.NewReader(s.far)
	for _, id := range inFlight {
		assert.Equal(t, "do "+id, readCommand(t, reader))
	}
	s.halfTaken = s.sendWithin("half", 40_000, bounds)
	_, err := io.ReadFull(s.far, make([]byte, takenBytes))
	require.NoError(t, err)
	s.queue = s.sendWithin("queued", 0, bounds)
	return s
}

// An endpoint takes an order, and then stops reading inside another attempt, or before it. Ending the connection for
// that would take the order's answer with it, and the order must not be repeated. The order gets its answer; the
// attempts that cannot have run end at once.
func TestOrderOutlivesAnAttemptThatIsNotTaken(t *testing.T) {
	for name, takenBytes := range map[string]int{"in part": 16, "at all": 0} {
		t.Run(name, func(t *testing.T) {
			s := newHalfTakenAttempt(t, takenBytes, "order")
			order := s.inFlight[0]
			ends := s.nextTwoResults()
			assert.Equal(t, map[*Attempt]routing.AttemptResult{
				s.halfTaken: routing.ConnectFailed,
				s.queue:     routing.NotSent,
			}, ends)
			s.Admission = admission.New(64, 256)
			assert.NotSame(t, order.Connection(), s.send("next", 0).Connection(), "it takes no more attempts")
			_, _ = io.WriteString(s.far, "order served digest=d,dated=1 2\r\nok\r\n")
			end := s.nextEnd()
			assert.Equal(t, order, end.Attempt)
			assert.Equal(t, routing.Completed, end.End.Result)
			assert.Contains(t, s.logAfterEnd(order.Connection()), "reason=slow_reader")
		})
	}
}

// An attempt is cancelled on a connection on which its cancel can't be written. Reported as ended, it would run beside
// its retry. The end of the connection gives it up, which comes with the end of the last attempt on it.
func TestCancelOnAConnectionThatCannotBeWritten(t *testing.T) {
	s := newHalfTakenAttempt(t, 16, "order", "read")
	order, read := s.inFlight[0], s.inFlight[1]
	s.nextTwoResults()
	_, atOnce := s.Cancel(read, routing.TimedOut)
	assert.False(t, atOnce)
	time.Sleep(50 * time.Millisecond)
	for len(s.events) > 0 {
		_, ended := (<-s.events).(AttemptEnded)
		assert.False(t, ended, "the endpoint may still work on it")
	}
	_, atOnce = s.Cancel(order, routing.Cancelled)
	assert.False(t, atOnce)
	assert.Equal(t, map[*Attempt]routing.AttemptResult{
		read:  routing.TimedOut,
		order: routing.Cancelled,
	}, s.nextTwoResults())
	_, err := io.Copy(io.Discard, s.far)
	assert.NoError(t, err, "the connection was ended before")
}

// The endpoint resets a connection on which nothing can be written any more. The attempts in flight may have run.
func TestResetOfAConnectionThatCannotBeWritten(t *testing.T) {
	s := newHalfTakenAttempt(t, 16, "order")
	s.nextTwoResults()
	_ = s.far.Close()
	assert.Equal(t, endedWith(s.inFlight[0], routing.ConnectionBroken), s.nextEnd())
}

// resultsWithin are the ends of attempts that come until a time has passed.
func (s *halfTakenAttempt) resultsWithin(wait time.Duration) map[*Attempt]routing.AttemptResult {
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

// An endpoint hangs with an order and a read, and the read is cancelled for its retry. The cancel can't be written, and
// the retry would wait for the order's deadline. The connection ends once it has been silent for the connect timeout.
func TestRetryIsNotHeldByAnEndpointThatHangs(t *testing.T) {
	s := newHalfTakenAttempt(t, 16, "order", "read")
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

// An endpoint reads no more and answers slowly. Ended for a cancel that can't be written, its connection would take the
// order with it. Each answer shows that it goes on, and one to the cancelled attempt ends that.
func TestEndpointThatAnswersKeepsItsAttempts(t *testing.T) {
	s := newHalfTakenAttempt(t, 16, "order", "read", "other", "slow")
	s.nextTwoResults()
	read, slow := s.inFlight[1], s.inFlight[3]
	pause := s.ConnectTimeout * 2 / 3
	results := []routing.AttemptResult{routing.Completed, routing.TimedOut, routing.Completed}
	s.Cancel(read, routing.TimedOut)
	s.Cancel(slow, routing.Cancelled)
	for i, id := range []string{"other", "read", "order"} {
		assert.Empty(t, s.resultsWithin(pause))
		_, _ = io.WriteString(s.far, id+" served digest=d,dated=1 2\r\nok\r\n")
		end := s.nextEnd()
		assert.Equal(t, id, end.Attempt.id)
		assert.Equal(t, results[i], end.End.Result)
	}
	assert.Equal(t, endedWith(slow, routing.Cancelled), s.nextEnd(), "with the last attempt")
	s.logAfterEnd(slow.Connection())
	assert.InDelta(t, 1, s.Metrics.Value(`upstream_unwritable_connections_total{end="answered"}`), 0)
}

// A cancel waits for a socket that takes nothing, until the write stall timeout ends the writing, and the endpoint
// hangs. Its retry would wait for the order's deadline.
func TestCancelThatWaitsForTheSocketIsNotHeld(t *testing.T) {
	s := newHalfTakenAttempt(t, 0, "order", "read")
	order, read := s.inFlight[0], s.inFlight[1]
	s.Cancel(s.queue, routing.Cancelled)
	s.Cancel(read, routing.TimedOut)
	results := s.resultsWithin(writeStallTimeout + s.ConnectTimeout + 300*time.Millisecond)
	assert.Equal(t, routing.TimedOut, results[read])
	assert.Equal(t, routing.ConnectionBroken, results[order])
}
