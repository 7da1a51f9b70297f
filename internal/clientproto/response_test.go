package clientproto

import (
	"testing"

	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a wrong result code: clients distinguish completed, rejected and aborted requests by it, and would
// retry a request that must not run twice. Each response must be encoded with its code and fields.
func TestResponsesAreEncoded(t *testing.T) {
	body := &request.Body{Bytes: []byte("abc")}
	const header = "\x65\x00\x00\x00\x07"
	for want, response := range map[string]request.Response{
		"\x00\x00\x00\x14" + header + "\x01\x01\x04etag\x00\x02t1":  {ETag: "t1", Body: body},
		"\x00\x00\x00\x11" + header + "\x01\x01\x06notmod\x00\x011": {NotModified: true},
		"\x00\x00\x00\x13" + header + "\x00\x01\x08pushback\x00\x01\x32": {
			Result:            request.Rejected,
			RetryAfterSeconds: 0.0011,
		},
		"\x00\x00\x00\x07" + header + "\x09\x00": {Result: request.Aborted, RetryAfterSeconds: 1},
	} {
		got := AppendResponse(nil, 7, response)
		header, err := ParseHeader(got)
		require.NoError(t, err)
		withBody := len(got) + response.Body.Len()
		assert.Equal(t, withBody-HeaderSize, header.PayloadBytes, "the length includes the body that follows")
		assert.Equal(t, want[4:], string(got[4:]))
	}
}

// The deployment routes traffic according to the readiness reply. Both replies must be encoded as the protocol
// specifies.
func TestReadinessRepliesAreEncoded(t *testing.T) {
	assert.Equal(t, "\x00\x00\x00\x07\x6f\x00\x00\x00\x03\x01\x00", string(AppendReadinessReply(nil, 3, true)))
	assert.Equal(t, "\x00\x00\x00\x07\x6f\x00\x00\x00\x03\x00\x00", string(AppendReadinessReply(nil, 3, false)))
}
