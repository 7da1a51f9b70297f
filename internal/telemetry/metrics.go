// Package telemetry counts what the program receives, sends and answers, and writes its log lines.
//
// Metrics owns the values of all metrics of a process and its logger. The metrics stand in one table, table.go, and are
// part of what operators rely on: Metrics.Dump writes them on SIGUSR1. The package serves no network endpoint, keeps no
// history and samples nothing.
package telemetry

import (
	"io"
	"log/slog"
	"sync"
)

// Metrics holds the values of a process's metrics and its logger. It has to be made by New. Its methods may be called
// by any goroutine.
type Metrics struct {
	Log *slog.Logger

	mu     sync.Mutex
	values map[series]float64 // those that were set or counted at least once
}

// New returns metrics without any value, which log to out. Each line names the router unless that name is empty.
func New(out io.Writer, router string) *Metrics { return newMetrics(out, "router", router) }

// NewForEndpoint is New for an edge cache, a parent cache or the origin: each line has its id as endpoint_id. The key
// endpoint in a line is another endpoint, which the line is about.
func NewForEndpoint(out io.Writer, id string) *Metrics { return newMetrics(out, "endpoint_id", id) }

// newMetrics makes metrics whose lines all have the key of the process, unless its value is empty.
func newMetrics(out io.Writer, key, value string) *Metrics {
	log := slog.New(slog.NewTextHandler(out, nil))
	if value != "" {
		log = log.With(key, value)
	}
	return &Metrics{Log: log, values: map[series]float64{}}
}

// Inc adds one to a counter.
func (m *Metrics) Inc(c Counter) { m.IncBy(c, 1) }

// IncBy adds n to a counter.
func (m *Metrics) IncBy(c Counter, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[c.series] += float64(n)
}

// SetMax raises a maximum to a value if that is larger.
func (m *Metrics) SetMax(maximum Maximum, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[maximum.series] = max(m.values[maximum.series], value)
}
