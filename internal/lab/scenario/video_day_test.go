package scenario

import (
	"testing"

	"cairnfront/internal/diskcache/eviction"

	"github.com/stretchr/testify/assert"
)

// TestDayIsDeterminedByItsSeed: eviction policies are compared over one day of requests. The same seed must generate
// the same day, and a policy must have the same figures on it.
func TestDayIsDeterminedByItsSeed(t *testing.T) {
	a, b, c := generateDay(1, 5000), generateDay(1, 5000), generateDay(2, 5000)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a, c)
	x := replayDay(a, eviction.NewLRU(1<<33), 1)
	y := replayDay(b, eviction.NewLRU(1<<33), 1)
	assert.Equal(t, x, y)
}
