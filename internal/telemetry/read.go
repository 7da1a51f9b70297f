package telemetry

import (
	"math"
	"regexp"
	"strings"
)

// labelPair matches a label name and its quoted value in the name of a series.
var labelPair = regexp.MustCompile(`(\w+)="(?:[^"\\]|\\.)*"`)

// Value returns the value of the series with the given name, in the format of the dump, such as
// upstream_attempts_total{class="page"}. It returns 0 for a series that was never updated and for the metrics of the
// process, which only Dump reads, and NaN, which does not equal any value, for an unknown name or unknown labels.
func (m *Metrics) Value(name string) float64 {
	metric, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	if !inTable(metric, labels) {
		return math.NaN()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, value := range m.values {
		if s.String() == name {
			return value
		}
	}
	return 0
}

// Total returns the sum of a metric's values over all label values, or NaN if the name is unknown.
func (m *Metrics) Total(name string) float64 {
	if findMetric(name) == nil {
		return math.NaN()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0.0
	for s, value := range m.values {
		if s.metric != nil && s.metric.name == name {
			total += value
		}
	}
	return total
}

// findMetric returns the metric with the given name, or nil if there is none.
func findMetric(name string) *definition {
	for _, metric := range table {
		if metric.name == name {
			return metric
		}
	}
	return nil
}

// inTable reports whether there is a metric with the given name and exactly the given labels.
func inTable(name, labels string) bool {
	metric := findMetric(name)
	if metric == nil {
		return false
	}
	pairs := labelPair.FindAllStringSubmatch(labels, -1)
	if len(pairs) != len(metric.labels) {
		return false
	}
	for i, pair := range pairs {
		if pair[1] != metric.labels[i] {
			return false
		}
	}
	return true
}
