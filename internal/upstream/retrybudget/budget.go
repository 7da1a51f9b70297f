// Package retrybudget keeps retry budgets: a share of the first attempts of the last seconds, for each request class
// and for each endpoint. Without a budget the load doubles just when many requests want a retry. The package does no
// I/O, has no clock, and decides on no attempt: it says whether a budget has something left, as a fact for the
// decisions.
package retrybudget

import (
	"cmp"
	"maps"
	"slices"

	"cairnfront/routing"
)

const (
	// windowSeconds is the time over which attempts count. It is as long as an outlier ejection of the decisions, so
	// that the retries of a lost endpoint fall within one window.
	windowSeconds = 4.0

	// slotCount is the number of slots of the window. Old attempts leave it by one slot at a time.
	slotCount = 8

	// slotSeconds is the time that one slot counts.
	slotSeconds = windowSeconds / slotCount

	// reopenShare is the share of the budget under which an exhausted one is available again, so that it does not
	// change at each single retry.
	reopenShare = 0.8
)

// anyClass is the class of the scope of an endpoint.
const anyClass routing.ClassIndex = -1

// Limits are the limits of each budget.
type Limits struct {
	RetryRatio float64 // retries for each first attempt; 0 or less for no budgets
	MinRetries float64 // retries in the window that are always allowed, so that low traffic goes on retrying
}

// Scope is what a budget is for: a request class, or an endpoint where it is named.
type Scope struct {
	Class    routing.ClassIndex
	Endpoint routing.EndpointID
}

// Change says that a budget is exhausted, or available again.
type Change struct {
	Scope
	Available bool
}

// window is the attempts of one scope in the last seconds.
type window struct {
	firstAttempts [slotCount]float64
	retries       [slotCount]float64
	slot          int64 // the slot that is being filled, counted from time 0
	exhausted     bool  // as it was reported last
}

// Budget is the budgets of all scopes. It is not safe for more than one goroutine.
type Budget struct {
	limits  Limits
	now     float64 // monotonic seconds, the latest time that a call gave
	windows map[Scope]*window
	changes []Change
}

// New returns budgets of which nothing is used.
func New(limits Limits) *Budget { return &Budget{limits: limits, windows: map[Scope]*window{}} }

// RecordAttempt counts an attempt of a request: its first one, or a retry.
func (b *Budget) RecordAttempt(now float64, class routing.ClassIndex, endpoint routing.EndpointID, isRetry bool) {
	if b.limits.RetryRatio <= 0 {
		return
	}
	b.now = max(b.now, now)
	for _, scope := range []Scope{{Class: class}, {Class: anyClass, Endpoint: endpoint}} {
		w := b.window(scope)
		if isRetry {
			w.retries[w.slot%slotCount]++
		} else {
			w.firstAttempts[w.slot%slotCount]++
		}
		b.update(scope, w)
	}
}

// Advance sets the time. Exhausted budgets become available again, and scopes without attempts in the window are
// forgotten.
func (b *Budget) Advance(now float64) {
	b.now = max(b.now, now)
	for _, scope := range b.sortedScopes() {
		w := b.windows[scope]
		w.advance(b.currentSlot())
		b.update(scope, w)
		if !w.exhausted && w.isEmpty() {
			delete(b.windows, scope)
		}
	}
}

// TakeChanges returns the changes since the last call.
func (b *Budget) TakeChanges() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

// currentSlot returns the slot of the present time.
func (b *Budget) currentSlot() int64 { return int64(b.now / slotSeconds) }

// window returns a scope's window up to the present time.
func (b *Budget) window(scope Scope) *window {
	w := b.windows[scope]
	if w == nil {
		w = &window{slot: b.currentSlot()}
		b.windows[scope] = w
	}
	w.advance(b.currentSlot())
	return w
}

// update notes whether a budget was exhausted or became available.
func (b *Budget) update(scope Scope, w *window) {
	allowed := b.limits.allowedRetries(sum(w.firstAttempts))
	exhausted := isExhausted(sum(w.retries), allowed, w.exhausted)
	if exhausted != w.exhausted {
		w.exhausted = exhausted
		b.changes = append(b.changes, Change{Scope: scope, Available: !exhausted})
	}
}

// allowedRetries returns how many retries the budget allows for so many first attempts in the window.
func (l Limits) allowedRetries(firstAttempts float64) float64 {
	return l.MinRetries + l.RetryRatio*firstAttempts
}

// isExhausted says whether a budget is exhausted with so many retries in the window, by whether it was before.
//
// It guards against retries that hold an overloaded endpoint down: the more requests fail, the more attempts they make.
// That shows as many more attempts than requests. A budget that is exhausted stays so until retries are clearly fewer
// than allowed, so that it does not change with every single one.
func isExhausted(retries, allowed float64, before bool) bool {
	if before {
		return retries >= reopenShare*allowed
	}
	return retries >= allowed
}

// sortedScopes returns the scopes in order, so that changes come in the same order for the same events.
func (b *Budget) sortedScopes() []Scope {
	return slices.SortedFunc(maps.Keys(b.windows), func(x, y Scope) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Endpoint, y.Endpoint))
	})
}

// advance moves the window to a slot and clears the slots that it enters.
func (w *window) advance(slot int64) {
	for n := min(slot-w.slot, slotCount); n > 0; n-- {
		entered := (slot - n + 1) % slotCount
		w.firstAttempts[entered] = 0
		w.retries[entered] = 0
	}
	w.slot = max(w.slot, slot)
}

// isEmpty says whether no attempt is in the window.
func (w *window) isEmpty() bool { return sum(w.firstAttempts)+sum(w.retries) == 0 }

func sum(slots [slotCount]float64) (total float64) {
	for _, n := range slots {
		total += n
	}
	return total
}
