package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"

	"golang.org/x/sync/errgroup"
)

const (
	acceptRetryDelay          = 10 * time.Millisecond // after a lack of descriptors or memory, or many failures
	maxImmediateAcceptRetries = 16                    // consecutive failures above which any retry is delayed
	backlogAcceptTimeout      = time.Millisecond      // wait for another connection before the listener closes

	// refusedReadTimeout is how long requests are read, and rejected, on a connection that is not admitted.
	refusedReadTimeout = 100 * time.Millisecond
)

// handleAcceptError handles an accept error after which the listener continues: the process lacks descriptors or
// memory, or a connection ended before it was accepted. The retry is delayed only after an error of the first kind, or
// after many consecutive errors.
func (s *Server) handleAcceptError(ctx context.Context, err error, consecutiveFailures int) {
	if consecutiveFailures == 1 {
		s.Metrics.Log.Warn("accept failed", "error", err.Error())
	}
	descriptorShortage := netconn.IsDescriptorShortage(err)
	if descriptorShortage {
		s.evict(clock.Now())
	}
	if retryAcceptImmediately(descriptorShortage, consecutiveFailures) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(acceptRetryDelay):
	}
}

// retryAcceptImmediately reports whether a failed accept is retried without a delay.
//
// It guards against a loop of failing accepts that uses a full processor core. A shortage of descriptors lasts until a
// connection has ended; any other failure concerns a single connection in the backlog, unless many occur consecutively.
func retryAcceptImmediately(descriptorShortage bool, consecutiveFailures int) bool {
	return !descriptorShortage && consecutiveFailures <= maxImmediateAcceptRetries
}

// admitConn starts to serve an accepted connection. Over the connection limit, an idle connection is evicted for it. If
// there is none, the client receives an error frame; far over the limit the connection is closed immediately.
func (s *Server) admitConn(ctx context.Context, g *errgroup.Group, raw net.Conn) {
	decision := s.Admission.AdmitClient()
	if decision == admission.ClientDropped {
		_ = raw.Close() // nothing was written, so no output can be lost
		s.Metrics.Inc(telemetry.ConnectionsRejected.With(telemetry.SideClient))
		return
	}
	admitted := decision == admission.ClientAdmitted || s.evict(clock.Now())
	g.Go(func() error {
		defer s.Admission.ClientDone()
		s.serveConn(ctx, raw, admitted)
		return nil
	})
}

// rejectRequests reads frames of a connection that is not admitted, for a short time, and rejects each request: every
// request that was read must be answered before the connection is closed.
func (r *frameReader) rejectRequests() error {
	r.rejectAll = request.ReasonTooManyRequests
	r.conn.SetReadDeadline(time.Now().Add(refusedReadTimeout))
	err := r.readFrames()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	r.conn.SetReadDeadline(time.Time{})
	r.conn.SetEndCode(netconn.ResourceLimit, nil)
	return errTooManyConnections
}
