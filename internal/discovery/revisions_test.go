package discovery

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Checks revisions before, at and after the last one, and at the maximum of uint64.
func TestCompareRevision(t *testing.T) {
	assert.Equal(t, revisionRepeated, compareRevision(6, 7))
	assert.Equal(t, revisionRepeated, compareRevision(7, 7))
	assert.Equal(t, revisionNext, compareRevision(8, 7))
	assert.Equal(t, revisionAhead, compareRevision(9, 7))
	assert.Equal(t, revisionRepeated, compareRevision(0, math.MaxUint64))
	assert.Equal(t, revisionRepeated, compareRevision(math.MaxUint64, math.MaxUint64))
}

// The backoff must never decrease, and must stop at its maximum.
func TestBackoffGrowsToItsMaximum(t *testing.T) {
	backoff := initialBackoff
	for range 10 {
		next := nextBackoff(backoff)
		assert.GreaterOrEqual(t, next, backoff)
		backoff = next
	}
	assert.Equal(t, maxBackoff, backoff)
}
