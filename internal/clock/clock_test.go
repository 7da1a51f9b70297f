package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestInstantsKeepTheirSpans shows that an instant turns into a time with the monotonic reading that deadlines need.
//
// A deadline without a monotonic reading moves when the wall clock is set.
func TestInstantsKeepTheirSpans(t *testing.T) {
	now := time.Now()
	instant := At(now)
	assert.True(t, now.Equal(instant.Time()))
	assert.Zero(t, now.Sub(instant.Time()))
	assert.InDelta(t, time.Second, At(now.Add(time.Second)).Sub(instant), 0)
	assert.InDelta(t, instant.Seconds(), FromSeconds(instant.Seconds()).Seconds(), 1e-6)
	assert.Contains(t, instant.Time().String(), "m=", "a monotonic reading")
	assert.InDelta(t, float64(time.Now().UnixNano()), float64(Now()), float64(time.Second))
}

// steppedClock is a pair of clocks of which the wall clock is stepped.
type steppedClock struct {
	monotonic time.Duration
	offset    time.Duration
}

func (c *steppedClock) read() Reading {
	return Reading{Instant: Instant(c.monotonic), UnixTime: c.monotonic + c.offset}
}

// TestUnixTimesAreUnchangedWithoutAStep holds the translation of a clock that is never stepped, also into the future.
//
// A translation that changes a time although no clock was set would make every purge too old or too new.
func TestUnixTimesAreUnchangedWithoutAStep(t *testing.T) {
	clocks := &steppedClock{monotonic: 1000 * time.Second, offset: 20 * time.Millisecond} // slewed
	wall := NewWall(clocks.read)
	assert.False(t, wall.Observe())
	for _, unixSeconds := range []float64{-5, 0, 999.5, 1000, 1003} {
		assert.InDelta(t, unixSeconds, wall.LatestInstant(unixSeconds), 0)
		assert.InDelta(t, unixSeconds, wall.EarliestInstant(unixSeconds), 0)
	}
}

// TestUnixTimesAreTranslatedSafelyAcrossSteps draws steps of the wall clock. A time may have been read from a clock
// before any of them or after, so each of those has to lie between the earliest and the latest instant.
//
// A purge that is taken for older than it is lets copies be served that it has invalidated.
func TestUnixTimesAreTranslatedSafelyAcrossSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := &steppedClock{monotonic: 10000 * time.Second}
		wall := NewWall(clocks.read)
		offsets := []time.Duration{0}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			clocks.monotonic += time.Second
			clocks.offset += time.Duration(rapid.SampledFrom([]int{-3600, -5, 5, 3600}).Draw(t, "step")) * time.Second
			offsets = append(offsets, clocks.offset)
			wall.Observe()
		}
		happened := clocks.monotonic - time.Duration(rapid.IntRange(0, 9000).Draw(t, "ago"))*time.Second
		clockOfTeller := rapid.SampledFrom(offsets).Draw(t, "offset")
		received := (happened + clockOfTeller).Seconds()
		latest, earliest := wall.LatestInstant(received), wall.EarliestInstant(received)
		if latest < happened.Seconds()-1e-6 || latest > clocks.monotonic.Seconds() {
			t.Fatalf("latest %v, happened %v, now %v", latest, happened.Seconds(), clocks.monotonic.Seconds())
		}
		if earliest > happened.Seconds()+1e-6 {
			t.Fatalf("earliest %v, happened %v", earliest, happened.Seconds())
		}
	})
}

// TestSlewedClockKeepsNewTimesNew sets the wall clock forward and back, and then slews it by less than a step. A time
// that was just read from it is a little ahead of the setting that is remembered.
//
// Such a time was taken for one of the other setting, an hour ago: a new purge seemed old, and copies from before it
// were accepted.
func TestSlewedClockKeepsNewTimesNew(t *testing.T) {
	for _, slew := range []time.Duration{-minStep + 1, -5 * time.Millisecond, 0, time.Millisecond, minStep - 1} {
		clocks := &steppedClock{monotonic: 10000 * time.Second}
		wall := NewWall(clocks.read)
		for _, offset := range []time.Duration{time.Hour, 0, slew} {
			clocks.offset = offset
			wall.Observe()
		}
		now := clocks.monotonic.Seconds()
		latest := wall.LatestInstant(now + slew.Seconds())
		assert.LessOrEqual(t, latest, now, "%v", slew)
		assert.GreaterOrEqual(t, latest, now+min(slew.Seconds(), 0)-1e-6, "%v", slew)
	}
}

// TestStepsAreBounded shows that the memory of a clock that is stepped without end does not grow.
//
// A time service slews the clock back by less than a step, a little at a time, and a purge is made by the slewed clock.
// Taken for older than it is, it would leave copies from just before it to be served.
func TestSlewedBackClockMakesNoTimeOlder(t *testing.T) {
	for _, before := range [][]time.Duration{nil, {time.Hour}, {time.Hour, 0}} {
		clocks := &steppedClock{monotonic: 10000 * time.Second}
		wall := NewWall(clocks.read)
		for _, offset := range before {
			clocks.offset = offset
			wall.Observe()
		}
		settled := clocks.offset
		for slewed := time.Duration(0); slewed < 2*minStep; slewed += 10 * time.Millisecond {
			clocks.monotonic += time.Second
			clocks.offset = settled - slewed
			happened := clocks.monotonic - time.Second/2
			latest := wall.LatestInstant((happened + clocks.offset).Seconds())
			assert.GreaterOrEqual(t, latest, happened.Seconds()-1e-6, "%v after %v", slewed, before)
			assert.LessOrEqual(t, latest, happened.Seconds()+minStep.Seconds(), "%v after %v", slewed, before)
		}
	}
}

// A machine whose clock is set again and again would let the process grow.
func TestStepsAreBounded(t *testing.T) {
	clocks := &steppedClock{}
	wall := NewWall(clocks.read)
	for range 10 * maxSteps {
		clocks.offset += time.Hour
		assert.True(t, wall.Observe())
	}
	assert.Len(t, wall.settings, maxSteps)
}
