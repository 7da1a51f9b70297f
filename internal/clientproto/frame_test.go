package clientproto

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a client that makes the router allocate any amount of memory by the length in a frame header. Lengths
// up to the limit must be accepted and others rejected.
func TestFrameLengthIsLimited(t *testing.T) {
	header, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, 100))
	require.NoError(t, err)
	assert.Equal(t, Header{Type: TypeRequest, StreamID: 7, PayloadBytes: 100}, header)
	for _, payloadBytes := range []int{-1, 262140} {
		_, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, payloadBytes))
		require.ErrorAs(t, err, &FrameLengthError{})
		assert.ErrorContains(t, err, "length")
	}
}
