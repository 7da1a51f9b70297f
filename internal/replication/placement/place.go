// Package place says which routers hold which slice of the ledger: by rendezvous hashing, spread over zones, so that a machine
// more or less moves few slices and the loss of a zone leaves each slice most of its holders where that can be. No I/O.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Slices is the fixed number of parts that keys fall into. It is part of the format on the disk: 64 keep a machine's share of 300
// routers under one slice in five, and the heartbeats of all of them under those of the peers' checks.
const ShardCount = 64

// Holder is a router that may hold slices.
type Node struct {
	Name string
	Zone string
}

// Of is the slice of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// weight is a holder's for a slice; the highest come first.
func weight(slice int, name string) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{byte(slice), byte(slice >> 8)})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Holders are the n routers that should hold a slice, best first. No zone has more of them than its even part, rounded up, as long
// as others have room; with one zone the n best are taken wherever they stand.
func PreferredNodes(slice int, of []Node, n int) []string {
	type ranked struct {
		Node
		w uint64
	}
	list := make([]ranked, len(of))
	zones := map[string]bool{}
	for i, h := range of {
		list[i] = ranked{h, weight(slice, h.Name)}
		zones[h.Zone] = true
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.w, a.w), cmp.Compare(a.Name, b.Name)) })
	n = min(n, len(list))
	var out []string
	in := map[string]int{}
	taken := make([]bool, len(list))
	for even := 1; len(out) < n; even++ { // a zone gets its next one when every zone with room had as many
		for i, h := range list {
			if len(out) < n && !taken[i] && in[h.Zone] < even {
				taken[i] = true
				in[h.Zone]++
				out = append(out, h.Name)
			}
		}
	}
	return out
}

// Bears says how many machines, and how many zones, of those who are there may be lost so that most of all holders are still
// there; below 0 they are not now.
func FaultTolerance(holders int, there []Node) (machines, zones int) {
	need := holders/2 + 1
	machines = len(there) - need
	if machines < 0 {
		return -1, -1
	}
	count := map[string]int{}
	for _, h := range there {
		count[h.Zone]++
	}
	sizes := make([]int, 0, len(count))
	for _, c := range count {
		sizes = append(sizes, c)
	}
	slices.SortFunc(sizes, func(a, b int) int { return b - a }) // the worst zones go first
	left := len(there)
	for _, c := range sizes {
		if left -= c; left < need {
			break
		}
		zones++
	}
	return machines, zones
}
