package upstream

import (
	"context"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/routing"
)

// writeLoop writes attempts and cancel lines in order until an error or the context ends it. It flushes whenever
// nothing more is queued.
func (c *Connection) writeLoop(ctx context.Context, conn *netconn.Conn) error {
	var told []*Attempt // cancelled attempts whose cancel line may be unflushed
	for {
		next, ok := c.nextCommand(conn)
		if ok {
			if next.cancelLine != nil {
				told = append(told, next.attempt)
			}
			if err := next.writeTo(conn); err != nil {
				return err
			}
			continue
		}
		if err := conn.Flush(); err != nil {
			return err
		}
		c.reportCancelled(told)
		told = told[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.writeSignal:
		}
	}
}

// writeTo buffers a command for the socket.
func (next command) writeTo(conn *netconn.Conn) error {
	if next.cancelLine != nil {
		return conn.Write(next.cancelLine)
	}
	return next.attempt.writeTo(conn)
}

// nextCommand takes the next command from the queue. Attempts whose client disconnected while they waited for the
// connection or for their turn end here, unwritten.
func (c *Connection) nextCommand(conn *netconn.Conn) (next command, ok bool) {
	for {
		next, clientGone, ok := c.dequeue(conn)
		if !clientGone {
			return next, ok
		}
		c.reportEnd(next.attempt, request.AttemptEnd{Result: routing.NotSent})
	}
}

// dequeue takes the next command from the queue and marks its attempt as written. An attempt whose client is gone is
// taken off the connection instead.
func (c *Connection) dequeue(conn *netconn.Conn) (next command, clientGone, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.writeQueue) == 0 {
		return command{}, false, false
	}
	next = c.writeQueue[0]
	c.writeQueue = c.writeQueue[1:]
	if next.cancelLine != nil {
		return next, false, true
	}
	a := next.attempt
	if a.request != nil && a.request.Cancelled() {
		delete(c.attempts, a.id)
		return next, true, true
	}
	a.written = true
	a.writtenAt = clock.Now()
	a.endOffset = conn.BytesBuffered() + int64(a.wireBytes())
	return next, false, true
}
