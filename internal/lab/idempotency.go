package lab

import "sync"

// idempotencyRecords is what the stand-ins remember of idempotency keys, shared by all. A repeat within the window is
// dropped.
type idempotencyRecords struct {
	mu        sync.Mutex
	lastRunAt map[string]float64 // Unix s, by key
}

// shouldRun says whether a request that comes now runs, and records that it does.
func (records *idempotencyRecords) shouldRun(key string, now float64) bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	if at, known := records.lastRunAt[key]; known && now < at+keyRetentionSeconds {
		return false
	}
	if records.lastRunAt == nil {
		records.lastRunAt = map[string]float64{}
	}
	records.lastRunAt[key] = now
	return true
}
