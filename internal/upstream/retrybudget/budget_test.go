package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// When endpoints fail, retries of every request would add load to them. Retries are limited to a fraction of the first
// attempts plus a minimum, per class and per endpoint. A budget is available again when its window has passed.
func TestBudgetIsFractionOfFirstAttempts(t *testing.T) {
	b := New(Limits{RetryRatio: 0.2, MinRetries: 2})
	for i := range 50 {
		b.RecordAttempt(100+float64(i)/100, 0, "a", false)
	}
	for range 11 {
		b.RecordAttempt(100.6, 0, "b", true)
	}
	assert.Equal(t, []Change{{Scope{-1, "b"}, false}}, b.TakeChanges(), "b has only the minimum: no first attempts")
	b.RecordAttempt(100.6, 0, "c", true)
	assert.Equal(t, []Change{{Scope{0, ""}, false}}, b.TakeChanges())
	b.Advance(102)
	assert.Empty(t, b.TakeChanges(), "within the window")
	b.Advance(105)
	assert.Equal(t, []Change{{Scope{-1, "b"}, true}, {Scope{0, ""}, true}}, b.TakeChanges())
	assert.Empty(t, b.windows, "scopes without attempts are deleted")
}

// Without a retry ratio, retries are not limited and no attempts are counted.
func TestZeroRatioDisablesBudget(t *testing.T) {
	b := New(Limits{})
	for range 99 {
		b.RecordAttempt(1, 0, "a", true)
	}
	assert.Empty(t, b.TakeChanges())
	assert.Empty(t, b.windows)
}

// sentAttempt is a recorded attempt.
type sentAttempt struct {
	at      float64
	isRetry bool
}

// countInWindow counts the retries that are certainly in the window before a time, and the first attempts that may be
// in it.
func countInWindow(sent []sentAttempt, now float64) (firstAttempts, retries float64) {
	for _, a := range sent {
		if a.isRetry && a.at > now-windowSeconds+slotSeconds {
			retries++
		} else if !a.isRetry && a.at > now-windowSeconds-slotSeconds {
			firstAttempts++
		}
	}
	return firstAttempts, retries
}

// A budget that counts its windows wrongly allows too many retries while endpoints fail, which adds to their load. If
// no retry is sent on an exhausted budget, the retries in any window must stay within the budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{RetryRatio: 0.25, MinRetries: 3})
		now, exhausted := 50.0, map[Scope]bool{}
		var sent []sentAttempt
		for range rapid.IntRange(10, 400).Draw(t, "n") {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			isRetry := rapid.Bool().Draw(t, "isRetry")
			b.Advance(now)
			if !isRetry || (!exhausted[Scope{0, ""}] && !exhausted[Scope{-1, "a"}]) {
				b.RecordAttempt(now, 0, "a", isRetry)
				sent = append(sent, sentAttempt{now, isRetry})
			}
			for _, c := range b.TakeChanges() {
				exhausted[c.Scope] = !c.Available
			}
			firstAttempts, retries := countInWindow(sent, now)
			if retries > 3+0.25*firstAttempts+1 {
				t.Fatalf("%v retries for %v first attempts", retries, firstAttempts)
			}
		}
	})
}

// An exhausted budget becomes available again only below its share, not at the number of retries that exhausted it.
func TestExhaustedBudgetReopensBelowFraction(t *testing.T) {
	allowed := Limits{RetryRatio: 0.5, MinRetries: 5}.allowedRetries(10)
	assert.Equal(t, 10.0, allowed) //nolint:testifylint // exact by intent
	assert.False(t, isExhausted(allowed-1, allowed, false))
	assert.True(t, isExhausted(allowed, allowed, false))
	assert.True(t, isExhausted(reopenFraction*allowed, allowed, true))
	assert.False(t, isExhausted(reopenFraction*allowed-1, allowed, true))
}
