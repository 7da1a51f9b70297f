package scenario

import (
	"testing"
	"time"

	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/verify"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPercentileCountsRequestsOfItsPhase: a percentile that ignored requests without a response would present the worst
// outcome as the best. It covers the requests sent in a phase, and a request without a response counts with its
// deadline.
func TestPercentileCountsRequestsOfItsPhase(t *testing.T) {
	var responses []verify.Response
	for i := range 200 {
		responses = append(
			responses,
			verify.Response{
				ClientResponse: standin.ClientResponse{
					Code:   standin.CodeCompleted,
					SentAt: float64(i),
					DoneAt: float64(i) + 0.001*float64(i%100),
				},
			},
		)
	}
	responses[150].Code, responses[150].Deadline = standin.NoAnswer, time.Second
	ms, err := p99Millis(responses, 0, 100)
	require.NoError(t, err)
	assert.InDelta(t, 98, ms, 0.01)
	ms, err = p99Millis(responses, 150, 151)
	require.NoError(t, err)
	assert.Equal(t, 1000.0, ms) //nolint:testifylint // exact by intent
	_, err = p99Millis(responses, 500, 600)
	assert.ErrorIs(t, err, errNoRequests)
}
