package address

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An operator has disabled an address, and a fault or a response would change its condition. Only an operator may bring
// it back into use, and every change of the condition ends a trial.
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

// Cooldowns grow from the minimum to the maximum for the fault, whatever the random number.
func TestCooldownsGrowWithinBounds(t *testing.T) {
	for _, fault := range []Condition{Refused, TimedOut, Broken, Silent} {
		longest := maxCooldownSeconds
		if fault == Silent {
			longest = maxSilentCooldownSeconds
		}
		previous := 0.0
		for range 20 {
			//nolint:testifylint // exact by intent
			assert.Equal(t, minCooldownSeconds, cooldownSeconds(previous, fault, 0))
			next := cooldownSeconds(previous, fault, 1)
			assert.GreaterOrEqual(t, next, previous)
			assert.LessOrEqual(t, next, max(previous, minCooldownSeconds)*cooldownGrowth)
			previous = next
		}
		assert.Equal(t, longest, previous, "%v", fault) //nolint:testifylint // exact by intent
	}
}

// The limit for silence is the minimum wait if the usual time to the first byte is unknown, otherwise a multiple of
// that time.
func TestSilenceLimit(t *testing.T) {
	assert.False(t, isSilent(minSilenceSeconds/2, 0))
	assert.True(t, isSilent(minSilenceSeconds, 0))
	assert.False(t, isSilent(silenceFactor/2, 1))
	assert.True(t, isSilent(silenceFactor, 1))
}
