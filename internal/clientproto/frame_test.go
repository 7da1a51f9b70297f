package clientproto

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFrameLengthsHaveBounds(t *testing.T) {
	header, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, 100))
	assert.NoError(t, err)
	assert.Equal(t, Header{Type: TypeRequest, StreamID: 7, PayloadBytes: 100}, header)
	for _, payloadBytes := range []int{-1, 262140} {
		_, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, payloadBytes))
		assert.ErrorAs(t, err, &FrameLengthError{})
		assert.ErrorContains(t, err, "length")
	}
}
