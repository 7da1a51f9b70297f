package standin

import "sync"

// IdempotencyRecords stores the idempotency keys that the stand-ins have executed. All stand-ins share it. A repeated
// key within KeyRetentionSeconds is dropped.
type IdempotencyRecords struct {
	mu        sync.Mutex
	lastRunAt map[string]float64 // Unix time in seconds, by key
}

// ShouldRun reports whether a request that arrives now is executed, and if so records its key.
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
