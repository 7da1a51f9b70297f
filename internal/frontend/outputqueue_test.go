package frontend

import (
	"testing"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/sendqueue"

	"github.com/stretchr/testify/assert"
)

// queuedResponse returns the frame of a response with a body of a size and a deadline in seconds, 0 for none.
func queuedResponse(streamID uint32, bodyBytes int, deadline float64) outgoingFrame {
	r := &request.Request{StreamID: streamID, Deadline: deadline}
	response := request.Response{}
	if bodyBytes > 0 {
		response.Body = &request.Body{Bytes: make([]byte, bodyBytes)}
	}
	return newResponseFrame(r, response, clock.FromSeconds(1))
}

// popStreams takes all frames and returns their streams.
func popStreams(q *outputQueue) (streams []uint32) {
	for frame, ok := q.Pop(); ok; frame, ok = q.Pop() {
		streams = append(streams, frame.answered.streamID)
	}
	return streams
}

// Guards against a small answer that is late because large bodies stand before it, and against a large one that comes
// after others that have more time. Small ones must come first, in order; the others by deadline, at most 10 s ahead.
func TestSmallResponsesComeFirstAndLargeOnesByDeadline(t *testing.T) {
	q := &outputQueue{}
	for _, frame := range []outgoingFrame{
		queuedResponse(1, 200_000, 5),
		queuedResponse(2, 100_000, 3),
		queuedResponse(3, 0, 9),
		queuedResponse(4, 200_000, 5),
		queuedResponse(5, sendqueue.MaxSmallBytes, 2),
		queuedResponse(6, sendqueue.MaxSmallBytes+1, 1e6),
		queuedResponse(7, 100_000, 12),
	} {
		q.Push(frame)
	}
	assert.Equal(t, []uint32{3, 5, 2, 1, 4, 6, 7}, popStreams(q))
	assert.Zero(t, q.Len())
}

// Guards against answers that are sent after their time and hold up others. Of the large ones, those that would be
// written after their deadline, or after the end of the process, must leave the queue, and no others.
func TestOverdueResponsesLeaveTheQueue(t *testing.T) {
	for name, test := range map[string]struct {
		limit clock.Instant
		want  []uint32
	}{
		"by deadline":             {0, []uint32{2}},
		"by the end":              {clock.FromSeconds(3.5), []uint32{2, 3, 4}},
		"by the end, not reached": {clock.FromSeconds(9), []uint32{2}},
	} {
		q := &outputQueue{}
		for _, frame := range []outgoingFrame{
			queuedResponse(1, 0, 1), queuedResponse(2, 200_000, 3.5), queuedResponse(3, 200_000, 4.5),
			queuedResponse(4, 200_000, 0), queuedResponse(5, 100_000, 3.5),
		} {
			q.Push(frame)
		}
		overdue := q.removeOverdue(test.limit, func(bodyBytes int) clock.Instant { // 100 KB/s, from second 2
			return clock.FromSeconds(2 + float64(bodyBytes)/100_000)
		})
		var streams []uint32
		for _, frame := range overdue {
			streams = append(streams, frame.answered.streamID)
		}
		assert.Equal(t, test.want, streams, name)
		assert.Equal(t, 5-len(test.want), q.Len(), name)
	}
}

// Guards against an estimate that follows one stall, or the time at which the kernel took everything at once.
func TestOutputPaceFollowsTheLastWrites(t *testing.T) {
	var pace outputPace
	assert.Zero(t, pace.timeFor(1e6))
	pace.record(240_000, 0)
	assert.Zero(t, pace.timeFor(1e6))
	for range 20 {
		pace.record(240_000, 48*time.Millisecond)
	}
	assert.InDelta(t, 0.2, pace.timeFor(1e6).Seconds(), 0.002)
	pace.record(240_000, 0)
	assert.Greater(t, pace.timeFor(1e6).Seconds(), 0.1)
}
