package clientproto

import (
	"fmt"
	"math"
	"strconv"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

const (
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes = 48000

	maxFieldsBytes = 8192 // the fields of a request typically use a few hundred bytes

	// MaxRequestBytes is the maximum size of the payload of a request.
	MaxRequestBytes = MaxBodyBytes + maxFieldsBytes
)

// Limits of field values.
const (
	idLength       = 16 // number of hex digits of a request ID and an object ID
	maxTokenLength = 256
	maxValueLength = 1024 // no known field needs more; open requests keep their values
	maxPartNumber  = math.MaxInt32
	maxPurgeGroup  = 255
	maxTimeout     = math.MaxUint32 // milliseconds
	maxSizeKB      = math.MaxFloat32
	millisInSecond = 1000
)

// Field names of requests and responses.
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

// Request is a request as parsed from a frame. The index of its class is not set yet.
type Request struct {
	request.Request
	TimeoutSeconds float64
	RawBody        []byte // slice of the parsed payload
}

// FieldError reports a field of a request that is missing, has an invalid value, or occurs twice. Its text is sent to
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

// requestField describes how a field of a request is parsed. parse stores the value and reports whether it is valid.
type requestField struct {
	name     string
	required bool
	parse    func(r *Request, value string) bool
}

// requestFields lists the known fields of a request, required ones first. Unknown fields are ignored.
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

// ParseRequest parses the payload of a request. If it returns an error, the request contains the values that could be
// parsed, and the error describes the first fault: ErrFieldsTruncated, a FieldError or a BodySizeError.
func ParseRequest(payload []byte) (Request, error) {
	var parser requestParser
	body, err := scanFields(payload, parser.parseField)
	if err != nil {
		return parser.request, err
	}
	parser.request.RawBody = body
	if err := parser.fault(); err != nil {
		return parser.request, err
	}
	if len(body) > MaxBodyBytes {
		return parser.request, BodySizeError{Bytes: len(body)}
	}
	return parser.request, nil
}

// requestParser parses the fields of a request. It parses all of them, including those after a fault.
type requestParser struct {
	request    Request
	seen       [len(requestFields)]bool
	firstFault error
}

// parseField parses a field. Unknown ones are ignored.
func (p *requestParser) parseField(name, value []byte) {
	i := requestFieldIndex(name)
	if i < 0 {
		return
	}
	if p.seen[i] || len(value) > maxValueLength || !requestFields[i].parse(&p.request, string(value)) {
		p.recordFault(requestFields[i].name)
	}
	p.seen[i] = true
}

func (p *requestParser) recordFault(name string) {
	if p.firstFault == nil {
		p.firstFault = FieldError{Name: name}
	}
}

// fault returns the first fault after all fields were parsed, or nil if there is none.
func (p *requestParser) fault() error {
	for i, field := range requestFields {
		if field.required && !p.seen[i] {
			p.recordFault(field.name)
		}
	}
	return p.firstFault
}

func requestFieldIndex(name []byte) int {
	for i := range requestFields {
		if requestFields[i].name == string(name) {
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

// isToken reports whether a value may appear in the lines of the caches' protocol.
func isToken(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c == ',' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return text != "" && len(text) <= maxTokenLength
}
