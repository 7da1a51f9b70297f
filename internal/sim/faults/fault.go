// Package fault is scripts of faults between processes: values that are drawn from a seed, printed, replayed and shortened.
// The same script is played by relays between processes on loopback and by the network of the simulator.
package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
)

// Kind names a fault.
type Kind string

// Faults of the ways between processes, then of processes.
const (
	Cut       Kind = "cut"     // nothing passes
	Loss      Kind = "lose"    // a share is lost
	Delay     Kind = "delay"   // all comes so many seconds later
	Reorder   Kind = "reorder" // a share comes up to so many seconds later
	Duplicate Kind = "double"  // a share comes twice
	Corrupt   Kind = "spoil"   // a share has a wrong byte

	Kill      Kind = "kill"  // the process is lost and started again at the end, if that has a time; its folder stays
	Wipe      Kind = "wipe"  // the same, without its folder
	Pause     Kind = "pause" // it is stopped and goes on at the end
	Stall     Kind = "stuck" // its work stands still, but it answers its peers
	ClockSkew Kind = "clock" // from the next start on its clock is off by so many seconds
)

var kinds = []Kind{Cut, Loss, Delay, Reorder, Duplicate, Corrupt, Kill, Wipe, Pause, Stall, ClockSkew}

// Act is one fault with its time. Each ends by itself, so a script stays one whatever is left out of it.
type Fault struct {
	Kind     Kind    `json:"do"`
	Start    float64 `json:"at"`              // s from the start of the script
	End      float64 `json:"until,omitempty"` // s; 0: to its end
	From     []int   `json:"from,omitempty"`  // processes; of a way, its senders. Empty: all
	To       []int   `json:"to,omitempty"`    // of a way, its receivers. Empty: all
	BothWays bool    `json:"both,omitempty"`  // the way back too
	Share    float64 `json:"share,omitempty"`
	Seconds  float64 `json:"s,omitempty"`
}

// Script is a run's faults.
type Script struct {
	Seed      uint64  `json:"seed"`
	Processes int     `json:"peers"`
	Duration  float64 `json:"until"` // s
	Faults    []Fault `json:"acts"`
}

func (a Fault) String() string {
	text, _ := json.Marshal(a)
	return string(text)
}

// Way is what happens between two processes at a moment.
type Link struct {
	Cut                               bool
	Loss, Duplicate, Corrupt, Reorder float64 // shares
	DelaySeconds, ReorderSeconds      float64 // s
}

func (a Fault) on(t float64) bool { return t >= a.Start && (a.End == 0 || t < a.End) }

func in(list []int, i int) bool { return len(list) == 0 || slices.Contains(list, i) }

// OfWay says whether a fault is one of the ways between processes.
func (a Fault) IsLinkFault() bool { return slices.Index(kinds, a.Kind) <= slices.Index(kinds, Corrupt) }

// Hits says whether it is about the way from one process to another.
func (a Fault) AffectsLink(from, to int) bool {
	return in(a.From, from) && in(a.To, to) || a.BothWays && in(a.From, to) && in(a.To, from)
}

// Way is what the script says of a way at a time, s.
func (s *Script) LinkAt(from, to int, t float64) (w Link) {
	for i := range s.Faults {
		a := &s.Faults[i]
		if !a.on(t) || !a.IsLinkFault() || !a.AffectsLink(from, to) {
			continue
		}
		switch a.Kind {
		case Cut:
			w.Cut = true
		case Loss:
			w.Loss = 1 - (1-w.Loss)*(1-a.Share)
		case Delay:
			w.DelaySeconds += a.Seconds
		case Reorder:
			w.Reorder, w.ReorderSeconds = max(w.Reorder, a.Share), max(w.ReorderSeconds, a.Seconds)
		case Duplicate:
			w.Duplicate = max(w.Duplicate, a.Share)
		case Corrupt:
			w.Corrupt = max(w.Corrupt, a.Share)
		}
	}
	return w
}

