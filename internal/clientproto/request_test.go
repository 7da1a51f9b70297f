package clientproto

import (
	"slices"
	"strings"
	"testing"

	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// validFields is the field list of a valid request. Its last field is unknown to the router.
var validFields = []Field{
	{"op", "page"},
	{"call", "9b1f03aa5c7e2d41"},
	{"ttl", "1500"},
	{"dedupe", "k1"},
	{"row", "7F3a9c21e0b4d655"},
	{"seg", "3"},
	{"bucket", "17"},
	{"heap", "412.5"},
	{"etag", "4be0"},
	{"later", "what"},
}

func indexOfField(t *testing.T, name string) int {
	t.Helper()
	i := slices.IndexFunc(validFields, func(f Field) bool { return f.Name == name })
	assert.GreaterOrEqual(t, i, 0, name)
	return i
}

// Guards against a field whose value is stored in the wrong place: the router would request another object, or respond
// by another deadline. Every field of a request must have its value.
func TestRequestIsParsed(t *testing.T) {
	got, err := ParseRequest(append(AppendFields(nil, validFields...), "body"...))
	require.NoError(t, err)
	want := Request{
		Request: request.Request{
			ID:             "9b1f03aa5c7e2d41",
			ClassName:      "page",
			Object:         "7F3a9c21e0b4d655",
			Part:           "3",
			PartNumber:     3,
			PurgeGroup:     17,
			SizeKB:         412.5,
			IdempotencyKey: "k1",
			ETag:           "4be0",
		},
		TimeoutSeconds: 1.5,
		RawBody:        []byte("body"),
	}
	assert.Equal(t, want, got)
}

// A client can correct an invalid value only if it knows which field has it. The error must name the field.
func TestInvalidFieldsAreNamed(t *testing.T) {
	for name, values := range map[string][]string{
		"op":     {""},
		"call":   {"", "12", "9b1f03aa5c7e2d4x"},
		"ttl":    {"0", "-1", "x", "4294967296", ""},
		"dedupe": {"", "a,b", "a b", "a\r\nb", "a=b", strings.Repeat("x", 257)},
		"row":    {"xyz"},
		"seg":    {"", "-1", "1.5"},
		"bucket": {"256", "x"},
		"heap":   {"x", "NaN", "-1", "1e99"},
		"etag":   {"a\nb", ""},
	} {
		for _, value := range values {
			fields := slices.Clone(validFields)
			fields[indexOfField(t, name)].Value = value
			_, err := ParseRequest(AppendFields(nil, fields...))
			var fieldErr FieldError
			require.ErrorAs(t, err, &fieldErr, value)
			assert.Equal(t, name, fieldErr.Name, value)
		}
	}
}

// A request that lacks a required field must be rejected, and the error must name that field.
func TestMissingFieldsAreNamed(t *testing.T) {
	for _, name := range []string{"op", "call", "ttl", "row", "seg"} {
		i := indexOfField(t, name)
		fields := slices.Delete(slices.Clone(validFields), i, i+1)
		_, err := ParseRequest(AppendFields(nil, fields...))
		assert.Equal(t, FieldError{Name: name}, err)
		assert.ErrorContains(t, err, name)
	}
}

// Guards against the router and an endpoint using different values of a field that occurs twice. Such a request must be
// rejected, and the error must name the field.
func TestDuplicateFieldIsNamed(t *testing.T) {
	_, err := ParseRequest(AppendFields(nil, append(slices.Clone(validFields), validFields[0])...))
	assert.Equal(t, FieldError{Name: "op"}, err)
}

// Guards against rejecting newer clients, which send fields that this version does not know. An unknown field must be
// ignored, regardless of its length.
func TestUnknownFieldWithTheLongestNameIsIgnored(t *testing.T) {
	fields := append(slices.Clone(validFields), Field{strings.Repeat("n", 255), "x"})
	_, err := ParseRequest(AppendFields(nil, fields...))
	assert.NoError(t, err)
}

// Guards against a client that uses any amount of memory for the body of a request. A body one byte over the limit must
// be rejected with its size.
func TestBodySizeIsLimited(t *testing.T) {
	_, err := ParseRequest(append(AppendFields(nil, validFields...), make([]byte, MaxBodyBytes+1)...))
	assert.Equal(t, BodySizeError{Bytes: MaxBodyBytes + 1}, err)
	assert.ErrorContains(t, err, "body")
}

// Guards against reading bytes of another request because the length of a field points past the end of its frame. Every
// such frame must be rejected.
func TestTruncatedFieldsAreRejected(t *testing.T) {
	complete := AppendFields(nil, validFields...)
	for n := range complete {
		_, err := ParseRequest(complete[:n])
		assert.ErrorIs(t, err, ErrFieldsTruncated, "cut at %d", n)
	}
}

// TestErrorTextsStayTheSame checks the error texts that are sent to clients.
func TestErrorTextsStayTheSame(t *testing.T) {
	require.EqualError(t, FieldError{Name: "op"}, "field op is missing or can't be used")
	require.EqualError(t, BodySizeError{Bytes: 48001}, "body of 48001 bytes is over 48000")
	require.EqualError(t, FrameLengthError{Length: 4}, "frame length 4 is out of bounds")
	assert.EqualError(t, ErrFieldsTruncated, "fields overrun the frame")
}

// FuzzParseRequest checks that no payload causes a panic, and that accepted values are within the limits of the
// protocol.
func FuzzParseRequest(f *testing.F) {
	f.Add(append(AppendFields(nil, validFields...), "body"...))
	f.Fuzz(func(t *testing.T, payload []byte) {
		r, err := ParseRequest(payload)
		if err != nil {
			return
		}
		if r.TimeoutSeconds <= 0 || len(r.ID) != idLength || r.SizeKB < 0 || len(r.RawBody) > MaxBodyBytes {
			t.Fatalf("%+v", r)
		}
	})
}
