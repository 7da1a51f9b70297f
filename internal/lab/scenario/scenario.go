// Package scenario has the scenarios of the laboratory: each runs the product's own programs and stand-ins on loopback
// under load, injects the failures that a subsystem must tolerate, and verifies the outcome.
//
// A scenario consists of load and faults, generated from a seed, and named checks. The checks use what clients and
// stand-ins recorded, never the router's own counters. Each check has a test that shows that it can fail.
//
// Package cluster runs the processes, package standin has the stand-ins, and package verify checks the records. Package
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

// Options configures a run of a scenario.
type Options struct {
	Seed      uint64
	Full      bool   // run at full size, which commits and documentation quote, instead of small size
	Program   string // path of the product's program
	Directory string // output directory; if empty, a temporary one that is removed afterwards
	Script    string // path of a fault script that replaces the scenario's own faults
	Progress  func(format string, args ...any)
}

// clusterOptions returns the options of the scenario's clusters.
func (options *Options) clusterOptions() cluster.Options {
	return cluster.Options{Seed: options.Seed, Program: options.Program, Directory: options.Directory}
}

// size returns the name of the size in the report.
func (options *Options) size() string {
	if options.Full {
		return "full"
	}
	return "small"
}

// Scenario is a named scenario. Run fills in the report; it returns an error only if the scenario could not be
// executed.
type Scenario struct {
	Name        string
	Description string
	// ReportName is the name in JSON reports if it differs from Name: reports use the names of earlier versions. The
	// function Run also accepts it.
	ReportName string
	Run        func(ctx context.Context, options Options, r *report.Report) error
}

// reportName returns the name in JSON reports.
func (scenario *Scenario) reportName() string {
	if scenario.ReportName != "" {
		return scenario.ReportName
	}
	return scenario.Name
}

// Scenarios returns all scenarios, ordered by name.
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

// ErrUnknownScenario is returned for a name that no scenario has.
var ErrUnknownScenario = errors.New("unknown scenario")

// Find returns the scenario with the given name, or with that name in earlier versions.
func Find(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if name == scenario.Name || name == scenario.reportName() {
			return scenario, nil
		}
	}
	return Scenario{}, fmt.Errorf("%w %q: 'lab list' prints the names", ErrUnknownScenario, name)
}

// Run runs a scenario. It returns an error only if the scenario could not be executed; the report states whether its
// checks passed.
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

// makeScenarioDirectory creates the output directory of a scenario. If the name is empty, it creates a temporary
// directory, which the returned function remove deletes.
func makeScenarioDirectory(name string) (directory string, remove func(), err error) {
	if name != "" {
		if err := os.MkdirAll(name, 0o700); err != nil {
			return "", nil, fmt.Errorf("create its output directory: %w", err)
		}
		return name, func() {}, nil
	}
	directory, err = os.MkdirTemp("", "cairnfront-lab")
	if err != nil {
		return "", nil, fmt.Errorf("create its temporary output directory: %w", err)
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil // an error leaves temporary files only
}
