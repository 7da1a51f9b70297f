package upstream

import (
	"context"
	"errors"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// errNoLineEnd tells of a response whose body is not followed by a line end.
var errNoLineEnd = errors.New("no line end after a body")

// readLoop reads responses until an error, and returns the end code for it.
func (c *Connection) readLoop(ctx context.Context, conn *netconn.Conn) (netconn.EndCode, error) {
	for {
		if code, err := c.readResponse(ctx, conn); err != nil {
			return code, err
		}
	}
}

// readResponse reads one response. All of its body is read before the attempt ends; that of a cancelled attempt is
// dropped.
func (c *Connection) readResponse(ctx context.Context, conn *netconn.Conn) (netconn.EndCode, error) {
	c.boundSilence(conn)
	offset := conn.BytesConsumed()
	line, err := conn.ReadLine()
	if err != nil {
		return netconn.ClassifyReadError(err, passedDeadlineCode(conn)), err
	}
	response, err := cacheproto.ParseResponse(line)
	if err != nil {
		return netconn.ProtocolError, err
	}
	a := c.openAttempt(response.ID, offset)
	if a == nil {
		c.pool.Metrics.Inc(telemetry.LateResponses)
	}
	if a.wantsBody(response) {
		response.Body, err = c.pool.Admission.Bodies.Allocate(ctx, response.BodyBytes)
		if err != nil {
			return netconn.Shutdown, err
		}
		err = conn.ReadFull(response.Body.Bytes)
	} else {
		err = conn.Discard(response.BodyBytes)
	}
	if err == nil {
		err = readLineEnd(conn)
	}
	if err != nil {
		response.Body.Free()
		if errors.Is(err, errNoLineEnd) {
			return netconn.ProtocolError, err
		}
		return netconn.ClassifyReadError(err, netconn.StalledResponse), err
	}
	conn.FrameComplete()
	if a == nil {
		c.endByLateResponse(response.ID)
	}
	c.endByResponse(a, response, offset)
	return netconn.NoEndCode, nil
}

// passedDeadlineCode says what a read deadline was for that has passed: the rest of a response, or any input.
func passedDeadlineCode(conn *netconn.Conn) netconn.EndCode {
	if conn.FrameStart().IsZero() {
		return netconn.Unresponsive
	}
	return netconn.StalledResponse
}

// readLineEnd reads the line end that follows a body.
func readLineEnd(conn *netconn.Conn) error {
	var end [len(cacheproto.LineEnd)]byte
	if err := conn.ReadFull(end[:]); err != nil {
		return err
	}
	if string(end[:]) != cacheproto.LineEnd {
		return errNoLineEnd
	}
	return nil
}

// openAttempt returns the open attempt with an id that a response that begins at an offset of the input may be for, nil
// where there is none.
func (c *Connection) openAttempt(id string, responseOffset int64) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[id]; a.mayBeAnswered(responseOffset) {
		return a
	}
	return nil
}

// mayBeAnswered says whether an open attempt can have a response that begins at an offset of the input. It is guarded
// by the connection's lock.
//
// It guards against an attempt that a stray response ends while it waits for its turn: it would be written after its
// end, and run beside the next attempt or after the request's final response (rule 2). What had come before the attempt
// was begun is not for it, also where it is parsed later.
func (a *Attempt) mayBeAnswered(responseOffset int64) bool {
	return a != nil && a.written && responseOffset >= a.inputOffset
}

// endByResponse ends an attempt, unless it was cancelled while its response was read.
func (c *Connection) endByResponse(a *Attempt, response cacheproto.Response, responseOffset int64) {
	if a == nil {
		return
	}
	if !c.takeOpen(a, responseOffset) {
		response.Body.Free()
		return
	}
	end := response.AttemptEnd
	if response.IsProbeReply != a.isHealthCheck || !a.isNamedBy(response) { // what it means is not known
		response.Body.Free()
		end = request.AttemptEnd{Result: routing.ServerError}
	}
	c.reportEnd(a, end)
}

// isNamedBy says whether a response that calls the requester's copy current names that copy. Others don't have to.
func (a *Attempt) isNamedBy(response cacheproto.Response) bool {
	if !response.NotModified {
		return true
	}
	return a.request != nil && a.request.ETag != "" && response.ETag == a.request.ETag
}

// takeOpen takes an attempt off the connection that its response ends. It returns false where it is not open any more,
// or waits to be written anew.
func (c *Connection) takeOpen(a *Attempt, responseOffset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[a.id] != a || !a.mayBeAnswered(responseOffset) {
		return false
	}
	delete(c.attempts, a.id)
	c.lastUsed = clock.Now()
	c.closeIfDoneLocked()
	return true
}
