package faults

import "slices"

// Least values to which a fault is shrunk.
const (
	minShrunkDuration = 0.1 // seconds
	minShrunkShare    = 0.01
	minShrunkSeconds  = 0.01
	shrunkTail        = 10.0 // seconds that a script goes on after its last fault
)

// shrinker tries smaller scripts and keeps the smallest that still fails.
type shrinker struct {
	script  Script
	fails   func(Script) bool
	runs    int
	maxRuns int
}

// Shrink finds a smaller script that still fails: faults are left out by halves, then one by one; those that are left
// get shorter and weaker. It returns the smallest script that failed and the number of runs, which is at most maxRuns.
func Shrink(script Script, maxRuns int, fails func(Script) bool) (smallest Script, runs int) {
	s := shrinker{script: script, fails: fails, maxRuns: maxRuns}
	s.dropFaults()
	for i := range s.script.Faults {
		for _, weaken := range weakenings {
			s.weakenFault(i, weaken)
		}
	}
	s.shortenScript()
	return s.script, s.runs
}

// try runs a candidate and keeps it if it fails.
func (s *shrinker) try(candidate Script) bool {
	if s.runs >= s.maxRuns {
		return false
	}
	s.runs++
	if !s.fails(candidate) {
		return false
	}
	s.script = candidate
	return true
}

func (s *shrinker) dropFaults() {
	for size := (len(s.script.Faults) + 1) / 2; size > 0 && len(s.script.Faults) > 1; {
		dropped := s.dropRuns(size)
		if !dropped || size > len(s.script.Faults) {
			size /= 2
		}
	}
}

// dropRuns leaves out so many neighbouring faults wherever that keeps the failure.
func (s *shrinker) dropRuns(size int) (dropped bool) {
	for from := 0; from < len(s.script.Faults); {
		faults := s.script.Faults
		candidate := s.script
		candidate.Faults = slices.Delete(slices.Clone(faults), from, min(from+size, len(faults)))
		if s.try(candidate) {
			dropped = true
		} else {
			from += size
		}
	}
	return dropped
}

// weakenings each make one aspect of a fault smaller and report whether it was large enough for that.
var weakenings = []func(*Fault) bool{
	func(f *Fault) bool {
		f.End = f.Start + (f.End-f.Start)/2
		return f.End > f.Start+minShrunkDuration
	},
	func(f *Fault) bool {
		f.Share /= 2
		return f.Share > minShrunkShare
	},
	func(f *Fault) bool {
		f.Seconds /= 2
		return f.Seconds > minShrunkSeconds
	},
	func(f *Fault) bool { return halve(&f.From) },
	func(f *Fault) bool { return halve(&f.To) },
}

func halve(processes *[]int) bool {
	if len(*processes) <= 1 {
		return false
	}
	*processes = (*processes)[:(len(*processes)+1)/2]
	return true
}

// weakenFault repeats one weakening of a fault for as long as the script fails.
func (s *shrinker) weakenFault(i int, weaken func(*Fault) bool) {
	for {
		candidate := s.script
		candidate.Faults = slices.Clone(s.script.Faults)
		if !weaken(&candidate.Faults[i]) || !s.try(candidate) {
			return
		}
	}
}

// shortenScript ends the script soon after its last fault.
func (s *shrinker) shortenScript() {
	last := s.script.lastTransition()
	if last <= 0 {
		return
	}
	candidate := s.script
	candidate.Duration = min(last+shrunkTail, s.script.Duration)
	if candidate.Duration < s.script.Duration {
		s.try(candidate)
	}
}
