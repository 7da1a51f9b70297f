package telemetry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// kindTexts are the names of the kinds in the golden file.
var kindTexts = map[kind]string{kindCounter: "counter", kindGauge: "gauge", kindMaximum: "maximum"}

// TestTableHoldsThePublishedMetrics compares the table with the published names, kinds and labels in the golden file.
func TestTableHoldsThePublishedMetrics(t *testing.T) {
	want, err := os.ReadFile("testdata/metrics.golden.txt")
	require.NoError(t, err)
	var got strings.Builder
	for _, metric := range table {
		got.WriteString(kindTexts[metric.kind] + " " + metric.name)
		if len(metric.labels) > 0 {
			got.WriteString("{" + strings.Join(metric.labels, ",") + "}")
		}
		got.WriteString("\n")
	}
	assert.Equal(t, string(want), got.String())
}

// snakeCase matches lower-case words joined by underscores.
var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// baseUnits and otherUnits are the words for units in names. Only base units are allowed.
var (
	baseUnits  = []string{"seconds", "bytes"}
	otherUnits = []string{
		"ns", "nanos", "nanoseconds", "us", "micros", "microseconds", "ms", "millis", "milliseconds", "s", "second",
		"minutes", "hours", "kb", "mb", "gb", "kib", "mib", "kilobytes", "megabytes", "byte", "percent",
	}
)

// conventionViolations lists the naming conventions of Prometheus that a metric violates, except those ensured by the
// types.
func conventionViolations(metric *definition) []string {
	var violations []string
	add := func(broken bool, violation string) {
		if broken {
			violations = append(violations, violation)
		}
	}
	words := strings.Split(metric.name, "_")
	add(!snakeCase.MatchString(metric.name), "the name is not in snake_case")
	isTotal := strings.HasSuffix(metric.name, "_total")
	add(isTotal != (metric.kind == kindCounter), "_total ends the names of counters and of nothing else")
	add(slices.ContainsFunc(words, func(word string) bool { return slices.Contains(otherUnits, word) }),
		"the unit is no base unit")
	unitPlace := len(words) - 1
	if isTotal {
		unitPlace--
	}
	for i, word := range words {
		add(slices.Contains(baseUnits, word) && i != unitPlace, "the unit is not at the end")
	}
	add(metric.kind == kindMaximum && !strings.Contains(metric.name, "_max_"), "the name of a maximum has no _max_")
	for i, name := range metric.labels {
		add(!snakeCase.MatchString(name), "a label is not in snake_case")
		add(slices.Contains(metric.labels[:i], name), "two labels have one name")
	}
	add(!regexp.MustCompile(`^[A-Z][^\n]{10,}[^.]\.$`).MatchString(metric.help), "the help text is no sentence")
	return violations
}

// Guards against a metric without a unit or a help text, which is misinterpreted during an incident. Every metric in
// the table must follow the naming conventions and have a unique help text.
func TestMetricsFollowTheConventions(t *testing.T) {
	helpTexts := map[string]string{}
	names := map[string]bool{}
	for _, metric := range table {
		assert.Empty(t, conventionViolations(metric), metric.name)
		assert.False(t, names[metric.name], "%s is defined twice", metric.name)
		names[metric.name] = true
		assert.Empty(t, helpTexts[metric.help], "%s has the help text of another metric", metric.name)
		helpTexts[metric.help] = metric.name
	}
}

// TestConventionViolationsAreFound checks that conventionViolations detects each violation.
func TestConventionViolationsAreFound(t *testing.T) {
	const help = "Requests that were counted."
	for violation, metric := range map[string]definition{
		"the name is not in snake_case":      {name: "requests.open", kind: kindGauge, help: help},
		"the unit is no base unit":           {name: "delay_ms_total", help: help},
		"the unit is not at the end":         {name: "bytes_read_total", help: help},
		"the name of a maximum has no _max_": {name: "delay_seconds", kind: kindMaximum, help: help},
		"a label is not in snake_case":       {name: "a_total", labels: []string{"Class"}, help: help},
		"two labels have one name":           {name: "a_total", labels: []string{"a", "a"}, help: help},
		"the help text is no sentence":       {name: "a_total", help: "requests"},

		"_total ends the names of counters and of nothing else": {name: "requests", help: help},
	} {
		assert.Equal(t, []string{violation}, conventionViolations(&metric))
	}
	gauge := definition{name: "requests_total", kind: kindGauge, help: help}
	assert.Len(t, conventionViolations(&gauge), 1)
}

// TestSeriesHaveTheLabelsOfTheirMetric checks for each metric type that a series has exactly the labels of its metric.
func TestSeriesHaveTheLabelsOfTheirMetric(t *testing.T) {
	assert.Equal(t, "panics_total", Panics.String())
	assert.Equal(t, "requests_open", RequestsOpen.String())
	assert.Equal(t, "response_delay_max_seconds", MaxResponseDelay.String())
	assert.Equal(t, `connections_open{side="client"}`, ConnectionsOpen.With(SideClient).String())
	assert.Equal(t, `cache_requests_total{class="page"}`, CacheRequests.With("page").String())
	assert.Equal(t, `connections_closed_total{side="client",reason="shutdown"}`,
		ConnectionsClosed.With(SideClient, label("shutdown")).String())
	assert.Equal(t, `cache_responses_total{class="page",result="completed",detail="none"}`,
		CacheResponses.With("page", label("completed"), label("none")).String())
	for _, metric := range table {
		assert.LessOrEqual(t, len(metric.labels), 3, metric.name)
	}
}

// TestCountersAreNamedOnlyInTheTable checks that no package updates a counter by a string instead of a table entry.
func TestCountersAreNamedOnlyInTheTable(t *testing.T) {
	for _, dir := range []string{"../../internal", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			if file.Name.Name != "telemetry" {
				assert.Empty(t, metricNameLiterals(file), path)
			}
			return nil
		}))
	}
}

// TestMetricNameLiteralsAreFound checks that metricNameLiterals detects strings in calls.
func TestMetricNameLiteralsAreFound(t *testing.T) {
	text := `package p

func f(m *telemetry.Metrics) {
	m.Inc("panics_total")
	m.IncBy("cache_response_bytes_total"+"hit", 2)
	m.SetMax(telemetry.Maximum("response_delay_max_seconds"), 3)
	m.Inc(telemetry.Panics)
	m.Inc(telemetry.ConnectionsRejected.With("client"))
	m.Inc(telemetry.ConnectionsRejected.With(telemetry.SideClient))
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", text, 0)
	require.NoError(t, err)
	want := []string{
		`"panics_total"`, `"cache_response_bytes_total"`, `"hit"`, `"response_delay_max_seconds"`, `"client"`,
	}
	assert.Equal(t, want, metricNameLiterals(file))
}

// metricNameLiterals returns the string literals that a file uses as names or labels of metrics: those in the first
// argument of Inc, IncBy and SetMax.
func metricNameLiterals(file *ast.File) []string {
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 || !isMethod(call, "Inc", "IncBy", "SetMax") {
			return true
		}
		ast.Inspect(call.Args[0], func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok {
				names = append(names, literal.Value)
			}
			return true
		})
		return true
	})
	return names
}

// isMethod reports whether a call calls a method with one of the names.
func isMethod(call *ast.CallExpr, names ...string) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	return ok && slices.Contains(names, method.Sel.Name)
}
