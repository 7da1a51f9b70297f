package frontend

import (
	"testing"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
)

// TestWriterStatesOnlyGoForward: a writer that has quiesced accepts nothing again, and one that has closed stays so.
func TestWriterStatesOnlyGoForward(t *testing.T) {
	for from := range writerStateCount {
		for to := range writerStateCount {
			w := &responseWriter{state: from}
			assert.Equal(t, to > from, w.moveLocked(to), "%d to %d", from, to)
			assert.Equal(t, max(from, to), w.state, "%d to %d", from, to)
		}
	}
}

// TestCloseIsDueByWhatWasSeen: each code at its limit, with and without a frame that was begun.
func TestCloseIsDueByWhatWasSeen(t *testing.T) {
	start := clock.FromSeconds(100)
	idle := activity{lastRead: start, firstFrameRead: true}
	partial := activity{lastRead: start, frameStart: start, firstFrameRead: true}
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
		{idle, netconn.Shutdown, start, true},
		{partial, netconn.Shutdown, start.Add(partialFrameTimeout), false},
		{partial, netconn.Shutdown, start.Add(partialFrameTimeout + 1), true},
		{idle, netconn.NoFirstFrame, start, false},
		{activity{lastRead: start}, netconn.NoFirstFrame, start, true},
		{partial, netconn.ProtocolError, start, true},
	} {
		assert.Equal(t, test.due, test.seen.closeDue(test.code, test.after), "%v at %v", test.code, test.after)
	}
}

// TestWriteDeadlineCountsFromTheRequestsDeadline: from now on where that has passed, or the frame answers no request.
func TestWriteDeadlineCountsFromTheRequestsDeadline(t *testing.T) {
	now := clock.FromSeconds(100)
	early := outgoingFrame{request: &request.Request{Deadline: 102}}
	late := outgoingFrame{request: &request.Request{Deadline: 98}}
	assert.Equal(t, clock.FromSeconds(102).Add(maxWriteDuration), early.writeDeadline(now))
	assert.Equal(t, now.Add(maxWriteDuration), late.writeDeadline(now))
	assert.Equal(t, now.Add(maxWriteDuration), outgoingFrame{}.writeDeadline(now))
}

// Accepts fail without end, and a loop that tries again at once takes a core. After a shortage of descriptors the next
// accept is delayed, after another failure only where several came in series.
func TestAcceptsThatFailInSeriesAreDelayed(t *testing.T) {
	assert.False(t, acceptAgainAtOnce(true, 1))
	assert.True(t, acceptAgainAtOnce(false, acceptRetriesAtOnce))
	assert.False(t, acceptAgainAtOnce(false, acceptRetriesAtOnce+1))
}
