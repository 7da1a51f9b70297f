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
	// maxFirstByteWait is how long the socket may take nothing of an attempt before its line is formatted anew.
	maxFirstByteWait = 40 * time.Millisecond

	// maxLineAge is how long the socket may take to accept all of an attempt after its line was formatted. By the
	// protocol's terms the deadline in the line may exceed what the client has left by 0.15 s when all of the attempt
	// has arrived.
	maxLineAge = 100 * time.Millisecond

	// stalledLineMargin is by how much the deadline in a line is shortened, and the socket's time to accept the
	// attempt extended, where the socket took nothing before. An endpoint that begins to read again may be slow.
	stalledLineMargin = 50 * time.Millisecond
)

// maxReaderWait is how long an attempt that waited for its turn is held back until the input from before it is parsed.
const maxReaderWait = 100 * time.Millisecond

// minTimeLeft is the least time to an attempt's deadline with which its line is begun: the line has whole milliseconds.
const minTimeLeft = time.Millisecond

// connectionWriter is the writing goroutine's side of a connection.
type connectionWriter struct {
	*Connection
	conn         *netconn.Conn
	notified     []*Attempt    // cancelled attempts whose cancel line may be unflushed
	stalledSince clock.Instant // when the socket began to take nothing of an attempt; zero while it does
}

// writeLoop writes attempts and cancel lines in order until an error or the context ends it. Each attempt is flushed by
// itself, cancel lines once nothing more is queued or an attempt follows.
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

// flush writes what is buffered and ends the attempts whose cancel line the socket has taken.
func (w *connectionWriter) flush() error {
	if err := w.conn.Flush(); err != nil {
		return err
	}
	w.reportCancelled(w.notified)
	w.notified = w.notified[:0]
	return nil
}

// write buffers a cancel line, or writes an attempt.
func (w *connectionWriter) write(next command) error {
	if next.cancelLine != nil {
		w.notified = append(w.notified, next.attempt)
		return w.conn.Write(next.cancelLine)
	}
	return w.writeAttempt(next.attempt)
}

// writeAttempt writes an attempt to the socket, behind nothing that is unwritten. If the socket takes nothing of it for
// maxFirstByteWait, the attempt goes back to the head of the queue, so that its line is formatted anew. If it takes a
// part and not the rest in time, nothing more can be written on the connection.
//
// It guards against a line that arrives with a deadline that the client does not have any more: the endpoint would work
// on for nobody. An attempt of which the socket took a part does not run, as it is incomplete. The first part is waited
// for only so long that there is time for the rest: an endpoint that begins to read late takes all of it.
func (w *connectionWriter) writeAttempt(a *Attempt) error {
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

// stalledTooLong notes that the socket took nothing of an attempt and says whether it has not for the stall timeout.
func (w *connectionWriter) stalledTooLong(a *Attempt) bool {
	if w.stalledSince.IsZero() {
		w.stalledSince = a.writtenAt
	}
	return clock.Now().Sub(w.stalledSince) > writeStallTimeout
}

// requeue puts an attempt of which nothing was written back to the head of the queue, unless it was cancelled.
func (c *Connection) requeue(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[a.id] != a {
		return
	}
	a.written = false
	a.requeued = true
	a.waits = true
	c.writeQueue = append([]command{{attempt: a}}, c.writeQueue...)
}

// hasQueued reports whether a command waits.
func (c *Connection) hasQueued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.writeQueue) > 0
}

// nextIsAttempt says whether an attempt is the command that waits longest.
func (c *Connection) nextIsAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.writeQueue) > 0 && c.writeQueue[0].cancelLine == nil
}

// nextHasWaited says whether an attempt is next that was not begun at once.
//
// It guards against a response that came meanwhile, to which the attempt's begin would give a meaning: it is parsed
// first, while no response can be for the attempt.
func (c *Connection) nextHasWaited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.writeQueue) > 0 && c.writeQueue[0].cancelLine == nil && c.writeQueue[0].attempt.waits
}

// nextCommand takes the next command from the queue. Attempts end here, unwritten, whose client disconnected while they
// waited for the connection or for their turn, or whose bounds have passed.
func (c *Connection) nextCommand(conn *netconn.Conn) (next command, ok bool) {
	for {
		if c.nextHasWaited() {
			conn.AwaitReader(maxReaderWait)
		}
		next, unwanted, ok := c.dequeue(conn)
		if !unwanted {
			return next, ok
		}
		c.reportEnd(next.attempt, request.AttemptEnd{Result: routing.NotSent})
	}
}

// dequeue takes the next command from the queue, formats its attempt's line and marks it as written. An attempt that
// may not be begun any more is taken off the connection instead.
func (c *Connection) dequeue(conn *netconn.Conn) (next command, unwanted, ok bool) {
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
	if !a.mayBegin(now) {
		delete(c.attempts, a.id)
		return next, true, true
	}
	a.formatLine(now)
	a.written = true
	a.writtenAt = now
	a.inputOffset = conn.BytesRead()
	c.noteWrittenLocked(now, conn)
	a.endOffset = conn.OutputOffset() + int64(a.wireBytes())
	return next, false, true
}

// mayBegin says whether the attempt's line may be begun at a time.
//
// It guards against attempts that run though nobody waits for them, or after a drain, a purge or the window of a key,
// because they waited for a dial or for their turn. These would show as work at an endpoint that is about to end, or as
// a request that runs twice. The check and the mark that the attempt is written are one step under the connection's
// lock, so no cancel of the attempt comes between them.
func (a *Attempt) mayBegin(now clock.Instant) bool {
	switch {
	case a.request == nil: // a health check
		return true
	case a.request.Cancelled():
		return false
	case !a.bounds.Deadline.IsZero() && a.bounds.Deadline.Sub(now) < minTimeLeft:
		return false
	}
	return a.bounds.SendBefore.IsZero() || now < a.bounds.SendBefore
}

// formatLine sets the line of a request's attempt, with the time that is left of its deadline. A health check has its
// line from the beginning.
func (a *Attempt) formatLine(now clock.Instant) {
	if a.request == nil {
		return
	}
	if !a.bounds.Deadline.IsZero() {
		left := a.bounds.Deadline.Sub(now)
		a.lineMargin = a.marginOf(left)
		a.command.TimeoutSeconds = (left - a.lineMargin).Seconds()
	}
	a.head = cacheproto.AppendAttempt(nil, a.command)
}

// marginOf returns by how much the deadline in the line is shortened, of the time that is left.
func (a *Attempt) marginOf(left time.Duration) time.Duration {
	if !a.requeued {
		return 0
	}
	return min(stalledLineMargin, left/2)
}
