package edgecache

import (
	"context"
	"sync"
	"sync/atomic"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/sendqueue"
)

// maxUnansweredProbes is the number of unwritten responses, beyond those to open requests, from which a connection is
// not read on: probe replies and rejections.
const maxUnansweredProbes = 16

// queuedResponse is a response queued for a connection.
type queuedResponse struct {
	head []byte
	body []byte
}

// BodyBytes implements sendqueue.Item.
func (r queuedResponse) BodyBytes() int { return len(r.body) }

// SendOrder implements sendqueue.Item: responses with a large body stay in the order in which they came.
func (r queuedResponse) SendOrder() clock.Instant { return 0 }

// responseWriter queues the responses to one client, and a single goroutine (run) writes them. Its methods are safe for
// concurrent use.
type responseWriter struct {
	conn      *netconn.Conn
	unwritten *atomic.Int64 // number of responses on all connections that are not written
	wake      chan struct{} // receives a token when run has work to do
	room      chan struct{} // receives a token when the reader may go on

	mu      sync.Mutex // guards the fields below
	queue   sendqueue.Queue[queuedResponse]
	writing int  // number of responses that run has taken and the socket has not accepted
	closed  bool // run has returned
}

func newResponseWriter(conn *netconn.Conn, unwritten *atomic.Int64) *responseWriter {
	return &responseWriter{
		conn:      conn,
		unwritten: unwritten,
		wake:      make(chan struct{}, 1),
		room:      make(chan struct{}, 1),
	}
}

// send queues a response. The queue is limited by awaitRoom, and a client that takes nothing is disconnected after
// clientStallTimeout.
func (w *responseWriter) send(response queuedResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.unwritten.Add(1)
	w.queue.Push(response)
	notify(w.wake)
}

// notify puts a token into a channel unless there is one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitRoom waits until fewer responses than a limit are unwritten, or the context is done.
//
// It guards against a client that sends and does not read, whose responses would use more and more memory.
func (w *responseWriter) awaitRoom(ctx context.Context, limit int) error {
	for w.pending() >= limit {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.room:
		}
	}
	return nil
}

// pending returns the number of responses that are not written.
func (w *responseWriter) pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len() + w.writing
}

// run writes queued responses until the connection ends and returns the reason for the end. The output is flushed when
// its ring buffer is full or the queue is empty.
func (w *responseWriter) run(ctx context.Context) (netconn.EndCode, error) {
	defer w.close()
	for {
		if response, ok := w.next(); ok {
			if err := w.write(response); err != nil {
				return netconn.ClassifyError(err), err
			}
			continue
		}
		if err := w.conn.Flush(); err != nil {
			return netconn.ClassifyError(err), err
		}
		if w.recordFlushed() {
			continue
		}
		select {
		case <-ctx.Done():
			return netconn.Shutdown, ctx.Err()
		case <-w.wake:
		}
	}
}

// next takes the response that is written next. It returns false if there is none.
func (w *responseWriter) next() (response queuedResponse, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue.HasLarge() {
		w.conn.LimitUnsentWhenBehind()
	}
	response, ok = w.queue.Pop()
	if ok {
		w.writing++
	}
	return response, ok
}

func (w *responseWriter) write(response queuedResponse) error {
	if err := w.conn.Write(response.head); err != nil {
		return err
	}
	if err := w.conn.Write(response.body); err != nil {
		return err
	}
	return w.conn.Write([]byte(cacheproto.LineEnd))
}

// recordFlushed records that the socket has accepted all that run has taken, and reports whether more is queued.
func (w *responseWriter) recordFlushed() (more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unwritten.Add(-int64(w.writing))
	w.writing = 0
	notify(w.room)
	return w.queue.Len() > 0
}

// close drops what is not written.
func (w *responseWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.unwritten.Add(-int64(w.writing + len(w.queue.Drain())))
	w.writing = 0
}
