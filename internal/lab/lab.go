// Package lab is the laboratory: scenarios that load the product's own programs and stand-ins on loopback, cause the
// failures that a subsystem is to bear, and judge what came of it from what the stand-ins recorded.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"time"
)

// Report is what a scenario found.
type Report struct {
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	Size     string             `json:"size"`
	Held     bool               `json:"held"`
	Rules    Rules              `json:"rules"`
	Counts   map[string]int64   `json:"counts"`
	Figures  map[string]float64 `json:"figures"`
	Broken   []string           `json:"broken"`

	Numbers bool `json:"-"` // nothing ran on sockets

	Did   []string `json:"-"` // what was done, a line each
	Plots []Plot   `json:"-"`
}

// Rules are how often each rule was broken.
type Rules struct {
	Lost          int64 `json:"lost"`
	SecondAnswers int64 `json:"second_answers"`
	SecondEffects int64 `json:"second_effects"`
	Drain         int64 `json:"drain"`
	Cold          int64 `json:"cold"`
	Purge         int64 `json:"purge"`
}

// Plot is a drawing of a report.
type Plot struct {
	Title, X, Y string
	Lines       []Line
	Marks       []Mark // faults, at a place of X
}

// Line is one of a plot.
type Line struct {
	Name string
	X, Y []float64
}

// Mark is a moment worth seeing.
type Mark struct {
	At   float64
	Name string
}

// Setting is how a scenario is run.
type Setting struct {
	Seed    uint64
	Full    bool
	Program string // of the product, to be started
	Folder  string // for what it writes; removed by who made it
	Script  string // file of a fault script to be played instead of the scenario's own
	Tell    func(form string, args ...any)
}

// Scenario is one.
type Scenario struct {
	Name, About string
	Run         func(ctx context.Context, s Setting, r *Report) error
}

// Scenarios are all there are, by name.
func Scenarios() []Scenario {
	list := []Scenario{addresses, brownout, demo, diskRestart, diskAdmit, peersCost, peersScenario, rumours, thinViews}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Run runs a scenario. An error says that it could not be run; whether it held is in the report.
func Run(ctx context.Context, name string, s Setting) (*Report, error) {
	scenarios := Scenarios()
	at := slices.IndexFunc(scenarios, func(sc Scenario) bool { return sc.Name == name })
	if at < 0 {
		return nil, fmt.Errorf("there is no scenario %q; see 'lab list'", name)
	}
	folder, remove, err := scenarioFolder(s.Folder)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	defer remove()
	s.Folder = folder
	if s.Tell == nil {
		s.Tell = func(string, ...any) {}
	}
	r := &Report{
		Scenario: name,
		Seed:     s.Seed,
		Size:     "small",
		Counts:   map[string]int64{},
		Figures:  map[string]float64{},
		Broken:   []string{},
	}
	if s.Full {
		r.Size = "full"
	}
	began := time.Now()
	if err := scenarios[at].Run(ctx, s, r); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	r.Figures["took_s"] = time.Since(began).Seconds()
	r.close()
	return r, nil
}

// scenarioFolder makes the folder that a scenario writes to. Without a name it is a temporary one, which remove deletes.
func scenarioFolder(name string) (folder string, remove func(), err error) {
	if name != "" {
		if err := os.MkdirAll(name, 0o700); err != nil {
			return "", nil, fmt.Errorf("make its folder: %w", err)
		}
		return name, func() {}, nil
	}
	folder, err = os.MkdirTemp("", "cairnfront-lab")
	if err != nil {
		return "", nil, fmt.Errorf("make its temporary folder: %w", err)
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

// close lists the broken rules among what broke, and gives the verdict.
func (r *Report) close() {
	for what, n := range map[string]int64{
		"txns lost":                  r.Rules.Lost,
		"second answers":             r.Rules.SecondAnswers,
		"second effects":             r.Rules.SecondEffects,
		"drains not kept":            r.Rules.Drain,
		"cold members pushed over":   r.Rules.Cold,
		"answers older than a purge": r.Rules.Purge,
	} {
		if n > 0 {
			r.Broke("%d %s", n, what)
		}
	}
	sort.Strings(r.Broken)
	r.Held = len(r.Broken) == 0
}

// Broke notes a bound that did not hold; the first few of a kind are enough.
func (r *Report) Broke(form string, args ...any) {
	if len(r.Broken) < 50 {
		r.Broken = append(r.Broken, fmt.Sprintf(form, args...))
	}
}

// WriteJSON writes the report.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes it for a person.
func (r *Report) WriteText(w io.Writer) {
	verdict := "held"
	if !r.Held {
		verdict = "BROKEN"
	}
	_, _ = fmt.Fprintf(w, "%s, seed %d, %s: %s\n", r.Scenario, r.Seed, r.Size, verdict)
	for _, line := range r.Did {
		_, _ = fmt.Fprintf(w, "  %s\n", line)
	}
	for _, name := range sortedKeys(r.Counts) {
		_, _ = fmt.Fprintf(w, "  %-28s %d\n", name, r.Counts[name])
	}
	for _, name := range sortedKeys(r.Figures) {
		_, _ = fmt.Fprintf(w, "  %-28s %.4g\n", name, r.Figures[name])
	}
	for _, line := range r.Broken {
		_, _ = fmt.Fprintf(w, "  broken: %s\n", line)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
