package frontend

import (
	"context"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/telemetry"
)

// lateLogThresholdSeconds is the delay, counted from a response's deadline, above which a late response is logged.
// Every response that is written after its deadline is counted.
const lateLogThresholdSeconds = 0.02

// run writes queued frames until the context is done, the socket fails, or, after finish, all output is written. Frames
// that are queued at the same time are written together: the output is flushed when its ring buffer is full or the
// queue is empty.
func (w *responseWriter) run(ctx context.Context, conn *netconn.Conn) error {
	var unflushed []*answeredRequest
	defer func() {
		for range unflushed {
			w.admission.RequestDone()
		}
	}()
	for {
		if frame, ok := w.dequeue(); ok {
			if frame.answered != nil {
				unflushed = append(unflushed, frame.answered)
			}
			bodyBytes := frame.body.Len()
			if err := writeFrame(conn, frame); err != nil {
				return err
			}
			w.bodyWritten(bodyBytes)
			continue
		}
		if err := conn.Flush(); err != nil {
			conn.Close(netconn.ClassifyError(err), err)
			return err
		}
		w.recordAllWritten(unflushed)
		unflushed = unflushed[:0]
		more, finished := w.flushed()
		if finished {
			return nil
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
	}
}

// dequeue removes the next frame from the queue.
func (w *responseWriter) dequeue() (frame outgoingFrame, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return outgoingFrame{}, false
	}
	frame = w.queue[0]
	w.queue[0] = outgoingFrame{}
	w.queue = w.queue[1:]
	if len(w.queue) == 0 {
		w.queue = nil
	}
	w.unflushed++
	return frame, true
}

// bodyWritten records that a body was written, but for what is still in the output ring buffer.
func (w *responseWriter) bodyWritten(bodyBytes int) {
	w.mu.Lock()
	w.bodyBytes -= bodyBytes
	w.mu.Unlock()
	w.signalRoom()
}

// flushed records that the socket has accepted all dequeued frames. It reports whether more frames are queued, and
// whether run must return.
func (w *responseWriter) flushed() (more, finished bool) {
	defer w.signalRoom()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unflushed = 0
	finished = w.finishing && !w.busyLocked()
	if finished {
		w.quiesceLocked()
	}
	return len(w.queue) > 0, finished
}

// writeFrame writes a frame to the output ring buffer. Until then its body counts against the body budget.
func writeFrame(conn *netconn.Conn, frame outgoingFrame) error {
	defer frame.body.Free()
	conn.SetWriteDeadline(frame.writeDeadline(clock.Now()).Time())
	err := conn.Write(frame.header)
	if err == nil && frame.body != nil {
		err = conn.Write(frame.body.Bytes)
	}
	if err != nil {
		conn.Close(netconn.ClassifyError(err), err)
	}
	return err
}

// writeDeadline returns the deadline for writing a frame on which writing begins now. For a response it counts from the
// request's deadline, if that is in the future, but at most from maxDeadlineGrant after now.
//
// It guards against a client that reads a few bytes now and then, so that writeStallTimeout never passes: its responses
// would hold the body budget, and with the longest timeout that the protocol allows they would hold it for weeks.
func (f outgoingFrame) writeDeadline(now clock.Instant) clock.Instant {
	from := now
	if f.answered != nil {
		from = max(from, clock.FromSeconds(f.answered.deadline))
	}
	from = min(from, now.Add(maxDeadlineGrant))
	return from.Add(maxWriteDuration)
}

// recordAllWritten records that the socket has accepted a number of responses.
func (w *responseWriter) recordAllWritten(responses []*answeredRequest) {
	for _, answered := range responses {
		w.recordWritten(answered)
	}
}

// recordWritten records that the socket has accepted a response, and logs a late one.
func (w *responseWriter) recordWritten(r *answeredRequest) {
	w.admission.RequestDone()
	if r.deadline == 0 {
		return
	}
	lateSeconds := clock.NowSeconds() - r.deadline
	if lateSeconds <= 0 {
		return
	}
	w.metrics.Inc(telemetry.ResponsesAfterDeadline)
	w.metrics.SetMax(telemetry.MaxResponseDelay, lateSeconds)
	if lateSeconds > lateLogThresholdSeconds {
		w.metrics.Log.Warn("response written after deadline",
			"request_id", r.id, "class", r.className, "delay_seconds", lateSeconds)
	}
}
