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
