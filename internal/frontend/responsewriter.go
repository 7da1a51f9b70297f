package frontend

import (
	"context"
	"sync"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// Limits on the output of a client that reads slowly.
const (
	writeStallTimeout = 5 * time.Second  // since the socket last accepted bytes
	maxWriteDuration  = 10 * time.Second // for one frame; from its request's deadline if that is later than the start
	maxDeadlineGrant  = 60 * time.Second // how long after the start that deadline counts: the client chooses it

	// maxUnwrittenFrames is the number of unwritten frames from which the connection is not read on. Responses to
	// requests that are open by then are added to it.
	maxUnwrittenFrames = 16

	// maxUnwrittenBytes is the size of unwritten bodies from which the connection is not read on: one more than the
	// largest response.
	maxUnwrittenBytes = 256 << 10
)

// writerState is the state of a responseWriter, which determines what it accepts. moveLocked makes all transitions and
// rejects any other:
//
//	from       to        when
//	accepting  quiesced  no request is open and all output is written, and either the reader closes the connection
//	                     (quiesce) or run returns after finish
//	accepting  closed    the connection has ended in another way (close)
//	quiesced   closed    the connection has ended (close)
type writerState uint8

const (
	// writerAccepting: responses to open requests and control frames are queued.
	writerAccepting writerState = iota

	// writerQuiesced: no request is open, all output is written, and control frames are no longer queued. The
	// connection may be closed.
	writerQuiesced

	// writerClosed: the connection has ended; nothing is queued any more.
	writerClosed
	writerStateCount
)

// writerTransitions lists the states that a responseWriter may enter from each state.
var writerTransitions = [writerStateCount][writerStateCount]bool{
	writerAccepting: {writerQuiesced: true, writerClosed: true},
	writerQuiesced:  {writerClosed: true},
}

// moveLocked changes the state if the table contains the transition, and reports whether it did.
func (w *responseWriter) moveLocked(to writerState) bool {
	if !writerTransitions[w.state][to] {
		return false
	}
	w.state = to
	return true
}

// responseWriter holds the open requests of one client connection and queues the frames that are written to it. Each
// request has at most one response, responses may be in any order, and a single goroutine (run) writes them. Its
// methods are safe for concurrent use, except that only the connection's reader may call open and quiesce.
type responseWriter struct {
	metrics   *telemetry.Metrics
	admission *admission.Controller
	wake      chan struct{} // receives a token when run has work to do
	room      chan struct{} // receives a token when the reader may go on

	mu        sync.Mutex // guards the fields below
	requests  map[uint32]*request.Request
	queue     []outgoingFrame
	state     writerState
	stalled   bool // the client takes no output, as of the last sweep
	finishing bool // run returns once no request is open and all output is written
	unflushed int  // number of frames that run has dequeued and the socket has not accepted yet
	bodyBytes int  // size of the bodies of the frames that the socket has not accepted yet
}

// outgoingFrame is a frame to be written.
type outgoingFrame struct {
	answered *answeredRequest // nil for a control frame
	header   []byte           // the frame without the body
	body     *request.Body
}

// answeredRequest is what remains of a request until its response is written: the request itself refers to more memory.
type answeredRequest struct {
	id        routing.RequestID
	streamID  uint32
	className string
	deadline  float64 // monotonic seconds; 0 if the request could not be decoded
}

func newResponseWriter(m *telemetry.Metrics, a *admission.Controller) *responseWriter {
	return &responseWriter{
		metrics:   m,
		admission: a,
		requests:  map[uint32]*request.Request{},
		wake:      make(chan struct{}, 1),
		room:      make(chan struct{}, 1),
	}
}

// open registers a request, which needs a response from now on.
func (w *responseWriter) open(r *request.Request) {
	w.metrics.RequestReceived(r.ClassName)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r.StreamID] = r
}

// openRequests returns the number of open requests.
func (w *responseWriter) openRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// busy reports whether a request is open or output is not completely written.
func (w *responseWriter) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busyLocked()
}

func (w *responseWriter) busyLocked() bool {
	return len(w.requests) > 0 || w.hasUnwrittenLocked()
}

// hasUnwritten reports whether output is not completely written.
func (w *responseWriter) hasUnwritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasUnwrittenLocked()
}

func (w *responseWriter) hasUnwrittenLocked() bool { return w.unwrittenLocked() > 0 }

func (w *responseWriter) unwrittenLocked() int { return w.unflushed + len(w.queue) }

// setStalled records whether the client takes no output.
func (w *responseWriter) setStalled(stalled bool) {
	w.mu.Lock()
	w.stalled = stalled
	w.mu.Unlock()
	if !stalled {
		w.signalRoom()
	}
}

// full reports whether so much is unwritten that the connection is not read on, or the client takes no output.
func (w *responseWriter) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled || w.unwrittenLocked() >= maxUnwrittenFrames || w.bodyBytes >= maxUnwrittenBytes
}

// awaitRoom waits until the connection is not full any more, or the context is done.
//
// It guards against a client that sends and does not read, whose responses would use more and more memory. What it
// sends meanwhile stays in the sockets, so that it has to wait.
func (w *responseWriter) awaitRoom(ctx context.Context) error {
	for w.full() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.room:
		}
	}
	return nil
}

// quiesce reports whether no request is open and all output is written. If so, no control frame is queued any more.
//
// It guards against a request that arrives between this check and the close: its client would see the connection end
// without a response. The check and the change of state are one step, and the caller is the reader, which opens
// requests: therefore no request is opened after it.
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

// Respond implements request.ResponseWriter. It does not accept a response to a request that was already answered or
// cancelled.
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
		answered: &answeredRequest{id: r.ID, streamID: r.StreamID, className: r.ClassName, deadline: r.Deadline},
		header:   clientproto.AppendResponse(nil, r.StreamID, response),
		body:     response.Body,
	})
	w.bodyBytes += response.Body.Len()
	return true
}

// sendControl queues a control frame, which answers no request.
func (w *responseWriter) sendControl(frame []byte) {
	w.mu.Lock()
	if w.state == writerAccepting {
		w.queue = append(w.queue, outgoingFrame{header: frame})
	}
	w.mu.Unlock()
	w.signal()
}

// cancel records that the client no longer waits for a stream. If the request is open, cancel returns it, and no
// further attempt of it begins. If its response is queued and no part of it is written, the response is dropped.
func (w *responseWriter) cancel(streamID uint32, reason request.CancelReason) *request.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[streamID]; r != nil {
		delete(w.requests, streamID)
		w.recordCancelled(r, reason)
		return r
	}
	for i, frame := range w.queue {
		if frame.answered != nil && frame.answered.streamID == streamID {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			w.bodyBytes -= frame.body.Len()
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

// drop releases a frame that will not be written.
func (w *responseWriter) drop(frame outgoingFrame) {
	frame.body.Free()
	if frame.answered != nil {
		w.admission.RequestDone()
	}
}

// finish makes run return once no request is open and all output is written.
func (w *responseWriter) finish() {
	w.mu.Lock()
	w.finishing = true
	w.mu.Unlock()
	w.signal()
}

// close drops the queued frames, cancels the open requests and returns them.
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

// signalRoom wakes up the reader in awaitRoom.
func (w *responseWriter) signalRoom() {
	select {
	case w.room <- struct{}{}:
	default:
	}
}

// signal wakes up run.
func (w *responseWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
