package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The names of the conditions in printed text must match the list. So must those in the JSON of a Status, which are
// part of the external format and must not change.
func TestConditionNames(t *testing.T) {
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
	assert.False(t, ok, "printed names are not accepted")
}
