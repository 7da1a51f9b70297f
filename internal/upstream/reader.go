package upstream

import (
	"context"
	"errors"
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"
)

// maxShareWait is how long a response waits for room in the memory for bodies, or in its client's share of it.
const maxShareWait = 100 * time.Millisecond

// errNoLineEnd reports that the body of a response is not followed by a line end.
var errNoLineEnd = errors.New("no line end after a body")

// readLoop reads responses until an error occurs and returns the error with its end code.
func (c *Connection) readLoop(ctx context.Context, conn *netconn.Conn) (netconn.EndCode, error) {
	for {
		if code, err := c.readResponse(ctx, conn); err != nil {
			return code, err
		}
	}
}

// readResponse reads one response. The attempt ends after the complete body has been read. The body of a cancelled
// attempt is discarded.
func (c *Connection) readResponse(ctx context.Context, conn *netconn.Conn) (netconn.EndCode, error) {
	c.setSilenceDeadline(conn)
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
	if a.wantsBody(response) && response.BodyBytes > 0 {
		response.Body, err = c.allocateBody(ctx, a, response.BodyBytes)
		if err != nil {
			return netconn.Shutdown, err
		}
	}
	if response.Body != nil {
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

// allocateBody returns a body for the response to an attempt, or nil if the share of its client has no room for it. It
// waits for room only if mayWaitForRoom allows it, and for at most maxShareWait. It fails if the context is done.
func (c *Connection) allocateBody(ctx context.Context, a *Attempt, bodyBytes int) (*request.Body, error) {
	budget, share := c.pool.Admission.Bodies, a.request.Share
	a.request.Reservation.Release() // the body takes its room
	if body := budget.TryAllocateResponse(share, bodyBytes); body != nil {
		return body, nil
	}
	defer c.pool.waitingForRoom.Add(-1)
	if c.pool.waitingForRoom.Add(1); !c.mayWaitForRoom(share) {
		return nil, nil //nolint:nilnil // no body is a usual outcome
	}
	wait, cancel := context.WithTimeout(ctx, maxShareWait)
	defer cancel()
	body, err := budget.AllocateResponse(wait, share, bodyBytes)
	if err != nil && ctx.Err() == nil {
		return nil, nil //nolint:nilnil // no body is a usual outcome
	}
	return body, err
}

// mayWaitForRoom reports whether a body may wait for room: few other connections wait, and no other response is to come
// on this one.
//
// It guards against clients that read no responses: while their responses waited for room, they would hold the
// connections to endpoints that the attempts of other clients need, and the answers behind them.
func (c *Connection) mayWaitForRoom(share *request.Share) bool {
	if share == nil { // the room is not limited by what one client holds
		return true
	}
	open, _ := c.load()
	return open <= 1 && c.pool.waitingForRoom.Load() <= c.pool.Admission.MaxWaitingEndpointConns()
}

// passedDeadlineCode returns the end code for an expired read deadline. The deadline applied either to the rest of a
// response or to any input.
func passedDeadlineCode(conn *netconn.Conn) netconn.EndCode {
	if conn.FrameStart().IsZero() {
		return netconn.Unresponsive
	}
	return netconn.StalledResponse
}

// readLineEnd reads the line end after a body.
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

// openAttempt returns the open attempt with the given id that a response starting at responseOffset in the input can
// belong to, or nil if there is none.
func (c *Connection) openAttempt(id string, responseOffset int64) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[id]; a.canReceiveResponse(responseOffset) {
		return a
	}
	return nil
}

// canReceiveResponse reports whether a response starting at responseOffset in the input can belong to the attempt. The
// caller must hold the connection's lock.
//
// It guards against a stray response that ends an attempt which is still queued: the attempt would be written after its
// end and run concurrently with the next attempt or after the request's final response (rule 2). Input that arrived
// before writing started does not belong to the attempt, even if it is parsed later.
func (a *Attempt) canReceiveResponse(responseOffset int64) bool {
	return a != nil && a.written && responseOffset >= a.inputOffset
}

// endByResponse ends an attempt, unless it was cancelled while its response was being read.
func (c *Connection) endByResponse(a *Attempt, response cacheproto.Response, responseOffset int64) {
	if a == nil {
		return
	}
	if !c.removeOpenAttempt(a, responseOffset) {
		response.Body.Free()
		return
	}
	end := response.AttemptEnd
	end.BodyDropped = response.Body == nil && response.BodyBytes > 0 && a.wantsBody(response)
	if response.IsProbeReply != a.isHealthCheck || !a.etagMatches(response) { // the response does not fit the attempt
		response.Body.Free()
		end = request.AttemptEnd{Result: routing.ServerError}
	}
	c.reportEnd(a, end)
}

// etagMatches reports whether a "not modified" response carries the ETag of the requester's copy. It is true for all
// other responses.
func (a *Attempt) etagMatches(response cacheproto.Response) bool {
	if !response.NotModified {
		return true
	}
	return a.request != nil && a.request.ETag != "" && response.ETag == a.request.ETag
}

// removeOpenAttempt removes an attempt from the connection when its response has been read. It returns false if the
// attempt is no longer open or is queued to be written again.
func (c *Connection) removeOpenAttempt(a *Attempt, responseOffset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[a.id] != a || !a.canReceiveResponse(responseOffset) {
		return false
	}
	delete(c.attempts, a.id)
	c.lastUsed = clock.Now()
	c.closeIfDoneLocked()
	return true
}
