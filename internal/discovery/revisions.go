package discovery

import (
	"errors"
	"fmt"

	"cairnfront/internal/telemetry"
)

// ErrRevisionGap closes a connection on which revisions after the last received one are missing.
var ErrRevisionGap = errors.New("revision gap")

// revisionOrder is the position of an event's revision relative to the last delivered one.
type revisionOrder int

const (
	revisionRepeated revisionOrder = iota // the event was already delivered
	revisionNext                          // the revision directly follows the last delivered one
	revisionAhead                         // events between the two revisions have not been received
)

// compareRevision returns the position of a revision relative to the last delivered one.
func compareRevision(revision, last uint64) revisionOrder {
	switch {
	case revision <= last:
		return revisionRepeated
	case revision == last+1:
		return revisionNext
	}
	return revisionAhead
}

// acceptInOrder passes the event that follows the last revision to OnEvent, and ignores an event that was already
// delivered. A gap in the revisions closes the connection once, so that the events after the last revision are
// requested again. If the same revision then arrives again, the service has no events in between, and the event is
// accepted.
//
// It guards against lost events, above all a drain or a purge: attempts would be sent to an endpoint that shuts down,
// or purged copies would be served, without any log line. A gap is logged as a connection that ends with
// netconn.SequenceGap.
func (c *Client) acceptInOrder(ev Event) error {
	switch compareRevision(ev.Revision, c.LastRevision) {
	case revisionRepeated:
		c.Telemetry.Inc(telemetry.DiscoveryEventsRepeated)
		return nil
	case revisionNext:
	case revisionAhead:
		if err := c.reportGapOnce(ev.Revision); err != nil {
			return err
		}
	}
	c.LastRevision = ev.Revision
	c.gapRevision = 0
	c.OnEvent(ev)
	return nil
}

// checkHeartbeat compares the heartbeat's revision, which is that of the service's last event, with the last received
// revision. If it is ahead, an event was lost or is delayed on this connection, and the event is requested once on a
// new connection. Otherwise a drain would never be received on a connection that delivers heartbeats but no events.
func (c *Client) checkHeartbeat(revision uint64) error {
	if compareRevision(revision, c.LastRevision) == revisionRepeated {
		return nil
	}
	return c.reportGapOnce(revision)
}

// reportGapOnce returns ErrRevisionGap the first time that this revision is received after a gap, and nil after that.
func (c *Client) reportGapOnce(revision uint64) error {
	if c.gapRevision == revision {
		return nil
	}
	c.gapRevision = revision
	return fmt.Errorf("%w: revision %d came after %d", ErrRevisionGap, revision, c.LastRevision)
}
