package frontend

import (
	"time"

	"cairnfront/internal/clock"
)

const (
	// maxReadLag is how long after its arrival a request is admitted. By the protocol, no attempt may begin later than
	// 0.1 s after its client has cancelled, which is seen only when it is read.
	maxReadLag = 80 * time.Millisecond

	// maxShareWait is how long a connection's reader waits for its share of the places or of the memory for bodies, in
	// one wait or several in a row. After it requests are rejected.
	maxShareWait = maxReadLag / 2

	// minShareWait is the shortest wait: shorter ones would cost more than the room that comes in them.
	minShareWait = maxShareWait / 8

	// waitRefillShare is the part of the time without a wait that may be waited for later.
	waitRefillShare = 0.5
)

// waitBudget limits how long a connection's reader waits. Its zero value is full.
//
// It guards against requests that are read late, behind many that each wait for a short time.
type waitBudget struct {
	left      time.Duration
	updatedAt clock.Instant // end of the last wait
}

// available returns how long the reader may wait now, 0 for less than minShareWait.
func (b *waitBudget) available(now clock.Instant) time.Duration {
	if b.updatedAt.IsZero() {
		return maxShareWait
	}
	refill := time.Duration(waitRefillShare * float64(now.Sub(b.updatedAt)))
	if b.left+refill < minShareWait {
		return 0
	}
	return min(b.left+refill, maxShareWait)
}

// spend records a wait. One for which no time was available changes nothing.
func (b *waitBudget) spend(from, to clock.Instant) {
	available := b.available(from)
	if available == 0 {
		return
	}
	b.left = max(available-to.Sub(from), 0)
	b.updatedAt = to
}
