// Package clientproto is the codec of the binary frames between clients and the router.
//
// It owns the layout of the frames, the names of their fields, and the validation of field values. It does no I/O and
// has no state: frames are parsed from and appended to byte slices.
//
// The field names are those of the clients' protocol and are used in this package only. Their meanings:
//
//	of a request     op class, call request id, ttl timeout in ms, row object, seg chunk, bucket purge group,
//	                 heap size in KB, dedupe idempotency key, etag ETag of the client's copy
//	of a response    etag ETag, notmod not modified, pushback delay in ms before a retry, error error text
package clientproto

import (
	"encoding/binary"
	"fmt"
)

// FrameType is the type of a frame. Its values are those on the wire.
type FrameType byte

// The frame types.
const (
	TypeRequest        FrameType = 100
	TypeResponse       FrameType = 101
	TypeCancel         FrameType = 102
	TypeReadinessQuery FrameType = 110
	TypeReadinessReply FrameType = 111
	TypeGoAway         FrameType = 120
)

// HeaderSize is the size in bytes of a frame header: the frame's length, type and stream ID.
const HeaderSize = 9

const (
	countedHeaderBytes = 5 // bytes of the header that are included in the frame length
	maxFrameLength     = 262144
)

// Header is the header of a frame.
type Header struct {
	Type         FrameType
	StreamID     uint32
	PayloadBytes int
}

// FrameLengthError reports a frame length outside of its bounds. Its text is sent to the client.
type FrameLengthError struct{ Length uint32 }

func (e FrameLengthError) Error() string {
	return fmt.Sprintf("frame length %d is out of bounds", e.Length)
}

// ParseHeader parses the first HeaderSize bytes of a frame. Its error is a FrameLengthError.
func ParseHeader(b []byte) (Header, error) {
	length := binary.BigEndian.Uint32(b)
	if length < countedHeaderBytes || length > maxFrameLength {
		return Header{}, FrameLengthError{Length: length}
	}
	return Header{
		Type:         FrameType(b[4]),
		StreamID:     binary.BigEndian.Uint32(b[5:]),
		PayloadBytes: int(length) - countedHeaderBytes,
	}, nil
}

// AppendHeader appends the header of a frame with a payload of payloadBytes bytes.
func AppendHeader(b []byte, frameType FrameType, streamID uint32, payloadBytes int) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(payloadBytes+countedHeaderBytes))
	b = append(b, byte(frameType))
	return binary.BigEndian.AppendUint32(b, streamID)
}
