package admin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCommandsAreCountedUnderThePublishedLabels holds the texts that operators read in the dump of the counters.
func TestCommandsAreCountedUnderThePublishedLabels(t *testing.T) {
	for command, want := range map[string]string{
		"reach":       "addresses",
		"rest":        "cooldown",
		"unrest":      "reinstate",
		"peers":       "peers",
		"peers-leave": "peers_leave",
	} {
		assert.Equal(t, want, commandLabel(command).String())
	}
}
