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
	acceptRetryDelay    = 10 * time.Millisecond // after an accept that failed for want of descriptors
	acceptRetriesAtOnce = 16                    // accepts in series that may fail otherwise before there is a delay too
	backlogAcceptWait   = time.Millisecond      // for one more accept before the listener closes

	// refusedReadTimeout is how long requests are read, and rejected, on a connection that is not admitted.
	refusedReadTimeout = 100 * time.Millisecond
)

// acceptFailed handles an error after which the listener goes on: the process is out of descriptors or memory, or the
// connection ended before the accept. Only the first kind is waited for, or a series of failures.
func (s *Server) acceptFailed(ctx context.Context, err error, inSeries int) {
	if inSeries == 1 {
		s.Metrics.Log.Warn("accept failed", "error", err.Error())
	}
	descriptorShortage := netconn.IsDescriptorShortage(err)
	if descriptorShortage {
		s.evict(clock.Now())
	}
	if acceptAgainAtOnce(descriptorShortage, inSeries) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(acceptRetryDelay):
	}
}

// acceptAgainAtOnce reports whether the next accept follows a failed one without a delay.
//
// It guards against a loop of failing accepts that takes a core. A shortage of descriptors lasts until a connection has
// ended; another failure is that of one connection in the backlog, unless many come in series.
func acceptAgainAtOnce(descriptorShortage bool, inSeries int) bool {
	return !descriptorShortage && inSeries <= acceptRetriesAtOnce
}

// admitConn starts to serve an accepted connection. Over the limit of connections it takes the place of an idle one.
// Where there is none, the client gets an error frame; far past the limit the connection is closed at once.
func (s *Server) admitConn(ctx context.Context, g *errgroup.Group, raw net.Conn) {
	decision := s.Admission.AdmitClient()
	if decision == admission.ClientDropped {
		_ = raw.Close() // nothing was written that could be lost
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

// rejectRequests reads frames of a connection that is not admitted, for a short time, and rejects each request: what
// was read has to be answered before the connection is closed.
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
