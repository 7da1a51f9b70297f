package membership

import (
	"errors"

	"cairnfront/internal/membership/datagram"
)

// refusalReason is the reason for which a datagram was refused. Its text is a label of the counter of refused
// datagrams.
type refusalReason uint8

const (
	refusedOther refusalReason = iota // an error that is not in refusalReasons
	refusedMalformed
	refusedUnsupportedVersion
	refusedUnknownMember
	refusedWrongRecipient
	refusedBadSignature
	refusedReplayed
	refusedStaleIncarnation
)

var refusalReasons = [...]struct {
	err  error
	text string
}{
	refusedOther:              {nil, "other"},
	refusedMalformed:          {datagram.ErrMalformed, "malformed"},
	refusedUnsupportedVersion: {datagram.ErrUnsupportedVersion, "unsupported_version"},
	refusedUnknownMember:      {datagram.ErrUnknownMember, "unknown_member"},
	refusedWrongRecipient:     {datagram.ErrWrongRecipient, "wrong_recipient"},
	refusedBadSignature:       {datagram.ErrBadSignature, "bad_signature"},
	refusedReplayed:           {datagram.ErrReplayed, "replayed"},
	refusedStaleIncarnation:   {datagram.ErrStaleIncarnation, "stale_incarnation"},
}

// String returns the reason's label.
func (r refusalReason) String() string { return refusalReasons[r].text }

// classifyRefusal returns the refusal reason for an error from decoding a datagram.
func classifyRefusal(err error) refusalReason {
	for reason := refusedMalformed; int(reason) < len(refusalReasons); reason++ {
		if errors.Is(err, refusalReasons[reason].err) {
			return reason
		}
	}
	return refusedOther
}

// traffic counts datagrams and their bytes.
type traffic struct{ bytes, datagrams int64 }

func (t *traffic) add(bytes int) {
	t.bytes += int64(bytes)
	t.datagrams++
}
