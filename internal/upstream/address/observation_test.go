package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestConditionsHaveNamesForTextAndForReports compares the names in printed text, and those in the JSON of a Status,
// which stay.
func TestConditionsHaveNamesForTextAndForReports(t *testing.T) {
	var texts, wireNames []string
	for condition := Healthy; condition <= Disabled; condition++ {
		texts = append(texts, condition.String())
		wireNames = append(wireNames, condition.WireName())
		parsed, ok := ParseConditionWireName(condition.WireName())
		assert.True(t, ok)
		assert.Equal(t, condition, parsed)
	}
	assert.Equal(t, []string{
		"healthy", "connect_refused", "connect_timed_out", "connection_broken", "unresponsive", "disabled",
	}, texts)
	assert.Equal(t, []string{"well", "refused", "hung", "broken", "quiet", "by-hand"}, wireNames)
	_, ok := ParseConditionWireName("healthy")
	assert.False(t, ok, "a name of printed text")
}
