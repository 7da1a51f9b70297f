package request

import (
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// TestResultsAndDetailsAreThePublishedLabels checks the label texts that operators read in the counter dump.
func TestResultsAndDetailsAreThePublishedLabels(t *testing.T) {
	results := []string{
		"completed", "server_error", "overloaded", "timed_out", "connect_failed", "connection_broken", "cancelled",
		"not_sent", "cache_miss",
	}
	for result, want := range results {
		assert.Equal(t, want, ResultLabel(result).String())
	}
	assert.Len(t, resultLabels, len(results))
	details := map[routing.ResultDetail]string{
		routing.NoDetail:     "none",
		routing.CacheHit:     "cache_hit",
		routing.Filled:       "filled",
		routing.JoinedFill:   "joined_fill",
		routing.StaleHit:     "stale_hit",
		routing.OriginFailed: "none",
	}
	for detail, want := range details {
		assert.Equal(t, want, DetailLabel(detail).String())
	}
}
