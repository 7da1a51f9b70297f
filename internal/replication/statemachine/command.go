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

// Op is the operation of a command. The numbers are part of the format on disk and on the wire.
type Op uint8

// The operations.
const (
	OpReserve     Op = iota + 1 // records an attempt location, unless an existing one blocks it (Reservation.blocks)
	OpSettle                    // records the outcome of a reserved request
	OpPut                       // writes a reservation of another kind, replacing an existing one
	OpAdvanceTime               // advances the state's time and does nothing else
)

// maxLifetimeSeconds is the maximum lifetime in a command.
const maxLifetimeSeconds = 1e9

// Command is an entry of a shard's log.
type Command struct {
	Op              Op      `cbor:"1,keyasint"`
	Now             float64 `cbor:"2,keyasint"` // Unix time in seconds, set by the leader
	Kind            Kind    `cbor:"3,keyasint,omitempty"`
	Key             string  `cbor:"4,keyasint,omitempty"`
	Group           string  `cbor:"5,keyasint,omitempty"`
	LifetimeSeconds float64 `cbor:"6,keyasint,omitempty"` // counted from Now
	Status          Status  `cbor:"7,keyasint,omitempty"`
	Value           []byte  `cbor:"8,keyasint,omitempty"`
	Requester       string  `cbor:"9,keyasint,omitempty"`  // name of the router
	RequestNumber   uint64  `cbor:"10,keyasint,omitempty"` // matches the result to the request
}

// grant returns an identifier of the reservation that a command makes or settles. Repetitions of a
// command have the same grant.
func (c Command) grant() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", c.Requester, c.RequestNumber) // writes to a hash never fail
	return h.Sum64()
}

// Result is the result of a command or read. Its keys on the wire keep the names of the first
// version: Promise is the reservation, Left its remaining time.
type Result struct {
	Granted     bool        `cbor:"Granted"` // the reservation was written, or a read found it
	Reservation Reservation `cbor:"Promise"` // current state of the reservation
	// RemainingSeconds is the rest of the reservation's lifetime by the leader's clock. As a
	// duration it does not depend on the receiver's clock.
	RemainingSeconds float64 `cbor:"Left"`
}

// Validate returns an error if a command is invalid. It must be called before the command is
// proposed.
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
	case !(c.LifetimeSeconds >= 0 && c.LifetimeSeconds <= maxLifetimeSeconds): // also rejects NaN
		return fmt.Errorf("%w: lifetime of %g s", ErrInvalid, c.LifetimeSeconds)
	case c.Op == OpSettle && c.Status != StatusCompleted && c.Status != StatusNotExecuted:
		return fmt.Errorf("%w: settle with status %d", ErrInvalid, c.Status)
	}
	return nil
}

// maxEntries is the maximum number of reservations in a snapshot.
const maxEntries = 1 << 24

var encoding, decoding = cborcodec.NewModes(maxEntries)

// Encode validates and encodes a command.
func (c Command) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return encoding.Marshal(c)
}

// Decode decodes and validates a command. Fields of later versions are skipped.
func Decode(encoded []byte) (Command, error) {
	var c Command
	if err := decoding.Unmarshal(encoded, &c); err != nil {
		return c, fmt.Errorf("%w: decode command: %w", ErrInvalid, err)
	}
	return c, c.Validate()
}
