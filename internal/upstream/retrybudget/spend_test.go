package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestABudgetIsAShareOfFreshTxns(t *testing.T) {
	l := New(Limits{RetryRatio: 0.2, MinRetries: 2})
	for i := range 50 {
		l.RecordAttempt(100+float64(i)/100, 0, "a", false)
	}
	for range 11 {
		l.RecordAttempt(100.6, 0, "b", true)
	}
	assert.Equal(t, []Change{{Scope{-1, "b"}, false}}, l.TakeChanges(), "b had no fresh txn: its least is spent")
	l.RecordAttempt(100.6, 0, "c", true)
	assert.Equal(t, []Change{{Scope{0, ""}, false}}, l.TakeChanges())
	l.Advance(102)
	assert.Empty(t, l.TakeChanges(), "within the window")
	l.Advance(105)
	assert.Equal(t, []Change{{Scope{-1, "b"}, true}, {Scope{0, ""}, true}}, l.TakeChanges())
	assert.Empty(t, l.accounts, "and what is not used is forgotten")
}

func TestWithoutAShareThereIsNoBudget(t *testing.T) {
	l := New(Limits{})
	for range 99 {
		l.RecordAttempt(1, 0, "a", true)
	}
	assert.Empty(t, l.TakeChanges())
	assert.Empty(t, l.accounts)
}

// While a budget that was told to be spent is heeded, further hops in any window stay within it.
func TestFurtherHopsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Limits{RetryRatio: 0.25, MinRetries: 3})
		now, spent := 50.0, map[Scope]bool{}
		type hop struct {
			at      float64
			further bool
		}
		var all []hop
		for range rapid.IntRange(10, 400).Draw(t, "n") {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			further := rapid.Bool().Draw(t, "further")
			if l.Advance(now); further && (spent[Scope{0, ""}] || spent[Scope{-1, "a"}]) {
				further = false
			} else {
				l.RecordAttempt(now, 0, "a", further)
				all = append(all, hop{now, further})
			}
			for _, c := range l.TakeChanges() {
				spent[c.Scope] = !c.Available
			}
			fresh, more := 0.0, 0.0
			for _, h := range all {
				if h.further && h.at > now-window+slotTime {
					more++
				} else if !h.further && h.at > now-window-slotTime {
					fresh++
				}
			}
			if more > 3+0.25*fresh+1 {
				t.Fatalf("%v further hops for %v fresh ones", more, fresh)
			}
		}
	})
}
