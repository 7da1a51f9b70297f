package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against two requests on the same stream ID, whose responses could not be distinguished. Each ID must be
// accepted once, and the memory for IDs must stay limited if a client leaves gaps.
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
	assert.False(t, w.use(11), "an ID far below the latest ones counts as used")
	assert.False(t, w.use(1<<31))
}
