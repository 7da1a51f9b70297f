package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOverlapsBeyondTheMarginAreCounted holds that two attempts of a request that were open together are counted, and
// that an overlap shorter than the margin is not.
func TestOverlapsBeyondTheMarginAreCounted(t *testing.T) {
	for gap, want := range map[float64]int64{0.1: 1, 0.005: 0} {
		attempts := []*attemptRecord{
			{
				id:        "a",
				class:     "record",
				startedAt: 1,
				endedAt:   2,
			},
			{
				id:        "a",
				class:     "record",
				startedAt: 2 - gap,
				endedAt:   3,
			},
			{
				id:        "b",
				class:     "record",
				startedAt: 1,
				endedAt:   2,
			},
		}
		overlapping, repeats, violations := findOverlappingAttempts(
			attempts,
			(&schedulingDelay{}).orderingMargin(),
			map[string]bool{"record": true},
		)
		assert.Equal(t, want, overlapping, "%v s", gap)
		assert.Equal(t, int64(1), repeats)
		assert.Len(t, violations, int(want)+1)
	}
	assert.InDelta(t, minOrderingMargin+0.08, (&schedulingDelay{maxSeconds: 0.04}).orderingMargin(), 1e-9)
}
