package faults

import "slices"

// Minimum values to which a fault is shrunk.
const (
	minShrunkDuration = 0.1 // seconds
	minShrunkShare    = 0.01
	minShrunkSeconds  = 0.01
	shrunkEndMargin   = 10.0 // seconds from the last fault to the end of the script
)

// shrinker tries smaller scripts and stores the smallest one that still fails.
type shrinker struct {
	script  Script
	fails   func(Script) bool
	runs    int
	maxRuns int
}

// Shrink finds a smaller script that still fails. It removes faults, first by halves and then one by one, and makes the
// remaining ones shorter and weaker. It returns the smallest failing script and the number of runs, at most maxRuns.
func Shrink(script Script, maxRuns int, fails func(Script) bool) (smallest Script, runs int) {
	s := shrinker{script: script, fails: fails, maxRuns: maxRuns}
	s.removeFaults()
	for i := range s.script.Faults {
		for _, reduce := range faultReductions {
			s.reduceFault(i, reduce)
		}
	}
	s.shortenScript()
	return s.script, s.runs
}

// try runs a candidate script. If it fails, it becomes the current script and try returns true.
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

func (s *shrinker) removeFaults() {
	for size := (len(s.script.Faults) + 1) / 2; size > 0 && len(s.script.Faults) > 1; {
		dropped := s.removeConsecutive(size)
		if !dropped || size > len(s.script.Faults) {
			size /= 2
		}
	}
}

// removeConsecutive removes each group of size consecutive faults without which the script still fails.
func (s *shrinker) removeConsecutive(size int) (dropped bool) {
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

// faultReductions are functions that each reduce one field of a fault. They return false if the field is at its
// minimum.
var faultReductions = []func(*Fault) bool{
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

// reduceFault applies a reduction to a fault repeatedly for as long as the script still fails.
func (s *shrinker) reduceFault(i int, reduce func(*Fault) bool) {
	for {
		candidate := s.script
		candidate.Faults = slices.Clone(s.script.Faults)
		if !reduce(&candidate.Faults[i]) || !s.try(candidate) {
			return
		}
	}
}

// shortenScript ends the script shrunkEndMargin seconds after its last fault if it then still fails.
func (s *shrinker) shortenScript() {
	last := s.script.lastTransition()
	if last <= 0 {
		return
	}
	candidate := s.script
	candidate.Duration = min(last+shrunkEndMargin, s.script.Duration)
	if candidate.Duration < s.script.Duration {
		s.try(candidate)
	}
}
