package verify

import (
	"testing"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
)

// TestRequestsAfterADrainAreCounted: a router that missed a drain event continues to send requests to the endpoint. The
// check counts requests that arrive there after the grace period, but not earlier ones, which may have been in flight.
func TestRequestsAfterADrainAreCounted(t *testing.T) {
	const deliveredAt, limit = 100.0, 100 + DrainGraceSeconds + deadlineMarginSeconds
	requests := []Request{
		{limit - 0.01, "drained", cacheproto.Command{}},
		{limit + 0.01, "drained", cacheproto.Command{}},
		{limit + 0.01, "other", cacheproto.Command{}},
	}
	r := report.New("demo", 1, "small")
	CheckDrain(r, requests, "drained", deliveredAt)
	assert.Equal(t, int64(1), r.Rules.Drain)
	assert.Equal(t, int64(3), r.Counts[report.AttemptsSeen])
	assert.Len(t, r.Broken, 1)
}
