package frontend

import (
	"testing"
	"time"

	"cairnfront/internal/clock"

	"github.com/stretchr/testify/assert"
)

// Guards against requests that are read late behind many that each wait for a short time: of the time, the reader may
// wait for a limited part only.
func TestWaitsOfTheReaderAreLimitedTogether(t *testing.T) {
	var budget waitBudget
	now := clock.FromSeconds(100)
	assert.Equal(t, maxShareWait, budget.available(now))
	var waited time.Duration
	for range 20 {
		wait := min(budget.available(now), maxShareWait/4)
		budget.spend(now, now.Add(wait))
		now, waited = now.Add(wait), waited+wait
	}
	assert.Equal(t, maxShareWait, waited, "no time passes between the waits")
	assert.Zero(t, budget.available(now))
	assert.Zero(t, budget.available(now.Add(2*minShareWait-time.Millisecond)), "too short to be of use")
	assert.Equal(t, minShareWait, budget.available(now.Add(2*minShareWait)))
	assert.Equal(t, maxShareWait, budget.available(now.Add(time.Hour)))
}
