package routing

// appendSample appends a sample and drops the oldest samples beyond the maximum number.
func appendSample[S any](samples []S, sample S, maxCount int) []S {
	if len(samples) >= maxCount {
		samples = append(samples[:0], samples[len(samples)-maxCount+1:]...)
	}
	return append(samples, sample)
}

// meanIfEnough returns the mean of at least a minimum number of samples, or the default value if there are fewer.
func meanIfEnough(samples []float64, minCount int, defaultValue float64) float64 {
	if len(samples) < minCount {
		return defaultValue
	}
	return mean(samples)
}

func mean(samples []float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		sum += sample
	}
	return sum / float64(len(samples))
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
