package verify

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
)

// minOrderingMarginSeconds is the delay, on a machine with idle cores, between the reads of two goroutines: one may
// read its line this much later than another goroutine reads a line that was written later, on another connection. A
// shorter overlap of attempts does not count.
const minOrderingMarginSeconds = 0.010

// SchedulingDelay measures the delay until goroutines of this process are scheduled. On a machine with busy cores they
// wait tens of milliseconds. Events that two goroutines observed cannot be ordered more precisely than that.
type SchedulingDelay struct {
	mu         sync.Mutex
	maxSeconds float64
}

// Watch measures until the context ends.
func (delay *SchedulingDelay) Watch(ctx context.Context) {
	const step = time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(step)
		now := time.Now()
		delay.mu.Lock()
		delay.maxSeconds = max(delay.maxSeconds, (now.Sub(last) - step).Seconds())
		delay.mu.Unlock()
		last = now
	}
}

// OrderingMargin returns the time in seconds within which two lines on two connections cannot be ordered. One goroutine
// may have had the maximum delay and the other none, and each waits for a core and for a lock.
func (delay *SchedulingDelay) OrderingMargin() float64 {
	delay.mu.Lock()
	defer delay.mu.Unlock()
	return minOrderingMarginSeconds + 2*delay.maxSeconds
}

// OverlappingAttempts counts the pairs of attempts of one request that were open at the same time, and the requests of
// non-idempotent classes that were received completely more than once. The list of violations has one line for each.
func OverlappingAttempts(
	attempts []*standin.Attempt, margin float64, nonIdempotent map[string]bool,
) (overlapping, repeats int64, violations []string) {
	byRequest := map[string][]*standin.Attempt{}
	for _, attempt := range attempts {
		byRequest[attempt.ID] = append(byRequest[attempt.ID], attempt)
	}
	for _, id := range report.SortedKeys(byRequest) {
		attempts := byRequest[id]
		for range overlappingPairs(attempts, margin) {
			overlapping++
			violations = append(violations, fmt.Sprintf("request %s: two attempts were in flight at the same time", id))
		}
		if nonIdempotent[attempts[0].Class] && len(attempts) > 1 {
			repeats++
			violations = append(
				violations,
				fmt.Sprintf("non-idempotent request %s was received %d times", id, len(attempts)),
			)
		}
	}
	return overlapping, repeats, violations
}

// overlappingPairs counts the pairs of attempts that were open at the same time.
func overlappingPairs(attempts []*standin.Attempt, margin float64) int {
	pairs := 0
	for i, attempt := range attempts {
		for _, earlier := range attempts[:i] {
			if attempt.Overlaps(earlier, margin) {
				pairs++
			}
		}
	}
	return pairs
}
