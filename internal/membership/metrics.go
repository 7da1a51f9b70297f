package membership

import (
	"errors"

	"cairnfront/internal/membership/datagram"
)

// The names of the counters, which docs/operate/peers.md describes.
const (
	counterAttemptsDropped   = "peers.ends-untold"
	counterReceiveOverLimit  = "peers.in.over"
	counterReceiveQueueFull  = "peers.in.full"
	counterSendOverLimit     = "peers.out.over"
	counterRefusedPrefix     = "peers.refused."
	counterPartsRefused      = "peers.refused.part"
	counterStatePrefix       = "peers.became."
	counterPartitionPrefix   = "peers.standing."
	counterDoubts            = "peers.doubts"
	counterOwnObservations   = "peers.rumours.own"
	counterNameConflicts     = "peers.yielded"
	counterPanics            = "panics"
	refusalReasonUnspecified = "other"
)

var refusalReasons = []struct {
	err  error
	name string
}{
	{datagram.ErrMalformed, "shape"},
	{datagram.ErrUnsupportedVersion, "version"},
	{datagram.ErrUnknownMember, "name"},
	{datagram.ErrWrongRecipient, "not-me"},
	{datagram.ErrBadSignature, "signature"},
	{datagram.ErrReplayed, "replay"},
	{datagram.ErrStaleIncarnation, "old-life"},
}

// refusalReason names why a datagram was refused, for its counter.
func refusalReason(err error) string {
	for _, reason := range refusalReasons {
		if errors.Is(err, reason.err) {
			return reason.name
		}
	}
	return refusalReasonUnspecified
}

// traffic counts datagrams and their bytes.
type traffic struct{ bytes, datagrams int64 }

func (t *traffic) add(bytes int) {
	t.bytes += int64(bytes)
	t.datagrams++
}
