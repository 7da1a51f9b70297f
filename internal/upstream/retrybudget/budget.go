// Package retrybudget implements retry budgets. Retries are limited to a fraction of the recent first attempts, per
// request class and per endpoint. Without a budget, retries would double the load when many requests fail at once. The
// package does no I/O, has no clock and makes no decisions about attempts: it only reports whether a budget has retries
// left.
package retrybudget

import (
	"cmp"
	"maps"
	"slices"

	"cairnfront/routing"
)

const (
	// windowSeconds is the time for which attempts are counted. It equals the longest outlier ejection in routing
	// (maxEjectionSeconds), so that the retries of a failed endpoint fall within one window.
	windowSeconds = 4.0

	// slotCount is the number of slots of the window. Old attempts leave the window one slot at a time.
	slotCount = 8

	// slotSeconds is the duration of one slot.
	slotSeconds = windowSeconds / slotCount

	// reopenFraction is the fraction of the budget below which an exhausted budget becomes available again. The
	// hysteresis prevents a change with every single retry.
	reopenFraction = 0.8
)

// anyClass is the class in the scope of an endpoint's budget.
const anyClass routing.ClassIndex = -1

// Limits are the limits of each budget.
type Limits struct {
	RetryRatio float64 // retries per first attempt; 0 or less disables budgets
	MinRetries float64 // retries per window in addition to those of RetryRatio, so that low traffic can be retried
}

// Scope identifies the request class of a budget, or the endpoint if one is set.
type Scope struct {
	Class    routing.ClassIndex
	Endpoint routing.EndpointID
}

// Change reports that a budget is exhausted, or available again.
type Change struct {
	Scope
	Available bool
}

// window counts the recent attempts of one scope.
type window struct {
	firstAttempts [slotCount]float64
	retries       [slotCount]float64
	slot          int64 // index of the current slot, counted from time 0
	exhausted     bool  // last reported state
}

// Budget is the set of the budgets of all scopes. Each scope has its own budget, with its own window. Budget is not
// safe for concurrent use.
type Budget struct {
	limits  Limits
	now     float64 // monotonic seconds; the latest time passed by any call
	windows map[Scope]*window
	changes []Change
}

// New returns budgets with no recorded attempts.
func New(limits Limits) *Budget { return &Budget{limits: limits, windows: map[Scope]*window{}} }

// RecordAttempt counts the first attempt of a request, or a retry.
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

// Advance sets the current time. Exhausted budgets become available again when enough retries have left the window, and
// scopes without attempts in the window are deleted.
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

// currentSlot returns the index of the slot of the current time.
func (b *Budget) currentSlot() int64 { return int64(b.now / slotSeconds) }

// window returns the window of a scope, advanced to the current time.
func (b *Budget) window(scope Scope) *window {
	w := b.windows[scope]
	if w == nil {
		w = &window{slot: b.currentSlot()}
		b.windows[scope] = w
	}
	w.advance(b.currentSlot())
	return w
}

// update records a change if a budget was exhausted or became available.
func (b *Budget) update(scope Scope, w *window) {
	allowed := b.limits.allowedRetries(sum(w.firstAttempts))
	exhausted := isExhausted(sum(w.retries), allowed, w.exhausted)
	if exhausted != w.exhausted {
		w.exhausted = exhausted
		b.changes = append(b.changes, Change{Scope: scope, Available: !exhausted})
	}
}

// allowedRetries returns the number of retries that the budget allows for a number of first attempts in the window.
func (l Limits) allowedRetries(firstAttempts float64) float64 {
	return l.MinRetries + l.RetryRatio*firstAttempts
}

// isExhausted reports whether a budget is exhausted, given the number of retries in the window and whether it was
// exhausted before.
//
// It guards against retries that keep an endpoint overloaded: the more requests fail, the more attempts they make, and
// the number of attempts far exceeds that of requests. An exhausted budget stays exhausted until retries are clearly
// below the allowed number, so that its state does not change with every single retry.
func isExhausted(retries, allowed float64, wasExhausted bool) bool {
	if wasExhausted {
		return retries >= reopenFraction*allowed
	}
	return retries >= allowed
}

// sortedScopes returns the scopes in sorted order, so that the same events yield changes in the same order.
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

// isEmpty reports whether the window contains no attempts.
func (w *window) isEmpty() bool { return sum(w.firstAttempts)+sum(w.retries) == 0 }

func sum(slots [slotCount]float64) (total float64) {
	for _, n := range slots {
		total += n
	}
	return total
}
