package eviction

import "math"

const (
	// burstShare is the bucket size as a share of the daily budget: the budget of one hour.
	burstShare = 1. / 24
	// lowBudgetShare is the fill level of the bucket below which the cost of writes rises. The cost is doubled when the
	// bucket is empty.
	lowBudgetShare = 0.5
	secondsPerDay  = 86400
)

// writeBudget limits the bytes written per day with a token bucket. It is unlimited if dailyBytes is 0.
type writeBudget struct {
	dailyBytes int64
	tokens     float64 // bytes
	refilledAt float64 // Unix seconds
}

func newWriteBudget(dailyBytes int64) writeBudget {
	return writeBudget{dailyBytes: dailyBytes, tokens: float64(dailyBytes) * burstShare}
}

func (b *writeBudget) limited() bool { return b.dailyBytes > 0 }

// refill adds the tokens accrued since the last call.
func (b *writeBudget) refill(now float64) {
	if b.refilledAt > 0 && now > b.refilledAt {
		rate := float64(b.dailyBytes) / secondsPerDay
		b.tokens = min(b.tokens+rate*(now-b.refilledAt), float64(b.dailyBytes)*burstShare)
	}
	b.refilledAt = max(b.refilledAt, now)
}

// available returns the number of bytes that may be written now, infinite without a daily limit.
func (b *writeBudget) available(now float64) float64 {
	if !b.limited() {
		return math.Inf(1)
	}
	b.refill(now)
	return b.tokens
}

// surcharge returns the relative increase of the cost of a write, from 0 (enough tokens) to 1 (no tokens left).
func (b *writeBudget) surcharge() float64 {
	if !b.limited() {
		return 0
	}
	burst := float64(b.dailyBytes) * burstShare
	return max(0, 1-b.tokens/burst/lowBudgetShare)
}

func (b *writeBudget) spend(size int64) { b.tokens -= float64(size) }
