package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"cairnfront/internal/cborcodec"
	"cairnfront/internal/replication/statemachine"
)

const (
	// MaxFrameBytes is the maximum size of a frame. It is enough for the snapshot of a shard with
	// 40,000 reservations.
	MaxFrameBytes = 8 << 20
	// lengthBytes is the size of the big-endian length that precedes a frame.
	lengthBytes = 4
	// maxFrameItems is the maximum number of items in a list or map of a frame.
	maxFrameItems = 1 << 16
)

// FrameKind is the type of a frame. The numbers are part of the wire format.
type FrameKind uint8

// The kinds of frames.
const (
	KindHello     FrameKind = iota + 1 // announces the sender's replica and its shards
	KindRaft                           // a raft message
	KindPropose                        // a command for a shard
	KindRead                           // a read of a shard
	KindResult                         // the result of a command or read
	KindNotLeader                      // the ID of the leader, in response to a command or read
	KindHeartbeat                      // keeps an idle connection open
)

// Frame is a message between two routers. Its kind determines which fields are set. Unknown fields
// are skipped.
type Frame struct {
	Kind  FrameKind `cbor:"1,keyasint"`
	Shard int       `cbor:"2,keyasint,omitempty"`
	// Payload is the raft message of KindRaft, or the command of KindPropose.
	Payload []byte `cbor:"3,keyasint,omitempty"`
	// Number identifies a command or read, and is returned with its result.
	Number uint64 `cbor:"4,keyasint,omitempty"`
	// Key and ReservationKind select the reservation of KindRead.
	Key             string               `cbor:"5,keyasint,omitempty"`
	ReservationKind statemachine.Kind    `cbor:"6,keyasint,omitempty"`
	Result          *statemachine.Result `cbor:"7,keyasint,omitempty"` // set for KindResult
	// Replica is the sender's replica ID for KindHello, 0 while its disk accepts no writes. For
	// KindNotLeader it is the leader's replica ID, 0 if unknown.
	Replica uint64 `cbor:"8,keyasint,omitempty"`
	// StartCount is the number of times the sender's log was opened, for KindHello.
	StartCount uint32 `cbor:"9,keyasint,omitempty"`
	Zone       string `cbor:"10,keyasint,omitempty"` // zone of the sender, for KindHello
	// ShardVoters lists the shards that the sender replicates, with their voters, for KindHello.
	ShardVoters map[int][]uint64 `cbor:"11,keyasint,omitempty"`
	// SeenStartCounts has the highest start count that the sender has seen of each replica, for
	// KindHello.
	SeenStartCounts map[uint64]uint32 `cbor:"12,keyasint,omitempty"`
}

// errFrameTooLong distinguishes an oversized frame from a failed connection.
var errFrameTooLong = errors.New("frame is too long")

var encoding, decoding = cborcodec.NewModes(maxFrameItems)

// encodeFrame encodes a frame, preceded by its length.
func encodeFrame(frame Frame) ([]byte, error) {
	body, err := encoding.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return nil, fmt.Errorf("encode frame: %w: %d bytes, %d are allowed", errFrameTooLong, len(body), MaxFrameBytes)
	}
	encoded := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	return append(encoded, body...), nil
}

// readFrame reads a frame that is preceded by its length.
func readFrame(r io.Reader) (Frame, error) {
	var frame Frame
	length := make([]byte, lengthBytes)
	if _, err := io.ReadFull(r, length); err != nil {
		return frame, fmt.Errorf("read frame: %w", err)
	}
	size := binary.BigEndian.Uint32(length)
	if size > MaxFrameBytes {
		return frame, fmt.Errorf("read frame: %w: %d bytes, %d are allowed", errFrameTooLong, size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return frame, fmt.Errorf("read frame: %w", err)
	}
	if err := decoding.Unmarshal(body, &frame); err != nil {
		return frame, fmt.Errorf("decode frame: %w", err)
	}
	return frame, nil
}
