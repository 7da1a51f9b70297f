package verify

import (
	"testing"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
)

// TestRequestsAfterADrainAreSeen shows that the drain check counts requests that come after the grace period to the
// drained endpoint, and no others.
func TestRequestsAfterADrainAreSeen(t *testing.T) {
	const deliveredAt, limit = 100.0, 100 + DrainGraceSeconds + deadlineMarginSeconds
	requests := []Request{
		{limit - 0.01, "drained", cacheproto.Command{}},
		{limit + 0.01, "drained", cacheproto.Command{}},
		{limit + 0.01, "other", cacheproto.Command{}},
	}
	r := report.New("demo", 1, "small")
	DrainRespected(r, requests, "drained", deliveredAt)
	assert.Equal(t, int64(1), r.Rules.Drain)
	assert.Equal(t, int64(3), r.Counts[report.AttemptsSeen])
	assert.Len(t, r.Broken, 1)
}
