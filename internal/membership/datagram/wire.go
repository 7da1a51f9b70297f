package datagram

import (
	"crypto/ed25519"
	"errors"

	"cairnfront/internal/cborcodec"
	"cairnfront/internal/membership/swim"

	"github.com/fxamacker/cbor/v2"
)

// Version is that of the envelope. Another version is refused; what is added to this one gets new keys.
const Version = 1

// MaxSize of a datagram, in bytes: with any headers it fits an Ethernet frame.
const MaxSize = 1400

// Bounds of what a datagram may hold, in bytes unless noted.
const (
	maxNameBytes    = 32
	maxAddressBytes = 64
	maxSignedBytes  = 400 // of a record, an accusation or an observation with its signature
	maxListLength   = 32  // records, accusations, entries or observations
	signatureSize   = ed25519.SignatureSize
)

// What is signed begins with its purpose, so that a signature for one purpose does not hold for another. The texts
// are part of the wire format: "claim" is a record, "charge" an accusation, "rumour" an observation.
const (
	purposeDatagram    = "cairnfront peers 1 datagram\x00"
	purposeRecord      = "cairnfront peers 1 claim\x00"
	purposeAccusation  = "cairnfront peers 1 charge\x00"
	purposeProof       = "cairnfront peers 1 proof\x00"
	purposeObservation = "cairnfront peers 1 rumour\x00"
)

// Why a datagram is refused.
var (
	ErrMalformed          = errors.New("datagram: malformed")
	ErrUnsupportedVersion = errors.New("datagram: unsupported version")
	ErrUnknownMember      = errors.New("datagram: names a member that is not in the roster")
	ErrWrongRecipient     = errors.New("datagram: addressed to another member")
	ErrBadSignature       = errors.New("datagram: signature does not verify")
	ErrReplayed           = errors.New("datagram: counter already seen")
	ErrStaleIncarnation   = errors.New("datagram: from an earlier start of its sender")
)

const maxNestedElements = 64

var encMode, decMode = cborcodec.NewModes(maxNestedElements)

// envelope is the signed part of a datagram.
type envelope struct {
	Version     uint            `cbor:"1,keyasint"`
	From        string          `cbor:"2,keyasint"`
	To          string          `cbor:"3,keyasint"`
	StartMillis uint64          `cbor:"4,keyasint"`
	Counter     uint64          `cbor:"5,keyasint"`
	Payload     cbor.RawMessage `cbor:"6,keyasint"`
}

// payload is the message with the names of members in place of their places in the roster.
type payload struct {
	Kind         swim.MessageKind `cbor:"1,keyasint"`
	Nonce        uint64           `cbor:"2,keyasint,omitempty"`
	Requester    string           `cbor:"3,keyasint,omitempty"`
	Target       string           `cbor:"4,keyasint,omitempty"`
	Proof        []byte           `cbor:"5,keyasint,omitempty"`
	ViewHash     uint64           `cbor:"6,keyasint,omitempty"`
	Records      [][]byte         `cbor:"7,keyasint,omitempty"`
	Accusations  [][]byte         `cbor:"8,keyasint,omitempty"`
	Entries      []wireEntry      `cbor:"9,keyasint,omitempty"`
	Observations [][]byte         `cbor:"10,keyasint,omitempty"`
}

// withinBounds reports whether the lists have lengths that this protocol allows.
func (p *payload) withinBounds() bool {
	return max(len(p.Records), len(p.Accusations), len(p.Entries), len(p.Observations)) <= maxListLength
}

type wireEntry struct {
	Member      string     `cbor:"1,keyasint"`
	StartMillis uint64     `cbor:"2,keyasint,omitempty"`
	Refutations uint32     `cbor:"3,keyasint,omitempty"`
	State       swim.State `cbor:"4,keyasint,omitempty"`
}

type wireRecord struct {
	Member      string     `cbor:"1,keyasint"`
	StartMillis uint64     `cbor:"2,keyasint"`
	Refutations uint32     `cbor:"3,keyasint,omitempty"`
	InstanceID  uint64     `cbor:"4,keyasint"`
	State       swim.State `cbor:"5,keyasint"`
	Address     string     `cbor:"6,keyasint"`
	Zone        string     `cbor:"7,keyasint,omitempty"`
}

type wireAccusation struct {
	Accuser     string `cbor:"1,keyasint"`
	Member      string `cbor:"2,keyasint"`
	StartMillis uint64 `cbor:"3,keyasint"`
	Refutations uint32 `cbor:"4,keyasint,omitempty"`
}

type wireObservation struct {
	Witness     string `cbor:"1,keyasint"`
	StartMillis uint64 `cbor:"2,keyasint"`
	Sequence    uint32 `cbor:"3,keyasint"`
	Endpoint    string `cbor:"4,keyasint"`
	Health      uint8  `cbor:"5,keyasint"`
	Zone        string `cbor:"6,keyasint,omitempty"`
}
