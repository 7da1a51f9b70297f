// Package lab is the laboratory: scenarios that load the product's own programs and stand-ins on loopback, cause the
// failures that a subsystem is to bear, and judge what came of it from what the stand-ins recorded.
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

// Setting is how a scenario is run.
type Options struct {
	Seed      uint64
	Full      bool
	Program   string // of the product, to be started
	Directory string // for what it writes; removed by who made it
	Script    string // file of a fault script to be played instead of the scenario's own
	Progress  func(form string, args ...any)
}

// Scenario is one.
type Scenario struct {
	Name, Description string
	Run               func(ctx context.Context, options Options, r *report.Report) error
}

// Scenarios are all there are, by name.
func Scenarios() []Scenario {
	list := []Scenario{
		addressesScenario,
		brownoutScenario,
		demoScenario,
		diskRestartScenario,
		diskAdmitScenario,
		peersCostScenario,
		peersScenario,
		rumoursScenario,
		thinViewsScenario,
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Run runs a scenario. An error says that it could not be run; whether it held is in the report.
func Run(ctx context.Context, name string, options Options) (*report.Report, error) {
	scenarios := Scenarios()
	at := slices.IndexFunc(scenarios, func(sc Scenario) bool { return sc.Name == name })
	if at < 0 {
		return nil, fmt.Errorf("there is no scenario %q; see 'lab list'", name)
	}
	folder, remove, err := makeScenarioDirectory(options.Directory)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	defer remove()
	options.Directory = folder
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	size := "small"
	if options.Full {
		size = "full"
	}
	r := report.New(name, options.Seed, size)
	began := time.Now()
	if err := scenarios[at].Run(ctx, options, r); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	r.Figures["took_s"] = time.Since(began).Seconds()
	r.Close()
	return r, nil
}

// makeScenarioDirectory makes the folder that a scenario writes to. Without a name it is a temporary one, which remove
// deletes.
func makeScenarioDirectory(name string) (folder string, remove func(), err error) {
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

// LabVariable opens what only the laboratory may ask of a process.
const EnvironmentVariable = "CAIRNFRONT_LAB"
