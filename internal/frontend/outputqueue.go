package frontend

import (
	"math"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/sendqueue"
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

// BodyBytes implements sendqueue.Item.
func (f outgoingFrame) BodyBytes() int { return f.body.Len() }

// SendOrder implements sendqueue.Item.
func (f outgoingFrame) SendOrder() clock.Instant { return f.order }

// maxInstant is later than any deadline.
const maxInstant = clock.Instant(math.MaxInt64)

// outputQueue orders the frames of a connection. Responses with a large body are sent by their deadlines.
type outputQueue struct{ sendqueue.Queue[outgoingFrame] }

// removeStream removes the response to a stream, if there is one.
func (q *outputQueue) removeStream(streamID uint32) (frame outgoingFrame, ok bool) {
	return q.RemoveFirst(func(f outgoingFrame) bool { return f.answered != nil && f.answered.streamID == streamID })
}

// bodyBytes returns the size of all bodies.
func (q *outputQueue) bodyBytes() int { return q.bytesBefore(maxInstant) }

// bytesBefore returns the size of the bodies that are sent before a response with a large body and a deadline: small
// ones, and large ones with an earlier deadline.
func (q *outputQueue) bytesBefore(deadline clock.Instant) int {
	total := 0
	for frame := range q.All() {
		if frame.BodyBytes() <= sendqueue.MaxSmallBytes || frame.SendOrder() <= deadline {
			total += frame.BodyBytes()
		}
	}
	return total
}

// removeOverdue removes the responses with a large body that would not be written by their time, or by the limit if
// that is earlier and not zero. writtenAt returns when a body of a size would be written if its frame were next.
func (q *outputQueue) removeOverdue(limit clock.Instant, writtenAt func(bodyBytes int) clock.Instant) []outgoingFrame {
	return q.RemoveAll(func(frame outgoingFrame) bool {
		if frame.body.Len() <= sendqueue.MaxSmallBytes {
			return false
		}
		at := writtenAt(frame.body.Len())
		return !frame.writeBy.IsZero() && at > frame.writeBy || !limit.IsZero() && at > limit
	})
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
