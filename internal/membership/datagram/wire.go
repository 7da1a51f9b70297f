package datagram

import (
	"crypto/ed25519"
	"errors"

	"cairnfront/internal/cborcodec"
	"cairnfront/internal/membership/swim"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the envelope. Datagrams of other versions are refused; additions to this version use new
// keys.
const Version = 1

// MaxSize is the maximum size of a datagram in bytes. It fits an Ethernet frame with any headers.
const MaxSize = 1400

// Limits of the contents of a datagram, in bytes unless noted.
const (
	maxNameBytes    = 32
	maxAddressBytes = 64
	maxSignedBytes  = 400 // a record, accusation or observation including its signature
	maxListLength   = 32  // number of records, accusations, entries or observations
	signatureSize   = ed25519.SignatureSize
)

// Each signed message begins with its purpose, so that a signature for one purpose is invalid for another. The
// purposes are part of the wire format: "claim" is a record, "charge" an accusation, "rumour" an observation.
const (
	purposeDatagram    = "cairnfront peers 1 datagram\x00"
	purposeRecord      = "cairnfront peers 1 claim\x00"
	purposeAccusation  = "cairnfront peers 1 charge\x00"
	purposeProof       = "cairnfront peers 1 proof\x00"
	purposeObservation = "cairnfront peers 1 rumour\x00"
)

// Reasons for refusing a datagram.
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

// payload is a message in which members are identified by their names instead of their roster indexes.
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

// withinBounds reports whether the lengths of the lists are within the limits of this protocol.
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
