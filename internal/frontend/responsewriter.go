package frontend

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// Limits on the output of a client that reads slowly.
const (
	writeStallTimeout = 5 * time.Second  // since the socket last accepted bytes
	maxWriteDuration  = 10 * time.Second // for one frame; from its request's deadline if that is later than the start
	maxDeadlineGrant  = 60 * time.Second // how long after the start that deadline counts: the client chooses it

	// maxTotalWriteDuration is for one frame whose client waits for other responses on the connection too.
	maxTotalWriteDuration = maxDeadlineGrant + maxWriteDuration

	// maxFrames is the number of open requests, and of frames that the client has not taken, from which the connection
	// is not read on. It is above maxOpenRequests, so that a client that keeps to the protocol is always read.
	maxFrames = maxOpenRequests + 16
)

// responseWriter holds the open requests of one client connection and queues the frames that are written to it. Each
// request has at most one response, responses may be in any order, and a single goroutine (run) writes them. Its
// methods are safe for concurrent use, except that only the connection's reader may call open, openAdmitted and
// quiesce.
type responseWriter struct {
	metrics   *telemetry.Metrics
	admission *admission.Controller
	share     *request.Share           // of the connection
	handOver  func(r *request.Request) // hands a deferred request over to the event loop
	mayEnd    func() bool              // the end of the connection loses nothing; nil if that is always so
	wake      chan struct{}            // receives a token when run has work to do
	room      chan struct{}            // receives a token when the reader may go on

	objectives    []time.Duration // latency objectives by class, of requests without a size
	maxRetryAfter time.Duration   // longest retry delay of a rejection; 0 for none

	mu        sync.Mutex // guards the fields below
	requests  map[uint32]openRequest
	window    requestWindow
	queue     outputQueue
	pace      outputPace
	state     writerState
	stalled   bool     // the client takes no output, as of the last sweep
	untaken   []uint32 // streams of the frames that the socket has accepted since, except those cancelled; 0 for none
	unread    int      // requests that the client has open in the input that was not read, while it takes no output
	finishing bool     // run returns once no request is open and all output is written

	unwritten        int           // number of frames that run has dequeued and the socket has not accepted completely
	writingFrom      int64         // offset in the output of the frame that run dequeued last
	writingBodyBytes int           // size of the body that run is writing
	lastLargeWritten clock.Instant // when the socket accepted the last large body; zero if it never did
	outputLimit      clock.Instant // time after which large bodies are of no use; zero for none

	taken telemetry.TakenByEnd // what the end of the connection took, as far as it is known
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
		share:     &request.Share{},
		requests:  map[uint32]openRequest{},
		window:    requestWindow{sizes: responseSizes{}, times: serviceTimes{}},
		wake:      make(chan struct{}, 1),
		room:      make(chan struct{}, 1),
	}
}

// open registers a request that is answered at once, and needs a response from now on.
func (w *responseWriter) open(r *request.Request) {
	w.metrics.RequestReceived(r.ClassName)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r.StreamID] = openRequest{request: r}
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

func (w *responseWriter) hasUnwrittenLocked() bool { return w.unwritten+w.queue.Len() > 0 }

// sinceLargeWritten returns how long ago the socket accepted the last large body.
func (w *responseWriter) sinceLargeWritten(now clock.Instant) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastLargeWritten)
}

// full reports whether so many requests are open, read or not, and frames queued or not taken, that the connection is
// not read on.
func (w *responseWriter) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)+w.queue.Len()+len(w.untaken)+w.unread >= maxFrames
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

// Respond implements request.ResponseWriter. It does not accept a response to a request that was already answered or
// cancelled.
func (w *responseWriter) Respond(r *request.Request, response request.Response) bool {
	if !w.queueAnswer(r, response) {
		return false
	}
	w.signal()
	return true
}

// queueAnswer is like Respond, and leaves it to the caller to signal run, so that several frames are written together.
func (w *responseWriter) queueAnswer(r *request.Request, response request.Response) bool {
	if !w.queueResponse(r, response) {
		response.Body.Free()
		return false
	}
	w.metrics.RequestAnswered(r.ClassName, response.Result, response.Reason)
	return true
}

func (w *responseWriter) queueResponse(r *request.Request, response request.Response) bool {
	r.Reservation.Release()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == writerClosed || w.requests[r.StreamID].request != r {
		return false
	}
	w.recordResponseLocked(w.requests[r.StreamID], response)
	delete(w.requests, r.StreamID)
	w.queue.Push(newResponseFrame(r, response, clock.Now()))
	return true
}

// sendControl queues a control frame, which answers no request.
func (w *responseWriter) sendControl(frame []byte) {
	w.queueControl(frame)
	w.signal()
}

// queueControl is like sendControl, and leaves it to the caller to signal run.
func (w *responseWriter) queueControl(frame []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == writerAccepting {
		w.queue.Push(outgoingFrame{header: frame})
	}
}

// cancel records that the client no longer waits for a stream. If the request is open and was handed over, cancel
// returns it, and no further attempt of it begins. If its response is queued and no part of it is written, the response
// is dropped.
func (w *responseWriter) cancel(streamID uint32, reason request.CancelReason) *request.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if open := w.requests[streamID]; open.request != nil {
		r := open.request
		delete(w.requests, streamID)
		w.recordCancelled(r, reason)
		if w.removeDeferredLocked(r) {
			release(r)
			return nil
		}
		return r
	}
	if frame, queued := w.queue.removeStream(streamID); queued {
		w.drop(frame)
	}
	w.untaken = slices.DeleteFunc(w.untaken, func(untaken uint32) bool { return untaken == streamID })
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

// limitOutput makes the responses with a large body that cannot be written by a time fail, as the process ends.
func (w *responseWriter) limitOutput(limit clock.Instant) {
	w.mu.Lock()
	w.outputLimit = limit
	w.mu.Unlock()
	w.signal()
}

// close drops the queued frames and cancels the open requests. It returns those that were handed over, and what the end
// took. It must be called after run.
func (w *responseWriter) close() (handedOver []*request.Request, taken telemetry.TakenByEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moveLocked(writerClosed)
	taken = w.taken
	taken.OpenRequests = len(w.requests)
	for _, open := range w.requests {
		w.recordCancelled(open.request, request.ConnectionEnded)
		if w.removeDeferredLocked(open.request) {
			release(open.request)
			continue
		}
		handedOver = append(handedOver, open.request)
	}
	for _, frame := range w.queue.Drain() {
		taken.UnsentBytes += int64(len(frame.header) + frame.body.Len())
		if frame.answered != nil {
			taken.UnsentResponses++
		}
		w.drop(frame)
	}
	if w.window.review != nil {
		w.window.review.Stop()
	}
	w.requests = nil
	return handedOver, taken
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
