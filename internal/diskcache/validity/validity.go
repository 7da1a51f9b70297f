// Package validity decides whether a cached copy may be served. It tracks the purges announced by the discovery service
// and whether any of them may have been missed.
//
// The package owns the set of known purges, the position in the event stream and the validation epoch. It does no I/O
// and reads no clock: the caller passes the time, writes the returned records in order, and passes them to
// [Tracker.Restore] after a restart.
//
// Continuity of the event stream is verified after each reconnect: the tracker requests the last applied event again.
// The same number with the same checksum shows that the stream continues from there. Another event with that number, a
// gap in the numbers, or silence means that purges may have been missed. Copies from before that time are then served
// only after the upstream has confirmed them.
package validity

// Verdict is the decision whether a cached copy may be served.
type Verdict int

// Verdicts on a cached copy.
const (
	Valid       Verdict = iota // the copy may be served
	Unconfirmed                // the copy may be served only after the upstream has confirmed its entity tag
	Invalidated                // the copy was purged and must not be served
)

func (v Verdict) String() string { return [...]string{"valid", "unconfirmed", "invalidated"}[v] }

// UnknownGroup is the group of a copy if the upstream did not specify one. A purge of any group applies to it.
const UnknownGroup = 0xffff

// Copy describes a cached copy for Tracker.Evaluate. The disk cache does not record the epoch of delivery:
// ConfirmedEpoch of a copy read from the disk is 0 if the upstream has not confirmed that copy since the start.
type Copy struct {
	Object         uint64
	Group          uint16
	IssuedAt       int64  // Unix ms at which the origin issued the copy
	Seq            uint64 // sequence number on the disk, 0 for a copy in memory
	ConfirmedEpoch uint16 // epoch in which the upstream delivered or last confirmed the copy, see Tracker.Epoch
}

// Event is one event of the discovery service's event stream.
type Event struct {
	Number    uint64
	Checksum  uint32 // checksum of the encoded event as received
	Heartbeat bool   // no new event; the receiver has caught up with the stream
	Purge     bool   // the event is a purge of Object or Group
	ByGroup   bool   // the purge applies to Group instead of Object
	Object    uint64
	Group     uint16
	PurgedAt  int64 // Unix ms
}

// Status describes the state of a Tracker for operators.
type Status struct {
	Number         uint64 // number of the last applied event
	UpToDate       bool   // no purge can have been missed
	Continuous     bool   // the event stream is verified to continue from Number
	SuspectUpTo    uint64 // highest sequence number of copies that need confirmation by the upstream
	PurgeFloor     int64  // Unix ms up to which purges may have been discarded
	Purges         int    // number of remembered purges
	ClockHighWater int64  // Unix ms, the latest time ever seen
}
