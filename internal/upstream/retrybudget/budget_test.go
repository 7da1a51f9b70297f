package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Endpoints fail and every request is sent again, which adds load where it is least wanted. Retries are bounded by a
// share of the first attempts, with a minimum, by class and by endpoint. A budget is open again once its window has
// passed.
func TestBudgetIsAShareOfFirstAttempts(t *testing.T) {
	b := New(Limits{RetryRatio: 0.2, MinRetries: 2})
	for i := range 50 {
		b.RecordAttempt(100+float64(i)/100, 0, "a", false)
	}
	for range 11 {
		b.RecordAttempt(100.6, 0, "b", true)
	}
	assert.Equal(t, []Change{{Scope{-1, "b"}, false}}, b.TakeChanges(), "b had no first attempt: it has the minimum")
	b.RecordAttempt(100.6, 0, "c", true)
	assert.Equal(t, []Change{{Scope{0, ""}, false}}, b.TakeChanges())
	b.Advance(102)
	assert.Empty(t, b.TakeChanges(), "within the window")
	b.Advance(105)
	assert.Equal(t, []Change{{Scope{-1, "b"}, true}, {Scope{0, ""}, true}}, b.TakeChanges())
	assert.Empty(t, b.windows, "scopes without attempts are forgotten")
}

// An installation sets no ratio. Retries are not bounded then, and nothing is remembered.
func TestWithoutARatioThereIsNoBudget(t *testing.T) {
	b := New(Limits{})
	for range 99 {
		b.RecordAttempt(1, 0, "a", true)
	}
	assert.Empty(t, b.TakeChanges())
	assert.Empty(t, b.windows)
}

// sentAttempt is an attempt as it was recorded.
type sentAttempt struct {
	at      float64
	isRetry bool
}

// countInWindow counts the retries that lie within the window before a time for sure, and the first attempts that may.
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

// A budget whose windows are counted wrongly lets retries through while endpoints fail, and adds to their load. While
// no retry is sent on an exhausted budget, the retries in any window stay within it.
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

// TestExhaustedBudgetReopensBelowItsShare: and not at the number of retries at which it was exhausted.
func TestExhaustedBudgetReopensBelowItsShare(t *testing.T) {
	allowed := Limits{RetryRatio: 0.5, MinRetries: 5}.allowedRetries(10)
	assert.Equal(t, 10.0, allowed) //nolint:testifylint // exact by intent
	assert.False(t, isExhausted(allowed-1, allowed, false))
	assert.True(t, isExhausted(allowed, allowed, false))
	assert.True(t, isExhausted(reopenShare*allowed, allowed, true))
	assert.False(t, isExhausted(reopenShare*allowed-1, allowed, true))
}
