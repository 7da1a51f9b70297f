// Package simulation runs the cores of membership and replication on virtual time, over many seeds, and reports the
// results. It implements the commands 'lab sim membership' and 'lab sim replication'. The same seeds give the same
// figures.
package simulation

import "fmt"

// Seeds is an inclusive range of seeds.
type Seeds struct {
	From uint64
	To   uint64
}

// Count returns the number of seeds.
func (s Seeds) Count() int { return int(s.To - s.From + 1) }

func (s Seeds) String() string { return fmt.Sprintf("%d seeds", s.Count()) }

// Progress is called occasionally with the progress of a simulation. Its parameters are those of fmt.Printf.
type Progress func(format string, args ...any)

// orNoop returns p, or a function that does nothing if p is nil.
func (p Progress) orNoop() Progress {
	if p == nil {
		return func(string, ...any) {}
	}
	return p
}

// quantile returns a quantile of a sorted, non-empty list.
func quantile(ordered []float64, share float64) float64 {
	return ordered[int(share*float64(len(ordered)-1))]
}

// median returns the upper median of a sorted, non-empty list.
func median(ordered []float64) float64 { return ordered[len(ordered)/2] }
