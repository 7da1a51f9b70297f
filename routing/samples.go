package routing

// appendSample appends to the last samples, of which it keeps a number at most.
func appendSample[S any](samples []S, sample S, most int) []S {
	if len(samples) >= most {
		samples = append(samples[:0], samples[len(samples)-most+1:]...)
	}
	return append(samples, sample)
}

// meanIfEnough is the mean of samples once there are so many of them.
func meanIfEnough(samples []float64, enough int, otherwise float64) float64 {
	if len(samples) < enough {
		return otherwise
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

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
