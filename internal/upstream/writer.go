package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/routing"
)

const (
	// maxFirstByteWait is how long the socket may accept no bytes of an attempt before its command line is formatted
	// again.
	maxFirstByteWait = 40 * time.Millisecond

	// maxLineAge is how long the socket may take to accept the complete attempt after its command line was formatted.
	// The protocol allows the deadline in the line to exceed the client's remaining time by 0.15 s when the complete
	// attempt has arrived.
	maxLineAge = 100 * time.Millisecond

	// stalledLineMargin is subtracted from the deadline in the command line, and added to the time in which the socket
	// must accept the attempt, if the socket accepted no bytes before. An endpoint that resumes reading may be slow.
	stalledLineMargin = 50 * time.Millisecond
)

// maxReaderWait is how long a delayed attempt is held back until the input that arrived before it is parsed.
const maxReaderWait = 100 * time.Millisecond

// minTimeLeft is the minimum time to an attempt's deadline for writing to start: the command line has a resolution of
// one millisecond.
const minTimeLeft = time.Millisecond

// connectionWriter is the state of a connection's writer goroutine.
type connectionWriter struct {
	*Connection
	conn             *netconn.Conn
	unflushedCancels []*Attempt    // cancelled attempts whose cancel line may not be flushed yet
	stalledSince     clock.Instant // time at which the socket stopped accepting bytes; zero if it accepts them
}

// writeLoop writes attempts and cancel lines in order until an error occurs or the context is done. Each attempt is
// flushed separately. Cancel lines are flushed when the queue is empty or an attempt follows.
func (c *Connection) writeLoop(ctx context.Context, conn *netconn.Conn) error {
	w := &connectionWriter{Connection: c, conn: conn}
	for {
		if c.nextIsAttempt() || !c.hasQueued() {
			if err := w.flush(); err != nil {
				return err
			}
		}
		next, ok := c.nextCommand(conn)
		if ok {
			if err := w.write(next); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.writeSignal:
		}
	}
}

// flush writes the buffered bytes and ends the attempts whose cancel line has been accepted by the socket.
func (w *connectionWriter) flush() error {
	if err := w.conn.Flush(); err != nil {
		return err
	}
	w.reportCancelled(w.unflushedCancels)
	w.unflushedCancels = w.unflushedCancels[:0]
	return nil
}

// write buffers a cancel line, or writes an attempt.
func (w *connectionWriter) write(next command) error {
	if next.cancelLine != nil {
		w.unflushedCancels = append(w.unflushedCancels, next.attempt)
		return w.conn.Write(next.cancelLine)
	}
	return w.writeAttempt(next.attempt)
}

// writeAttempt writes an attempt to the socket. The write buffer must be empty. If the socket accepts no bytes for
// maxFirstByteWait, the attempt returns to the head of the queue, so that its command line is formatted again. If the
// socket accepts only a part in time, nothing more can be written on the connection.
//
// It guards against a command line that arrives with a deadline later than the client's: the endpoint would continue to
// work after the client has given up. An attempt of which the socket accepted only a part does not run, as it is
// incomplete. The wait for the first byte leaves enough time for the rest, so that an endpoint that starts reading late
// receives the complete attempt.
func (w *connectionWriter) writeAttempt(a *Attempt) error {
	defer a.body.Release()
	before := w.conn.BytesWritten()
	w.conn.SetWriteDeadlines(a.writtenAt.Add(maxFirstByteWait).Time(), a.writtenAt.Add(maxLineAge+a.lineMargin).Time())
	defer w.conn.SetWriteDeadline(time.Time{})
	err := a.writeTo(w.conn)
	if err == nil {
		err = w.conn.Flush()
	}
	if err == nil {
		w.stalledSince = 0
		return nil
	}
	temporary := errors.Is(err, os.ErrDeadlineExceeded) || netconn.IsLocalError(err)
	if !temporary || w.conn.BytesWritten() > before || w.stalledTooLong(a) {
		return err
	}
	w.conn.DropUnwritten()
	w.requeue(a)
	return nil
}

// stalledTooLong records that the socket accepted no bytes of an attempt, and reports whether this has lasted for
// longer than writeStallTimeout.
func (w *connectionWriter) stalledTooLong(a *Attempt) bool {
	if w.stalledSince.IsZero() {
		w.stalledSince = a.writtenAt
	}
	return clock.Now().Sub(w.stalledSince) > writeStallTimeout
}

