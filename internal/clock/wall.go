package clock

import (
	"slices"
	"time"
)

const (
	// minStep is the minimum change of the wall clock's offset that counts as a step. A smaller change counts as
	// slewing.
	minStep = 250 * time.Millisecond

	// minSlew is the minimum change of the offset that counts as slewing. A smaller difference may be the time between
	// the reads of the two clocks.
	minSlew = time.Millisecond

	// maxOffsets is the maximum number of remembered offsets of the wall clock; the oldest are dropped.
	maxOffsets = 16
)

// Reading is a reading of both clocks, one directly after the other.
type Reading struct {
	Instant  Instant
	UnixTime time.Duration // wall clock time since the Unix epoch
}

// System reads the system's monotonic clock and wall clock.
func System() Reading {
	now := time.Now()
	return Reading{Instant: At(now), UnixTime: time.Duration(now.UnixNano())}
}

// wallOffset is the offset of the wall clock from the monotonic clock between two steps.
type wallOffset struct {
	offset time.Duration // the offset when it was first observed after a step
	lowest time.Duration // the lowest offset that slewing has caused since then
}

// WallClock translates Unix times that other processes sent to instants. It remembers the wall clock's offsets since
// the process started, because it is unknown whether a time was read before or after a step, and which of the clocks
// was correct. It remembers up to maxOffsets offsets. It is not safe for concurrent use.
type WallClock struct {
	read    func() Reading
	offsets []wallOffset // without duplicates
}

// NewWallClock returns a WallClock that reads the clocks with read, which is System in production.
func NewWallClock(read func() Reading) *WallClock {
	w := &WallClock{read: read, offsets: []wallOffset{{}}}
	w.Observe()
	return w
}

// Observe reads the clocks and reports whether the wall clock was stepped to an offset that is not remembered. It
// should be called about once a second; the methods that translate times call it too.
func (w *WallClock) Observe() (stepped bool) {
	reading := w.read()
	offset := reading.UnixTime - time.Duration(reading.Instant)
	for i := range w.offsets {
		if (offset - w.offsets[i].offset).Abs() < minStep {
			w.offsets[i].updateLowest(offset)
			return false
		}
	}
	w.offsets = append(w.offsets, wallOffset{offset: offset, lowest: offset})
	if len(w.offsets) > maxOffsets {
		w.offsets = slices.Delete(w.offsets, 0, len(w.offsets)-maxOffsets)
	}
	return true
}

// updateLowest lowers s.lowest to an offset that slewing has caused.
//
// It guards against a clock that is slewed back by less than a step: a purge would seem older than it is by that
// amount, and copies from just before the purge would be served.
func (s *wallOffset) updateLowest(offset time.Duration) {
	if offset <= s.lowest-minSlew {
		s.lowest = offset
	}
}

// LatestInstant returns the latest instant that a Unix time may correspond to, both in seconds. After a step of the
// wall clock the result is at most the current time. If the wall clock was neither stepped nor slewed back, the result
// is the time itself, unchanged.
//
// An offset is only known to within minStep, because the clock may be slewed after the offset was observed. Therefore a
// time that is ahead of the current time by less than minStep counts as read just now. If such a candidate were
// skipped, only offsets with which the time is hours old would remain: a new purge would seem old, and copies from
// before the purge would be served.
func (w *WallClock) LatestInstant(unixSeconds float64) (instantSeconds float64) {
	w.Observe()
	if len(w.offsets) == 1 {
		return unixSeconds - w.offsets[0].lowest.Seconds()
	}
	now := w.read().Instant.Seconds()
	latest, found := now, false
	for _, s := range w.offsets {
		candidate := unixSeconds - s.lowest.Seconds()
		if candidate-now >= minStep.Seconds() { // with this offset the time is in the future
			continue
		}
		candidate = min(candidate, now)
		if !found || candidate > latest {
			latest, found = candidate, true
		}
	}
	return latest
}

// EarliestInstant returns the earliest instant that a Unix time may correspond to, to within minStep; both are in
// seconds. It ignores slewing that has raised an offset since it was first observed.
func (w *WallClock) EarliestInstant(unixSeconds float64) (instantSeconds float64) {
	w.Observe()
	highest := w.offsets[0].offset
	for _, s := range w.offsets {
		highest = max(highest, s.offset)
	}
	return unixSeconds - highest.Seconds()
}
