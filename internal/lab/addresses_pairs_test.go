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
	var responses []observedResponse
	for i := range 200 {
		responses = append(
			responses,
			observedResponse{
				clientResponse: clientResponse{code: 1, sentAt: float64(i), doneAt: float64(i) + 0.001*float64(i%100)},
			},
		)
	}
	responses[150].code, responses[150].deadline = noAnswer, time.Second
	ms, err := p99Millis(responses, 0, 100)
	require.NoError(t, err)
	assert.InDelta(t, 98, ms, 0.01)
	ms, err = p99Millis(responses, 150, 151)
	require.NoError(t, err)
	assert.Equal(t, 1000.0, ms)
	_, err = p99Millis(responses, 500, 600)
	assert.ErrorIs(t, err, errNoRequests)
}
