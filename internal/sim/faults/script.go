// Package faults is the scripts of faults that the laboratory injects into processes and the links between them.
//
// A script is a value: it is generated from a seed, printed in a report, read from a file and shrunk to the faults that
// matter. The same script is carried out by proxies between processes on loopback and by the network of the simulator;
// this package only says what it asks for at each time.
package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sort"
)

// Kind names a fault. Its values stand in script files and reports.
type Kind string

// Faults of the links between processes.
const (
	Cut       Kind = "cut"     // nothing passes
	Loss      Kind = "lose"    // a share of the datagrams is lost
	Delay     Kind = "delay"   // everything arrives some seconds later
	Reorder   Kind = "reorder" // a share arrives up to some seconds later
	Duplicate Kind = "double"  // a share arrives twice
	Corrupt   Kind = "spoil"   // a share has a wrong byte
)

// Faults of processes.
const (
	Kill      Kind = "kill"  // the process is killed, and started again at the fault's end if it has one
	Wipe      Kind = "wipe"  // the same, and its directory is removed
	Pause     Kind = "pause" // the process is stopped and continued at the end
	Stall     Kind = "stuck" // its work makes no progress, but it answers probes of its peers
	ClockSkew Kind = "clock" // from its next start on its clock is wrong by some seconds
)

var linkKinds = []Kind{Cut, Loss, Delay, Reorder, Duplicate, Corrupt}

// kindLabels are the printed names of kinds. The values of the kinds themselves stand in script files and stay.
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

// Label is the name of a kind in progress lines and plots.
func (k Kind) Label() string { return kindLabels[k] }

// kinds has all faults. Generate draws from it by index.
var kinds = append(slices.Clone(linkKinds), Kill, Wipe, Pause, Stall, ClockSkew)

// Errors of Validate.
var (
	ErrUnknownKind    = errors.New("unknown kind of fault")
	ErrInvalidTime    = errors.New("invalid time")
	ErrInvalidShare   = errors.New("share is not from 0 to 1")
	ErrUnknownProcess = errors.New("unknown process")
	ErrEmptyScript    = errors.New("script without processes or duration")
)

// Fault is one fault and its time. It ends by itself, so a script stays valid whatever is left out of it. Times are in
// seconds from the start of the script.
type Fault struct {
	Kind     Kind    `json:"do"`
	Start    float64 `json:"at"`
	End      float64 `json:"until,omitempty"` // 0 for the end of the script
	From     []int   `json:"from,omitempty"`  // processes; of a link fault, the senders. Empty for all
	To       []int   `json:"to,omitempty"`    // of a link fault, the receivers. Empty for all
	BothWays bool    `json:"both,omitempty"`  // of a link fault: also from To to From
	Share    float64 `json:"share,omitempty"`
	Seconds  float64 `json:"s,omitempty"`
}

// String is the fault as JSON.
func (f Fault) String() string {
	text, _ := json.Marshal(f) // fails only on numbers that Validate refuses
	return string(text)
}

// IsLinkFault reports whether the fault is one of a link, and not of a process.
func (f Fault) IsLinkFault() bool { return slices.Contains(linkKinds, f.Kind) }

// AffectsLink reports whether a link fault is about the link from one process to another.
func (f Fault) AffectsLink(from, to int) bool {
	if includes(f.From, from) && includes(f.To, to) {
		return true
	}
	return f.BothWays && includes(f.From, to) && includes(f.To, from)
}

func (f Fault) isActive(time float64) bool {
	return time >= f.Start && (f.End == 0 || time < f.End)
}

// includes reports whether a list of processes, where empty stands for all, has a process.
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

// Script is the faults of a run.
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

// Validate returns an error if the script cannot be carried out.
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
	Time  float64 // seconds from the start of the script
	Fault Fault
	IsEnd bool
}

// String says whether the fault begins or ends, and the fault as JSON.
func (t Transition) String() string {
	if t.IsEnd {
		return fmt.Sprintf("end of %s: %s", t.Fault.Kind.Label(), t.Fault)
	}
	return fmt.Sprintf("%s: %s", t.Fault.Kind.Label(), t.Fault)
}

// Transitions are the starts and ends of all faults in the order of their times.
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
