//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes down what happened, each line with the milliseconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  "+format+"\n", append([]any{r.millis(time.Now())}, values...)...)
}

// millis returns the milliseconds from the start of the case to a time.
func (r *record) millis(at time.Time) float64 {
	return float64(at.Sub(r.started).Microseconds()) / 1000
}

func (r *record) close() { _ = r.file.Close() }
