package clientproto

import (
	"testing"

	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenFrames lists the encoding on the wire of one frame of each type.
var goldenFrames = map[string]string{
	"request": "\x00\x00\x00\xa8\x64\x00\x00\x01\x02" + goldenFields + "body",
	"response completed": "\x00\x00\x00\x25\x65\x00\x00\x01\x02\x01\x01\x04etag\x00\x104be0c1927d55a6f3" +
		"seven b",
	"response not modified": "\x00\x00\x00\x28\x65\x00\x00\x01\x02\x01\x02\x04etag\x00\x104be0c1927d55a6f3" +
		"\x06notmod\x00\x011",
	"response rejected with retry": "\x00\x00\x00\x15\x65\x00\x00\x01\x02\x00\x01\x08pushback\x00\x03251",
	"response rejected":            "\x00\x00\x00\x07\x65\x00\x00\x01\x02\x00\x00",
	"response aborted":             "\x00\x00\x00\x15\x65\x00\x00\x00\x00\x09\x01\x05error\x00\x06broken",
	"cancel":                       "\x00\x00\x00\x05\x66\x00\x00\x01\x02",
	"readiness query":              "\x00\x00\x00\x06\x6e\x00\x00\x01\x02\x00",
	"readiness reply: ready":       "\x00\x00\x00\x07\x6f\x00\x00\x01\x02\x01\x00",
	"readiness reply: not ready":   "\x00\x00\x00\x07\x6f\x00\x00\x01\x02\x00\x00",
	"go away":                      "\x00\x00\x00\x05\x78\x00\x00\x00\x00",
}

const goldenFields = "\x09" +
	"\x02op\x00\x04page" +
	"\x04call\x00\x109b1f03aa5c7e2d41" +
	"\x03ttl\x00\x041500" +
	"\x06dedupe\x00\x205c0f6e1a2b3d4c59a8b7c6d5e4f30211" +
	"\x03row\x00\x107f3a9c21e0b4d655" +
	"\x03seg\x00\x013" +
	"\x06bucket\x00\x0217" +
	"\x04heap\x00\x05412.5" +
	"\x04etag\x00\x104be0c1927d55a6f3"

// Guards against an incompatible change of the encoding, which breaks all deployed clients. Every frame must be encoded
// to the same bytes as by earlier versions.
func TestFramesAreEncodedToTheGoldenBytes(t *testing.T) {
	const streamID = 258
	requestPayload := append(AppendFields(nil,
		Field{"op", "page"},
		Field{"call", "9b1f03aa5c7e2d41"},
		Field{"ttl", "1500"},
		Field{"dedupe", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"},
		Field{"row", "7f3a9c21e0b4d655"},
		Field{"seg", "3"},
		Field{"bucket", "17"},
		Field{"heap", "412.5"},
		Field{"etag", "4be0c1927d55a6f3"}), "body"...)
	requestHeader := AppendHeader(nil, TypeRequest, streamID, len(requestPayload))
	body := &request.Body{Bytes: []byte("seven b")}
	response := func(r request.Response) []byte { return AppendResponse(nil, streamID, r) }
	completed := request.Response{ETag: "4be0c1927d55a6f3", Body: body}
	rejected := request.Response{Result: request.Rejected, Reason: request.ReasonQueueFull}
	aborted := request.Response{Result: request.Aborted, RetryAfterSeconds: 1, ErrorText: "broken"}
	for name, frame := range map[string][]byte{
		"request":                      append(requestHeader, requestPayload...),
		"response completed":           append(response(completed), body.Bytes...),
		"response not modified":        response(request.Response{ETag: "4be0c1927d55a6f3", NotModified: true}),
		"response rejected with retry": response(request.Response{Result: request.Rejected, RetryAfterSeconds: 0.2501}),
		"response rejected":            response(rejected),
		"response aborted":             AppendResponse(nil, 0, aborted),
		"cancel":                       AppendHeader(nil, TypeCancel, streamID, 0),
		"readiness query":              append(AppendHeader(nil, TypeReadinessQuery, streamID, 1), 0),
		"readiness reply: ready":       AppendReadinessReply(nil, streamID, true),
		"readiness reply: not ready":   AppendReadinessReply(nil, streamID, false),
		"go away":                      AppendHeader(nil, TypeGoAway, 0, 0),
	} {
		assert.Equal(t, goldenFrames[name], string(frame), name)
	}
}

// Guards against an incompatible change of the decoding, which breaks all deployed clients. Every frame that they send
// must be decoded to the same values as by earlier versions.
func TestGoldenBytesAreDecoded(t *testing.T) {
	for name, want := range map[string]Header{
		"request":                {TypeRequest, 258, 163},
		"response completed":     {TypeResponse, 258, 32},
		"response aborted":       {TypeResponse, 0, 16},
		"cancel":                 {TypeCancel, 258, 0},
		"readiness query":        {TypeReadinessQuery, 258, 1},
		"readiness reply: ready": {TypeReadinessReply, 258, 2},
		"go away":                {TypeGoAway, 0, 0},
	} {
		frame := []byte(goldenFrames[name])
		header, err := ParseHeader(frame)
		require.NoError(t, err, name)
		assert.Equal(t, want, header, name)
		assert.Len(t, frame, HeaderSize+header.PayloadBytes, name)
	}

	got, err := ParseRequest([]byte(goldenFrames["request"][HeaderSize:]))
	require.NoError(t, err)
	assert.Equal(t, Request{
		Request: request.Request{
			ID:             "9b1f03aa5c7e2d41",
			ClassName:      "page",
			Object:         "7f3a9c21e0b4d655",
			Part:           "3",
			PartNumber:     3,
			PurgeGroup:     17,
			SizeKB:         412.5,
			IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
			ETag:           "4be0c1927d55a6f3",
		},
		TimeoutSeconds: 1.5,
		RawBody:        []byte("body"),
	}, got)

	fields, rest, err := ParseFields([]byte(goldenFrames["response not modified"][HeaderSize+1:]))
	require.NoError(t, err)
	assert.Empty(t, rest)
	assert.Equal(t, []Field{{"etag", "4be0c1927d55a6f3"}, {"notmod", "1"}}, fields)
}
