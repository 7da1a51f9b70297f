package frontend

import (
	"context"
	"fmt"
	"runtime"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
)

// maxOpenRequests is the number of requests that the protocol allows to be open on a connection. Further requests are
// rejected.
const maxOpenRequests = 32

// frameReader reads and handles the frames of one connection. It is used by the reading goroutine only.
type frameReader struct {
	ctx     context.Context //nolint:containedctx // of the connection: it is done when the connection ends
	server  *Server
	conn    *clientConn
	writer  *responseWriter
	streams streamWindow

	waits  waitBudget
	turn   processorTurn
	misuse misuseCounter

	rejectAll request.Reason // reason for rejecting every request; ReasonNone to admit requests
}

func newFrameReader(ctx context.Context, s *Server, c *clientConn) *frameReader {
	return &frameReader{
		ctx:     ctx,
		server:  s,
		conn:    c,
		writer:  c.writer,
		streams: newStreamWindow(),
	}
}

// readFrames reads frames until an error: a socket error, a connectionError, or errReadyToClose.
func (r *frameReader) readFrames() error {
	defer r.endTurn()
	header := r.conn.progress.header[:]
	for {
		r.endTurnUnlessAvailable(clientproto.HeaderSize)
		r.turn.beginRead()
		if err := r.conn.ReadFull(header); err != nil {
			return err
		}
		r.turn.endRead()
		h, err := clientproto.ParseHeader(header)
		if err != nil {
			return &connectionError{err.Error()}
		}
		r.conn.progress.end = r.conn.BytesConsumed() + int64(h.PayloadBytes)
		if err := r.beginTurnToRead(h); err != nil {
			return err
		}
		if err := r.readFrame(h); err != nil {
			return err
		}
		r.frameHandled()
		r.conn.FrameComplete()
		r.conn.firstFrameRead.Store(true)
		r.conn.noteProgress()
		if err := r.awaitRoom(); err != nil {
			return err
		}
		if !r.turn.held && r.turn.inputWaited {
			runtime.Gosched() // a reader that always has input would delay all others by its time slice
		}
	}
}

// awaitRoom waits until the connection's open requests and unwritten frames leave room for more.
func (r *frameReader) awaitRoom() error {
	r.noteUnread()
	if !r.writer.full() {
		return nil
	}
	r.endTurn()
	resume := r.conn.pauseReading()
	err := r.writer.awaitRoom(r.ctx)
	resume()
	r.conn.noteProgress()
	return err
}

// readFrame reads and handles the payload of one frame.
func (r *frameReader) readFrame(h clientproto.Header) error {
	switch h.Type {
	case clientproto.TypeRequest:
		return r.readRequest(h)
	case clientproto.TypeCancel:
		if err := r.conn.Discard(h.PayloadBytes); err != nil {
			return err
		}
		if cancelled := r.writer.cancel(h.StreamID, request.CancelledByClient); cancelled != nil {
			r.server.Requests.RequestCancelled(cancelled)
		}
		return nil
	case clientproto.TypeReadinessQuery:
		if err := r.conn.Discard(h.PayloadBytes); err != nil {
			return err
		}
		if err := r.beginTurn(); err != nil {
			return err
		}
		reply := clientproto.AppendReadinessReply(nil, h.StreamID, r.server.Admission.Ready())
		r.writer.queueControl(reply)
		r.answeredByReader()
		return nil
	case clientproto.TypeResponse, clientproto.TypeReadinessReply, clientproto.TypeGoAway: // only a router sends these
	}
	return &connectionError{fmt.Sprintf(clientproto.TextUnknownType, h.Type)}
}

// readRequest reads a request. A request that is too large or cannot be decoded is answered with an error on its
// stream, and the connection stays open. For an invalid stream ID, readRequest returns a connectionError.
func (r *frameReader) readRequest(h clientproto.Header) error {
	if h.StreamID == 0 {
		return &connectionError{clientproto.TextStreamZero}
	}
	if !r.streams.use(h.StreamID) {
		return &connectionError{fmt.Sprintf(clientproto.TextStreamUsed, h.StreamID)}
	}
	req := &request.Request{
		StreamID:       h.StreamID,
		ClassName:      unknownClass,
		ResponseWriter: r.writer,
	}
	if h.PayloadBytes > clientproto.MaxRequestBytes {
		return r.discardRequest(req, h.PayloadBytes, request.Response{
			Result:    request.Aborted,
			Reason:    request.ReasonMalformed,
			ErrorText: clientproto.TextRequestTooLarge,
		})
	}
	payload := r.allocatePayload(h.PayloadBytes)
	if payload == nil {
		return r.discardRequest(req, h.PayloadBytes, r.writer.rejection(req, request.ReasonMemoryShort))
	}
	if err := r.conn.ReadFull(payload.Bytes); err != nil {
		payload.Free()
		return err
	}
	arrivedAt := r.conn.ArrivedAt() // before the wait for a turn
	if err := r.beginTurn(); err != nil {
		payload.Free()
		return err
	}
	r.handleRequest(req, payload, arrivedAt)
	if r.server.Admission.Draining() { // the client may have sent this request before it received the first GOAWAY
		r.conn.sendFinalGoAway()
	}
	return nil
}

