package telemetry

import (
	"math"
	"regexp"
	"strings"
)

// labelPair matches one label of a series with its quoted value.
var labelPair = regexp.MustCompile(`(\w+)="(?:[^"\\]|\\.)*"`)

// Value returns the value of the series of a name as the dump writes it, such as upstream_attempts_total{class="page"}.
// It is 0 for a series that never counted, and NaN, which equals nothing, for a name or labels that the table does not
// have.
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

// Total returns the sum of a metric's values over its labels, and NaN for a name that the table does not have.
func (m *Metrics) Total(name string) float64 {
	if lookUp(name) == nil {
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

// lookUp returns the metric of a name, nil if there is none.
func lookUp(name string) *descriptor {
	for _, metric := range table {
		if metric.name == name {
			return metric
		}
	}
	return nil
}

// inTable reports whether there is a metric of a name with just the labels of a text.
func inTable(name, labels string) bool {
	metric := lookUp(name)
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
