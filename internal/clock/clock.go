// Package clock tells the time.
//
// Durations, which deadlines, waits, windows and graces are, run on the system's monotonic clock: an Instant is a
// reading of it. The wall clock may be stepped at any time, forward or back, by seconds or by an hour. It is read only
// where the protocol or stored data speak of Unix time, and a Wall translates such times to instants.
//
// No other package converts a time to Unix milliseconds, microseconds or nanoseconds by itself; a test in codestyle
// holds the code to that.
package clock

import "time"

// Instant is a reading of the monotonic clock: nanoseconds since the Unix epoch by the setting that the wall clock had
// when the process started. The zero value stands for none.
type Instant int64

// processStart is the time from which the monotonic clock is counted. It holds a reading of both clocks.
var processStart = time.Now()

// startNanos is the reading of the wall clock at processStart, Unix nanoseconds.
var startNanos = processStart.UnixNano()

// Now returns the present instant.
func Now() Instant { return At(time.Now()) }

// NowSeconds returns the present instant in seconds, see Instant.Seconds.
func NowSeconds() float64 { return Now().Seconds() }

// At returns the instant of a time that came from time.Now or was computed from one.
func At(t time.Time) Instant { return Instant(startNanos + int64(t.Sub(processStart))) }

// FromSeconds is the reverse of Instant.Seconds.
func FromSeconds(seconds float64) Instant { return Instant(seconds * float64(time.Second)) }

// Time returns the instant as a time for deadlines of sockets and contexts. A step of the wall clock does not move it.
func (i Instant) Time() time.Time { return processStart.Add(time.Duration(int64(i) - startNanos)) }

// Seconds returns the instant in seconds, to the microsecond.
func (i Instant) Seconds() float64 { return float64(i/Instant(time.Microsecond)) / 1e6 }

// UnixMillis returns the instant in milliseconds since the Unix epoch, by the wall clock of the process's start.
func (i Instant) UnixMillis() int64 { return int64(i / Instant(time.Millisecond)) }

// Add returns the instant that much later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns how much later the instant is than another one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// IsZero says whether the value stands for no instant.
func (i Instant) IsZero() bool { return i == 0 }

// UnixMillis returns a time in Unix milliseconds, as the protocol and stored data have it.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }

// UnixNanos returns a time in Unix nanoseconds.
func UnixNanos(t time.Time) int64 { return t.UnixNano() }

// FromUnixMillis returns the time of Unix milliseconds.
func FromUnixMillis(millis int64) time.Time { return time.UnixMilli(millis) }
