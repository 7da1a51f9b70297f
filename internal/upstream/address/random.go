package address

// Parameters of the permuted congruential generator PCG32 (XSH RR), as published by O'Neill.
const (
	pcgMultiplier    = 6364136223846793005
	pcgIncrement     = 1442695040888963407
	pcgXorShift      = 18
	pcgOutputShift   = 27
	pcgRotationShift = 59
	pcgRotationMask  = 31
	pcgOutputRange   = 1 << 32
)

// random returns the next random number, in the range [0, 1).
func (s *Selector) random() float64 {
	old := s.randomState
	s.randomState = old*pcgMultiplier + pcgIncrement
	shifted := uint32((old>>pcgXorShift ^ old) >> pcgOutputShift)
	rotation := uint32(old >> pcgRotationShift)
	return float64(shifted>>rotation|shifted<<(-rotation&pcgRotationMask)) / pcgOutputRange
}
