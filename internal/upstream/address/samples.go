package address

// maxSamples is how many samples are stored: few, so that a change shows soon.
const maxSamples = 8

// samples are the latest measured seconds, oldest first.
type samples []float64

// add takes one more sample in place of the oldest one.
func (s *samples) add(seconds float64) {
	if len(*s) >= maxSamples {
		*s = append((*s)[:0], (*s)[1:]...)
	}
	*s = append(*s, seconds)
}

// mean returns the mean, 0 where there are no samples.
func (s samples) mean() float64 {
	if len(s) == 0 {
		return 0
	}
	sum := 0.0
	for _, seconds := range s {
		sum += seconds
	}
	return sum / float64(len(s))
}
