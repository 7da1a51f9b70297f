package standin

import "sync"

// IdempotencyRecords is what the stand-ins remember of idempotency keys, shared by all. A repeat within the window is
// dropped.
type IdempotencyRecords struct {
	mu        sync.Mutex
	lastRunAt map[string]float64 // Unix s, by key
}

// ShouldRun says whether a request that comes now runs, and records that it does.
func (records *IdempotencyRecords) ShouldRun(key string, now float64) bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	if at, known := records.lastRunAt[key]; known && now < at+KeyRetentionSeconds {
		return false
	}
	if records.lastRunAt == nil {
		records.lastRunAt = map[string]float64{}
	}
	records.lastRunAt[key] = now
	return true
}
