package scenario

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"

	"github.com/stretchr/testify/assert"
)

// TestDayIsDrawnFromItsSeed: eviction policies are compared over one day of requests. The same seed must draw the same
// day, and the policy's figures on it must be the same.
func TestDayIsDrawnFromItsSeed(t *testing.T) {
	a, b, c := generateDay(1, 5000), generateDay(1, 5000), generateDay(2, 5000)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a, c)
	x := replayDay(a, eviction.NewLRU(1<<33), 1)
	y := replayDay(b, eviction.NewLRU(1<<33), 1)
	assert.Equal(t, x, y)
}
