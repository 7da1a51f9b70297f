// Package faults defines scripts of faults that the laboratory injects into processes and into the links between them.
//
// A script is a plain value: it can be generated from a seed, printed in a report, read from a file, and shrunk to the
// faults that cause a failure. Proxies between processes on loopback and the simulated network execute the same
// scripts; this package only computes which faults are active at each time.
package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sort"
)

// Kind is the kind of a fault. Its values appear in script files and reports.
type Kind string

// Faults of the links between processes.
const (
	Cut       Kind = "cut"     // no datagram is delivered
	Loss      Kind = "lose"    // a share of the datagrams is lost
	Delay     Kind = "delay"   // every datagram is delayed by a fixed time
	Reorder   Kind = "reorder" // a share of the datagrams is delayed by a random time
	Duplicate Kind = "double"  // a share of the datagrams is delivered twice
	Corrupt   Kind = "spoil"   // a share of the datagrams has a corrupted byte
)

// Faults of processes.
const (
	Kill      Kind = "kill"  // the process is killed, and restarted at the end of the fault, if any
	Wipe      Kind = "wipe"  // the process is killed and its directory removed; restarted as after Kill
	Pause     Kind = "pause" // the process is stopped, and resumed at the end of the fault
	Stall     Kind = "stuck" // the process makes no progress in its work but answers its peers' probes
	ClockSkew Kind = "clock" // the process's clock is off by some seconds after its next start
)

var linkKinds = []Kind{Cut, Loss, Delay, Reorder, Duplicate, Corrupt}

// kindLabels are the printed names of kinds. The Kind values themselves are part of the file format and cannot change.
var kindLabels = map[Kind]string{
	Cut:       "partition",
	Loss:      "datagram loss",
	Delay:     "delay",
	Reorder:   "reordering",
	Duplicate: "duplication",
	Corrupt:   "corruption",
	Kill:      "kill",
	Wipe:      "kill and disk loss",
	Pause:     "pause",
	Stall:     "stall",
	ClockSkew: "clock skew",
}

// Label returns the name of a kind for progress messages and plots.
func (k Kind) Label() string { return kindLabels[k] }

// kinds lists all kinds of faults. Generate picks from it by index, so the order must not change.
var kinds = append(slices.Clone(linkKinds), Kill, Wipe, Pause, Stall, ClockSkew)

// Errors returned by Script.Validate.
var (
	ErrUnknownKind    = errors.New("unknown kind of fault")
	ErrInvalidTime    = errors.New("invalid time")
	ErrInvalidShare   = errors.New("share is not from 0 to 1")
	ErrUnknownProcess = errors.New("unknown process")
	ErrEmptyScript    = errors.New("script without processes or duration")
)

// Fault is one fault with its start and end. A fault carries its own end time, so a script stays valid when any of its
// faults is removed. Times are in seconds since the start of the script.
type Fault struct {
	Kind     Kind    `json:"do"`
	Start    float64 `json:"at"`
	End      float64 `json:"until,omitempty"` // 0 if the fault lasts until the end of the script
	From     []int   `json:"from,omitempty"`  // affected processes, or the senders of a link fault; all if empty
	To       []int   `json:"to,omitempty"`    // receivers of a link fault; all if empty
	BothWays bool    `json:"both,omitempty"`  // whether a link fault also applies from To to From
	Share    float64 `json:"share,omitempty"`
	Seconds  float64 `json:"s,omitempty"`
}

// String returns the fault as JSON.
func (f Fault) String() string {
	text, _ := json.Marshal(f) // fails only for numbers that Validate rejects
	return string(text)
}

// IsLinkFault reports whether the fault affects links rather than processes.
func (f Fault) IsLinkFault() bool { return slices.Contains(linkKinds, f.Kind) }

// AffectsLink reports whether a link fault applies to the link from one process to another.
func (f Fault) AffectsLink(from, to int) bool {
	if includes(f.From, from) && includes(f.To, to) {
		return true
	}
	return f.BothWays && includes(f.From, to) && includes(f.To, from)
}

func (f Fault) isActive(time float64) bool {
	return time >= f.Start && (f.End == 0 || time < f.End)
}

// includes reports whether a list contains a process. An empty list contains all processes.
func includes(processes []int, process int) bool {
	return len(processes) == 0 || slices.Contains(processes, process)
}

func (f Fault) validate(processes int) error {
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("%w %q", ErrUnknownKind, f.Kind)
	case f.Start < 0 || f.End != 0 && f.End <= f.Start:
		return fmt.Errorf("%w: from %g to %g s", ErrInvalidTime, f.Start, f.End)
	case f.Share < 0 || f.Share > 1:
		return fmt.Errorf("%w: %g", ErrInvalidShare, f.Share)
	}
	for _, process := range slices.Concat(f.From, f.To) {
		if process < 0 || process >= processes {
			return fmt.Errorf("%w %d", ErrUnknownProcess, process)
		}
	}
	return nil
}

// Script is a sequence of faults to inject during a run.
type Script struct {
	Seed      uint64  `json:"seed"`
	Processes int     `json:"peers"`
	Duration  float64 `json:"until"` // seconds
	Faults    []Fault `json:"acts"`
}

// ReadFile reads a script from a file and validates it.
func ReadFile(path string) (Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Script{}, fmt.Errorf("read fault script: %w", err)
	}
	var script Script
	if err := json.Unmarshal(text, &script); err != nil {
		return script, fmt.Errorf("read fault script %s: %w", path, err)
	}
	if err := script.Validate(); err != nil {
		return script, fmt.Errorf("read fault script %s: %w", path, err)
	}
	return script, nil
}

// Validate returns an error if the script cannot be executed.
func (s *Script) Validate() error {
	for i, fault := range s.Faults {
		if err := fault.validate(s.Processes); err != nil {
			return fmt.Errorf("acts[%d]: %w", i, err)
		}
	}
	if s.Duration <= 0 || s.Processes <= 0 {
		return fmt.Errorf("%w: %d processes, %g s", ErrEmptyScript, s.Processes, s.Duration)
	}
	return nil
}

// Transition is the start or the end of a fault.
type Transition struct {
	Time  float64 // seconds since the start of the script
	Fault Fault
	IsEnd bool
}

// String returns the label of the fault, whether it starts or ends, and the fault as JSON.
func (t Transition) String() string {
	if t.IsEnd {
		return fmt.Sprintf("end of %s: %s", t.Fault.Kind.Label(), t.Fault)
	}
	return fmt.Sprintf("%s: %s", t.Fault.Kind.Label(), t.Fault)
}

// Transitions returns the starts and ends of all faults, sorted by time.
func (s *Script) Transitions() []Transition {
	var transitions []Transition
	for _, fault := range s.Faults {
		transitions = append(transitions, Transition{Time: fault.Start, Fault: fault})
		if fault.End > 0 && fault.End <= s.Duration {
			transitions = append(transitions, Transition{Time: fault.End, Fault: fault, IsEnd: true})
		}
	}
	sort.SliceStable(transitions, func(i, j int) bool { return transitions[i].Time < transitions[j].Time })
	return transitions
}

func (s *Script) lastTransition() float64 {
	last := 0.0
	for _, fault := range s.Faults {
		last = max(last, fault.Start, fault.End)
	}
	return last
}
