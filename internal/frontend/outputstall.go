package frontend

import (
	"errors"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
)

// Times of a client that takes no output.
const (
	// holdStalledAfter is the time since the client took any output after which it gets no large bodies.
	holdStalledAfter = 300 * time.Millisecond

	// memoryStallTimeout is the time since the socket took any output, while the memory for bodies is short.
	memoryStallTimeout = time.Second

	// outputStallTimeout is the time since the client took any output after which its connection may end.
	outputStallTimeout = 2 * time.Second

	// answerGrace is how long after a request's deadline its answer still counts, by the protocol 0.5 s and 50 ms.
	answerGrace = 550 * time.Millisecond
)

// Causes of the end of a connection whose client takes no output.
var (
	errStalledMemoryShort = errors.New("the client took no output while the memory for bodies was short")
	errStalledOutputFull  = errors.New("the client took no output and sent more requests than may be open")
	errStalledSilent      = errors.New("the client took no output and sent nothing")
)

// noteDeadline records until when the client waits for the answer to a request that has arrived. Only the reader may
// call it.
func (c *clientConn) noteDeadline(arrivedAt, deadline clock.Instant) {
	until := min(deadline, arrivedAt.Add(maxDeadlineGrant)) // the client chooses the deadline
	if until > clock.Instant(c.waitsUntil.Load()) {
		c.waitsUntil.Store(int64(until))
	}
}

// answersExpired reports whether all requests that were read are so far past their deadlines that no answer counts.
func (c *clientConn) answersExpired(now clock.Instant) bool {
	return now > clock.Instant(c.waitsUntil.Load()).Add(answerGrace)
}

// handleStall looks at how long the client has taken no output. It returns the cause for which the connection has to
// end, or nil.
//
// It guards against two things. A client that takes nothing must not hold the memory that others need: what has not
// begun is answered without its body, and what has begun is passed to the kernel. And the end of its connection must
// not take requests that it may still wait for: it may only have paused, and go on sending meanwhile.
func (c *clientConn) handleStall(now clock.Instant, memoryShort bool) error {
	stalled := c.deliveryStalledFor(now)
	c.writer.setStalled(stalled > holdStalledAfter)
	if stalled > holdStalledAfter {
		c.AllowUnsent(maxResponseBytes)
		c.writer.failStalledBodies(now, memoryShort)
	}
	return c.stallCause(now, stalled, memoryShort)
}

// stallCause returns the cause for which a connection has to end whose client has taken no output for a time, or nil.
func (c *clientConn) stallCause(now clock.Instant, stalled time.Duration, memoryShort bool) error {
	if memoryShort && c.writer.hasUnwritten() && now.Sub(c.LastWrite()) > memoryStallTimeout &&
		(c.answersExpired(now) || c.onlyBegunLeft()) {
		return errStalledMemoryShort
	}
	if stalled <= outputStallTimeout {
		return nil
	}
	if c.writer.full() && now > clock.Instant(c.waitsUntil.Load()) {
		return errStalledOutputFull
	}
	if c.answersExpired(now) && c.silent(now) {
		return errStalledSilent
	}
	return nil
}

// endLosesNothing reports whether the end of the connection takes no request that its client may still wait for.
func (c *clientConn) endLosesNothing() bool {
	now := clock.Now()
	return c.onlyBegunLeft() || c.answersExpired(now) && c.silent(now)
}

// onlyBegunLeft reports whether the client waits for nothing but a response that was begun. By the protocol, one that
// cannot be finished has failed, and is not lost.
func (c *clientConn) onlyBegunLeft() bool {
	written := c.BytesWritten()
	return c.writer.onlyBegunLeft(written-c.UnacknowledgedBytes(), written) && c.UnreadBytes() == 0
}

// silent reports whether the client has sent nothing for longer than silenceTimeout. What it sends after a violation of
// the protocol does not count.
func (c *clientConn) silent(now clock.Instant) bool {
	return c.EndCode() != netconn.NoEndCode ||
		c.UnreadBytes() == 0 && now.Sub(c.LastRead()) > c.activity().silenceTimeout()
}

// deliveryStalledFor returns for how long output has been on its way to the client while the client has taken none.
// Only the sweep may call it.
func (c *clientConn) deliveryStalledFor(now clock.Instant) time.Duration {
	written, unacknowledged := c.BytesWritten(), c.UnacknowledgedBytes()
	underWay := unacknowledged > 0 || c.writer.hasUnwritten()
	if delivered := written - unacknowledged; !underWay || delivered > c.delivered {
		c.delivered, c.stalledSince = delivered, 0
		return 0
	}
	if c.stalledSince.IsZero() {
		c.stalledSince = now
	}
	return now.Sub(c.stalledSince)
}

// setStalled records whether the client takes no output.
func (w *responseWriter) setStalled(stalled bool) {
	w.mu.Lock()
	ended := w.stalled && !stalled
	w.stalled = stalled
	if !stalled {
		w.untaken, w.unread = nil, 0
	}
	w.mu.Unlock()
	if ended {
		w.signalRoom()
		w.signal()
		w.handOverDeferred()
	}
}

// isStalled reports whether the client takes no output, as of the last sweep.
func (w *responseWriter) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// setUnread records how many requests the client has open in the input that was not read. It has no effect once the
// client takes output again.
func (w *responseWriter) setUnread(requests int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stalled {
		w.unread = requests
	}
}

// onlyBegunLeft reports whether no request is open, no frame is queued, and the only one that the client has not taken
// is being written. The arguments are how much of the output the client's socket and this one have accepted.
func (w *responseWriter) onlyBegunLeft(taken, written int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests) == 0 && w.queue.Len() == 0 && w.unwritten == 1 && taken >= w.writingFrom &&
		written > w.writingFrom
}

// failStalledBodies replaces queued responses by ones without a body: those that are overdue, and all of them if the
// memory for bodies is short or the process ends.
func (w *responseWriter) failStalledBodies(now clock.Instant, memoryShort bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := memoryShort || !w.outputLimit.IsZero()
	w.failLocked(w.queue.RemoveAll(func(frame outgoingFrame) bool {
		overdue := !frame.writeBy.IsZero() && now > frame.writeBy
		return frame.body.Len() > 0 && (all || overdue)
	}))
}

// failLocked queues a failure in place of each of the responses, which were removed from the queue.
func (w *responseWriter) failLocked(responses []outgoingFrame) {
	for _, frame := range responses {
		frame.body.Free()
		frame.body = nil
		failed := request.Response{Result: request.Aborted, Reason: request.ReasonDeadlineExceeded}
		frame.header = clientproto.AppendResponse(nil, frame.answered.streamID, failed)
		w.queue.Push(frame)
		w.metrics.Inc(telemetry.ResponsesDropped)
	}
	if len(responses) > 0 {
		w.signal()
	}
}
