package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An operator has disabled an address, and a fault or an answer changes its condition. It would be used again against
// the order. No fault takes it back into use, and a trial ends with any change.
func TestOnlyAnOperatorChangesADisabledAddress(t *testing.T) {
	for from := range conditionCount {
		for to := range conditionCount {
			a := &address{condition: from, inTrial: true}
			allowed := from != Disabled || to == Healthy || to == Disabled
			assert.Equal(t, allowed, a.setCondition(3, to), "%v to %v", from, to)
			if allowed {
				assert.Equal(t, to, a.condition)
				assert.Equal(t, 3.0, a.changedAt) //nolint:testifylint // exact by intent
				assert.False(t, a.inTrial)
			} else {
				assert.Equal(t, from, a.condition)
			}
		}
	}
}

// TestCooldownsGrowWithinTheirBounds: from the shortest one up to that of the fault, whatever the chance.
func TestCooldownsGrowWithinTheirBounds(t *testing.T) {
	for _, fault := range []Condition{Refused, TimedOut, Broken, Silent} {
		longest := maxCooldownSeconds
		if fault == Silent {
			longest = maxSilentCooldownSeconds
		}
		previous := 0.0
		for range 20 {
			//nolint:testifylint // exact by intent
			assert.Equal(t, firstCooldownSeconds, cooldownSeconds(previous, fault, 0))
			next := cooldownSeconds(previous, fault, 1)
			assert.GreaterOrEqual(t, next, previous)
			assert.LessOrEqual(t, next, max(previous, firstCooldownSeconds)*cooldownGrowth)
			previous = next
		}
		assert.Equal(t, longest, previous, "%v", fault) //nolint:testifylint // exact by intent
	}
}

// TestSilenceIsLongerThanUsualWaits: by the least wait where nothing is known, by the usual one else.
func TestSilenceIsLongerThanUsualWaits(t *testing.T) {
	assert.False(t, isSilent(minSilenceSeconds/2, 0))
	assert.True(t, isSilent(minSilenceSeconds, 0))
	assert.False(t, isSilent(silenceFactor/2, 1))
	assert.True(t, isSilent(silenceFactor, 1))
}
