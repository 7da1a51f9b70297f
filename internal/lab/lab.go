// Package lab runs scenarios: they load the product's own programs and stand-ins on loopback, cause the failures that
// a subsystem has to bear, and verify the outcome.
//
// A scenario is a script of load and faults drawn from a seed, and named checks. The checks read what clients and
// stand-ins recorded, never the router's own counters. Each check has a test that shows that it can fail.
//
// The package owns the processes that it starts and their directory. It does not write reports (package report) and
// does not simulate whole clusters on virtual time (package simulation).
package lab

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sort"
	"time"

	"cairnfront/internal/lab/report"
)

// EnvironmentVariable is set for each process that the laboratory starts. It allows what only the laboratory may ask
// for.
const EnvironmentVariable = "CAIRNFRONT_LAB"

// Options say how a scenario is run.
type Options struct {
	Seed      uint64
	Full      bool   // at the size that commits and pages quote, not at the small one
	Program   string // path of the product's program
	Directory string // for what the scenario writes; empty for a temporary one, which is removed
	Script    string // file of a fault script that is played in place of the scenario's own
	Progress  func(format string, args ...any)
}

// size is the name of the size in the report.
func (options *Options) size() string {
	if options.Full {
		return "full"
	}
	return "small"
}

// Scenario is a named scenario. Run fills in the report; an error says that the scenario could not be run.
type Scenario struct {
	Name        string
	Description string
	Run         func(ctx context.Context, options Options, r *report.Report) error
}

// Scenarios are all scenarios, by name.
func Scenarios() []Scenario {
	list := []Scenario{
		addressesScenario,
		brownoutScenario,
		demoScenario,
		diskAdmitScenario,
		diskRestartScenario,
		peersCostScenario,
		peersScenario,
		observationsScenario,
		thinViewsScenario,
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Run runs a scenario. An error says that it could not be run; whether it held is in the report.
func Run(ctx context.Context, name string, options Options) (*report.Report, error) {
	scenarios := Scenarios()
	index := slices.IndexFunc(scenarios, func(scenario Scenario) bool { return scenario.Name == name })
	if index < 0 {
		return nil, fmt.Errorf("there is no scenario %q; see 'lab list'", name)
	}
	directory, remove, err := makeScenarioDirectory(options.Directory)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	defer remove()
	options.Directory = directory
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	r := report.New(name, options.Seed, options.size())
	startedAt := time.Now()
	if err := scenarios[index].Run(ctx, options, r); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	r.Figures["took_s"] = time.Since(startedAt).Seconds()
	r.Close()
	return r, nil
}

// makeScenarioDirectory makes the directory that a scenario writes to. Without a name it is a temporary one, which
// remove deletes.
func makeScenarioDirectory(name string) (directory string, remove func(), err error) {
	if name != "" {
		if err := os.MkdirAll(name, 0o700); err != nil {
			return "", nil, fmt.Errorf("make its folder: %w", err)
		}
		return name, func() {}, nil
	}
	directory, err = os.MkdirTemp("", "cairnfront-lab")
	if err != nil {
		return "", nil, fmt.Errorf("make its temporary folder: %w", err)
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil
}
