package timing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cairnfront/internal/clock"
)

// conditionPollInterval is the interval between two checks of a condition.
const conditionPollInterval = 5 * time.Millisecond

// ErrNoSuccess is returned if a condition did not become true in time.
var ErrNoSuccess = errors.New("no success")

// WaitUntil waits until a condition holds, for at most the given limit. After that it returns an ErrNoSuccess.
func WaitUntil(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); ; time.Sleep(conditionPollInterval) {
		if condition() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w within %v", ErrNoSuccess, limit)
		}
	}
}

// Sleep waits for a duration. It returns the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// UnixSeconds returns a time in seconds since 1970, with microsecond precision.
func UnixSeconds(t time.Time) float64 { return clock.At(t).Seconds() }

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
