package frontend

import (
	"slices"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/request"
)

// Pace of the answers to fruitless frames: requests that cannot be used or are shed, and readiness queries.
const (
	// freeFruitlessFrames of them within fruitlessInterval are answered at once.
	freeFruitlessFrames = 8
	fruitlessInterval   = time.Second

	// fruitlessAnswerInterval is the time between the answers to further ones.
	fruitlessAnswerInterval = 50 * time.Millisecond

	// maxHoldShare is how long after the arrival of its frame an answer is held back, as a part of the shortest time
	// that the client has given to a request, within the two limits.
	maxHoldShare = 0.5
	minHoldTime  = 250 * time.Millisecond
	maxHoldTime  = time.Second
)

// answerPacer decides when fruitless frames are answered.
//
// It guards against a client that sends such frames at full speed: the processor time for them is missing for all
// others. A client that keeps to the protocol has few requests open and waits for their answers. Its frames are read
// all the same, so that the other requests on its connection, and their cancellations, are seen in time.
type answerPacer struct {
	countedSince    clock.Instant // start of the interval in which frames are counted
	counted         int           // number of frames in it
	last            clock.Instant // time of the latest answer that was held back
	shortestTimeout time.Duration // of the client's requests so far; 0 before the first one
}

// noteTimeout records the time that the client gives to a request.
func (p *answerPacer) noteTimeout(timeout time.Duration) {
	if p.shortestTimeout == 0 || timeout < p.shortestTimeout {
		p.shortestTimeout = timeout
	}
}

// answerAt returns the time at which a fruitless frame is answered that arrived at a time and is read now.
func (p *answerPacer) answerAt(now, arrivedAt clock.Instant) clock.Instant {
	if now.Sub(p.countedSince) > fruitlessInterval {
		p.countedSince, p.counted = now, 0
	}
	p.counted++
	if p.counted <= freeFruitlessFrames {
		return now
	}
	latest := arrivedAt.Add(p.maxHold())
	p.last = min(max(p.last, now).Add(fruitlessAnswerInterval), latest)
	return p.last
}

// maxHold returns how long after the arrival of its frame an answer may be held back.
func (p *answerPacer) maxHold() time.Duration {
	return min(max(time.Duration(maxHoldShare*float64(p.shortestTimeout)), minHoldTime), maxHoldTime)
}

// heldResponse is an answer that is held back.
type heldResponse struct {
	at       clock.Instant
	request  *request.Request // nil for a control frame
	response request.Response
	control  []byte
}

// heldResponses are the answers of a connection that are held back, by the time at which they are due. An answer whose
// request is cancelled stays until then, so that cancelling does not raise the pace.
type heldResponses struct {
	queue []heldResponse
	timer *time.Timer // runs while an answer is held back; nil before the first one
}

// respondAt responds to an open request at a time, or at once if that has passed or the process ends. Of the request
// only what the response needs is retained.
func (w *responseWriter) respondAt(at clock.Instant, r *request.Request, response request.Response) {
	answered := &request.Request{ID: r.ID, StreamID: r.StreamID, ClassName: r.ClassName, Deadline: r.Deadline}
	if !w.hold(heldResponse{at: at, request: answered, response: response}) {
		w.Respond(r, response)
	}
}

// sendControlAt queues a control frame at a time, or at once if that has passed or the process ends.
func (w *responseWriter) sendControlAt(at clock.Instant, frame []byte) {
	if !w.hold(heldResponse{at: at, control: frame}) {
		w.sendControl(frame)
	}
}

// hold holds an answer back, and reports whether it does.
func (w *responseWriter) hold(h heldResponse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.at <= clock.Now() || !w.outputLimit.IsZero() || w.state != writerAccepting {
		return false
	}
	w.held.queue = append(w.held.queue, h)
	if h.request != nil {
		w.requests[h.request.StreamID] = openRequest{request: h.request, held: true}
	}
	w.startHeldTimerLocked()
	return true
}

// startHeldTimerLocked starts the timer that releases the first answer. It belongs to the writer: close ends it.
func (w *responseWriter) startHeldTimerLocked() {
	wait := w.held.queue[0].at.Sub(clock.Now())
	if w.held.timer == nil {
		w.held.timer = time.AfterFunc(wait, func() { w.releaseHeld(clock.Now()) })
		return
	}
	w.held.timer.Reset(wait)
}

// releaseHeld sends the answers that are due at a time.
func (w *responseWriter) releaseHeld(now clock.Instant) {
	for _, h := range w.takeHeld(now) {
		if h.request == nil {
			w.sendControl(h.control)
			continue
		}
		w.Respond(h.request, h.response) // it is not accepted if the request was cancelled
	}
	w.signalRoom()
}

// takeHeld removes the answers that are due at a time.
func (w *responseWriter) takeHeld(now clock.Instant) []heldResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := slices.IndexFunc(w.held.queue, func(h heldResponse) bool { return h.at > now })
	if due < 0 {
		due = len(w.held.queue)
	}
	taken := slices.Clone(w.held.queue[:due])
	w.held.queue = slices.Delete(w.held.queue, 0, due)
	if len(w.held.queue) > 0 && w.state == writerAccepting {
		w.startHeldTimerLocked()
	}
	return taken
}

// heldBesidesRequestsLocked returns the number of answers that are held back and belong to no open request.
func (w *responseWriter) heldBesidesRequestsLocked() int {
	count := 0
	for _, h := range w.held.queue {
		if h.request == nil || w.requests[h.request.StreamID].request != h.request {
			count++
		}
	}
	return count
}

// holdsControlLocked reports whether a control frame is held back.
func (w *responseWriter) holdsControlLocked() bool {
	return slices.ContainsFunc(w.held.queue, func(h heldResponse) bool { return h.request == nil })
}

// closeHeldLocked drops the answers that are held back.
func (w *responseWriter) closeHeldLocked() {
	w.held.queue = nil
	if w.held.timer != nil {
		w.held.timer.Stop()
	}
}
