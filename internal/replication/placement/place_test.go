package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func fleet(n, zones int) (out []Node) {
	for i := range n {
		out = append(out, Node{fmt.Sprint("n", i), fmt.Sprint("z", i%zones)})
	}
	return out
}

func zoneOf(of []Node, name string) string {
	return of[slices.IndexFunc(of, func(h Node) bool { return h.Name == name })].Zone
}

func TestHoldersStandInAllZones(t *testing.T) {
	for _, x := range []struct{ machines, zones, n, most int }{{9, 3, 3, 1}, {9, 3, 5, 2}, {20, 4, 3, 1}, {5, 1, 3, 3}, {3, 2, 3, 2}, {2, 2, 3, 1}} {
		of := fleet(x.machines, x.zones)
		for s := range ShardCount {
			in := map[string]int{}
			h := PreferredNodes(s, of, x.n)
			assert.Len(t, h, min(x.n, x.machines))
			for _, name := range h {
				in[zoneOf(of, name)]++
			}
			for z, n := range in {
				assert.LessOrEqual(t, n, x.most, "%+v: zone %s", x, z)
			}
		}
	}
}

func TestOneMachineLessMovesOnlyItsOwn(t *testing.T) {
	of := fleet(20, 4)
	less := slices.Delete(slices.Clone(of), 7, 8)
	moved := 0
	for s := range ShardCount {
		a, b := PreferredNodes(s, of, 3), PreferredNodes(s, less, 3)
		for _, h := range b {
			if !slices.Contains(a, h) {
				moved++
				assert.Contains(t, a, "n7", "slice %d", s)
			}
		}
	}
	assert.Less(t, moved, 2*ShardCount*3/20+8, "about its part")
}

func TestLoadIsSpread(t *testing.T) {
	of := fleet(20, 4)
	count := map[string]int{}
	for s := range ShardCount {
		for _, h := range PreferredNodes(s, of, 3) {
			count[h]++
		}
	}
	for name, n := range count {
		assert.Less(t, n, 3*ShardCount*3/20, name)
	}
	assert.Len(t, count, 20)
	keys := map[int]int{}
	for i := range 64_000 {
		keys[ShardOf(fmt.Sprint("key", i))]++
	}
	for s := range ShardCount {
		assert.InDelta(t, 1000, keys[s], 200)
	}
}

func TestBears(t *testing.T) {
	for _, x := range []struct {
		zones                 string // of those who are there
		of, machines, inZones int
	}{{"abc", 3, 1, 1}, {"aab", 3, 1, 0}, {"abcde", 5, 2, 2}, {"aabbc", 5, 2, 1}, {"a", 1, 0, 0}, {"ab", 3, 0, 0}, {"a", 3, -1, -1}} {
		var there []Node
		for i, z := range x.zones {
			there = append(there, Node{fmt.Sprint(i), string(z)})
		}
		m, z := FaultTolerance(x.of, there)
		assert.Equal(t, []int{x.machines, x.inZones}, []int{m, z}, x.zones)
	}
}

// apply carries changes out as the slices would.
func apply(led []LedShard, changes []ConfChange) {
	for _, c := range changes {
		l := &led[slices.IndexFunc(led, func(l LedShard) bool { return l.Shard == c.Shard })]
		switch {
		case c.Remove != 0:
			l.Voters = slices.DeleteFunc(slices.Clone(l.Voters), func(v uint64) bool { return v == c.Remove })
			l.Learners = slices.DeleteFunc(slices.Clone(l.Learners), func(v uint64) bool { return v == c.Remove })
		case slices.Contains(l.Learners, c.Add):
			l.Learners = slices.DeleteFunc(slices.Clone(l.Learners), func(v uint64) bool { return v == c.Add })
			l.Voters = append(slices.Clone(l.Voters), c.Add)
		default:
			l.Learners = append(slices.Clone(l.Learners), c.Add)
		}
	}
}

func seenOf(of []Node) (out []ReplicaStatus) {
	for i, h := range of {
		out = append(out, ReplicaStatus{ID: uint64(i + 1), Node: h.Name, Zone: h.Zone, Up: true})
	}
	return out
}

// TestLostMachineIsReplacedOneByOne: for a stated time nothing is done; then each slice gets another holder before the lost one
// goes, few at a time, and in the end all stand as they should.
func TestLostMachineIsReplacedOneByOne(t *testing.T) {
	of := fleet(9, 3)
	seen := seenOf(of)
	var led []LedShard
	for s := range ShardCount {
		l := LedShard{Shard: s}
		for _, name := range PreferredNodes(s, of, 3) {
			l.Voters = append(l.Voters, uint64(slices.IndexFunc(of, func(h Node) bool { return h.Name == name })+1))
		}
		led = append(led, l)
	}
	k := NewRebalancer(3, 30)
	assert.Empty(t, k.Changes(100, seen, led), "all is well")
	seen[4].Up, seen[4].LastSeen = false, 100
	assert.Empty(t, k.Changes(120, seen, led), "it may come back")
	now, changes := 131.0, 0
	for ; ; now++ {
		c := k.Changes(now, seen, led)
		if len(c) == 0 {
			break
		}
		assert.LessOrEqual(t, len(c), maxConcurrentChanges)
		changes += len(c)
		apply(led, c)
		for _, l := range led {
			assert.GreaterOrEqual(t, len(l.Voters), 3)
		}
		require.Less(t, now, 400.0)
	}
	for _, l := range led {
		assert.Len(t, l.Voters, 3)
		assert.NotContains(t, l.Voters, uint64(5))
	}
	t.Logf("%d changes in %.0f s", changes, now-131)
	// It comes back with an emptied disk: another holder under the old name, which takes its place again.
	seen = append(seen, ReplicaStatus{ID: 50, Node: "n4", Zone: seen[4].Zone, Up: true, LastSeen: now})
	for ; now < 800; now++ {
		apply(led, k.Changes(now, seen, led))
	}
	held := 0
	for _, l := range led {
		assert.Len(t, l.Voters, 3)
		if slices.Contains(l.Voters, 50) {
			held++
		}
	}
	assert.Positive(t, held)
}

func TestNewcomerThatGoesAgainIsLetGo(t *testing.T) {
	of := fleet(4, 1)
	seen := seenOf(of)
	k := NewRebalancer(3, 30)
	seen[3].Up, seen[3].LastSeen = false, 0
	assert.Equal(t, []ConfChange{{Shard: 1, Remove: 4}}, k.Changes(100, seen, []LedShard{{Shard: 1, Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}))
}
