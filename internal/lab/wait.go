package lab

import (
	"context"
	"fmt"
	"os"
	"time"
)

// waitUntil waits for something to be so.
func waitUntil(most time.Duration, so func() bool) error {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		if so() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited %v", most)
		}
	}
}

func logTail(path string) string {
	b, _ := os.ReadFile(path)
	return string(b[max(len(b)-600, 0):])
}

// sleep waits, or tells why it did not.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }

// seconds is a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
