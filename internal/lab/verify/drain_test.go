package verify

import (
	"testing"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/lab/report"

	"github.com/stretchr/testify/assert"
)

// TestRequestsAfterADrainAreSeen: a router that missed the news of a drain goes on sending to the endpoint. The check
// counts requests that come to it after the grace period, and no others: those before were on their way.
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
