package frontend

import (
	"slices"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
)

const (
	// maxSmallBodyBytes is the size up to which a response is written ahead of larger ones.
	maxSmallBodyBytes = 16 << 10

	// maxSmallBytesInRow is how much of small bodies may be written while a larger one waits.
	maxSmallBytesInRow = 64 << 10
)

// outgoingFrame is a frame to be written.
type outgoingFrame struct {
	answered *answeredRequest // nil for a control frame
	header   []byte           // the frame without the body
	body     *request.Body
	writeBy  clock.Instant // time after which the body is of no use any more; zero for none
	order    clock.Instant // responses with a large body are written in this order
}

// newResponseFrame returns the frame of a response that is queued now.
func newResponseFrame(r *request.Request, response request.Response, now clock.Instant) outgoingFrame {
	frame := outgoingFrame{
		answered: &answeredRequest{id: r.ID, streamID: r.StreamID, className: r.ClassName, deadline: r.Deadline},
		header:   clientproto.AppendResponse(nil, r.StreamID, response),
		body:     response.Body,
		order:    now.Add(maxWriteDuration), // the client chooses the deadline
	}
	if r.Deadline > 0 {
		frame.writeBy = clock.FromSeconds(r.Deadline)
		frame.order = min(frame.order, frame.writeBy)
	}
	return frame
}

// outputQueue orders the frames of a connection. Control frames and responses with a small body or none come first, in
// order of arrival. Responses with a large body follow in order of their deadlines.
//
// It guards against an answer that comes too late because it stands behind bodies that take seconds to be sent.
type outputQueue struct {
	small []outgoingFrame
	large []outgoingFrame

	smallBytesInRow int // size of the small bodies that were taken since the last large one
}

func (q *outputQueue) len() int { return len(q.small) + len(q.large) }

// push adds a frame.
func (q *outputQueue) push(frame outgoingFrame) {
	if frame.body.Len() <= maxSmallBodyBytes {
		q.small = append(q.small, frame)
		return
	}
	at, _ := slices.BinarySearchFunc(q.large, frame, func(queued, added outgoingFrame) int {
		if queued.order <= added.order { // equal ones stay in order of arrival
			return -1
		}
		return 1
	})
	q.large = slices.Insert(q.large, at, frame)
}

// pop removes the frame that is to be written next.
func (q *outputQueue) pop() (frame outgoingFrame, ok bool) {
	switch {
	case len(q.large) > 0 && (len(q.small) == 0 || q.smallBytesInRow >= maxSmallBytesInRow):
		frame, q.large = takeFirst(q.large)
		q.smallBytesInRow = 0
	case len(q.small) > 0:
		frame, q.small = takeFirst(q.small)
		q.smallBytesInRow += frame.body.Len()
	default:
		return outgoingFrame{}, false
	}
	return frame, true
}

// takeFirst removes the first frame, and the slice with the last one.
func takeFirst(frames []outgoingFrame) (outgoingFrame, []outgoingFrame) {
	first := frames[0]
	frames[0] = outgoingFrame{}
	if len(frames) == 1 {
		return first, nil
	}
	return first, frames[1:]
}

// removeStream removes the response to a stream, if there is one.
func (q *outputQueue) removeStream(streamID uint32) (frame outgoingFrame, ok bool) {
	for _, frames := range []*[]outgoingFrame{&q.small, &q.large} {
		at := slices.IndexFunc(*frames, func(f outgoingFrame) bool {
			return f.answered != nil && f.answered.streamID == streamID
		})
		if at >= 0 {
			frame = (*frames)[at]
			*frames = slices.Delete(*frames, at, at+1)
			return frame, true
		}
	}
	return outgoingFrame{}, false
}

// removeOverdue removes the responses with a large body that would not be written by their time, or by the limit if
// that is earlier and not zero. writtenAt returns when a body of a size would be written if its frame were next.
func (q *outputQueue) removeOverdue(limit clock.Instant, writtenAt func(bodyBytes int) clock.Instant) []outgoingFrame {
	var overdue []outgoingFrame
	q.large = slices.DeleteFunc(q.large, func(frame outgoingFrame) bool {
		at := writtenAt(frame.body.Len())
		if (frame.writeBy.IsZero() || at <= frame.writeBy) && (limit.IsZero() || at <= limit) {
			return false
		}
		overdue = append(overdue, frame)
		return true
	})
	return overdue
}

// drain removes all frames.
func (q *outputQueue) drain() []outgoingFrame {
	frames := slices.Concat(q.small, q.large)
	*q = outputQueue{}
	return frames
}

// outputPace measures how fast a client takes its output. Its zero value takes any output to be written at once.
type outputPace struct {
	bytes, seconds float64 // of the last writes; each one reduces the weight of those before
}

// paceMemory is the weight of the earlier writes after each write.
const paceMemory = 0.75

// record adds a write of a body.
func (p *outputPace) record(bytes int, took time.Duration) {
	p.bytes = paceMemory*p.bytes + float64(bytes)
	p.seconds = paceMemory*p.seconds + took.Seconds()
}

// timeFor returns how long output of a size takes.
func (p *outputPace) timeFor(bytes int64) time.Duration {
	return time.Duration(float64(bytes) * p.seconds / max(p.bytes, 1) * float64(time.Second))
}
