package frontend

import (
	"sync"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
)

// Bounds of the output of a client that reads slowly.
const (
	writeStallTimeout = 5 * time.Second  // since the socket last took bytes
	maxWriteDuration  = 10 * time.Second // of one response, after its request's deadline
	maxQueuedFrames   = 1024             // frames that wait: more than any sound client leaves unread
)

// writerState is what a responseWriter accepts. These are all transitions; moveLocked makes them and no other:
//
//	from       to        when
//	accepting  quiesced  nothing is open and all is written, as the reader ends the connection (quiesce) or as run
//	                     returns after finish
//	accepting  closed    the connection has ended otherwise (close)
//	quiesced   closed    the connection has ended (close)
type writerState uint8

const (
	// writerAccepting: responses to open requests and control frames are queued.
	writerAccepting writerState = iota

	// writerQuiesced: nothing is open, all output is written, and no control frame is queued any more. The connection
	// may be closed.
	writerQuiesced

	// writerClosed: the connection has ended; nothing is queued any more.
	writerClosed
	writerStateCount
)

// writerTransitions has, by its state, the states that a responseWriter may take next.
var writerTransitions = [writerStateCount][writerStateCount]bool{
	writerAccepting: {writerQuiesced: true, writerClosed: true},
	writerQuiesced:  {writerClosed: true},
}

// moveLocked takes the writer to another state where the table has the transition, and says whether it did.
func (w *responseWriter) moveLocked(to writerState) bool {
	if !writerTransitions[w.state][to] {
		return false
	}
	w.state = to
	return true
}

// responseWriter holds the open requests of one client's connection and queues the frames that are written to it: at
// most one response a request, in any order, by one goroutine (run). Its methods may be called by any goroutine, except
// that open and quiesce belong to the connection's reader.
type responseWriter struct {
	metrics   *telemetry.Metrics
	admission *admission.Controller
	wake      chan struct{} // has a token once there is something to do for run

	mu        sync.Mutex // guards the fields below
	requests  map[uint32]*request.Request
	queue     []outgoingFrame
	state     writerState
	finishing bool // run returns once nothing is open and all is written
	writing   bool // run has taken frames that the socket has not taken yet
}

// outgoingFrame is a frame that waits to be written.
type outgoingFrame struct {
	request *request.Request // that it answers; nil for a control frame
	header  []byte           // the frame without the body
	body    *request.Body
}

func newResponseWriter(m *telemetry.Metrics, a *admission.Controller) *responseWriter {
	return &responseWriter{
		metrics:   m,
		admission: a,
		requests:  map[uint32]*request.Request{},
		wake:      make(chan struct{}, 1),
	}
}

// open registers a request: it needs a response from now on.
func (w *responseWriter) open(r *request.Request) {
	w.metrics.RequestReceived(r.ClassName)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r.StreamID] = r
}

// openRequests returns how many requests are open.
func (w *responseWriter) openRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// busy reports whether a request is open or output is not wholly written.
func (w *responseWriter) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busyLocked()
}

func (w *responseWriter) busyLocked() bool {
	return len(w.requests) > 0 || w.hasUnwrittenLocked()
}

// hasUnwritten reports whether output is not wholly written.
func (w *responseWriter) hasUnwritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasUnwrittenLocked()
}

func (w *responseWriter) hasUnwrittenLocked() bool { return w.writing || len(w.queue) > 0 }

// queueFull reports whether more frames wait than any sound client leaves unread.
func (w *responseWriter) queueFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > maxQueuedFrames
}

// quiesce reports whether nothing is open and all is written; after that no control frame is queued.
//
// It guards against a request that arrives between the check and the close: its client would see its connection end
// without an answer. The check and the change of state are one step, and the reader, which opens requests, is the
// caller: so no request is opened after it.
func (w *responseWriter) quiesce() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiesceLocked()
	return w.state >= writerQuiesced
}

func (w *responseWriter) quiesceLocked() {
	if !w.busyLocked() {
		w.moveLocked(writerQuiesced)
	}
}

// Respond implements request.ResponseWriter. The response of a request that had one, or was cancelled, is not accepted.
func (w *responseWriter) Respond(r *request.Request, response request.Response) bool {
	if !w.queueResponse(r, response) {
		response.Body.Free()
		return false
	}
	w.metrics.RequestAnswered(r.ClassName, response.Result, response.Reason)
	w.signal()
	return true
}

func (w *responseWriter) queueResponse(r *request.Request, response request.Response) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == writerClosed || w.requests[r.StreamID] != r {
		return false
	}
	delete(w.requests, r.StreamID)
	w.queue = append(w.queue, outgoingFrame{
		request: r,
		header:  clientproto.AppendResponse(nil, r.StreamID, response),
		body:    response.Body,
	})
	return true
}

// sendControl queues a frame that answers no request.
func (w *responseWriter) sendControl(frame []byte) {
	w.mu.Lock()
	if w.state == writerAccepting {
		w.queue = append(w.queue, outgoingFrame{header: frame})
	}
	w.mu.Unlock()
	w.signal()
}

// cancel records that the client does not wait for a stream any more. It returns the request if that was open; no
// attempt of it begins after this. A response of which nothing has been written is dropped.
func (w *responseWriter) cancel(streamID uint32, reason request.CancelReason) *request.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[streamID]; r != nil {
		delete(w.requests, streamID)
		w.recordCancelled(r, reason)
		return r
	}
	for i, frame := range w.queue {
		if frame.request != nil && frame.request.StreamID == streamID {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			w.drop(frame)
			break
		}
	}
	return nil
}

func (w *responseWriter) recordCancelled(r *request.Request, reason request.CancelReason) {
	r.Cancel()
	w.metrics.RequestCancelled(r.ClassName, reason)
	w.admission.RequestDone()
}

// drop frees a frame that is not written.
func (w *responseWriter) drop(frame outgoingFrame) {
	frame.body.Free()
	if frame.request != nil {
		w.admission.RequestDone()
	}
}

// finish makes run return once nothing is open and all is written.
func (w *responseWriter) finish() {
	w.mu.Lock()
	w.finishing = true
	w.mu.Unlock()
	w.signal()
}

// close drops what is queued, cancels the open requests and returns them.
func (w *responseWriter) close(reason request.CancelReason) []*request.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moveLocked(writerClosed)
	var cancelled []*request.Request
	for _, r := range w.requests {
		w.recordCancelled(r, reason)
		cancelled = append(cancelled, r)
	}
	for _, frame := range w.queue {
		w.drop(frame)
	}
	w.requests = nil
	w.queue = nil
	return cancelled
}

// signal wakes run.
func (w *responseWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
