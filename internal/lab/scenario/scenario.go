// Package scenario has the scenarios of the laboratory: each runs the product's own programs and stand-ins on loopback
// under load, causes the failures that a subsystem has to bear, and verifies the outcome.
//
// A scenario is a script of load and faults drawn from a seed, and named checks. The checks read what clients and
// stand-ins recorded, never the router's own counters. Each check has a test that shows that it can fail.
//
// Package cluster runs the processes, package standin has the stand-ins, package verify gives the verdicts. Package
// report writes the outcome; package simulation simulates clusters on virtual time.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"cairnfront/internal/lab/cluster"
	"cairnfront/internal/lab/report"
)

// Options say how a scenario is run.
type Options struct {
	Seed      uint64
	Full      bool   // at the size that commits and pages quote, not at the small one
	Program   string // path of the product's program
	Directory string // for what the scenario writes; empty for a temporary one, which is removed
	Script    string // file of a fault script that is run in place of the scenario's own
	Progress  func(format string, args ...any)
}

// clusterOptions are the options of the scenario's clusters.
func (options *Options) clusterOptions() cluster.Options {
	return cluster.Options{Seed: options.Seed, Program: options.Program, Directory: options.Directory}
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
	// ReportName is the name in JSON reports, where it differs: they keep the names of earlier versions. Run accepts it
	// in place of Name.
	ReportName string
	Run        func(ctx context.Context, options Options, r *report.Report) error
}

// reportName is the name in JSON reports.
func (scenario *Scenario) reportName() string {
	if scenario.ReportName != "" {
		return scenario.ReportName
	}
	return scenario.Name
}

// Scenarios are all scenarios, ordered by name.
func Scenarios() []Scenario {
	list := []Scenario{
		addressesScenario,
		demoScenario,
		diskAdmissionScenario,
		diskRestartScenario,
		healthObservationsScenario,
		membershipCostScenario,
		membershipScenario,
		originBrownoutScenario,
		partialObservationScenario,
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// ErrUnknownScenario is returned by Run for a name that no scenario has.
var ErrUnknownScenario = errors.New("unknown scenario")

// Find returns the scenario with a name, or with one that it had in earlier versions.
func Find(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if name == scenario.Name || name == scenario.reportName() {
			return scenario, nil
		}
	}
	return Scenario{}, fmt.Errorf("%w %q: 'lab list' prints the names", ErrUnknownScenario, name)
}

// Run runs a scenario. An error says that it could not be run; whether it held is in the report.
func Run(ctx context.Context, name string, options Options) (*report.Report, error) {
	scenario, err := Find(name)
	if err != nil {
		return nil, err
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
	r := report.New(scenario.reportName(), options.Seed, options.size())
	r.Name = scenario.Name
	startedAt := time.Now()
	if err := scenario.Run(ctx, options, r); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	r.Figures[report.Elapsed] = time.Since(startedAt).Seconds()
	r.Close()
	return r, nil
}

// makeScenarioDirectory makes the directory that a scenario writes to. Without a name it is a temporary one, which
// remove deletes.
func makeScenarioDirectory(name string) (directory string, remove func(), err error) {
	if name != "" {
		if err := os.MkdirAll(name, 0o700); err != nil {
			return "", nil, fmt.Errorf("make its directory: %w", err)
		}
		return name, func() {}, nil
	}
	directory, err = os.MkdirTemp("", "cairnfront-lab")
	if err != nil {
		return "", nil, fmt.Errorf("make its temporary directory: %w", err)
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil // what is left lies in the system's temporary folder
}
