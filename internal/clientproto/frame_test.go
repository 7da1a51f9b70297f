package clientproto

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A length from the wire decides how much memory is taken. One above the bound would let a client take any amount.
// Lengths up to the bound must be accepted and others refused.
func TestFrameLengthsHaveBounds(t *testing.T) {
	header, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, 100))
	require.NoError(t, err)
	assert.Equal(t, Header{Type: TypeRequest, StreamID: 7, PayloadBytes: 100}, header)
	for _, payloadBytes := range []int{-1, 262140} {
		_, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, payloadBytes))
		require.ErrorAs(t, err, &FrameLengthError{})
		assert.ErrorContains(t, err, "length")
	}
}
