package statemachine

import "fmt"

// Kind is what a reservation is about.
type Kind uint8

// The kinds of reservations. Their numbers are part of the format on disk and on the wire.
const (
	KindAttemptLocation Kind = iota + 1 // where attempts of an idempotency-keyed request may have run
	KindRequestOutcome                  // how a caller's request ended
	KindPurge                           // a purge that was acknowledged to an operator
	KindDrain                           // a drain that was acknowledged to an operator
	KindReturnTime                      // a time to retry after that a client was given, with capacity reserved for it
	KindOperatorOrder                   // an operator's order to all routers
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

// String names the kind in error texts.
func (k Kind) String() string {
	if k == 0 || k >= kindEnd {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return kindNames[k]
}

// Status is what is known of a keyed request's attempts.
type Status uint8

// The statuses of an attempt location. Their numbers are part of the format on disk and on the wire.
const (
	StatusOpen        Status = iota // an attempt may have run
	StatusCompleted                 // an attempt ran, and its answer was given
	StatusNotExecuted               // no attempt ran: another group may be reserved
)

const (
	// ClockSkewSeconds is how far two routers' clocks may be apart. A reservation lasts that much
	// longer than it says, by the clock of whoever leads. Clocks are held to half of it, so that
	// two of them may be off in either direction.
	ClockSkewSeconds = 4.0
	// RetentionSeconds is for how long an attempt location stays after its window. A client that
	// retries then must not have its request run a second time, though its group no longer drops
	// repeats. Clients give up a keyed request long before.
	RetentionSeconds = 60.0
	// WindowMarginSeconds is the end of a window in which nothing more is let into its group. It
	// covers the way to an endpoint and the difference in the clocks' rates.
	WindowMarginSeconds = 0.5
	// MaxValueBytes bounds a reservation's value.
	MaxValueBytes = 1024
	// MaxKeyBytes bounds a key and a group's name. A client's idempotency key has 32 bytes.
	MaxKeyBytes = 128
	// maxGrants is how many grants of one key are distinguished: retries of a client at several routers.
	maxGrants = 8
)

// Reservation is one entry of the state. It takes about 200 bytes with its place in the tree.
type Reservation struct {
	Kind Kind   `cbor:"1,keyasint"`
	Key  string `cbor:"2,keyasint"`
	// Group of an attempt location is the group of endpoints where an attempt may have run.
	Group string `cbor:"3,keyasint,omitempty"`
	// CreatedAt is in Unix seconds by the leader's clock. The window of an attempt location starts here.
	CreatedAt float64 `cbor:"4,keyasint,omitempty"`
	ExpiresAt float64 `cbor:"5,keyasint"` // Unix seconds
	Status    Status  `cbor:"6,keyasint,omitempty"`
	Value     []byte  `cbor:"7,keyasint,omitempty"`
	Revision  uint64  `cbor:"8,keyasint"` // of the command that wrote it
	// Grants are the requests for an open attempt location on which an attempt may have run, by a
	// hash of requester and number. Only when each was settled as not executed is the location so.
	// Beyond maxGrants they are not distinguished, GrantsOverflowed is set, and the location stays
	// open until it expires.
	Grants           []uint64 `cbor:"9,keyasint,omitempty"`
	GrantsOverflowed bool     `cbor:"10,keyasint,omitempty"`
}

// removeAt is the Unix time in seconds after which the reservation is removed.
func (r *Reservation) removeAt() float64 {
	if r.Kind == KindAttemptLocation {
		return r.ExpiresAt + RetentionSeconds
	}
	return r.ExpiresAt + ClockSkewSeconds
}

// blocks says that an attempt location keeps a group from being reserved at a time.
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
