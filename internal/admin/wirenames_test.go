package admin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRequestsAreCountedUnderThePublishedLabels compares the labels of requests with the published ones, which
// operators see in the dump of the metrics.
func TestRequestsAreCountedUnderThePublishedLabels(t *testing.T) {
	for name, want := range map[RequestName]string{
		"reach":       "addresses",
		"rest":        "cooldown",
		"unrest":      "reinstate",
		"peers":       "peers",
		"peers-leave": "peers_leave",
	} {
		assert.Equal(t, want, name.label().String())
	}
}
