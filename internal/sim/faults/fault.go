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
	Cut     Kind = "cut"     // nothing passes
	Lose    Kind = "lose"    // a share is lost
	Delay   Kind = "delay"   // all comes so many seconds later
	Reorder Kind = "reorder" // a share comes up to so many seconds later
	Double  Kind = "double"  // a share comes twice
	Spoil   Kind = "spoil"   // a share has a wrong byte

	Kill  Kind = "kill"  // the process is lost and started again at the end, if that has a time; its folder stays
	Wipe  Kind = "wipe"  // the same, without its folder
	Pause Kind = "pause" // it is stopped and goes on at the end
	Stuck Kind = "stuck" // its work stands still, but it answers its peers
	Clock Kind = "clock" // from the next start on its clock is off by so many seconds
)

var kinds = []Kind{Cut, Lose, Delay, Reorder, Double, Spoil, Kill, Wipe, Pause, Stuck, Clock}

// Act is one fault with its time. Each ends by itself, so a script stays one whatever is left out of it.
type Act struct {
	Do    Kind    `json:"do"`
	At    float64 `json:"at"`              // s from the start of the script
	Until float64 `json:"until,omitempty"` // s; 0: to its end
	From  []int   `json:"from,omitempty"`  // processes; of a way, its senders. Empty: all
	To    []int   `json:"to,omitempty"`    // of a way, its receivers. Empty: all
	Both  bool    `json:"both,omitempty"`  // the way back too
	Share float64 `json:"share,omitempty"`
	S     float64 `json:"s,omitempty"`
}

// Script is a run's faults.
type Script struct {
	Seed  uint64  `json:"seed"`
	Peers int     `json:"peers"`
	Until float64 `json:"until"` // s
	Acts  []Act   `json:"acts"`
}

func (a Act) String() string {
	text, _ := json.Marshal(a)
	return string(text)
}

// Way is what happens between two processes at a moment.
type Way struct {
	Cut                          bool
	Lose, Double, Spoil, Reorder float64 // shares
	Delay, ReorderS              float64 // s
}

func (a Act) on(t float64) bool { return t >= a.At && (a.Until == 0 || t < a.Until) }

func in(list []int, i int) bool { return len(list) == 0 || slices.Contains(list, i) }

// OfWay says whether a fault is one of the ways between processes.
func (a Act) OfWay() bool { return slices.Index(kinds, a.Do) <= slices.Index(kinds, Spoil) }

// Hits says whether it is about the way from one process to another.
func (a Act) Hits(from, to int) bool {
	return in(a.From, from) && in(a.To, to) || a.Both && in(a.From, to) && in(a.To, from)
}

// Way is what the script says of a way at a time, s.
func (s *Script) Way(from, to int, t float64) (w Way) {
	for i := range s.Acts {
		a := &s.Acts[i]
		if !a.on(t) || !a.OfWay() || !a.Hits(from, to) {
			continue
		}
		switch a.Do {
		case Cut:
			w.Cut = true
		case Lose:
			w.Lose = 1 - (1-w.Lose)*(1-a.Share)
		case Delay:
			w.Delay += a.S
		case Reorder:
			w.Reorder, w.ReorderS = max(w.Reorder, a.Share), max(w.ReorderS, a.S)
		case Double:
			w.Double = max(w.Double, a.Share)
		case Spoil:
			w.Spoil = max(w.Spoil, a.Share)
		}
	}
	return w
}

// Passing is what becomes of one datagram: the delay of each copy that arrives, and whether it is spoilt.
func (w Way) Passing(rnd *rand.Rand) (delays []float64, spoilt bool) {
	if w.Cut || w.Lose > 0 && rnd.Float64() < w.Lose {
		return nil, false
	}
	d := w.Delay
	if w.Reorder > 0 && rnd.Float64() < w.Reorder {
		d += rnd.Float64() * w.ReorderS
	}
	delays = []float64{d}
	if w.Double > 0 && rnd.Float64() < w.Double {
		delays = append(delays, d+rnd.Float64()*0.05)
	}
	return delays, w.Spoil > 0 && rnd.Float64() < w.Spoil
}

