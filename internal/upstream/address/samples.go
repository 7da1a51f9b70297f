package address

// maxSamples is the number of stored samples. It is small, so that the mean follows a change quickly.
const maxSamples = 8

// samples are the latest measured durations in seconds, oldest first.
type samples []float64

// add appends a sample and drops the oldest one if there are maxSamples.
func (s *samples) add(seconds float64) {
	if len(*s) >= maxSamples {
		*s = append((*s)[:0], (*s)[1:]...)
	}
	*s = append(*s, seconds)
}

// mean returns the mean of the samples, or 0 if there are none.
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
