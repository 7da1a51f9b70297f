package telemetry

import (
	"fmt"
	"strings"
)

// kind says how the value of a metric moves.
type kind uint8

// The kinds of metrics.
const (
	kindCounter kind = iota // the value only grows
	kindGauge               // the value goes up and down
	kindMaximum             // the value is the largest so far
)

// descriptor describes a metric. Its name follows the conventions of Prometheus: snake_case, the base unit (seconds
// or bytes) where it has one, and with _total at the end of counters and of nothing else.
type descriptor struct {
	name   string
	kind   kind
	labels []string // names of the labels, in the order in which the dump writes them
	help   string   // what the value is, in one sentence
}

// table holds all metrics in the order in which table.go defines them.
var table []*descriptor

// define adds a metric to the table.
func define(kind kind, name, help string, labels ...string) *descriptor {
	metric := &descriptor{name: name, kind: kind, labels: labels, help: help}
	table = append(table, metric)
	return metric
}

// series is one value of a metric: the one for certain values of its labels.
type series struct {
	metric *descriptor
	labels string // pairs of name and quoted value; empty for a metric without labels
}

// usualLabelBytes is room for the name and the value of a label, so that most series take one allocation.
const usualLabelBytes = 32

// escapeLabel returns the value of a label as the dump writes it. Few have anything to escape.
func escapeLabel(value string) string {
	if !strings.ContainsAny(value, "\\\n\"") {
		return value
	}
	return labelEscaper.Replace(value)
}

// labelEscaper escapes the value of a label as the text format of Prometheus does.
var labelEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// with returns the series for the values of the metric's labels. The types of this package that embed or build a
// series have one argument for each label, so the numbers of names and values are the same.
func (d *descriptor) with(values ...fmt.Stringer) series {
	var labels strings.Builder
	labels.Grow(usualLabelBytes * len(values))
	for i, value := range values {
		if i > 0 {
			labels.WriteByte(',')
		}
		labels.WriteString(d.labels[i])
		labels.WriteString(`="`)
		if value != nil {
			labels.WriteString(escapeLabel(value.String()))
		}
		labels.WriteByte('"')
	}
	return series{metric: d, labels: labels.String()}
}

// String returns the name of the series as the dump writes it: name{label="value",label="value"}.
func (s series) String() string {
	if s.metric == nil { // the zero value
		return ""
	}
	if s.labels == "" {
		return s.metric.name
	}
	return s.metric.name + "{" + s.labels + "}"
}

// Counter is a series whose value only grows.
type Counter struct{ series }

// Gauge is a series whose value goes up and down.
type Gauge struct{ series }

// Maximum is a series whose value is the largest so far.
type Maximum struct{ series }

// CounterVec is a counter with one label, whose value has type A.
type CounterVec[A fmt.Stringer] struct{ metric *descriptor }

// With returns the series for a label's value.
func (v CounterVec[A]) With(a A) Counter { return Counter{v.metric.with(a)} }

// CounterVec2 is a counter with two labels.
type CounterVec2[A, B fmt.Stringer] struct{ metric *descriptor }

// With returns the series for the values of the labels.
func (v CounterVec2[A, B]) With(a A, b B) Counter { return Counter{v.metric.with(a, b)} }

// CounterVec3 is a counter with three labels.
type CounterVec3[A, B, C fmt.Stringer] struct{ metric *descriptor }

// With returns the series for the values of the labels.
func (v CounterVec3[A, B, C]) With(a A, b B, c C) Counter { return Counter{v.metric.with(a, b, c)} }

// GaugeVec is a gauge with one label, whose value has type A.
type GaugeVec[A fmt.Stringer] struct{ metric *descriptor }

// With returns the series for a label's value.
func (v GaugeVec[A]) With(a A) Gauge { return Gauge{v.metric.with(a)} }

func newCounter(name, help string) Counter {
	return Counter{series{metric: define(kindCounter, name, help)}}
}

func newCounterVec[A fmt.Stringer](name, label, help string) CounterVec[A] {
	return CounterVec[A]{define(kindCounter, name, help, label)}
}

func newCounterVec2[A, B fmt.Stringer](name, labelA, labelB, help string) CounterVec2[A, B] {
	return CounterVec2[A, B]{define(kindCounter, name, help, labelA, labelB)}
}

func newCounterVec3[A, B, C fmt.Stringer](name, labelA, labelB, labelC, help string) CounterVec3[A, B, C] {
	return CounterVec3[A, B, C]{define(kindCounter, name, help, labelA, labelB, labelC)}
}

func newGauge(name, help string) Gauge {
	return Gauge{series{metric: define(kindGauge, name, help)}}
}

func newGaugeVec[A fmt.Stringer](name, label, help string) GaugeVec[A] {
	return GaugeVec[A]{define(kindGauge, name, help, label)}
}

func newMaximum(name, help string) Maximum {
	return Maximum{series{metric: define(kindMaximum, name, help)}}
}