// Check says what is wrong with a script.
func (s *Script) Check() error {
	for i, a := range s.Acts {
		switch {
		case !slices.Contains(kinds, a.Do):
			return fmt.Errorf("acts[%d]: there is no fault %q", i, a.Do)
		case a.At < 0 || a.Until != 0 && a.Until <= a.At:
			return fmt.Errorf("acts[%d]: from %g to %g s is no time", i, a.At, a.Until)
		case a.Share < 0 || a.Share > 1:
			return fmt.Errorf("acts[%d]: share %g is not from 0 to 1", i, a.Share)
		}
		for _, p := range append(slices.Clone(a.From), a.To...) {
			if p < 0 || p >= s.Peers {
				return fmt.Errorf("acts[%d]: there is no process %d", i, p)
			}
		}
	}
	if s.Until <= 0 || s.Peers <= 0 {
		return fmt.Errorf("%d processes for %g s are nothing to play", s.Peers, s.Until)
	}
	return nil
}

// Read reads a script from a file.
func Read(path string) (Script, error) {
	var s Script
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		return s, fmt.Errorf("the script %s: %w", path, err)
	}
	return s, nil
}

// Moment is an act that begins or ends.
type Moment struct {
	At  float64
	Act Act
	End bool
}

// Moments are the beginnings and ends of all acts, in order.
func (s *Script) Moments() []Moment {
	var out []Moment
	for _, a := range s.Acts {
		out = append(out, Moment{a.At, a, false})
		if a.Until > 0 && a.Until <= s.Until {
			out = append(out, Moment{a.Until, a, true})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// Shorten finds a smaller script that still breaks: acts are left out by halves, then one by one; then what is left lasts
// shorter and begins with less. At most so many plays are made; the last script that broke is given back.
func Shorten(s Script, plays int, breaks func(Script) bool) (Script, int) {
	n := 0
	try := func(c Script) bool {
		if n >= plays {
			return false
		}
		n++
		return breaks(c)
	}
	for size := (len(s.Acts) + 1) / 2; size > 0 && len(s.Acts) > 1; {
		cut := false
		for from := 0; from < len(s.Acts); {
			c := s
			c.Acts = slices.Delete(slices.Clone(s.Acts), from, min(from+size, len(s.Acts)))
			if len(c.Acts) < len(s.Acts) && try(c) {
				s, cut = c, true
			} else {
				from += size
			}
		}
		if !cut || size > len(s.Acts) {
			size /= 2
		}
	}
	for i := range s.Acts {
		for _, smaller := range []func(*Act) bool{
			func(a *Act) bool { a.Until = a.At + (a.Until-a.At)/2; return a.Until > a.At+0.1 },
			func(a *Act) bool { a.Share /= 2; return a.Share > 0.01 },
			func(a *Act) bool { a.S /= 2; return a.S > 0.01 },
			func(a *Act) bool { ok := len(a.From) > 1; a.From = a.From[:(len(a.From)+1)/2]; return ok },
			func(a *Act) bool { ok := len(a.To) > 1; a.To = a.To[:(len(a.To)+1)/2]; return ok },
		} {
			for {
				c := s
				c.Acts = slices.Clone(s.Acts)
				if !smaller(&c.Acts[i]) || !try(c) {
					break
				}
				s = c
			}
		}
	}
	if end := lastEnd(s); end > 0 && end < s.Until {
		c := s
		c.Until = min(end+10, s.Until)
		if c.Until < s.Until && try(c) {
			s = c
		}
	}
	return s, n
}

func lastEnd(s Script) float64 {
	end := 0.0
	for _, a := range s.Acts {
		end = max(end, a.At, a.Until)
	}
	return end
}

// Draw makes a script of a number of faults, overlapping, the last of them over 15 s before the end.
func Draw(seed uint64, peers, acts int, until float64) Script {
	rnd := rand.New(rand.NewPCG(seed, 0xfa017))
	s := Script{Seed: seed, Peers: peers, Until: until}
	some := func(most int) []int {
		list := rnd.Perm(peers)[:1+rnd.IntN(max(most, 1))]
		sort.Ints(list)
		return list
	}
	for range acts {
		a := Act{Do: kinds[rnd.IntN(len(kinds)-1)], At: 3 + rnd.Float64()*max(until-30, 1)}
		a.Until = min(a.At+0.3+rnd.ExpFloat64()*4, until-15)
		a.Until = max(a.Until, a.At+0.3)
		switch a.Do {
		case Cut:
			a.From, a.Both = some(peers/2), rnd.IntN(3) > 0
			for i := range peers {
				if !slices.Contains(a.From, i) && rnd.IntN(4) > 0 {
					a.To = append(a.To, i)
				}
			}
			if len(a.To) == 0 {
				a.To = []int{(a.From[0] + 1) % peers}
			}
		case Lose, Double, Spoil:
			a.Share = 0.05 + 0.4*rnd.Float64()
		case Delay, Reorder:
			a.Share, a.S = 0.3, 0.05+0.4*rnd.Float64()
		case Kill, Wipe, Pause, Stuck:
			a.From = some(peers / 3)
		}
		s.Acts = append(s.Acts, a)
	}
	sort.SliceStable(s.Acts, func(i, j int) bool { return s.Acts[i].At < s.Acts[j].At })
	return s
}

// Excused says whether a script gave process a a reason to drop b: b was stopped or lost, or a way between them was cut or as good as
// cut, at the time or so many seconds before. That a itself was stopped is no reason.
func (s *Script) Excused(a, b int, t, before float64) bool {
	for i := range s.Acts {
		x := &s.Acts[i]
		if t < x.At || x.Until != 0 && t > x.Until+before {
			continue
		}
		switch x.Do {
		case Pause, Kill, Wipe:
			if slices.Contains(x.From, b) {
				return true
			}
		case Cut:
			if x.Hits(a, b) || x.Hits(b, a) {
				return true
			}
		case Lose, Spoil:
			if at := min(t, max(x.At, t-before)); goodAsCut < s.Way(a, b, at).lost() || goodAsCut < s.Way(b, a, at).lost() {
				return true
			}
		}
	}
	return false
}

// goodAsCut is the share lost at which a way can't be told from a cut one for some seconds.
const goodAsCut = 0.4

// lost is the share of what does not come across whole.
func (w Way) lost() float64 { return 1 - (1-w.Lose)*(1-w.Spoil) }

// Runs says whether a process is there and running at a time.
func (s *Script) Runs(p int, t float64) bool {
	for i := range s.Acts {
		if x := &s.Acts[i]; (x.Do == Kill || x.Do == Wipe || x.Do == Pause) && x.on(t) && slices.Contains(x.From, p) {
			return false
		}
	}
	return true
}

// Works says whether a process runs and its work goes on.
func (s *Script) Works(p int, t float64) bool {
	for i := range s.Acts {
		if x := &s.Acts[i]; x.Do == Stuck && x.on(t) && slices.Contains(x.From, p) {
			return false
		}
	}
	return s.Runs(p, t)
}

// Reaches is how many running processes a running one can work with at a time, itself among them, over ways that are open in
// both directions, also through others.
func (s *Script) Reaches(p int, t float64) int {
	seen := map[int]bool{p: true}
	for next := []int{p}; len(next) > 0; next = next[1:] {
		for q := range s.Peers {
			if !seen[q] && s.Runs(q, t) && !s.Way(next[0], q, t).Cut && !s.Way(q, next[0], t).Cut {
				seen[q] = true
				next = append(next, q)
			}
		}
	}
	return len(seen)
}
