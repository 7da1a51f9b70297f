package scenario

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"

	"github.com/stretchr/testify/assert"
)

// TestDayIsDrawnFromItsSeed holds that the same seed draws the same day, and that the policy's figures are the same.
func TestDayIsDrawnFromItsSeed(t *testing.T) {
	a, b, c := generateDay(1, 5000), generateDay(1, 5000), generateDay(2, 5000)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a, c)
	x := replayDay(a, eviction.NewLRU(1<<33), 1)
	y := replayDay(b, eviction.NewLRU(1<<33), 1)
	assert.Equal(t, x, y)
}
