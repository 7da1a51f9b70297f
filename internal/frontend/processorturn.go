package frontend

import (
	"context"
	"runtime"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
)

const (
	// inputWaitTime is how long a read takes at least that has to wait for input: far longer than one that does not.
	inputWaitTime = 100 * time.Microsecond

	// maxTurnTime is how long a turn lasts, to the end of a frame: so short that hundreds of connections have theirs
	// within maxReadLag.
	maxTurnTime = 250 * time.Microsecond

	// maxTurnWait is how long a frame waits for a turn. After that it would be rejected as read late in any case.
	maxTurnWait = maxReadLag
)

// maxMisusesInRow is after how many unusable requests in a row a client is asked to send no more on its connection. One
// that keeps to the protocol, but whose requests are all faulty, has seen several rounds of errors by then.
const maxMisusesInRow = 8 * maxOpenRequests

// processorTurn is a reader's use of the turn that all readers share. A reader needs the turn for a frame if it has
// answered the one before itself, a refused request or a readiness query, and did not have to wait for the next one.
//
// It guards against clients that flood the router with frames that cost them nothing: the processor time for these
// would be missing for all others. No answer waits for a time: it is queued as soon as the frame is handled, and the
// answers of a turn are written together. A reader with the turn reads only what has arrived, so it never blocks, and
// all others run between two turns.
type processorTurn struct {
	answered    bool          // the reader has answered the last frame itself
	inputWaited bool          // the last read found its input
	readStart   clock.Instant // of the current header
	held        bool
	begunAt     clock.Instant // of the turn that is held
}

// required reports whether the frame that was read needs the turn.
func (t *processorTurn) required() bool { return t.answered && t.inputWaited }

// beginRead records that the reader asks for the next frame.
func (t *processorTurn) beginRead() { t.readStart = clock.Now() }

// endRead records that the next frame has begun.
func (t *processorTurn) endRead() { t.inputWaited = clock.Now().Sub(t.readStart) < inputWaitTime }

// beginTurn waits for a turn if the next frame needs one, which must have been read or be there to be read. It fails if
// the connection has ended.
func (r *frameReader) beginTurn() error {
	if r.turn.held || !r.turn.required() {
		return nil
	}
	r.turn.held = r.conn.admission.TryTurn() || r.awaitTurn()
	r.turn.begunAt = clock.Now()
	return r.ctx.Err()
}

// frameHandled ends the turn after a frame if it has lasted for maxTurnTime.
func (r *frameReader) frameHandled() {
	if r.turn.held && r.turn.expired() {
		r.endTurn()
	}
}

// expired reports whether the turn has lasted for maxTurnTime.
func (t *processorTurn) expired() bool { return clock.Now().Sub(t.begunAt) >= maxTurnTime }

// awaitTurn waits for a turn for at most maxTurnWait, and reports whether the reader has it.
func (r *frameReader) awaitTurn() bool {
	resume := r.conn.pauseReading()
	defer resume()
	ctx, cancel := context.WithTimeout(r.ctx, maxTurnWait)
	defer cancel()
	return r.conn.admission.AwaitTurn(ctx) == nil
}

// answeredByReader records that the reader has queued the answer to a frame, and has it written: at once, or with the
// others of the turn.
func (r *frameReader) answeredByReader() {
	r.turn.answered = true
	if !r.turn.held {
		r.writer.signal()
	}
}

// available reports whether a read of a number of bytes would not wait.
func (r *frameReader) available(byteCount int) bool {
	buffered := r.conn.BufferedBytes()
	return buffered >= byteCount || int64(buffered)+r.conn.UnreadBytes() >= int64(byteCount)
}

// endTurnUnlessAvailable ends the turn if a read of a number of bytes may wait.
func (r *frameReader) endTurnUnlessAvailable(byteCount int) {
	if r.turn.held && !r.available(byteCount) {
		r.endTurn()
	}
}

// beginTurnToRead waits for a turn if the next frame needs one, and its payload is there to be read. Otherwise the turn
// begins after the read. A cancel needs none: no attempt of its request may begin for long after it.
func (r *frameReader) beginTurnToRead(h clientproto.Header) error {
	r.endTurnUnlessAvailable(h.PayloadBytes)
	if h.Type == clientproto.TypeCancel || !r.turn.required() || !r.available(h.PayloadBytes) {
		return nil
	}
	return r.beginTurn()
}

// endTurn ends the turn, if the reader has it. It must be called before anything that blocks. If there is more to do,
// all that can run runs first: a sleep in place of that would put readers that take turns ahead of those that yield,
// which then wait for seconds.
func (r *frameReader) endTurn() {
	if !r.turn.held {
		return
	}
	r.turn.held = false
	r.writer.signal()
	if r.turn.expired() || r.conn.admission.TurnAwaited() {
		runtime.Gosched()
	}
	r.conn.admission.EndTurn()
}

// misuseCounter counts the requests in a row that break the protocol.
type misuseCounter int

// exceededBy counts an answer with a reason, and reports whether it is the one after which GOAWAY is sent. What is
// refused because the router has no room is no misuse.
func (m *misuseCounter) exceededBy(reason request.Reason) bool {
	if reason != request.ReasonMalformed && reason != request.ReasonTooManyStreams {
		return false
	}
	*m++
	return *m == maxMisusesInRow
}

// reset records a request that can be used.
func (m *misuseCounter) reset() { *m = 0 }
