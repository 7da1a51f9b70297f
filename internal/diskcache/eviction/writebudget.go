package eviction

import "math"

const (
	// burstShare is the share of the daily budget that may be written at once: one hour's.
	burstShare = 1. / 24
	// scarceShare is the share of the burst under which writing costs more, up to twice as much when it is empty.
	scarceShare = 0.5
	secondsADay = 86400
)

// writeBudget limits the bytes written per day with a token bucket. Without a daily limit it is infinite.
type writeBudget struct {
	dailyBytes int64
	tokens     float64 // bytes
	refilledAt float64 // Unix seconds
}

func newWriteBudget(dailyBytes int64) writeBudget {
	return writeBudget{dailyBytes: dailyBytes, tokens: float64(dailyBytes) * burstShare}
}

func (b *writeBudget) limited() bool { return b.dailyBytes > 0 }

// refill adds the tokens gained since the last call.
func (b *writeBudget) refill(now float64) {
	if b.refilledAt > 0 && now > b.refilledAt {
		rate := float64(b.dailyBytes) / secondsADay
		b.tokens = min(b.tokens+rate*(now-b.refilledAt), float64(b.dailyBytes)*burstShare)
	}
	b.refilledAt = max(b.refilledAt, now)
}

// available is the number of bytes that may be written now.
func (b *writeBudget) available(now float64) float64 {
	if !b.limited() {
		return math.Inf(1)
	}
	b.refill(now)
	return b.tokens
}

// surcharge is the factor by which writing costs more, 0 to 1, while the budget is scarce.
func (b *writeBudget) surcharge() float64 {
	if !b.limited() {
		return 0
	}
	burst := float64(b.dailyBytes) * burstShare
	return max(0, 1-b.tokens/burst/scarceShare)
}

func (b *writeBudget) take(size int64) { b.tokens -= float64(size) }
