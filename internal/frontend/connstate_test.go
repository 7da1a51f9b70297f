package frontend

import (
	"math"
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"

	"github.com/stretchr/testify/assert"
)

// TestWriterStatesOnlyAdvance checks that a writer that has quiesced never accepts again, and that a closed one stays
// closed.
func TestWriterStatesOnlyAdvance(t *testing.T) {
	for from := range writerStateCount {
		for to := range writerStateCount {
			w := &responseWriter{state: from}
			assert.Equal(t, to > from, w.moveLocked(to), "%d to %d", from, to)
			assert.Equal(t, max(from, to), w.state, "%d to %d", from, to)
		}
	}
}

// TestCloseIsDueAtItsTimeout checks closeDue for each end code at its limit, with and without a partial frame.
func TestCloseIsDueAtItsTimeout(t *testing.T) {
	start := clock.FromSeconds(100)
	idle := activity{lastRead: start, firstFrameRead: true}
	partial := activity{lastRead: start, frameStart: start, firstFrameRead: true}
	heldUp := partial
	heldUp.carriedRequest = true
	nearLimit := heldUp
	nearLimit.nearLimit = true
	rested, nearLimitRested := idle, idle
	rested.carriedRequest = true
	nearLimitRested.carriedRequest, nearLimitRested.nearLimit = true, true
	for _, test := range []struct {
		seen  activity
		code  netconn.EndCode
		after clock.Instant
		due   bool
	}{
		{idle, netconn.IdleTimeout, start.Add(idleTimeout), false},
		{idle, netconn.IdleTimeout, start.Add(idleTimeout + 1), true},
		{partial, netconn.IdleTimeout, start.Add(idleTimeout + 1), false},
		{idle, netconn.Evicted, start.Add(evictionMinIdle), false},
		{idle, netconn.Evicted, start.Add(evictionMinIdle + 1), true},
		{partial, netconn.Evicted, start.Add(evictionMinIdle + 1), false},
		{idle, netconn.PartialFrame, start.Add(partialFrameTimeout + 1), false},
		{partial, netconn.PartialFrame, start.Add(partialFrameTimeout), false},
		{partial, netconn.PartialFrame, start.Add(partialFrameTimeout + 1), true},
		{rested, netconn.IdleTimeout, start.Add(heldUpTimeout), false},
		{rested, netconn.IdleTimeout, start.Add(heldUpTimeout + 1), true},
		{nearLimitRested, netconn.IdleTimeout, start.Add(idleTimeout), false},
		{nearLimitRested, netconn.IdleTimeout, start.Add(idleTimeout + 1), true},
		{heldUp, netconn.PartialFrame, start.Add(heldUpTimeout), false},
		{heldUp, netconn.PartialFrame, start.Add(heldUpTimeout + 1), true},
		{nearLimit, netconn.PartialFrame, start.Add(idleTimeout), false},
		{nearLimit, netconn.PartialFrame, start.Add(idleTimeout + 1), true},
		{idle, netconn.Shutdown, start, true},
		{partial, netconn.Shutdown, start.Add(partialFrameTimeout), false},
		{partial, netconn.Shutdown, start.Add(partialFrameTimeout + 1), true},
		{heldUp, netconn.Shutdown, start.Add(heldUpTimeout), false},
		{heldUp, netconn.Shutdown, start.Add(heldUpTimeout + 1), true},
		{idle, netconn.NoFirstFrame, start, false},
		{activity{lastRead: start}, netconn.NoFirstFrame, start, true},
		{partial, netconn.ProtocolError, start, true},
	} {
		assert.Equal(t, test.due, test.seen.closeDue(test.code, test.after), "%v at %v", test.code, test.after)
	}
}

// TestWriteDeadlineCountsFromTheRequestsDeadline checks that the write deadline counts from the current time if the
// request's deadline has passed or the frame answers no request.
func TestWriteDeadlineCountsFromTheRequestsDeadline(t *testing.T) {
	now := clock.FromSeconds(100)
	early := outgoingFrame{answered: &answeredRequest{deadline: 102}}
	late := outgoingFrame{answered: &answeredRequest{deadline: 98}}
	assert.Equal(t, clock.FromSeconds(102).Add(maxWriteDuration), early.writeDeadline(now))
	assert.Equal(t, now.Add(maxWriteDuration), late.writeDeadline(now))
	assert.Equal(t, now.Add(maxWriteDuration), outgoingFrame{}.writeDeadline(now))
}

// Guards against a client that names a long timeout and reads its response a few bytes at a time: the response would
// hold the body budget, which all clients share, until that timeout has passed. The deadline of a request must count
// for a minute at most, and completely up to that.
func TestWriteDeadlineIsBoundedWhateverTheRequestsDeadline(t *testing.T) {
	now := clock.FromSeconds(100)
	for timeoutSeconds, want := range map[float64]time.Duration{
		6: 16 * time.Second, 60: 70 * time.Second, 61: 70 * time.Second, 600: 70 * time.Second,
		math.MaxUint32 / 1000: 70 * time.Second, // the longest that the protocol allows
	} {
		frame := outgoingFrame{answered: &answeredRequest{deadline: 100 + timeoutSeconds}}
		assert.Equal(t, now.Add(want), frame.writeDeadline(now), "a timeout of %v s", timeoutSeconds)
	}
}

// Guards against a loop of failing accepts that uses a full processor core. After a shortage of descriptors the next
// accept must be delayed; after another failure only if many occur consecutively.
func TestRetryAfterConsecutiveAcceptFailuresIsDelayed(t *testing.T) {
	assert.False(t, retryAcceptImmediately(true, 1))
	assert.True(t, retryAcceptImmediately(false, maxImmediateAcceptRetries))
	assert.False(t, retryAcceptImmediately(false, maxImmediateAcceptRetries+1))
}
