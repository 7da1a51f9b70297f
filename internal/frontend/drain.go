package frontend

import (
	"context"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
)

// drainPollInterval is the time between two searches for connections that can be closed.
const drainPollInterval = 10 * time.Millisecond

// At the end of the process, large bodies are written for outputShare of the time that is left, and connections close
// with input unread for the last forcedCloseTime.
const (
	outputShare     = 0.33
	forcedCloseTime = 60 * time.Millisecond
)

// BeginDrain sends GOAWAY to every client. A connection that is accepted later receives it immediately.
func (s *Server) BeginDrain() {
	s.Admission.StartDraining()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.finalGoAwaySent.Load() {
			c.sendGoAway()
		}
	}
}

// FinishDrain accepts the connections in the listener's backlog, closes the listener, and closes each connection once
// it has no open request and all of its input is read. It must be called after BeginDrain. It returns when all
// connections have ended or the context is done.
func (s *Server) FinishDrain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		listenerClosed := s.closeIdleConns()
		if !listenerClosed {
			s.limitAcceptWait()
		} else if s.Admission.OpenClients() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// BeginEnd rejects the requests that were not handed over, and makes the responses fail that are not sent soon. It must
// be called after admission.Controller.StartEnding, and before FinishDrain, which closes the connections by deadline.
func (s *Server) BeginEnd(deadline time.Time) {
	now := clock.Now()
	left := clock.At(deadline).Sub(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forceCloseAt = clock.At(deadline).Add(-forcedCloseTime)
	for c := range s.conns {
		c.writer.limitOutput(now.Add(time.Duration(outputShare * float64(left))))
		c.writer.rejectDeferred(request.ReasonShutdown, func(*request.Request) bool { return true })
	}
}

// closeIdleConns requests the close of each connection without open requests and unwritten output. At the end of the
// process it also requests the close of busy ones. A connection that already has an end code is skipped. It reports
// whether the listener is closed.
func (s *Server) closeIdleConns() (listenerClosed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	ending := s.Admission.Ending()
	for c := range s.conns {
		if (ending || !c.writer.busy()) && c.EndCode() == netconn.NoEndCode {
			c.requestShutdown(ending && now >= s.forceCloseAt, now)
		}
	}
	return s.listenerClosed
}

// requestShutdown asks the reader to close the connection because the process drains or ends. If ignoreInput is set,
// the reader does not read the client's input before.
func (c *clientConn) requestShutdown(ignoreInput bool, now clock.Instant) {
	if ignoreInput {
		c.inputIgnored.Store(true)
		c.CloseBeforeNextRead()
	}
	c.requestClose(netconn.Shutdown, now)
}

// limitAcceptWait sets a deadline that makes an accept on an empty backlog return soon.
func (s *Server) limitAcceptWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ln, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		// SetDeadline fails on a closed listener, whose Accept returns anyway.
		_ = ln.SetDeadline(time.Now().Add(backlogAcceptTimeout))
	}
}

// sendGoAway asks the client to send no new requests on the connection.
func (c *clientConn) sendGoAway() {
	c.writer.sendControl(clientproto.AppendHeader(nil, clientproto.TypeGoAway, 0, 0))
}

// sendFinalGoAway sends GOAWAY unless an earlier call has sent it. It is called for a connection that is accepted
// during the drain, and after each request that is handled during the drain, which the client may have sent before it
// received the GOAWAY of BeginDrain.
func (c *clientConn) sendFinalGoAway() {
	if c.finalGoAwaySent.CompareAndSwap(false, true) {
		c.sendGoAway()
	}
}