// requeue returns an attempt of which nothing was written to the head of the queue, unless it was cancelled.
func (c *Connection) requeue(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[a.id] != a {
		return
	}
	a.written = false
	a.requeued = true
	a.delayed = true
	c.writeQueue = append([]command{{attempt: a}}, c.writeQueue...)
}

// hasQueued reports whether the write queue contains a command.
func (c *Connection) hasQueued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.writeQueue) > 0
}

// nextIsAttempt reports whether the first command in the write queue is an attempt.
func (c *Connection) nextIsAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.writeQueue) > 0 && c.writeQueue[0].cancelLine == nil
}

// nextIsDelayed reports whether the first command in the write queue is an attempt that could not be written
// immediately.
//
// It guards against a response that arrived in the meantime and would be matched to the attempt once writing starts.
// Such input is parsed first, while no response can belong to the attempt.
func (c *Connection) nextIsDelayed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.writeQueue) > 0 && c.writeQueue[0].cancelLine == nil && c.writeQueue[0].attempt.delayed
}

// nextCommand removes and returns the next command from the queue. Attempts whose client disconnected or whose bounds
// expired while they waited for the connection or in the queue end here with NotSent.
func (c *Connection) nextCommand(conn *netconn.Conn) (next command, ok bool) {
	for {
		if c.nextIsDelayed() {
			conn.AwaitReader(maxReaderWait)
		}
		next, discarded, ok := c.dequeue(conn)
		if !discarded {
			return next, ok
		}
		c.reportEnd(next.attempt, request.AttemptEnd{Result: routing.NotSent})
	}
}

// dequeue removes the next command from the queue, formats the command line of its attempt and marks the attempt as
// written. An attempt that must not be written any more is removed from the connection instead. The caller releases the
// body of an attempt that is returned.
func (c *Connection) dequeue(conn *netconn.Conn) (next command, discarded, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writerBusy = len(c.writeQueue) > 0
	if !c.writerBusy {
		return command{}, false, false
	}
	next = c.writeQueue[0]
	c.writeQueue = c.writeQueue[1:]
	if next.cancelLine != nil {
		return next, false, true
	}
	a, now := next.attempt, clock.Now()
	if !a.mayStartWriting(now) || !a.body.Hold() {
		delete(c.attempts, a.id)
		return next, true, true
	}
	a.formatLine(now)
	a.written = true
	a.writtenAt = now
	a.inputOffset = conn.BytesRead()
	c.recordWriteLocked(now, conn)
	a.endOffset = conn.OutputOffset() + int64(a.wireBytes())
	return next, false, true
}

// mayStartWriting reports whether writing the attempt may start at the given time.
//
// It guards against attempts that run although nobody waits for them any longer, or after a drain, a purge or the
// idempotency window of their request, because they waited for a dial or in the queue. An endpoint that is about to
// stop would receive work, or a request would run twice. The caller checks this and marks the attempt as written under
// one hold of the connection's lock, so that no cancel can come in between.
func (a *Attempt) mayStartWriting(now clock.Instant) bool {
	switch {
	case a.request == nil: // a health check
		return true
	case a.request.ClientGone():
		return false
	case !a.bounds.Deadline.IsZero() && a.bounds.Deadline.Sub(now) < minTimeLeft:
		return false
	}
	return a.bounds.SendBefore.IsZero() || now < a.bounds.SendBefore
}

// formatLine formats the command line of a request's attempt with the time that remains until its deadline. The line of
// a health check is set when the health check is created.
func (a *Attempt) formatLine(now clock.Instant) {
	if a.request == nil {
		return
	}
	if !a.bounds.Deadline.IsZero() {
		remaining := a.bounds.Deadline.Sub(now)
		a.lineMargin = a.deadlineMargin(remaining)
		a.command.TimeoutSeconds = (remaining - a.lineMargin).Seconds()
	}
	a.head = cacheproto.AppendAttempt(nil, a.command)
}

// deadlineMargin returns the time to subtract from the deadline in the command line, given the time that remains.
func (a *Attempt) deadlineMargin(remaining time.Duration) time.Duration {
	if !a.requeued {
		return 0
	}
	return min(stalledLineMargin, remaining/2)
}
