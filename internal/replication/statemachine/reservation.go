package statemachine

import "fmt"

// Kind is the type of a reservation.
type Kind uint8

// The kinds of reservations. Their numbers are part of the format on disk and on the wire.
const (
	KindAttemptLocation Kind = iota + 1 // the group in which attempts of an idempotency-keyed request may have run
	KindRequestOutcome                  // outcome of a caller's request
	KindPurge                           // a purge that was acknowledged to an operator
	KindDrain                           // a drain that was acknowledged to an operator
	KindReturnTime                      // a Retry-After time given to a client, with capacity reserved for its retry
	KindOperatorOrder                   // an operator's command to all routers
	kindEnd
)

var kindNames = [...]string{
	KindAttemptLocation: "attempt-location",
	KindRequestOutcome:  "request-outcome",
	KindPurge:           "purge",
	KindDrain:           "drain",
	KindReturnTime:      "return-time",
	KindOperatorOrder:   "operator-order",
}

// String returns the kind's name for error messages.
func (k Kind) String() string {
	if k == 0 || k >= kindEnd {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return kindNames[k]
}

// Status is the state of a keyed request's attempts.
type Status uint8

// The statuses of an attempt location. Their numbers are part of the format on disk and on the wire.
const (
	StatusOpen        Status = iota // an attempt may have run
	StatusCompleted                 // an attempt ran and was answered
	StatusNotExecuted               // no attempt ran: the key may be reserved for another group
)

const (
	// ClockSkewSeconds is the maximum difference between two routers' clocks. A reservation that is
	// not an attempt location is retained that much longer than its expiry time, by the time that the
	// current leader sets in its commands. Each clock must be correct to within half of it, because
	// two clocks may be off in opposite directions; this package does not check it.
	ClockSkewSeconds = 4.0
	// RetentionSeconds is how long an attempt location is retained after its window. If a client
	// retries in that time, its request must not run a second time, although the group no longer
	// drops repeats. Clients stop retrying a keyed request long before the end of that time.
	RetentionSeconds = 60.0
	// WindowMarginSeconds is the last part of a window, in which no further attempt is granted for
	// its group. It covers the time to reach an endpoint and the difference in the clocks' rates.
	WindowMarginSeconds = 0.5
	// MaxValueBytes is the maximum size of a reservation's value.
	MaxValueBytes = 1024
	// MaxKeyBytes is the maximum size of a key and of a group's name. A client's idempotency key has
	// 32 bytes.
	MaxKeyBytes = 128
	// maxGrants is the maximum number of grants of one key that are tracked individually. Several
	// grants result from retries of a client at several routers.
	maxGrants = 8
)

// Reservation is an entry of the state. It takes about 200 bytes including its node in the B-tree.
type Reservation struct {
	Kind Kind   `cbor:"1,keyasint"`
	Key  string `cbor:"2,keyasint"`
	// Group is the group of endpoints in which an attempt may have run, for an attempt location.
	Group string `cbor:"3,keyasint,omitempty"`
	// CreatedAt is the creation time in Unix seconds by the leader's clock. The window of an attempt
	// location starts at this time.
	CreatedAt float64 `cbor:"4,keyasint,omitempty"`
	ExpiresAt float64 `cbor:"5,keyasint"` // in Unix seconds
	Status    Status  `cbor:"6,keyasint,omitempty"`
	Value     []byte  `cbor:"7,keyasint,omitempty"`
	Revision  uint64  `cbor:"8,keyasint"` // log index of the command that wrote it
	// Grants has a hash of requester and number for each request that was granted the open attempt
	// location and whose attempt may have run. The location becomes not executed only when each of
	// these requests was settled as not executed. Above maxGrants they are not tracked individually:
	// GrantsOverflowed is set, and the location stays open until it expires.
	Grants           []uint64 `cbor:"9,keyasint,omitempty"`
	GrantsOverflowed bool     `cbor:"10,keyasint,omitempty"`
}

// removeAt returns the Unix time in seconds after which the reservation is removed.
func (r *Reservation) removeAt() float64 {
	if r.Kind == KindAttemptLocation {
		return r.ExpiresAt + RetentionSeconds
	}
	return r.ExpiresAt + ClockSkewSeconds
}

// blocks reports whether an attempt location prevents its key from being reserved for a group at a
// given time.
func (r *Reservation) blocks(group string, now float64) bool {
	switch r.Status {
	case StatusCompleted:
		return true
	case StatusOpen:
		return r.Group != group || now > r.ExpiresAt-WindowMarginSeconds
	case StatusNotExecuted:
	}
	return false
}
