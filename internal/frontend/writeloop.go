package frontend

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/sendqueue"
	"cairnfront/internal/telemetry"
)

// lateLogThresholdSeconds is the delay, counted from a response's deadline, above which a late response is logged.
// Every response that is written after its deadline is counted.
const lateLogThresholdSeconds = 0.02

// writtenFrame is a frame that was passed to the connection and that the socket may not have accepted completely.
type writtenFrame struct {
	answered *answeredRequest // nil for a control frame
	end      int64            // offset in the output
}

// maxPendingFrames limits the frames that were passed to the connection and that the socket has not accepted: their
// client cannot cancel them any more, and they do not count for maxFrames.
const maxPendingFrames = 32

// frameWriter is the state of run.
type frameWriter struct {
	*responseWriter
	conn          *netconn.Conn
	pending       []writtenFrame // in the order of the output
	unpassedBytes int64          // of the frame whose write failed, that were not passed to the connection
}

// run writes queued frames until the context is done, the socket fails, or, after finish, all output is written. Frames
// that are queued at the same time are written together: the output is flushed when its ring buffer is full or the
// queue is empty.
func (w *responseWriter) run(ctx context.Context, conn *netconn.Conn) error {
	f := &frameWriter{responseWriter: w, conn: conn}
	defer f.abandonPending()
	for {
		if len(f.pending) < maxPendingFrames {
			if frame, ok := f.dequeue(); ok {
				if err := f.writeFrame(frame); err != nil {
					return err
				}
				f.recordAccepted()
				continue
			}
		}
		if err := f.continueWhileNeeded(clock.Now(), conn.Flush); err != nil {
			conn.Close(netconn.ClassifyError(err), err)
			return err
		}
		f.recordAccepted()
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

// abandonPending counts the responses as done that the socket will not accept any more.
func (f *frameWriter) abandonPending() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken.UnsentBytes = f.unpassedBytes
	for _, frame := range f.pending {
		if frame.answered != nil {
			f.admission.RequestDone()
			f.taken.UnsentResponses++
		}
	}
}

// dequeue removes the next frame from the queue. Responses that cannot be written in time are failed first. While the
// client takes no output, no large body begins: once begun, it could not be replaced by a failure any more.
func (f *frameWriter) dequeue() (frame outgoingFrame, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stalled {
		frame, ok = f.queue.PopSmall()
	} else {
		if f.queue.HasLarge() {
			f.failOverdueLocked()
		}
		frame, ok = f.queue.Pop()
	}
	if ok {
		f.unwritten++
		f.writingFrom = f.conn.OutputOffset()
		f.writingBodyBytes = frame.body.Len()
	}
	return frame, ok
}

// failOverdueLocked replaces the responses with a large body that would be late by one without, which is sent at once.
//
// It guards against an answer that is sent long after its client has given up, and holds up those behind it.
func (f *frameWriter) failOverdueLocked() {
	now, unacknowledged := clock.Now(), f.conn.LimitUnsentWhenBehind()
	overdue := f.queue.removeOverdue(f.outputLimit, func(bodyBytes int) clock.Instant {
		return now.Add(f.pace.timeFor(unacknowledged + int64(bodyBytes)))
	})
	f.failLocked(overdue)
}

// writeFrame writes a frame to the output ring buffer. Until then its body counts against the body budget.
func (f *frameWriter) writeFrame(frame outgoingFrame) error {
	defer frame.body.Free()
	start, end := clock.Now(), f.conn.OutputOffset()+int64(len(frame.header)+frame.body.Len())
	f.conn.SetWriteDeadline(frame.writeDeadline(start).Time())
	err := f.write(start, frame.header)
	if err == nil && frame.body != nil {
		err = f.write(start, frame.body.Bytes)
	}
	f.pending = append(f.pending, writtenFrame{frame.answered, f.conn.OutputOffset()})
	if err != nil {
		f.unpassedBytes = end - f.conn.OutputOffset()
		f.conn.Close(netconn.ClassifyError(err), err)
		return err
	}
	if size := frame.body.Len(); size > sendqueue.MaxSmallBytes {
		f.recordPace(size, clock.Now().Sub(start))
	}
	return nil
}

// write passes a part of a frame, on which writing began at start, to the connection.
func (f *frameWriter) write(start clock.Instant, part []byte) error {
	return f.continueWhileNeeded(start, func() error {
		before := f.conn.OutputOffset()
		err := f.conn.Write(part)
		part = part[f.conn.OutputOffset()-before:]
		return err
	})
}

// continueWhileNeeded repeats a write that its client does not take in time while the end of the connection would lose
// other requests, for at most maxTotalWriteDuration from start.
func (f *frameWriter) continueWhileNeeded(start clock.Instant, write func() error) error {
	for {
		err := write()
		if !errors.Is(err, os.ErrDeadlineExceeded) || f.mayEnd == nil || f.mayEnd() {
			return err
		}
		if clock.Now().Sub(start) > maxTotalWriteDuration {
			return err
		}
		f.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
	}
}

// recordPace records how long the client took for a body.
func (f *frameWriter) recordPace(bodyBytes int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pace.record(bodyBytes, took)
}

// recordAccepted records the frames that the socket has accepted completely, and that no body is being written. What
// is left of a body in the output ring buffer does not count.
func (f *frameWriter) recordAccepted() {
	written, accepted := f.conn.BytesWritten(), 0
	for accepted < len(f.pending) && f.pending[accepted].end <= written {
		if answered := f.pending[accepted].answered; answered != nil {
			f.recordWritten(answered)
		}
		accepted++
	}
	f.mu.Lock()
	f.unwritten -= accepted
	f.recordUntakenLocked(f.pending[:accepted])
	f.pending = slices.Delete(f.pending, 0, accepted)
	if f.writingBodyBytes > sendqueue.MaxSmallBytes {
		f.lastLargeWritten = clock.Now()
	}
	f.writingBodyBytes = 0
	requestsWait := len(f.window.deferred) > 0
	f.mu.Unlock()
	f.signalRoom()
	if requestsWait {
		f.handOverDeferred()
	}
}

// recordUntakenLocked records frames that the socket accepts while the client takes no output.
func (f *frameWriter) recordUntakenLocked(accepted []writtenFrame) {
	if !f.stalled {
		return
	}
	for _, frame := range accepted[:min(len(accepted), maxFrames-len(f.untaken))] {
		streamID := uint32(0)
		if frame.answered != nil {
			streamID = frame.answered.streamID
		}
		f.untaken = append(f.untaken, streamID)
	}
}

// flushed reports whether more frames are queued, and whether run must return.
func (w *responseWriter) flushed() (more, finished bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	finished = w.finishing && !w.busyLocked()
	if finished {
		w.quiesceLocked()
	}
	return w.queue.HasSmall() || w.queue.HasLarge() && !w.stalled, finished
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
