package standin

// Attempt is an attempt at a stand-in. It starts when it has been received completely and ends when its response was
// written, it was cancelled or its connection ended.
type Attempt struct {
	ID        string // request id
	Class     string
	key       string // idempotency key
	address   int    // index of the stand-in's address
	StartedAt float64
	EndedAt   float64 // 0 while the attempt is open
	Mode      AddressMode
}

// Overlaps reports whether two attempts were open at the same time for longer than a margin, in seconds.
func (attempt *Attempt) Overlaps(other *Attempt, margin float64) bool {
	return attempt.isOpenAfter(other.StartedAt+margin) && other.isOpenAfter(attempt.StartedAt+margin)
}

// isOpenAfter reports whether an attempt was still open after a time.
func (attempt *Attempt) isOpenAfter(at float64) bool {
	return attempt.EndedAt == 0 || attempt.EndedAt > at
}
