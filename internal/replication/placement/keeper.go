package placement

import (
	"cmp"
	"maps"
	"slices"
)

// Tuned values of the replacing of holders.
const (
	changesAtOnce = 4   // changes of holders under way that one router leads: copying must not take the line from claims
	changeEvery   = 0.5 // s between two changes of one slice: a newcomer that catches up is asked for this often
)

// Seen is a holder as a router sees it now.
type Seen struct {
	ID   uint64 // of its disk
	Name string
	Zone string
	Up   bool
	Last float64 // when it was last up
}

// Sorted gives holders in the order of their disks.
func Sorted(seen map[uint64]Seen) []Seen {
	return slices.SortedFunc(maps.Values(seen), func(a, b Seen) int { return cmp.Compare(a.ID, b.ID) })
}

// Led is a slice that this router leads.
type Led struct {
	Slice    int
	Voters   []uint64
	Learners []uint64
}

// Change is one of a slice's holders: Add comes in (first to catch up, then with a vote), or Remove goes.
type Change struct {
	Slice       int
	Add, Remove uint64
}

// Keeper decides which holders are replaced. It belongs to one goroutine and has no clock.
type Keeper struct {
	copies int
	gone   float64 // s for which a holder has to be away before another takes its place
	at     map[int]float64
}

// NewKeeper keeps so many copies of each slice, and takes a holder for gone after so many seconds.
func NewKeeper(copies int, gone float64) *Keeper {
	return &Keeper{copies: copies, gone: gone, at: map[int]float64{}}
}

// Changes says what to change now of the slices that are led here, worst first.
func (k *Keeper) Changes(now float64, seen []Seen, led []Led) (out []Change) {
	byID := map[uint64]Seen{}
	newest := map[string]uint64{}
	var able []Holder
	for _, s := range seen {
		byID[s.ID] = s
	}
	for _, s := range seen {
		if s.Up || now-s.Last < k.gone {
			if old, ok := newest[s.Name]; !ok || !byID[old].Up || byID[old].Last < s.Last { // of two disks under one name the one that is up
				if !ok {
					able = append(able, Holder{s.Name, s.Zone})
				}
				newest[s.Name] = s.ID
			}
		}
	}
	there := func(id uint64) bool { return byID[id].Up && newest[byID[id].Name] == id }
	type want struct {
		Change
		up int
	}
	var list []want
	for _, l := range led {
		if now < k.at[l.Slice]+changeEvery {
			continue
		}
		wanted := make([]uint64, 0, k.copies)
		for _, name := range Holders(l.Slice, able, k.copies) {
			wanted = append(wanted, newest[name])
		}
		up := 0
		for _, v := range l.Voters {
			if there(v) {
				up++
			}
		}
		if c, ok := k.step(l, wanted, there); ok {
			list = append(list, want{c, up})
		}
	}
	slices.SortStableFunc(list, func(a, b want) int { return cmp.Or(cmp.Compare(a.up, b.up), cmp.Compare(a.Slice, b.Slice)) })
	for _, w := range list[:min(len(list), changesAtOnce)] {
		k.at[w.Slice] = now
		out = append(out, w.Change)
	}
	return out
}

// step is the next change of one slice: one comes in before one goes.
func (k *Keeper) step(l Led, wanted []uint64, there func(uint64) bool) (Change, bool) {
	for _, x := range l.Learners { // who is catching up gets its vote, or goes if it is no longer wanted or there
		if slices.Contains(wanted, x) && there(x) {
			return Change{Slice: l.Slice, Add: x}, true
		}
		return Change{Slice: l.Slice, Remove: x}, true
	}
	for _, w := range wanted {
		if !slices.Contains(l.Voters, w) && there(w) {
			return Change{Slice: l.Slice, Add: w}, true
		}
	}
	if len(l.Voters) <= len(wanted) {
		return Change{}, false
	}
	var spare uint64
	for _, v := range l.Voters {
		if !slices.Contains(wanted, v) && (spare == 0 || there(spare) && !there(v)) { // who is gone goes first
			spare = v
		}
	}
	return Change{Slice: l.Slice, Remove: spare}, spare != 0
}