// Passing is what becomes of one datagram: the delay of each copy that arrives, and whether it is spoilt.
func (w Link) Deliver(rnd *rand.Rand) (delays []float64, spoilt bool) {
	if w.Cut || w.Loss > 0 && rnd.Float64() < w.Loss {
		return nil, false
	}
	d := w.DelaySeconds
	if w.Reorder > 0 && rnd.Float64() < w.Reorder {
		d += rnd.Float64() * w.ReorderSeconds
	}
	delays = []float64{d}
	if w.Duplicate > 0 && rnd.Float64() < w.Duplicate {
		delays = append(delays, d+rnd.Float64()*0.05)
	}
	return delays, w.Corrupt > 0 && rnd.Float64() < w.Corrupt
}

// Check says what is wrong with a script.
func (s *Script) Validate() error {
	for i, a := range s.Faults {
		switch {
		case !slices.Contains(kinds, a.Kind):
			return fmt.Errorf("acts[%d]: there is no fault %q", i, a.Kind)
		case a.Start < 0 || a.End != 0 && a.End <= a.Start:
			return fmt.Errorf("acts[%d]: from %g to %g s is no time", i, a.Start, a.End)
		case a.Share < 0 || a.Share > 1:
			return fmt.Errorf("acts[%d]: share %g is not from 0 to 1", i, a.Share)
		}
		for _, p := range append(slices.Clone(a.From), a.To...) {
			if p < 0 || p >= s.Processes {
				return fmt.Errorf("acts[%d]: there is no process %d", i, p)
			}
		}
	}
	if s.Duration <= 0 || s.Processes <= 0 {
		return fmt.Errorf("%d processes for %g s are nothing to play", s.Processes, s.Duration)
	}
	return nil
}

// Read reads a script from a file.
func ReadFile(path string) (Script, error) {
	var s Script
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		return s, fmt.Errorf("the script %s: %w", path, err)
	}
	return s, nil
}

// Moment is an act that begins or ends.
type Transition struct {
	Time  float64
	Fault Fault
	IsEnd bool
}

// Moments are the beginnings and ends of all acts, in order.
func (s *Script) Transitions() []Transition {
	var out []Transition
	for _, a := range s.Faults {
		out = append(out, Transition{a.Start, a, false})
		if a.End > 0 && a.End <= s.Duration {
			out = append(out, Transition{a.End, a, true})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time < out[j].Time })
	return out
}

// Shorten finds a smaller script that still breaks: acts are left out by halves, then one by one; then what is left lasts
// shorter and begins with less. At most so many plays are made; the last script that broke is given back.
func Shrink(s Script, plays int, breaks func(Script) bool) (Script, int) {
	n := 0
	try := func(c Script) bool {
		if n >= plays {
			return false
		}
		n++
		return breaks(c)
	}
	for size := (len(s.Faults) + 1) / 2; size > 0 && len(s.Faults) > 1; {
		cut := false
		for from := 0; from < len(s.Faults); {
			c := s
			c.Faults = slices.Delete(slices.Clone(s.Faults), from, min(from+size, len(s.Faults)))
			if len(c.Faults) < len(s.Faults) && try(c) {
				s, cut = c, true
			} else {
				from += size
			}
		}
		if !cut || size > len(s.Faults) {
			size /= 2
		}
	}
	for i := range s.Faults {
		for _, smaller := range []func(*Fault) bool{
			func(a *Fault) bool { a.End = a.Start + (a.End-a.Start)/2; return a.End > a.Start+0.1 },
			func(a *Fault) bool { a.Share /= 2; return a.Share > 0.01 },
			func(a *Fault) bool { a.Seconds /= 2; return a.Seconds > 0.01 },
			func(a *Fault) bool { ok := len(a.From) > 1; a.From = a.From[:(len(a.From)+1)/2]; return ok },
			func(a *Fault) bool { ok := len(a.To) > 1; a.To = a.To[:(len(a.To)+1)/2]; return ok },
		} {
			for {
				c := s
				c.Faults = slices.Clone(s.Faults)
				if !smaller(&c.Faults[i]) || !try(c) {
					break
				}
				s = c
			}
		}
	}
	if end := lastEnd(s); end > 0 && end < s.Duration {
		c := s
		c.Duration = min(end+10, s.Duration)
		if c.Duration < s.Duration && try(c) {
			s = c
		}
	}
	return s, n
}

