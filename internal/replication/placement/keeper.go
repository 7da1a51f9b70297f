package placement

import (
	"cmp"
	"maps"
	"slices"
)

// Tuned values of the replacing of holders.
const (
	maxConcurrentChanges = 4   // changes of holders under way that one router leads: copying must not take the line from claims
	changeEvery          = 0.5 // s between two changes of one slice: a newcomer that catches up is asked for this often
)

// Seen is a holder as a router sees it now.
type ReplicaStatus struct {
	ID       uint64 // of its disk
	Node     string
	Zone     string
	Up       bool
	LastSeen float64 // when it was last up
}

// Sorted gives holders in the order of their disks.
func SortedByID(seen map[uint64]ReplicaStatus) []ReplicaStatus {
	return slices.SortedFunc(maps.Values(seen), func(a, b ReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
}

// Led is a slice that this router leads.
type LedShard struct {
	Shard    int
	Voters   []uint64
	Learners []uint64
}

// Change is one of a slice's holders: Add comes in (first to catch up, then with a vote), or Remove goes.
type ConfChange struct {
	Shard       int
	Add, Remove uint64
}

// Keeper decides which holders are replaced. It belongs to one goroutine and has no clock.
type Rebalancer struct {
	copies int
	gone   float64 // s for which a holder has to be away before another takes its place
	at     map[int]float64
}

// NewKeeper keeps so many copies of each slice, and takes a holder for gone after so many seconds.
func NewRebalancer(copies int, gone float64) *Rebalancer {
	return &Rebalancer{copies: copies, gone: gone, at: map[int]float64{}}
}

// Changes says what to change now of the slices that are led here, worst first.
func (k *Rebalancer) Changes(now float64, seen []ReplicaStatus, led []LedShard) (out []ConfChange) {
	byID := map[uint64]ReplicaStatus{}
	newest := map[string]uint64{}
	var able []Node
	for _, s := range seen {
		byID[s.ID] = s
	}
	for _, s := range seen {
		if s.Up || now-s.LastSeen < k.gone {
			if old, ok := newest[s.Node]; !ok || !byID[old].Up || byID[old].LastSeen < s.LastSeen { // of two disks under one name the one that is up
				if !ok {
					able = append(able, Node{s.Node, s.Zone})
				}
				newest[s.Node] = s.ID
			}
		}
	}
	there := func(id uint64) bool { return byID[id].Up && newest[byID[id].Node] == id }
	type want struct {
		ConfChange
		up int
	}
	var list []want
	for _, l := range led {
		if now < k.at[l.Shard]+changeEvery {
			continue
		}
		wanted := make([]uint64, 0, k.copies)
		for _, name := range PreferredNodes(l.Shard, able, k.copies) {
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
	slices.SortStableFunc(list, func(a, b want) int { return cmp.Or(cmp.Compare(a.up, b.up), cmp.Compare(a.Shard, b.Shard)) })
	for _, w := range list[:min(len(list), maxConcurrentChanges)] {
		k.at[w.Shard] = now
		out = append(out, w.ConfChange)
	}
	return out
}

// step is the next change of one slice: one comes in before one goes.
func (k *Rebalancer) step(l LedShard, wanted []uint64, there func(uint64) bool) (ConfChange, bool) {
	for _, x := range l.Learners { // who is catching up gets its vote, or goes if it is no longer wanted or there
		if slices.Contains(wanted, x) && there(x) {
			return ConfChange{Shard: l.Shard, Add: x}, true
		}
		return ConfChange{Shard: l.Shard, Remove: x}, true
	}
	for _, w := range wanted {
		if !slices.Contains(l.Voters, w) && there(w) {
			return ConfChange{Shard: l.Shard, Add: w}, true
		}
	}
	if len(l.Voters) <= len(wanted) {
		return ConfChange{}, false
	}
	var spare uint64
	for _, v := range l.Voters {
		if !slices.Contains(wanted, v) && (spare == 0 || there(spare) && !there(v)) { // who is gone goes first
			spare = v
		}
	}
	return ConfChange{Shard: l.Shard, Remove: spare}, spare != 0
}
