package lab

// attemptRecord is an attempt from when all of it had been received until its answer was written, it was cancelled or
// its connection ended.
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
