package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against an Instant that is converted to a time without a monotonic reading.
//
// A deadline without a monotonic reading changes when the wall clock is set.
func TestInstantsKeepTheMonotonicReading(t *testing.T) {
	now := time.Now()
	instant := At(now)
	assert.True(t, now.Equal(instant.Time()))
	assert.Zero(t, now.Sub(instant.Time()))
	assert.InDelta(t, time.Second, At(now.Add(time.Second)).Sub(instant), 0)
	assert.InDelta(t, instant.Seconds(), FromSeconds(instant.Seconds()).Seconds(), 1e-6)
	assert.Contains(t, instant.Time().String(), "m=", "the time has a monotonic reading")
	assert.InDelta(t, float64(time.Now().UnixNano()), float64(Now()), float64(time.Second))
}

// steppedClock is a monotonic clock and a wall clock whose offset the test can step.
type steppedClock struct {
	monotonic time.Duration
	offset    time.Duration
}

func (c *steppedClock) read() Reading {
	return Reading{Instant: Instant(c.monotonic), UnixTime: c.monotonic + c.offset}
}

// Checks that times are not changed if the wall clock is never stepped, also times in the future.
//
// A translation that changes a time although no clock was set would make every purge too old or too new.
func TestUnixTimesAreUnchangedWithoutAStep(t *testing.T) {
	clocks := &steppedClock{monotonic: 1000 * time.Second, offset: 20 * time.Millisecond} // less than a step
	wall := NewWallClock(clocks.read)
	assert.False(t, wall.Observe())
	for _, unixSeconds := range []float64{-5, 0, 999.5, 1000, 1003} {
		assert.InDelta(t, unixSeconds, wall.LatestInstant(unixSeconds), 0)
		assert.InDelta(t, unixSeconds, wall.EarliestInstant(unixSeconds), 0)
	}
}

// Checks random steps of the wall clock. A time may have been read from the clock before or after any of the steps, so
// the true time must be between the earliest and the latest instant in each case.
//
// If a purge seems older than it is, copies that it has invalidated are served.
func TestTrueTimeIsWithinTheTranslatedRangeAcrossSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := &steppedClock{monotonic: 10000 * time.Second}
		wall := NewWallClock(clocks.read)
		offsets := []time.Duration{0}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			clocks.monotonic += time.Second
			clocks.offset += time.Duration(rapid.SampledFrom([]int{-3600, -5, 5, 3600}).Draw(t, "step")) * time.Second
			offsets = append(offsets, clocks.offset)
			wall.Observe()
		}
		trueTime := clocks.monotonic - time.Duration(rapid.IntRange(0, 9000).Draw(t, "ago"))*time.Second
		senderOffset := rapid.SampledFrom(offsets).Draw(t, "offset")
		unixSeconds := (trueTime + senderOffset).Seconds()
		latest, earliest := wall.LatestInstant(unixSeconds), wall.EarliestInstant(unixSeconds)
		if latest < trueTime.Seconds()-1e-6 || latest > clocks.monotonic.Seconds() {
			t.Fatalf("latest %v, true time %v, now %v", latest, trueTime.Seconds(), clocks.monotonic.Seconds())
		}
		if earliest > trueTime.Seconds()+1e-6 {
			t.Fatalf("earliest %v, true time %v", earliest, trueTime.Seconds())
		}
	})
}

// Steps the wall clock forward and back, and then slews it by less than a step. A time that was just read from this
// clock is slightly ahead of the current time with the remembered offset.
//
// Guards against a regression: such a time was translated with the other offset, to an hour ago. A new purge seemed
// old, and copies from before the purge were accepted.
func TestNewTimesStayNewOnASlewedClock(t *testing.T) {
	for _, slew := range []time.Duration{-minStep + 1, -5 * time.Millisecond, 0, time.Millisecond, minStep - 1} {
		clocks := &steppedClock{monotonic: 10000 * time.Second}
		wall := NewWallClock(clocks.read)
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

// A time service slews the wall clock back in small changes that are less than a step.
//
// Guards against a purge that seems older than it is because its time was read from the slewed clock: copies from just
// before the purge would be served.
func TestBackwardSlewMakesNoTimeEarlier(t *testing.T) {
	for _, before := range [][]time.Duration{nil, {time.Hour}, {time.Hour, 0}} {
		clocks := &steppedClock{monotonic: 10000 * time.Second}
		wall := NewWallClock(clocks.read)
		for _, offset := range before {
			clocks.offset = offset
			wall.Observe()
		}
		settled := clocks.offset
		for slewed := time.Duration(0); slewed < 2*minStep; slewed += 10 * time.Millisecond {
			clocks.monotonic += time.Second
			clocks.offset = settled - slewed
			trueTime := clocks.monotonic - time.Second/2
			latest := wall.LatestInstant((trueTime + clocks.offset).Seconds())
			assert.GreaterOrEqual(t, latest, trueTime.Seconds()-1e-6, "%v after %v", slewed, before)
			assert.LessOrEqual(t, latest, trueTime.Seconds()+minStep.Seconds(), "%v after %v", slewed, before)
		}
	}
}

// Guards against memory that grows without limit on a machine whose clock is stepped again and again.
func TestRememberedOffsetsAreBounded(t *testing.T) {
	clocks := &steppedClock{}
	wall := NewWallClock(clocks.read)
	for range 10 * maxOffsets {
		clocks.offset += time.Hour
		assert.True(t, wall.Observe())
	}
	assert.Len(t, wall.offsets, maxOffsets)
}
