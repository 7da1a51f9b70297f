package admin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRequestsAreCountedUnderThePublishedLabels compares the labels of the wire's names with those that operators read
// in the dump of the counters.
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
