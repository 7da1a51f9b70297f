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
	// MaxFrameBytes bounds a frame: a snapshot of a shard with 40,000 reservations.
	MaxFrameBytes = 8 << 20
	// lengthBytes is the size of a frame's length, which goes before it in big-endian order.
	lengthBytes = 4
	// maxFrameItems bounds the lists and maps of a frame.
	maxFrameItems = 1 << 16
)

// FrameKind is what a frame is for. Its numbers are part of the wire format.
type FrameKind uint8

// The kinds of frames.
const (
	KindHello     FrameKind = iota + 1 // introduces the sender's replica and the shards that it holds
	KindRaft                           // a message of raft
	KindPropose                        // a command for a shard
	KindRead                           // a read of a shard
	KindResult                         // the result of a command or read
	KindNotLeader                      // names the replica that leads
	KindHeartbeat                      // keeps an idle connection open
)

// Frame is what goes between two routers. Which fields are set depends on its kind. Fields that a
// version does not know are skipped.
type Frame struct {
	Kind  FrameKind `cbor:"1,keyasint"`
	Shard int       `cbor:"2,keyasint,omitempty"`
	// Payload is the message of a KindRaft and the command of a KindPropose.
	Payload []byte `cbor:"3,keyasint,omitempty"`
	// Number names a proposal or read and comes back with its result.
	Number uint64 `cbor:"4,keyasint,omitempty"`
	// Key and ReservationKind say what a KindRead reads.
	Key             string               `cbor:"5,keyasint,omitempty"`
	ReservationKind statemachine.Kind    `cbor:"6,keyasint,omitempty"`
	Result          *statemachine.Result `cbor:"7,keyasint,omitempty"` // of a KindResult
	// Replica is the sender's of a KindHello, 0 while its disk takes no writes, and the leader's of a KindNotLeader,
	// 0 if unknown.
	Replica uint64 `cbor:"8,keyasint,omitempty"`
	// StartCount of a KindHello is how often the sender's disk was opened.
	StartCount uint32 `cbor:"9,keyasint,omitempty"`
	Zone       string `cbor:"10,keyasint,omitempty"` // the sender's of a KindHello
	// ShardVoters of a KindHello are the shards that the sender holds, with their voters.
	ShardVoters map[int][]uint64 `cbor:"11,keyasint,omitempty"`
	// SeenStartCounts of a KindHello is how often the sender saw each replica's disk be opened.
	SeenStartCounts map[uint64]uint32 `cbor:"12,keyasint,omitempty"`
}

// errFrameTooLong tells a frame over the bound from a connection that failed.
var errFrameTooLong = errors.New("frame is too long")

var encoding, decoding = cborcodec.NewModes(maxFrameItems)

// encodeFrame writes a frame with its length before it.
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

// readFrame reads a frame with its length before it.
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
