package clientproto

import (
	"fmt"
	"math"
	"strconv"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

const (
	// MaxBodyBytes is the size of the largest body of a request.
	MaxBodyBytes = 48000

	maxFieldsBytes = 8192 // a request's fields take some hundred bytes

	// MaxRequestBytes is the size of the largest payload of a request.
	MaxRequestBytes = MaxBodyBytes + maxFieldsBytes
)

// Bounds of the values of fields.
const (
	idLength       = 16 // hex digits of a request's and an object's ID
	maxTokenLength = 256
	maxPartNumber  = math.MaxInt32
	maxPurgeGroup  = 255
	maxTimeout     = math.MaxUint32 // milliseconds
	maxSizeKB      = math.MaxFloat32
	millisInSecond = 1000
)

// Names of the fields of a request and a response.
const (
	fieldClass          = "op"
	fieldID             = "call"
	fieldTimeout        = "ttl"
	fieldObject         = "row"
	fieldPart           = "seg"
	fieldPurgeGroup     = "bucket"
	fieldSizeKB         = "heap"
	fieldIdempotencyKey = "dedupe"
	fieldETag           = "etag"
	fieldNotModified    = "notmod"
	fieldRetryAfter     = "pushback"
	fieldError          = "error"
)

// Request is a request as it came. The index of its class is not yet looked up.
type Request struct {
	request.Request
	TimeoutSeconds float64
	RawBody        []byte // part of the parsed payload
}

// FieldError reports a field of a request that is missing, has an unusable value, or stands twice. Its text is sent to
// the client.
type FieldError struct{ Name string }

func (e FieldError) Error() string {
	return fmt.Sprintf("field %s is missing or can't be used", e.Name)
}

// BodySizeError reports a body of more than MaxBodyBytes. Its text is sent to the client.
type BodySizeError struct{ Bytes int }

func (e BodySizeError) Error() string {
	return fmt.Sprintf("body of %d bytes is over %d", e.Bytes, MaxBodyBytes)
}

// requestField says how a field of a request is read. parse stores the value and reports whether it is usable.
type requestField struct {
	name     string
	required bool
	parse    func(r *Request, value string) bool
}

// requestFields are the fields that are read, required ones first. Others are passed over.
var requestFields = [...]requestField{
	{fieldClass, true, parseClass},
	{fieldID, true, parseID},
	{fieldTimeout, true, parseTimeout},
	{fieldObject, true, parseObject},
	{fieldPart, true, parsePart},
	{fieldPurgeGroup, false, parsePurgeGroup},
	{fieldSizeKB, false, parseSizeKB},
	{fieldIdempotencyKey, false, parseIdempotencyKey},
	{fieldETag, false, parseETag},
}

// ParseRequest reads the payload of a request. With an error, the request holds what could be read, and the error is
// about the first fault: ErrFieldsTruncated, a FieldError or a BodySizeError.
func ParseRequest(payload []byte) (Request, error) {
	var parsed Request
	fields, body, err := ParseFields(payload)
	if err != nil {
		return parsed, err
	}
	parsed.RawBody = body
	if err := parsed.parseFields(fields); err != nil {
		return parsed, err
	}
	if len(body) > MaxBodyBytes {
		return parsed, BodySizeError{Bytes: len(body)}
	}
	return parsed, nil
}

// parseFields reads all fields, also those after a fault, and returns the first fault.
func (r *Request) parseFields(fields []Field) (firstFault error) {
	fault := func(name string) {
		if firstFault == nil {
			firstFault = FieldError{Name: name}
		}
	}
	var seen [len(requestFields)]bool
	for _, field := range fields {
		i := requestFieldIndex(field.Name)
		if i < 0 {
			continue
		}
		if seen[i] || !requestFields[i].parse(r, field.Value) {
			fault(field.Name)
		}
		seen[i] = true
	}
	for i, field := range requestFields {
		if field.required && !seen[i] {
			fault(field.name)
		}
	}
	return firstFault
}

func requestFieldIndex(name string) int {
	for i := range requestFields {
		if requestFields[i].name == name {
			return i
		}
	}
	return -1
}

func parseClass(r *Request, value string) bool {
	r.ClassName = value
	return value != ""
}

func parseID(r *Request, value string) bool {
	r.ID = routing.RequestID(value)
	return isHex(value, idLength)
}

func parseTimeout(r *Request, value string) bool {
	millis, ok := parseUint(value, maxTimeout)
	r.TimeoutSeconds = float64(millis) / millisInSecond
	return ok && millis > 0
}

func parseObject(r *Request, value string) bool {
	r.Object = value
	return isHex(value, idLength)
}

func parsePart(r *Request, value string) bool {
	number, ok := parseUint(value, maxPartNumber)
	r.Part = value
	r.PartNumber = int(number)
	return ok
}

func parsePurgeGroup(r *Request, value string) bool {
	group, ok := parseUint(value, maxPurgeGroup)
	r.PurgeGroup = int(group)
	return ok
}

func parseSizeKB(r *Request, value string) bool {
	var err error
	r.SizeKB, err = strconv.ParseFloat(value, 64)
	return err == nil && r.SizeKB >= 0 && r.SizeKB <= maxSizeKB
}

func parseIdempotencyKey(r *Request, value string) bool {
	r.IdempotencyKey = value
	return isToken(value)
}

func parseETag(r *Request, value string) bool {
	r.ETag = value
	return isToken(value)
}

func parseUint(text string, maximum uint64) (uint64, bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n <= maximum
}

func isHex(text string, length int) bool {
	if len(text) != length {
		return false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// isToken reports whether a value can stand in the lines of the caches' protocol.
func isToken(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c == ',' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return text != "" && len(text) <= maxTokenLength
}
