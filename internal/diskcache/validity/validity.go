// Package validity decides whether a cached copy may be served. It tracks the purges announced by the discovery service
// and whether any of them may have been missed.
//
// The package owns the memory of purges, the position in the event stream and the validation epoch. It does no I/O and
// has no clock: the caller passes the time in, writes the records that come out in their order, and hands them back to
// [Tracker.Restore] after a restart.
//
// Continuity with the event stream is verified, not assumed. After a reconnect the tracker asks for the last event that
// it applied once more. The same number with the same checksum shows that the stream continues where it stopped.
// Another event under that number, a gap or silence means that purges may have been missed: copies of that time are
// then served only after their source has confirmed them.
package validity

// Verdict says how a cached copy may be used.
type Verdict int

// The verdicts on a copy.
const (
	Valid       Verdict = iota // may be served
	Unconfirmed                // may be served once its source has confirmed its tag
	Invalidated                // purged, must not be served
)

func (v Verdict) String() string { return [...]string{"valid", "unconfirmed", "invalidated"}[v] }

// UnknownGroup is the group of a copy whose source did not name one. A purge of any group applies to it.
const UnknownGroup = 0xffff

// Copy describes a cached copy that is to be evaluated.
type Copy struct {
	Object         uint64
	Group          uint16
	IssuedAt       int64  // Unix ms at which the origin issued the copy
	Seq            uint64 // sequence number on the disk, 0 for a copy in memory
	ConfirmedEpoch uint16 // epoch in which the source delivered or last confirmed the copy, see Tracker.Epoch
}

// Event is one event of the discovery service's stream.
type Event struct {
	Number    uint64
	Checksum  uint32 // of the event as received
	Heartbeat bool   // nothing new; the receiver has caught up
	Purge     bool
	ByGroup   bool // a purge of Group instead of Object
	Object    uint64
	Group     uint16
	PurgedAt  int64 // Unix ms
}

// Status describes a tracker for operators.
type Status struct {
	Number         uint64 // of the last event applied
	UpToDate       bool   // no purge can have been missed
	Continuous     bool   // the connection is known to continue from Number
	SuspectUpTo    uint64 // highest sequence number of copies that need a confirmation
	PurgeFloor     int64  // Unix ms up to which purges were forgotten
	Purges         int    // remembered
	ClockHighWater int64  // Unix ms, the latest time ever seen
}
