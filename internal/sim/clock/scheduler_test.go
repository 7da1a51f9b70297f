package clock

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEventsRunInTheOrderOfTimeAndScheduling: a simulation is reproducible only if events of the same time have an
// order. Times that have passed, or that are no number, count as now.
func TestEventsRunInTheOrderOfTimeAndScheduling(t *testing.T) {
	s := New(1, 2, 10)
	var ran []string
	note := func(text string) func() { return func() { ran = append(ran, text) } }
	s.At(12, note("second at 12"))
	s.After(1, note("at 11"))
	s.At(12, note("third at 12"))
	s.At(3, note("past counts as now"))
	s.At(math.NaN(), note("no number counts as now"))
	s.At(11.5, func() {
		assert.Equal(t, 11.5, s.Now()) //nolint:testifylint // exact by intent
		s.After(0.25, note("at 11.75, scheduled by an event"))
	})
	s.At(20, note("after the end"))
	assert.Equal(t, 7, s.RunUntil(15))
	assert.Equal(t, 15.0, s.Now()) //nolint:testifylint // exact by intent
	assert.Equal(t, []string{
		"past counts as now",
		"no number counts as now",
		"at 11",
		"at 11.75, scheduled by an event",
		"second at 12",
		"third at 12",
	}, ran)
	assert.Equal(t, 1, s.RunUntil(20))
}

// TestSameSeedAndStreamDrawTheSame: a failed run can be repeated only if its random numbers follow from the seed, and
// streams of one seed are independent.
func TestSameSeedAndStreamDrawTheSame(t *testing.T) {
	first, again, other := New(7, 1, 0), New(7, 1, 0), New(7, 2, 0)
	drawn := first.Rand.Uint64()
	assert.Equal(t, drawn, again.Rand.Uint64())
	assert.NotEqual(t, drawn, other.Rand.Uint64())
}
