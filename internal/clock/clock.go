// Package clock provides monotonic time and translates Unix times to it.
//
// Deadlines, timeouts, time windows and grace periods are measured on the system's monotonic clock: an Instant is a
// reading of it. The wall clock may be stepped at any time, forward or back, by seconds or by an hour. It is read only
// where the protocol or stored data use Unix time, and a WallClock translates such times to instants.
//
// No other package converts a time to Unix milliseconds, microseconds or nanoseconds itself; a test in codestyle
// enforces that.
package clock

import "time"

// Instant is a reading of the monotonic clock: the Unix time in nanoseconds at which the process started, plus the
// monotonic time since then. The zero value means that no instant is set.
type Instant int64

// processStart is the origin of the monotonic clock. It contains a reading of the wall clock and the monotonic clock.
var processStart = time.Now()

// startNanos is the wall clock time of processStart in Unix nanoseconds.
var startNanos = processStart.UnixNano()

// Now returns the current instant.
func Now() Instant { return At(time.Now()) }

// NowSeconds returns the current instant in seconds, see Instant.Seconds.
func NowSeconds() float64 { return Now().Seconds() }

// At returns the instant of a time with a monotonic reading: a result of time.Now, or a time computed from one.
func At(t time.Time) Instant { return Instant(startNanos + int64(t.Sub(processStart))) }

// FromSeconds is the inverse of Instant.Seconds.
func FromSeconds(seconds float64) Instant { return Instant(seconds * float64(time.Second)) }

// Time returns the instant as a time.Time for socket and context deadlines. A step of the wall clock does not affect
// it.
func (i Instant) Time() time.Time { return processStart.Add(time.Duration(int64(i) - startNanos)) }

// Seconds returns the instant in seconds, with microsecond precision.
func (i Instant) Seconds() float64 { return float64(i/Instant(time.Microsecond)) / 1e6 }

// UnixMillis returns the instant in Unix milliseconds, relative to the wall clock at the start of the process.
func (i Instant) UnixMillis() int64 { return int64(i / Instant(time.Millisecond)) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// IsZero reports whether the instant is not set.
func (i Instant) IsZero() bool { return i == 0 }

// UnixMillis returns a time in Unix milliseconds, the unit of the protocol and of stored data.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }

// UnixNanos returns a time in Unix nanoseconds.
func UnixNanos(t time.Time) int64 { return t.UnixNano() }

// FromUnixMillis returns the time.Time for a Unix time in milliseconds.
func FromUnixMillis(millis int64) time.Time { return time.UnixMilli(millis) }
