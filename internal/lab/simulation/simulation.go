// Package simulation runs the cores of membership and replication on virtual time, over many seeds, and reports the
// results. It backs the commands 'lab sim membership' and 'lab sim replication'. The same seeds give the same figures.
package simulation

import "fmt"

// Seeds is a range of seeds, both ends included.
type Seeds struct {
	From uint64
	To   uint64
}

// Count returns how many seeds there are.
func (s Seeds) Count() int { return int(s.To - s.From + 1) }

func (s Seeds) String() string { return fmt.Sprintf("%d seeds", s.Count()) }

// Progress is called from time to time with how far a simulation is, in the form of fmt.Printf.
type Progress func(format string, args ...any)

// orSilent returns a progress that may be called where none is set.
func (p Progress) orSilent() Progress {
	if p == nil {
		return func(string, ...any) {}
	}
	return p
}

// quantile returns a quantile of an ordered list that is not empty.
func quantile(ordered []float64, share float64) float64 {
	return ordered[int(share*float64(len(ordered)-1))]
}

// median returns the upper median of an ordered list that is not empty.
func median(ordered []float64) float64 { return ordered[len(ordered)/2] }
