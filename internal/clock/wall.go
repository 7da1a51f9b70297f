package clock

import (
	"slices"
	"time"
)

const (
	// minStep is the least change between the clocks that is taken for a step of the wall clock. Slewing moves both.
	minStep = 250 * time.Millisecond

	// maxSteps is how many settings of the wall clock are remembered, the newest ones.
	maxSteps = 16
)

// Reading is what both clocks show at one time.
type Reading struct {
	Instant  Instant
	UnixTime time.Duration // of the wall clock, since the Unix epoch
}

// System reads the system's clocks.
func System() Reading {
	now := time.Now()
	return Reading{Instant: At(now), UnixTime: time.Duration(now.UnixNano())}
}

// Wall translates Unix times that other processes sent to instants. It remembers how the wall clock was set since the
// process started, as it is not known whether a time was taken before a step or after it, nor whose clock was right. It
// holds maxSteps durations and is for one goroutine.
type Wall struct {
	read    func() Reading
	offsets []time.Duration // of the wall clock from the monotonic one, each setting once
}

// NewWall returns a Wall over a reading of the clocks, System in production.
func NewWall(read func() Reading) *Wall {
	w := &Wall{read: read, offsets: []time.Duration{0}}
	w.Observe()
	return w
}

// Observe checks whether the wall clock was stepped. It is to be called about once a second; the translations do too.
func (w *Wall) Observe() (stepped bool) {
	reading := w.read()
	offset := reading.UnixTime - time.Duration(reading.Instant)
	known := slices.ContainsFunc(w.offsets, func(other time.Duration) bool { return (offset - other).Abs() < minStep })
	if known {
		return false
	}
	w.offsets = append(w.offsets, offset)
	if len(w.offsets) > maxSteps {
		w.offsets = slices.Delete(w.offsets, 0, len(w.offsets)-maxSteps)
	}
	return true
}

// LatestInstant returns the latest instant, now at the latest, that a Unix time may stand for, both in seconds. Where
// the wall clock was never stepped that is the time itself, unchanged.
//
// A setting is known to less than minStep, as the clock may be slewed after it. So a time that is ahead of now by less
// than that was read just now. Passing over it would leave settings under which it is hours old: a new purge would seem
// old, and copies from before it would be served.
func (w *Wall) LatestInstant(unixSeconds float64) (instantSeconds float64) {
	w.Observe()
	if len(w.offsets) == 1 {
		return unixSeconds - w.offsets[0].Seconds()
	}
	now := w.read().Instant.Seconds()
	latest, found := now, false
	for _, offset := range w.offsets {
		candidate := unixSeconds - offset.Seconds()
		if candidate-now >= minStep.Seconds() { // under this setting it is still to come
			continue
		}
		candidate = min(candidate, now)
		if !found || candidate > latest {
			latest, found = candidate, true
		}
	}
	return latest
}

// EarliestInstant returns the earliest instant that a Unix time may stand for, both in seconds.
func (w *Wall) EarliestInstant(unixSeconds float64) (instantSeconds float64) {
	w.Observe()
	return unixSeconds - slices.Max(w.offsets).Seconds()
}
