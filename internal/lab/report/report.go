// Package report has the result of a laboratory run and writes it as text, as JSON and as one HTML page with plots. It
// checks nothing itself: scenarios and simulations fill it in. The file keys.go maps the keys of JSON reports to their
// printed names.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
)

const (
	maxBroken        = 50 // maximum number of violations that a report lists
	labelColumnWidth = 58 // width of the label column in a text report, in characters; a longer label shifts its value
)

// Report is the result of a scenario or of a simulation. Its zero value is not usable; New creates one.
type Report struct {
	Scenario string             `json:"scenario"` // name of the scenario in JSON reports, which never changes
	Seed     uint64             `json:"seed"`
	Size     string             `json:"size"`
	Held     bool               `json:"held"`
	Rules    Rules              `json:"rules"`
	Counts   map[string]int64   `json:"counts"`
	Figures  map[string]float64 `json:"figures"`
	Broken   []string           `json:"broken"`

	// Name of the scenario or simulation in text and HTML; empty if it equals Scenario.
	Name string `json:"-"`
	// Simulated is true if the run was on virtual time, without sockets.
	Simulated bool `json:"-"`

	Steps []string `json:"-"` // description of the run, one line per step
	Plots []Plot   `json:"-"`
}

// Rules counts the violations of each of the five rules. The first rule has two counts: lost requests and second
// responses.
type Rules struct {
	Lost          int64 `json:"lost"`
	SecondAnswers int64 `json:"second_answers"`
	SecondEffects int64 `json:"second_effects"`
	Drain         int64 `json:"drain"`
	Cold          int64 `json:"cold"`
	Purge         int64 `json:"purge"`
}

// Plot is a set of lines with a common X axis, and marks where faults began.
type Plot struct {
	Title  string
	XLabel string
	YLabel string
	Lines  []Line
	Marks  []Mark
}

// Line is one line of a plot. X and Y have the same length.
type Line struct {
	Name string
	X    []float64
	Y    []float64
}

// Add appends a point.
func (l *Line) Add(x, y float64) {
	l.X = append(l.X, x)
	l.Y = append(l.Y, y)
}

// Mark is a named position on the X axis, for example the start of a fault.
type Mark struct {
	At   float64
	Name string
}

// New creates an empty report. The scenario is its name in JSON reports. Size describes the size of the run, for
// example "small" or "20 seeds".
func New(scenario string, seed uint64, size string) *Report {
	return &Report{
		Scenario: scenario,
		Seed:     seed,
		Size:     size,
		Counts:   map[string]int64{},
		Figures:  map[string]float64{},
		Broken:   []string{},
	}
}

// Close adds the violated rules to Broken and sets the verdict.
func (r *Report) Close() {
	for what, n := range map[string]int64{
		"requests without a response before their deadline": r.Rules.Lost,
		"requests with a second response":                   r.Rules.SecondAnswers,
		"requests with idempotency key executed twice":      r.Rules.SecondEffects,
		"requests sent to a drained endpoint":               r.Rules.Drain,
		"endpoints overloaded while warming up":             r.Rules.Cold,
		"responses older than a purge":                      r.Rules.Purge,
	} {
		if n > 0 {
			r.AddViolation("%d %s", n, what)
		}
	}
	sort.Strings(r.Broken)
	r.Held = len(r.Broken) == 0
}

// Title returns the name of the scenario or simulation in text and HTML.
func (r *Report) Title() string {
	if r.Name != "" {
		return r.Name
	}
	return r.Scenario
}

// AddViolation records a rule or a limit that did not hold. The report lists the first maxBroken violations.
func (r *Report) AddViolation(format string, args ...any) {
	if len(r.Broken) < maxBroken {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// WriteJSON writes the report as JSON, without steps and plots.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report for a terminal, with labels in place of the JSON keys. It ignores write errors: if the
// terminal is closed nobody reads the output, and the exit code has the verdict.
func (r *Report) WriteText(w io.Writer) {
	verdict := "held"
	if !r.Held {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(w, "%s, seed %d, %s: %s\n", r.Title(), r.Seed, r.Size, verdict)
	for _, line := range r.Steps {
		_, _ = fmt.Fprintf(w, "  %s\n", line)
	}
	for _, key := range SortedKeys(r.Counts) {
		_, _ = fmt.Fprintf(w, "  %-*s %d\n", labelColumnWidth, CountLabel(key), r.Counts[key])
	}
	for _, key := range SortedKeys(r.Figures) {
		_, _ = fmt.Fprintf(w, "  %-*s %.4g\n", labelColumnWidth, FigureLabel(key), r.Figures[key])
	}
	for _, line := range r.Broken {
		_, _ = fmt.Fprintf(w, "  broken: %s\n", line)
	}
}

// SortedKeys returns the sorted keys of a map.
func SortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
