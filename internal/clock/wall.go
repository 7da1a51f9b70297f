package clock

import (
	"slices"
	"time"
)

const (
	// minStep is the least change between the clocks that is taken for a step of the wall clock. Slewing moves both.
	minStep = 250 * time.Millisecond

	// minSlew is the least change that is taken for slewing. What is less may lie between the reads of the two clocks.
	minSlew = time.Millisecond

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

// setting is how the wall clock was set: its offset from the monotonic one.
type setting struct {
	offset time.Duration // as it was first observed
	lowest time.Duration // to which it was slewed since
}

// Wall translates Unix times that other processes sent to instants. It remembers how the wall clock was set since the
// process started, as it is not known whether a time was taken before a step or after it, nor whose clock was right. It
// holds maxSteps settings and is for one goroutine.
type Wall struct {
	read     func() Reading
	settings []setting // each once
}

// NewWall returns a Wall over a reading of the clocks, System in production.
func NewWall(read func() Reading) *Wall {
	w := &Wall{read: read, settings: []setting{{}}}
	w.Observe()
	return w
}

// Observe checks whether the wall clock was stepped. It is to be called about once a second; the translations do too.
func (w *Wall) Observe() (stepped bool) {
	reading := w.read()
	offset := reading.UnixTime - time.Duration(reading.Instant)
	for i := range w.settings {
		if (offset - w.settings[i].offset).Abs() < minStep {
			w.settings[i].slewTo(offset)
			return false
		}
	}
	w.settings = append(w.settings, setting{offset: offset, lowest: offset})
	if len(w.settings) > maxSteps {
		w.settings = slices.Delete(w.settings, 0, len(w.settings)-maxSteps)
	}
	return true
}

// slewTo notes an offset of the setting.
//
// It guards against a clock that is slewed back by less than a step: a purge would seem older than it is by as much,
// and copies from just before it would be served.
func (s *setting) slewTo(offset time.Duration) {
	if offset <= s.lowest-minSlew {
		s.lowest = offset
	}
}

// LatestInstant returns the latest instant, now at the latest, that a Unix time may stand for, both in seconds. Where
// the wall clock was neither stepped nor slewed back that is the time itself, unchanged.
//
// A setting is known to less than minStep, as the clock may be slewed after it. So a time that is ahead of now by less
// than that was read just now. Passing over it would leave settings under which it is hours old: a new purge would seem
// old, and copies from before it would be served.
func (w *Wall) LatestInstant(unixSeconds float64) (instantSeconds float64) {
	w.Observe()
	if len(w.settings) == 1 {
		return unixSeconds - w.settings[0].lowest.Seconds()
	}
	now := w.read().Instant.Seconds()
	latest, found := now, false
	for _, s := range w.settings {
		candidate := unixSeconds - s.lowest.Seconds()
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
	highest := w.settings[0].offset
	for _, s := range w.settings {
		highest = max(highest, s.offset)
	}
	return unixSeconds - highest.Seconds()
}
