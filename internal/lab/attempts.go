package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cairnfront/internal/lab/report"
)

// attemptRecord is an attempt from when it had come whole until its answer was written, it was cancelled or its
// connection ended.
type attemptRecord struct {
	id        string // of the request
	class     string
	key       string // idempotency key
	address   int    // index of the stand-in's address
	startedAt float64
	endedAt   float64 // 0 while it is open
	mode      addressMode
}

// openTogether says whether two attempts were open at the same time, for longer than a margin, s.
func (attempt *attemptRecord) openTogether(other *attemptRecord, margin float64) bool {
	return attempt.openAfter(other.startedAt+margin) && other.openAfter(attempt.startedAt+margin)
}

// openAfter says whether an attempt was still open after a time.
func (attempt *attemptRecord) openAfter(at float64) bool {
	return attempt.endedAt == 0 || attempt.endedAt > at
}

// minOrderingMargin is how much later, s, a stand-in's goroutine may come to read a line than another that was
// written after it on another connection, on a machine with idle cores. A shorter overlap is none.
const minOrderingMargin = 0.010

// schedulingDelay measures how late goroutines of this process come to run. On a machine whose cores are busy they
// wait tens of milliseconds. What two of them saw cannot be ordered more finely than that.
type schedulingDelay struct {
	mu         sync.Mutex
	maxSeconds float64
}

// watch measures until the context ends.
func (delay *schedulingDelay) watch(ctx context.Context) {
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

// orderingMargin is the time, s, within which two lines on two connections cannot be ordered. One goroutine may have
// been as late as the latest, and the other not at all, and each waits for a core and for a lock.
func (delay *schedulingDelay) orderingMargin() float64 {
	delay.mu.Lock()
	defer delay.mu.Unlock()
	return minOrderingMargin + 2*delay.maxSeconds
}

// findOverlappingAttempts counts the pairs of attempts of a request that were open at the same time, and the requests
// of non-idempotent classes that came whole more than once. Said has one line for each.
func findOverlappingAttempts(
	standIns []*endpointStandIn, margin float64, nonIdempotent map[string]bool,
) (overlapping, repeats int64, said []string) {
	byRequest := map[string][]*attemptRecord{}
	for _, standIn := range standIns {
		standIn.mu.Lock()
		for _, attempt := range standIn.attempts {
			byRequest[attempt.id] = append(byRequest[attempt.id], attempt)
		}
		standIn.mu.Unlock()
	}
	for _, id := range report.SortedKeys(byRequest) {
		attempts := byRequest[id]
		for range overlappingPairs(attempts, margin) {
			overlapping++
			said = append(said, fmt.Sprintf("txn %s: two hops were out at the same time", id))
		}
		if nonIdempotent[attempts[0].class] && len(attempts) > 1 {
			repeats++
			said = append(said, fmt.Sprintf("unrepeatable txn %s came %d times", id, len(attempts)))
		}
	}
	return overlapping, repeats, said
}

// overlappingPairs counts the pairs of attempts that were open at the same time.
func overlappingPairs(attempts []*attemptRecord, margin float64) int {
	pairs := 0
	for i, attempt := range attempts {
		for _, earlier := range attempts[:i] {
			if attempt.openTogether(earlier, margin) {
				pairs++
			}
		}
	}
	return pairs
}
