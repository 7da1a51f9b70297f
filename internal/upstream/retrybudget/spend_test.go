package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestABudgetIsAShareOfFreshTxns(t *testing.T) {
	l := New(Terms{Share: 0.2, Least: 2})
	for i := range 50 {
		l.Sent(100+float64(i)/100, 0, "a", false)
	}
	for range 11 {
		l.Sent(100.6, 0, "b", true)
	}
	assert.Equal(t, []Change{{Scope{-1, "b"}, false}}, l.Changes(), "b had no fresh txn: its least is spent")
	l.Sent(100.6, 0, "c", true)
	assert.Equal(t, []Change{{Scope{0, ""}, false}}, l.Changes())
	l.Tick(102)
	assert.Empty(t, l.Changes(), "within the window")
	l.Tick(105)
	assert.Equal(t, []Change{{Scope{-1, "b"}, true}, {Scope{0, ""}, true}}, l.Changes())
	assert.Empty(t, l.accounts, "and what is not used is forgotten")
}

func TestWithoutAShareThereIsNoBudget(t *testing.T) {
	l := New(Terms{})
	for range 99 {
		l.Sent(1, 0, "a", true)
	}
	assert.Empty(t, l.Changes())
	assert.Empty(t, l.accounts)
}

// While a budget that was told to be spent is heeded, further hops in any window stay within it.
func TestFurtherHopsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Terms{Share: 0.25, Least: 3})
		now, spent := 50.0, map[Scope]bool{}
		type hop struct {
			at      float64
			further bool
		}
		var all []hop
		for range rapid.IntRange(10, 400).Draw(t, "n") {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			further := rapid.Bool().Draw(t, "further")
			if l.Tick(now); further && (spent[Scope{0, ""}] || spent[Scope{-1, "a"}]) {
				further = false
			} else {
				l.Sent(now, 0, "a", further)
				all = append(all, hop{now, further})
			}
			for _, c := range l.Changes() {
				spent[c.Scope] = !c.Open
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
