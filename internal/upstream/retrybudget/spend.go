// Package spend keeps a budget of further hops: a share of the fresh txns of the last seconds, for each remap rule and
// for each member. It does no I/O and decides on no hop: it says whether there is something left, as a fact for the
// decisions. In a bad hour every txn wants a further hop, and without a budget the load doubles just then.
package retrybudget

import (
	"sort"

	"cairnfront/routing"
)

const (
	slots    = 8   // of the window: old hops leave it an eighth at a time
	window   = 4.0 // s: as long as a bench of the decisions, so that a lost member's hops are within one
	slotTime = window / slots
	reopen   = 0.8 // share of the budget under which a spent one is open again: not at each single hop
)

// Terms of a budget.
type Limits struct {
	RetryRatio float64 // further hops a fresh txn
	MinRetries float64 // further hops in the window that are always there: low traffic must go on learning
}

// Scope is what a budget is for: a remap rule, or a member where it is named.
type Scope struct {
	Class    routing.ClassIndex
	Endpoint routing.EndpointID
}

// Change says that a budget is spent, or open again.
type Change struct {
	Scope
	Available bool
}

// account is one budget: about 150 bytes.
type account struct {
	fresh, further [slots]float64
	at             int64 // the slot that is being filled
	spent          bool
}

// Ledger is all budgets. It is not safe for more than one goroutine.
type Budget struct {
	terms    Limits
	now      float64
	accounts map[Scope]*account
	changes  []Change
}

// New makes a ledger; a share of 0 or less is no budget at all.
func New(t Limits) *Budget { return &Budget{terms: t, accounts: map[Scope]*account{}} }

func scopes(rule routing.ClassIndex, member routing.EndpointID) [2]Scope {
	return [2]Scope{{Class: rule}, {Class: -1, Endpoint: member}}
}

// move brings an account's slots up to now.
func (l *Budget) move(a *account) {
	slot := int64(l.now / slotTime)
	for n := min(slot-a.at, slots); n > 0; n-- {
		i := (slot - n + 1) % slots
		a.fresh[i], a.further[i] = 0, 0
	}
	a.at = max(a.at, slot)
}

func sum(list [slots]float64) (x float64) {
	for _, y := range list {
		x += y
	}
	return x
}

func (l *Budget) account(s Scope) *account {
	a := l.accounts[s]
	if a == nil {
		a = &account{at: int64(l.now / slotTime)}
		l.accounts[s] = a
	}
	l.move(a)
	return a
}

// judge notes whether an account's state has changed.
func (l *Budget) judge(s Scope, a *account) {
	budget, used := l.terms.MinRetries+l.terms.RetryRatio*sum(a.fresh), sum(a.further)
	if !a.spent && used >= budget || a.spent && used < reopen*budget {
		a.spent = !a.spent
		l.changes = append(l.changes, Change{s, !a.spent})
	}
}

// Sent notes a hop: a txn's first, or a further one.
func (l *Budget) RecordAttempt(now float64, rule routing.ClassIndex, member routing.EndpointID, further bool) {
	if l.terms.RetryRatio <= 0 {
		return
	}
	l.now = max(l.now, now)
	for _, s := range scopes(rule, member) {
		a := l.account(s)
		if i := a.at % slots; further {
			a.further[i]++
		} else {
			a.fresh[i]++
		}
		l.judge(s, a)
	}
}

// Tick lets time pass: what is spent opens again, and members that were not used for a window are forgotten.
func (l *Budget) Advance(now float64) {
	l.now = max(l.now, now)
	for _, s := range l.scopes() {
		a := l.accounts[s]
		l.move(a)
		if l.judge(s, a); !a.spent && sum(a.fresh)+sum(a.further) == 0 {
			delete(l.accounts, s)
		}
	}
}

func (l *Budget) scopes() []Scope {
	list := make([]Scope, 0, len(l.accounts))
	for s := range l.accounts {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Class < list[j].Class || list[i].Class == list[j].Class && list[i].Endpoint < list[j].Endpoint
	})
	return list
}

// Changes returns what has changed since it was last asked.
func (l *Budget) TakeChanges() []Change {
	c := l.changes
	l.changes = nil
	return c
}
