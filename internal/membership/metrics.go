package membership

import (
	"errors"

	"cairnfront/internal/membership/datagram"
)

// refusalReasonUnspecified is the reason of refusals that refusalReasons does not list.
const refusalReasonUnspecified = "other"

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
