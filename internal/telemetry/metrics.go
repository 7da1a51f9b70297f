// Package telemetry contains the metrics and the logger of a process.
//
// Metrics holds the values of all metrics of a process and its logger. All metrics are defined in table.go. Their names
// are a public interface for operators: Metrics.Dump writes them on SIGUSR1. The package has no network endpoint,
// stores no history and does no sampling.
package telemetry

import (
	"io"
	"log/slog"
	"sync"
)

// Metrics holds the values of a process's metrics and its logger. Create it with New or NewForEndpoint. Its methods are
// safe for concurrent use.
type Metrics struct {
	Log *slog.Logger

	mu     sync.Mutex
	values map[series]float64 // only series that were updated at least once
}

// New returns empty metrics with a logger that writes to out. Each log line has the key router, unless it is empty.
func New(out io.Writer, router string) *Metrics { return newMetrics(out, "router", router) }

// NewForEndpoint is New for an edge cache, a parent cache or the origin: each log line has its id as endpoint_id. The
// key endpoint in a log line refers to the other endpoint that the line is about.
func NewForEndpoint(out io.Writer, id string) *Metrics { return newMetrics(out, "endpoint_id", id) }

// newMetrics returns metrics whose log lines all have the given key and value, unless the value is empty.
func newMetrics(out io.Writer, key, value string) *Metrics {
	log := slog.New(slog.NewTextHandler(out, nil))
	if value != "" {
		log = log.With(key, value)
	}
	return &Metrics{Log: log, values: map[series]float64{}}
}

// Inc increments a counter by 1.
func (m *Metrics) Inc(c Counter) { m.IncBy(c, 1) }

// IncBy increments a counter by n.
func (m *Metrics) IncBy(c Counter, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[c.series] += float64(n)
}

// SetMax sets a maximum to value if value is larger than the current maximum.
func (m *Metrics) SetMax(maximum Maximum, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[maximum.series] = max(m.values[maximum.series], value)
}

// SetGauge sets a gauge to value.
func (m *Metrics) SetGauge(gauge Gauge, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[gauge.series] = value
}
