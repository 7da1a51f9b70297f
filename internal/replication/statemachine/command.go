package statemachine

import (
	"errors"
	"fmt"
	"hash/fnv"

	"cairnfront/internal/cborcodec"
)

// Errors of commands and snapshots.
var (
	ErrInvalid      = errors.New("invalid command or snapshot")
	ErrNewerVersion = errors.New("snapshot was written by a newer version")
)

// Op is what a command does. Its numbers are part of the format on disk and on the wire.
type Op uint8

// The operations.
const (
	OpReserve     Op = iota + 1 // records an attempt location, unless there is one in another group
	OpSettle                    // records how a reserved request ended
	OpPut                       // writes a reservation of any other kind over an older one
	OpAdvanceTime               // moves the state's time on, nothing else
)

// maxLifetimeSeconds bounds a command's lifetime.
const maxLifetimeSeconds = 1e9

// Command is one entry of a shard's log.
type Command struct {
	Op              Op      `cbor:"1,keyasint"`
	Now             float64 `cbor:"2,keyasint"` // the leader's Unix time in seconds
	Kind            Kind    `cbor:"3,keyasint,omitempty"`
	Key             string  `cbor:"4,keyasint,omitempty"`
	Group           string  `cbor:"5,keyasint,omitempty"`
	LifetimeSeconds float64 `cbor:"6,keyasint,omitempty"` // from Now
	Status          Status  `cbor:"7,keyasint,omitempty"`
	Value           []byte  `cbor:"8,keyasint,omitempty"`
	Requester       string  `cbor:"9,keyasint,omitempty"`  // the router's name
	RequestNumber   uint64  `cbor:"10,keyasint,omitempty"` // by which the requester finds the result
}

// grant identifies the reservation that a command makes or settles. A repeated command has the same
// grant.
func (c Command) grant() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", c.Requester, c.RequestNumber) // a hash takes all
	return h.Sum64()
}

// Result is what became of a command, or what a read found. The keys on the wire are those of the
// first version: Promise is the reservation, Left its remaining time.
type Result struct {
	Granted     bool        `cbor:"Granted"` // the reservation was written, or was found by a read
	Reservation Reservation `cbor:"Promise"` // as it stands now
	// RemainingSeconds is what is left of the reservation's lifetime by the leader's clock. The
	// span needs no other clock.
	RemainingSeconds float64 `cbor:"Left"`
}

// Validate says what is wrong with a command before it is proposed.
func (c Command) Validate() error {
	switch {
	case c.Op == 0 || c.Op > OpAdvanceTime:
		return fmt.Errorf("%w: unknown operation %d", ErrInvalid, c.Op)
	case c.Op == OpAdvanceTime:
		return nil
	case c.Key == "" || len(c.Key) > MaxKeyBytes:
		return fmt.Errorf("%w: key of %d bytes, 1 to %d are allowed", ErrInvalid, len(c.Key), MaxKeyBytes)
	case len(c.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of %d bytes, %d are allowed", ErrInvalid, len(c.Value), MaxValueBytes)
	case len(c.Group) > MaxKeyBytes:
		return fmt.Errorf("%w: group of %d bytes, %d are allowed", ErrInvalid, len(c.Group), MaxKeyBytes)
	case c.Op == OpPut && (c.Kind <= KindAttemptLocation || c.Kind >= kindEnd):
		return fmt.Errorf("%w: put of kind %s", ErrInvalid, c.Kind)
	case !(c.LifetimeSeconds >= 0 && c.LifetimeSeconds <= maxLifetimeSeconds): // also refuses NaN
		return fmt.Errorf("%w: lifetime of %g s", ErrInvalid, c.LifetimeSeconds)
	case c.Op == OpSettle && c.Status != StatusCompleted && c.Status != StatusNotExecuted:
		return fmt.Errorf("%w: settle with status %d", ErrInvalid, c.Status)
	}
	return nil
}

// maxEntries is how many reservations a snapshot may hold.
const maxEntries = 1 << 24

var encoding, decoding = cborcodec.NewModes(maxEntries)

// Encode validates a command and writes it.
func (c Command) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return encoding.Marshal(c)
}

// Decode reads and validates a command. Fields of later versions are skipped.
func Decode(encoded []byte) (Command, error) {
	var c Command
	if err := decoding.Unmarshal(encoded, &c); err != nil {
		return c, fmt.Errorf("%w: decode command: %w", ErrInvalid, err)
	}
	return c, c.Validate()
}
