package verify

import (
	"testing"

	"cairnfront/internal/lab/standin"

	"github.com/stretchr/testify/assert"
)

// TestOverlapsBeyondTheMarginAreCounted: two attempts that run at the same time at different stand-ins may both have an
// effect, and only their times reveal it. An overlap longer than the ordering margin is counted. A shorter one is not,
// as a scheduling delay may have caused it.
func TestOverlapsBeyondTheMarginAreCounted(t *testing.T) {
	for gap, want := range map[float64]int64{0.1: 1, 0.005: 0} {
		attempts := []*standin.Attempt{
			{
				ID:        "a",
				Class:     "record",
				StartedAt: 1,
				EndedAt:   2,
			},
			{
				ID:        "a",
				Class:     "record",
				StartedAt: 2 - gap,
				EndedAt:   3,
			},
			{
				ID:        "b",
				Class:     "record",
				StartedAt: 1,
				EndedAt:   2,
			},
		}
		overlapping, repeats, violations := OverlappingAttempts(
			attempts,
			(&SchedulingDelay{}).OrderingMargin(),
			map[string]bool{"record": true},
		)
		assert.Equal(t, want, overlapping, "%v s", gap)
		assert.Equal(t, int64(1), repeats)
		assert.Len(t, violations, int(want)+1)
	}
	assert.InDelta(t, minOrderingMarginSeconds+0.08, (&SchedulingDelay{maxSeconds: 0.04}).OrderingMargin(), 1e-9)
}
