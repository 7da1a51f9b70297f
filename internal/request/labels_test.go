package request

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestResultsAndDetailsAreThePublishedLabels holds the texts that operators read in the dump of the counters.
func TestResultsAndDetailsAreThePublishedLabels(t *testing.T) {
	results := []string{
		"completed", "server_error", "overloaded", "timed_out", "connect_failed", "connection_broken", "cancelled",
		"not_sent", "cache_miss",
	}
	for result, want := range results {
		assert.Equal(t, want, ResultLabel(result).String())
	}
	assert.Len(t, resultLabels, len(results))
	details := []string{
		"none", "cache_hit", "filled", "filled_by_origin", "joined_fill", "stale_hit", "source_refused",
		"source_unreachable", "source_cache_miss", "fill_slots_exhausted", "origin_failed",
	}
	for detail, want := range details {
		assert.Equal(t, want, DetailLabel(detail).String())
	}
	assert.Len(t, detailLabels, len(details))
}
