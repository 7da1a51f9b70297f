package clock

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEventsRunInTheOrderOfTimeAndScheduling checks that events of the same time run in the order of their scheduling,
// without which a simulation is not reproducible. Times in the past, and NaN, are replaced by the current time.
func TestEventsRunInTheOrderOfTimeAndScheduling(t *testing.T) {
	s := New(1, 2, 10)
	var ran []string
	record := func(text string) func() { return func() { ran = append(ran, text) } }
	s.At(12, record("second at 12"))
	s.After(1, record("at 11"))
	s.At(12, record("third at 12"))
	s.At(3, record("past counts as now"))
	s.At(math.NaN(), record("NaN counts as now"))
	s.At(11.5, func() {
		assert.Equal(t, 11.5, s.Now()) //nolint:testifylint // exact by intent
		s.After(0.25, record("at 11.75, scheduled by an event"))
	})
	s.At(20, record("after the end"))
	assert.Equal(t, 7, s.RunUntil(15))
	assert.Equal(t, 15.0, s.Now()) //nolint:testifylint // exact by intent
	assert.Equal(t, []string{
		"past counts as now",
		"NaN counts as now",
		"at 11",
		"at 11.75, scheduled by an event",
		"second at 12",
		"third at 12",
	}, ran)
	assert.Equal(t, 1, s.RunUntil(20))
}

// TestSeedAndStreamDetermineRandomNumbers checks that the seed and the stream determine the random numbers, without
// which a failed run cannot be reproduced, and that different streams of one seed differ.
func TestSeedAndStreamDetermineRandomNumbers(t *testing.T) {
	first, repeated, other := New(7, 1, 0), New(7, 1, 0), New(7, 2, 0)
	drawn := first.Rand.Uint64()
	assert.Equal(t, drawn, repeated.Rand.Uint64())
	assert.NotEqual(t, drawn, other.Rand.Uint64())
}