func lastEnd(s Script) float64 {
	end := 0.0
	for _, a := range s.Faults {
		end = max(end, a.Start, a.End)
	}
	return end
}

// Draw makes a script of a number of faults, overlapping, the last of them over 15 s before the end.
func Generate(seed uint64, peers, acts int, until float64) Script {
	rnd := rand.New(rand.NewPCG(seed, 0xfa017))
	s := Script{Seed: seed, Processes: peers, Duration: until}
	some := func(most int) []int {
		list := rnd.Perm(peers)[:1+rnd.IntN(max(most, 1))]
		sort.Ints(list)
		return list
	}
	for range acts {
		a := Fault{Kind: kinds[rnd.IntN(len(kinds)-1)], Start: 3 + rnd.Float64()*max(until-30, 1)}
		a.End = min(a.Start+0.3+rnd.ExpFloat64()*4, until-15)
		a.End = max(a.End, a.Start+0.3)
		switch a.Kind {
		case Cut:
			a.From, a.BothWays = some(peers/2), rnd.IntN(3) > 0
			for i := range peers {
				if !slices.Contains(a.From, i) && rnd.IntN(4) > 0 {
					a.To = append(a.To, i)
				}
			}
			if len(a.To) == 0 {
				a.To = []int{(a.From[0] + 1) % peers}
			}
		case Loss, Duplicate, Corrupt:
			a.Share = 0.05 + 0.4*rnd.Float64()
		case Delay, Reorder:
			a.Share, a.Seconds = 0.3, 0.05+0.4*rnd.Float64()
		case Kill, Wipe, Pause, Stall:
			a.From = some(peers / 3)
		}
		s.Faults = append(s.Faults, a)
	}
	sort.SliceStable(s.Faults, func(i, j int) bool { return s.Faults[i].Start < s.Faults[j].Start })
	return s
}

// Excused says whether a script gave process a a reason to drop b: b was stopped or lost, or a way between them was cut or as good as
// cut, at the time or so many seconds before. That a itself was stopped is no reason.
func (s *Script) ExplainsUnreachable(a, b int, t, before float64) bool {
	for i := range s.Faults {
		x := &s.Faults[i]
		if t < x.Start || x.End != 0 && t > x.End+before {
			continue
		}
		switch x.Kind {
		case Pause, Kill, Wipe:
			if slices.Contains(x.From, b) {
				return true
			}
		case Cut:
			if x.AffectsLink(a, b) || x.AffectsLink(b, a) {
				return true
			}
		case Loss, Corrupt:
			if at := min(t, max(x.Start, t-before)); goodAsCut < s.LinkAt(a, b, at).lost() || goodAsCut < s.LinkAt(b, a, at).lost() {
				return true
			}
		}
	}
	return false
}

// goodAsCut is the share lost at which a way can't be told from a cut one for some seconds.
const goodAsCut = 0.4

// lost is the share of what does not come across whole.
func (w Link) lost() float64 { return 1 - (1-w.Loss)*(1-w.Corrupt) }

// Runs says whether a process is there and running at a time.
func (s *Script) IsRunning(p int, t float64) bool {
	for i := range s.Faults {
		if x := &s.Faults[i]; (x.Kind == Kill || x.Kind == Wipe || x.Kind == Pause) && x.on(t) && slices.Contains(x.From, p) {
			return false
		}
	}
	return true
}

// Works says whether a process runs and its work goes on.
func (s *Script) IsWorking(p int, t float64) bool {
	for i := range s.Faults {
		if x := &s.Faults[i]; x.Kind == Stall && x.on(t) && slices.Contains(x.From, p) {
			return false
		}
	}
	return s.IsRunning(p, t)
}

// Reaches is how many running processes a running one can work with at a time, itself among them, over ways that are open in
// both directions, also through others.
func (s *Script) ReachableCount(p int, t float64) int {
	seen := map[int]bool{p: true}
	for next := []int{p}; len(next) > 0; next = next[1:] {
		for q := range s.Processes {
			if !seen[q] && s.IsRunning(q, t) && !s.LinkAt(next[0], q, t).Cut && !s.LinkAt(q, next[0], t).Cut {
				seen[q] = true
				next = append(next, q)
			}
		}
	}
	return len(seen)
}
