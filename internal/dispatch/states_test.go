package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an attempt that ends twice or a request that is answered twice: the counts of open attempts and
// requests would stay wrong. An attempt must end once, and a request must get one final response.
func TestStateTransitionsOnlyGoForward(t *testing.T) {
	for from := range sendStateCount {
		for to := range sendStateCount {
			a := &attempt{state: from}
			assert.Equal(t, to > from, a.transition(to), "attempt: %d to %d", from, to)
			assert.Equal(t, max(from, to), a.state, "attempt: %d to %d", from, to)
		}
	}
	for from := range requestStateCount {
		for to := range requestStateCount {
			o := &openRequest{state: from}
			assert.Equal(t, to > from, o.transition(to), "request: %d to %d", from, to)
			assert.Equal(t, max(from, to), o.state, "request: %d to %d", from, to)
		}
	}
}

// An attempt ends at the earlier of its own deadline and that of its request, or at the latter if its own is unset.
func TestEffectiveDeadlineIsTheEarlierOne(t *testing.T) {
	assert.Equal(t, 3.0, effectiveDeadline(3, 0)) //nolint:testifylint // exact by intent
	assert.Equal(t, 2.0, effectiveDeadline(3, 2)) //nolint:testifylint // exact by intent
	assert.Equal(t, 3.0, effectiveDeadline(3, 4)) //nolint:testifylint // exact by intent
}

// The wait for a time that has passed is zero, and so is the age of a purge whose time is in the future.
func TestWaitAndPurgeAgeAreNotNegative(t *testing.T) {
	assert.Equal(t, time.Second, waitUntil(3, 2))
	assert.Zero(t, waitUntil(2, 3))
	assert.Equal(t, 1.0, purgeAge(2, 3)) //nolint:testifylint // exact by intent
	assert.Zero(t, purgeAge(3, 2))
}
