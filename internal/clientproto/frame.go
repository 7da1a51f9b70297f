// Package clientproto is the codec of the binary frames between clients and the router.
//
// It owns the layout of the frames, the names of their fields, and the checks that a field has a usable value. It does
// no I/O and keeps no state: frames are read from and appended to byte slices.
//
// The names of fields are those of the users' protocol and are used in this package alone. They stand for:
//
//	of a request     op class, call request id, ttl timeout in ms, row object, seg chunk, bucket purge group,
//	                 heap size in KB, dedupe idempotency key, etag ETag of the client's copy
//	of a response    etag ETag, notmod not modified, pushback ms after which to retry, error what is at fault
package clientproto

import (
	"encoding/binary"
	"fmt"
)

// FrameType says what a frame carries. Its values are those on the wire.
type FrameType byte

// The types of frame.
const (
	TypeRequest        FrameType = 100
	TypeResponse       FrameType = 101
	TypeCancel         FrameType = 102
	TypeReadinessQuery FrameType = 110
	TypeReadinessReply FrameType = 111
	TypeGoAway         FrameType = 120
)

// HeaderSize is the number of bytes of a frame's length, type and stream ID.
const HeaderSize = 9

const (
	countedHeader  = 5 // bytes of the header that the frame's length counts
	maxFrameLength = 262144
)

// Header is the start of a frame.
type Header struct {
	Type         FrameType
	StreamID     uint32
	PayloadBytes int
}

// FrameLengthError reports a frame whose length is out of bounds. Its text is sent to the client.
type FrameLengthError struct{ Length uint32 }

func (e FrameLengthError) Error() string {
	return fmt.Sprintf("frame length %d is out of bounds", e.Length)
}

// ParseHeader reads the first HeaderSize bytes of a frame. Its error is a FrameLengthError.
func ParseHeader(b []byte) (Header, error) {
	length := binary.BigEndian.Uint32(b)
	if length < countedHeader || length > maxFrameLength {
		return Header{}, FrameLengthError{Length: length}
	}
	return Header{
		Type:         FrameType(b[4]),
		StreamID:     binary.BigEndian.Uint32(b[5:]),
		PayloadBytes: int(length) - countedHeader,
	}, nil
}

// AppendHeader appends the header of a frame whose payload has payloadBytes bytes.
func AppendHeader(b []byte, frameType FrameType, streamID uint32, payloadBytes int) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(payloadBytes+countedHeader))
	b = append(b, byte(frameType))
	return binary.BigEndian.AppendUint32(b, streamID)
}