// allocatePayload returns memory for the payload of a request, or nil if there is none. It waits until the connection's
// share has room for it, as long as hold allows.
func (r *frameReader) allocatePayload(payloadBytes int) *request.Body {
	bodies := r.server.Admission.Bodies
	if body := bodies.TryAllocateRequest(&r.conn.share, payloadBytes); body != nil {
		return body
	}
	ctx, done := r.hold(r.conn.ArrivedAt())
	defer done()
	body, err := bodies.AllocateRequest(ctx, &r.conn.share, payloadBytes)
	if err != nil {
		return nil
	}
	return body
}

// hold marks the connection as not read on, and returns a context that limits the wait of what arrived at a time for
// its share.
func (r *frameReader) hold(arrivedAt clock.Instant) (ctx context.Context, done func()) {
	r.endTurn()
	resume := r.conn.pauseReading()
	start := clock.Now()
	limit := min(r.waits.available(start), arrivedAt.Add(maxShareWait).Sub(start))
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	return ctx, func() {
		r.waits.spend(start, clock.Now())
		cancel()
		resume()
	}
}

// discardRequest drops the payload of a request and sends a response.
func (r *frameReader) discardRequest(req *request.Request, payloadBytes int, response request.Response) error {
	if err := r.conn.Discard(payloadBytes); err != nil {
		return err
	}
	if err := r.beginTurn(); err != nil {
		return err
	}
	r.respondNow(req, response)
	return nil
}

// respondNow responds to a request that is not handed to the event loop. The request counts as open until the response
// is written, regardless of the limits.
func (r *frameReader) respondNow(req *request.Request, response request.Response) {
	r.server.Admission.CountRequest()
	r.writer.open(req)
	r.writer.queueAnswer(req, response)
	if r.misuse.exceededBy(response.Reason) {
		r.conn.sendGoAway()
	}
	r.answeredByReader()
}

// handleRequest decodes a complete request, admits it and hands it to the event loop. A panic in these steps aborts
// this request only.
//
// It guards against a body whose bytes are not returned to the budget after a panic. That would show as a growing
// number of requests that are rejected for lack of memory, although no body is in use.
func (r *frameReader) handleRequest(req *request.Request, payload *request.Body, arrivedAt clock.Instant) {
	defer func() {
		if p := recover(); p != nil {
			r.server.Metrics.RecordPanic(telemetry.ComponentFrontend, p)
			payload.Free() // the event loop has not accepted the request
			req.Done()
			aborted := request.Response{Result: request.Aborted, Reason: request.ReasonPanic}
			if !r.writer.Respond(req, aborted) {
				r.respondNow(req, aborted)
			}
		}
	}()
	if err := r.decodeRequest(req, payload, arrivedAt.Seconds()); err != nil {
		payload.Free()
		r.respondNow(req, request.Response{
			Result:    request.Aborted,
			Reason:    request.ReasonMalformed,
			ErrorText: err.Error(),
		})
		return
	}
	r.conn.carriedRequest.Store(true)
	if reason := r.admit(req, arrivedAt); reason != request.ReasonNone {
		req.Body.Free()
		r.respondNow(req, r.writer.rejection(req, reason))
		return
	}
	r.misuse.reset()
	r.turn.answered = false
	if r.writer.openAdmitted(req) {
		r.server.handOver(req, r.writer)
	}
}

// decodeRequest fills in a request from its payload. The payload becomes the request's body, or is freed if the body is
// empty. After an error the request is unchanged.
func (r *frameReader) decodeRequest(req *request.Request, payload *request.Body, arrivedAt float64) error {
	decoded, err := clientproto.ParseRequest(payload.Bytes)
	if err != nil {
		return err
	}
	class, known := r.server.ClassIndexes[decoded.ClassName]
	if !known {
		return &unknownClassError{decoded.ClassName}
	}
	streamID := req.StreamID
	*req = decoded.Request
	req.StreamID = streamID
	req.ResponseWriter = r.writer
	req.Share = &r.conn.share
	req.Client = r.conn
	req.Class = class
	req.ArrivedAt = arrivedAt
	req.Deadline = arrivedAt + decoded.TimeoutSeconds
	r.conn.noteDeadline(clock.FromSeconds(arrivedAt), clock.FromSeconds(req.Deadline))
	if len(decoded.RawBody) == 0 {
		payload.Free()
		return nil
	}
	payload.Bytes = decoded.RawBody
	req.Body = payload
	return nil
}

// admit returns the reason for rejecting a decoded request, or ReasonNone if it is admitted and counts as open. It
// waits for a place as long as hold allows.
func (r *frameReader) admit(req *request.Request, arrivedAt clock.Instant) request.Reason {
	if r.rejectAll != request.ReasonNone {
		return r.rejectAll
	}
	if r.writer.openRequests() >= maxOpenRequests {
		return request.ReasonTooManyStreams
	}
	if clock.Now().Sub(arrivedAt) > maxReadLag {
		return request.ReasonReadLate
	}
	admission := r.server.Admission
	if reason := admission.TryAdmitRequest(req); reason != request.ReasonTooManyRequests {
		return reason
	}
	ctx, done := r.hold(arrivedAt)
	defer done()
	return admission.AdmitRequest(ctx, req)
}
