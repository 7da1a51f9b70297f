package standin

// Attempt is an attempt from when all of it had been received until its answer was written, it was cancelled or
// its connection ended.
type Attempt struct {
	ID        string // of the request
	Class     string
	key       string // idempotency key
	address   int    // index of the stand-in's address
	StartedAt float64
	EndedAt   float64 // 0 while it is open
	Mode      AddressMode
}

// OpenTogether says whether two attempts were open at the same time, for longer than a margin, s.
func (attempt *Attempt) OpenTogether(other *Attempt, margin float64) bool {
	return attempt.openAfter(other.StartedAt+margin) && other.openAfter(attempt.StartedAt+margin)
}

// openAfter says whether an attempt was still open after a time.
func (attempt *Attempt) openAfter(at float64) bool {
	return attempt.EndedAt == 0 || attempt.EndedAt > at
}
