package discovery

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOrderOfRevisions: at the last one, on both sides of it, and at the greatest number.
func TestOrderOfRevisions(t *testing.T) {
	assert.Equal(t, revisionRepeated, orderOf(6, 7))
	assert.Equal(t, revisionRepeated, orderOf(7, 7))
	assert.Equal(t, revisionNext, orderOf(8, 7))
	assert.Equal(t, revisionAhead, orderOf(9, 7))
	assert.Equal(t, revisionRepeated, orderOf(0, math.MaxUint64))
	assert.Equal(t, revisionRepeated, orderOf(math.MaxUint64, math.MaxUint64))
}

// TestBackoffGrowsToItsMaximum: and not beyond it.
func TestBackoffGrowsToItsMaximum(t *testing.T) {
	backoff := initialBackoff
	for range 10 {
		next := nextBackoff(backoff)
		assert.GreaterOrEqual(t, next, backoff)
		backoff = next
	}
	assert.Equal(t, maxBackoff, backoff)
}
