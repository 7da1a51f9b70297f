package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A client uses a stream id twice. The answers of two requests could not be told apart. Each id is used once, and the
// memory for ids stays bounded also where a client leaves gaps.
func TestStreamIDsAreUsedOnce(t *testing.T) {
	w := newStreamWindow()
	for _, s := range []uint32{2, 1, 3, 1 << 31} {
		assert.True(t, w.use(s))
		assert.False(t, w.use(s))
	}
	for s := uint32(10); s < 10+4*maxSparseStreams; s += 2 {
		assert.True(t, w.use(s))
	}
	assert.LessOrEqual(t, len(w.sparse), maxSparseStreams)
	assert.False(t, w.use(11), "what lies far back counts as used")
	assert.False(t, w.use(1<<31))
}
