// Package frame is the codec of the clients' binary frames. It does no I/O; the protocol's names end here.
package clientproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"

	"cairnfront/internal/request"
)

// Types of a frame.
const (
	TypeRequest        = 100
	TypeResponse       = 101
	TypeCancel         = 102
	TypeReadinessQuery = 110
	TypeReadinessReply = 111
	TypeGoAway         = 120
)

// HeadSize is the size of length, type and stream; MostBody that of the largest body of a txn.
const (
	HeaderSize      = 9
	leastSize       = 5
	mostSize        = 262144
	MaxBodyBytes    = 48000
	mostFields      = 8192 // a txn's fields are some hundred bytes
	MaxRequestBytes = MaxBodyBytes + mostFields
)

// Head begins a frame.
type Header struct {
	Type         byte
	StreamID     uint32
	PayloadBytes int // of the payload
}

// ParseHead reads the first HeadSize bytes of a frame.
func ParseHeader(b []byte) (Header, error) {
	n := binary.BigEndian.Uint32(b)
	if n < leastSize || n > mostSize {
		return Header{}, fmt.Errorf("frame length %d is out of bounds", n)
	}
	return Header{Type: b[4], StreamID: binary.BigEndian.Uint32(b[5:]), PayloadBytes: int(n) - leastSize}, nil
}

// AppendHead writes a frame's head; size is that of the payload.
func AppendHeader(b []byte, kind byte, stream uint32, size int) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(size+leastSize))
	return binary.BigEndian.AppendUint32(append(b, kind), stream)
}

// Field is a name with its value.
type Field struct{ Name, Value string }

var errOverrun = errors.New("fields overrun the frame")

// ParseFields reads fields and returns what follows them.
func ParseFields(b []byte) ([]Field, []byte, error) {
	if len(b) == 0 {
		return nil, nil, errOverrun
	}
	n, b := int(b[0]), b[1:]
	fields := make([]Field, 0, n)
	for range n {
		if len(b) < 1 {
			return nil, nil, errOverrun
		}
		end := 1 + int(b[0])
		if len(b) < end+2 {
			return nil, nil, errOverrun
		}
		name := string(b[1:end])
		size := int(binary.BigEndian.Uint16(b[end:]))
		if b = b[end+2:]; len(b) < size {
			return nil, nil, errOverrun
		}
		fields = append(fields, Field{name, string(b[:size])})
		b = b[size:]
	}
	return fields, b, nil
}

// AppendFields writes fields.
func AppendFields(b []byte, fields ...Field) []byte {
	b = append(b, byte(len(fields)))
	for _, f := range fields {
		b = append(append(b, byte(len(f.Name))), f.Name...)
		b = binary.BigEndian.AppendUint16(b, uint16(len(f.Value)))
		b = append(b, f.Value...)
	}
	return b
}

// Asked is a txn as it came. The rule's name is not yet looked up.
type Request struct {
	request.Request
	TimeoutSeconds float64 // seconds
	RawBody        []byte  // the body
}

// names are the fields that are read; so many of them are needed.
var names = []string{"op", "call", "ttl", "row", "seg", "bucket", "heap", "dedupe", "etag"}

const needed = 5

// ParseTxn reads the payload of a txn. With an error, what could be read is in Asked.
func ParseRequest(payload []byte) (Request, error) {
	var a Request
	fields, rest, err := ParseFields(payload)
	if err != nil {
		return a, err
	}
	a.RawBody = rest
	had := make([]bool, len(names))
	bad := func(name string) {
		if err == nil {
			err = fmt.Errorf("field %s is missing or can't be used", name)
		}
	}
	for _, f := range fields {
		v, ok := f.Value, true
		if i := slices.Index(names, f.Name); i >= 0 {
			if had[i] {
				bad(f.Name)
				continue
			}
			had[i] = true
		}
		switch f.Name {
		case "op":
			a.ClassName, ok = v, v != ""
		case "call":
			a.ID, ok = v, isHex(v, 16)
		case "ttl":
			var ms uint64
			ms, ok = number(v, math.MaxUint32)
			a.TimeoutSeconds, ok = float64(ms)/1000, ok && ms > 0
		case "dedupe":
			a.IdempotencyKey, ok = v, plain(v)
		case "row":
			a.Object, ok = v, isHex(v, 16)
		case "seg":
			var n uint64
			n, ok = number(v, 1<<31-1)
			a.Part, a.PartNumber = v, int(n)
		case "bucket":
			var n uint64
			n, ok = number(v, 255)
			a.PurgeGroup = int(n)
		case "heap":
			var x error
			a.SizeKB, x = strconv.ParseFloat(v, 64)
			ok = x == nil && a.SizeKB >= 0 && a.SizeKB <= math.MaxFloat32
		case "etag":
			a.ETag, ok = v, plain(v)
		}
		if !ok {
			bad(f.Name)
		}
	}
	for i, name := range names[:needed] {
		if !had[i] {
			bad(name)
		}
	}
	if err == nil && len(rest) > MaxBodyBytes {
		err = fmt.Errorf("body of %d bytes is over %d", len(rest), MaxBodyBytes)
	}
	return a, err
}

func number(s string, most uint64) (uint64, bool) {
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil && n <= most
}

func isHex(s string, size int) bool {
	if len(s) != size {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// plain says whether a value can stand in the caches' lines.
func plain(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == ',' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= 256
}

var codes = [...]byte{request.Completed: 1, request.Rejected: 0, request.Aborted: 9}

// AppendAnswer writes an answer without its body, which has to follow.
func AppendResponse(b []byte, stream uint32, a request.Response) []byte {
	var fields []Field
	if a.ETag != "" {
		fields = append(fields, Field{"etag", a.ETag})
	}
	if a.NotModified {
		fields = append(fields, Field{"notmod", "1"})
	}
	if ms := int(math.Ceil(a.RetryAfterSeconds * 1000)); a.Result == request.Rejected && ms > 0 {
		fields = append(fields, Field{"pushback", strconv.Itoa(ms)})
	}
	if a.ErrorText != "" {
		fields = append(fields, Field{"error", a.ErrorText})
	}
	payload := AppendFields([]byte{codes[a.Result]}, fields...)
	return append(AppendHeader(b, TypeResponse, stream, len(payload)+a.Body.Len()), payload...)
}

// AppendReady writes the answer to the question whether the router is ready.
func AppendReadinessReply(b []byte, stream uint32, yes bool) []byte {
	code := byte(0)
	if yes {
		code = 1
	}
	return append(AppendHeader(b, TypeReadinessReply, stream, 2), code, 0)
}
