package discovery

import (
	"errors"
	"fmt"

	"cairnfront/internal/telemetry"
)

// ErrRevisionGap ends a connection whose revisions do not follow on from those that the client has.
var ErrRevisionGap = errors.New("revision gap")

// revisionOrder says how an event's revision lies to the last one that was handed on.
type revisionOrder int

const (
	revisionRepeated revisionOrder = iota // it was handed on before
	revisionNext                          // it follows
	revisionAhead                         // some between them have not come
)

// orderOf returns how a revision lies to the last one.
func orderOf(revision, last uint64) revisionOrder {
	switch {
	case revision <= last:
		return revisionRepeated
	case revision == last+1:
		return revisionNext
	}
	return revisionAhead
}

// acceptInOrder hands on an event that follows the last one, and passes over one that was handed on before. A revision
// that skips some ends the connection once, so that the service is asked again after the last revision. If the same
// revision then comes again, the service holds nothing between, and the event is accepted.
//
// It guards against lost events, above all a drain or a purge: attempts would go to an endpoint that ends, or purged
// copies be answered, with nothing in the log. It shows as a connection that ends with netconn.SequenceGap.
func (c *Client) acceptInOrder(ev Event) error {
	switch orderOf(ev.Revision, c.LastRevision) {
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

// checkHeartbeat compares the heartbeat's revision, that of the service's last event, with the last one received. An
// event that was lost or is held back on this connection is asked for once on another: on a connection that brings
// heartbeats and no events a drain would never be heard of.
func (c *Client) checkHeartbeat(revision uint64) error {
	if orderOf(revision, c.LastRevision) == revisionRepeated {
		return nil
	}
	return c.reportGapOnce(revision)
}

// reportGapOnce returns an error the first time that this revision is seen after a gap.
func (c *Client) reportGapOnce(revision uint64) error {
	if c.gapRevision == revision {
		return nil
	}
	c.gapRevision = revision
	return fmt.Errorf("%w: revision %d came after %d", ErrRevisionGap, revision, c.LastRevision)
}
