package frontend

import (
	"context"
	"time"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
)

// drainPollInterval is the time between two searches for connections that may end.
const drainPollInterval = 10 * time.Millisecond

// BeginDrain sends GOAWAY to every client. A connection that is accepted from now on gets it at once.
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

// FinishDrain accepts what is in the listener's backlog, closes the listener, and closes each connection once nothing
// is open on it and its client's input is read. It is called after BeginDrain, and returns when all connections have
// ended, or with the context.
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

// closeIdleConns requests the close of each connection on which nothing is open. A connection that is ending already
// keeps its code. It reports whether the listener is closed.
func (s *Server) closeIdleConns() (listenerClosed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	ending := s.Admission.Ending()
	for c := range s.conns {
		if (ending || !c.writer.busy()) && c.EndCode() == netconn.NoEndCode {
			c.requestEnd(ending, now)
		}
	}
	return s.listenerClosed
}

// requestEnd asks the reader to close the connection because the process is about to end, or ends: then it is not
// waited for what the client still sends.
func (c *clientConn) requestEnd(ending bool, now clock.Instant) {
	if ending {
		c.ReadNoMore()
	}
	c.requestClose(netconn.Shutdown, now)
}

// limitAcceptWait makes an accept that finds an empty backlog return soon.
func (s *Server) limitAcceptWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ln, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		// A listener that is closed already fails here, and its Accept ends too.
		_ = ln.SetDeadline(time.Now().Add(backlogAcceptWait))
	}
}

// sendGoAway tells the client to send no new requests on the connection.
func (c *clientConn) sendGoAway() {
	c.writer.sendControl(clientproto.AppendHeader(nil, clientproto.TypeGoAway, 0, 0))
}

// sendFinalGoAway sends GOAWAY unless a call before has.
func (c *clientConn) sendFinalGoAway() {
	if c.finalGoAwaySent.CompareAndSwap(false, true) {
		c.sendGoAway()
	}
}
