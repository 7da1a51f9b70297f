// Package telemetry counts what the program receives, sends and answers, and writes its log lines.
//
// Metrics owns the values of all counters of a process and its logger. The names stand in one table, counters.go, and
// are part of what operators rely on: Metrics.Dump writes them on SIGUSR1. The package serves no network endpoint,
// keeps no history and samples nothing.
package telemetry

import (
	"io"
	"log/slog"
	"sync"
)

// Metrics holds a process's counters and its logger. It has to be made by New. Its methods may be called by any
// goroutine.
type Metrics struct {
	Log *slog.Logger

	mu     sync.Mutex
	values map[Counter]int64
}

// New returns metrics without any counter, which log to out. Each line names the router unless that name is empty.
func New(out io.Writer, router string) *Metrics {
	log := slog.New(slog.NewTextHandler(out, nil))
	if router != "" {
		log = log.With("router", router)
	}
	return &Metrics{Log: log, values: map[Counter]int64{}}
}

// Inc adds one to a counter.
func (m *Metrics) Inc(c Counter) { m.IncBy(c, 1) }

// IncBy adds n to a counter.
func (m *Metrics) IncBy(c Counter, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[c] += n
}

// SetMax raises a counter to a value if that is larger.
func (m *Metrics) SetMax(c Counter, value int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[c] = max(m.values[c], value)
}

// Value returns the value of the counter of a name, 0 if it never counted.
func (m *Metrics) Value(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[Counter(name)]
}
