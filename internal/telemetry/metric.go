package telemetry

import (
	"fmt"
	"strings"
)

// kind is the type of a metric, which determines how its value can change.
type kind uint8

// The kinds of metrics.
const (
	kindCounter kind = iota // the value only increases
	kindGauge               // the value can increase and decrease
	kindMaximum             // the value is the maximum since the start
)

// definition describes a metric. Its name follows the conventions of Prometheus: snake_case, with the base unit
// (seconds or bytes) if it has a unit, and with the suffix _total if and only if it is a counter.
type definition struct {
	name   string
	kind   kind
	labels []string // names of the labels, in the order of the dump
	help   string   // description of the value in one sentence
}

// table contains all metrics, in the order in which table.go defines them.
var table []*definition

// defineMetric adds a metric to the table.
func defineMetric(kind kind, name, help string, labels ...string) *definition {
	metric := &definition{name: name, kind: kind, labels: labels, help: help}
	table = append(table, metric)
	return metric
}

// series is a time series: a metric with one combination of label values.
type series struct {
	metric *definition
	labels string // pairs of name and quoted value; empty for a metric without labels
}

// typicalLabelBytes is the buffer size reserved for each label, so that building most series needs a single allocation.
const typicalLabelBytes = 32

// escapeLabel escapes a label value for the dump. Most values contain no character to escape and are returned as is.
func escapeLabel(value string) string {
	if !strings.ContainsAny(value, "\\\n\"") {
		return value
	}
	return labelEscaper.Replace(value)
}

// labelEscaper escapes label values by the rules of the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// with returns the series for the given label values. The exported types of this package have one type parameter per
// label, so the number of values always equals the number of labels.
func (d *definition) with(values ...fmt.Stringer) series {
	var labels strings.Builder
	labels.Grow(typicalLabelBytes * len(values))
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

// String returns the name of the series in the format of the dump: name{label="value",label="value"}.
func (s series) String() string {
	if s.metric == nil { // s is the zero value
		return ""
	}
	if s.labels == "" {
		return s.metric.name
	}
	return s.metric.name + "{" + s.labels + "}"
}

// Counter is a series whose value only increases.
type Counter struct{ series }

// Gauge is a series whose value can increase and decrease.
type Gauge struct{ series }

// Maximum is a series whose value is the maximum since the start of the process.
type Maximum struct{ series }

// CounterVec is a counter with one label, whose values are of type A.
type CounterVec[A fmt.Stringer] struct{ metric *definition }

// With returns the counter for a label value.
func (v CounterVec[A]) With(a A) Counter { return Counter{v.metric.with(a)} }

// CounterVec2 is a counter with two labels.
type CounterVec2[A, B fmt.Stringer] struct{ metric *definition }

// With returns the counter for the label values.
func (v CounterVec2[A, B]) With(a A, b B) Counter { return Counter{v.metric.with(a, b)} }

// CounterVec3 is a counter with three labels.
type CounterVec3[A, B, C fmt.Stringer] struct{ metric *definition }

// With returns the counter for the label values.
func (v CounterVec3[A, B, C]) With(a A, b B, c C) Counter { return Counter{v.metric.with(a, b, c)} }

// GaugeVec is a gauge with one label, whose values are of type A.
type GaugeVec[A fmt.Stringer] struct{ metric *definition }

// With returns the gauge for a label value.
func (v GaugeVec[A]) With(a A) Gauge { return Gauge{v.metric.with(a)} }

func newCounter(name, help string) Counter {
	return Counter{series{metric: defineMetric(kindCounter, name, help)}}
}

func newCounterVec[A fmt.Stringer](name, label, help string) CounterVec[A] {
	return CounterVec[A]{defineMetric(kindCounter, name, help, label)}
}

func newCounterVec2[A, B fmt.Stringer](name, labelA, labelB, help string) CounterVec2[A, B] {
	return CounterVec2[A, B]{defineMetric(kindCounter, name, help, labelA, labelB)}
}

func newCounterVec3[A, B, C fmt.Stringer](name, labelA, labelB, labelC, help string) CounterVec3[A, B, C] {
	return CounterVec3[A, B, C]{defineMetric(kindCounter, name, help, labelA, labelB, labelC)}
}

func newGauge(name, help string) Gauge {
	return Gauge{series{metric: defineMetric(kindGauge, name, help)}}
}

func newGaugeVec[A fmt.Stringer](name, label, help string) GaugeVec[A] {
	return GaugeVec[A]{defineMetric(kindGauge, name, help, label)}
}

func newMaximum(name, help string) Maximum {
	return Maximum{series{metric: defineMetric(kindMaximum, name, help)}}
}
