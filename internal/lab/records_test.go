package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPercentileCountsRequestsOfItsPhase holds that the percentile is over the requests sent in a phase, and that one
// without an answer counts with its deadline.
func TestPercentileCountsRequestsOfItsPhase(t *testing.T) {
	cluster := &testCluster{}
	for i := range 200 {
		cluster.responses.all = append(
			cluster.responses.all,
			observedResponse{
				clientResponse: clientResponse{code: 1, sentAt: float64(i), doneAt: float64(i) + 0.001*float64(i%100)},
			},
		)
	}
	cluster.responses.all[150].code, cluster.responses.all[150].deadline = noAnswer, time.Second
	ms, err := cluster.p99Millis(0, 100)
	require.NoError(t, err)
	assert.InDelta(t, 98, ms, 0.01)
	ms, err = cluster.p99Millis(150, 151)
	require.NoError(t, err)
	assert.Equal(t, 1000.0, ms)
	_, err = cluster.p99Millis(500, 600)
	assert.ErrorContains(t, err, "no txn")
}
