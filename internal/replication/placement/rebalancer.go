package placement

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxConcurrentChanges bounds the changes that one router proposes at a time, so that copying
	// leaves the network to reservations.
	maxConcurrentChanges = 4
	// changeIntervalSeconds is the time between two proposals for a shard. Whether a learner has
	// caught up is checked this often.
	changeIntervalSeconds = 0.5
)

// ReplicaStatus is a replica as a router sees it now.
type ReplicaStatus struct {
	ID       uint64 // of its disk
	Node     string
	Zone     string
	Up       bool
	LastSeen float64 // when it was last up, in seconds of the caller's clock
}

// SortedByID gives the statuses in the order of their IDs.
func SortedByID(statuses map[uint64]ReplicaStatus) []ReplicaStatus {
	return slices.SortedFunc(maps.Values(statuses), func(a, b ReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
}

// LedShard is a shard that this router leads.
type LedShard struct {
	Shard    int
	Voters   []uint64
	Learners []uint64
}

// ConfChange is one change of a shard's members: either Add or Remove is set. A replica is added as
// a learner first, then as a voter.
type ConfChange struct {
	Shard       int
	Add, Remove uint64
}

// Rebalancer decides which replicas are replaced. It belongs to one goroutine and has no clock.
type Rebalancer struct {
	replicaCount        int
	replaceAfterSeconds float64
	lastChange          map[int]float64 // by shard, in seconds of the caller's clock
}

// NewRebalancer makes one that keeps a number of replicas of each shard, and replaces those that
// were away for a time.
func NewRebalancer(replicaCount int, replaceAfterSeconds float64) *Rebalancer {
	return &Rebalancer{
		replicaCount:        replicaCount,
		replaceAfterSeconds: replaceAfterSeconds,
		lastChange:          map[int]float64{},
	}
}

// Changes says what to change now in the shards that are led here, those with the fewest voters up
// first.
func (r *Rebalancer) Changes(now float64, statuses []ReplicaStatus, led []LedShard) []ConfChange {
	view := r.newView(now, statuses)
	type candidate struct {
		change   ConfChange
		votersUp int
	}
	var candidates []candidate
	for _, shard := range led {
		if now < r.lastChange[shard.Shard]+changeIntervalSeconds {
			continue
		}
		if change, ok := nextChange(shard, view.preferredReplicas(shard.Shard, r.replicaCount), view); ok {
			candidates = append(candidates, candidate{change, view.countUp(shard.Voters)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.votersUp, b.votersUp), cmp.Compare(a.change.Shard, b.change.Shard))
	})
	var changes []ConfChange
	for _, c := range candidates[:min(len(candidates), maxConcurrentChanges)] {
		r.lastChange[c.change.Shard] = now
		changes = append(changes, c.change)
	}
	return changes
}

// view is the replicas as the rebalancer takes them at one time.
type view struct {
	byID    map[uint64]ReplicaStatus
	current map[string]uint64 // by node, its replica that counts
	nodes   []Node            // that may hold shards
}

// newView finds the nodes that are up or were so lately. Of two replicas under one node's name the
// one that is up counts, else the one that was seen last.
func (r *Rebalancer) newView(now float64, statuses []ReplicaStatus) *view {
	v := &view{byID: map[uint64]ReplicaStatus{}, current: map[string]uint64{}}
	for _, status := range statuses {
		v.byID[status.ID] = status
	}
	for _, status := range statuses {
		if isLost(now, status, r.replaceAfterSeconds) {
			continue
		}
		known, found := v.current[status.Node]
		if !found {
			v.nodes = append(v.nodes, Node{status.Node, status.Zone})
		}
		if !found || !v.byID[known].Up || v.byID[known].LastSeen < status.LastSeen {
			v.current[status.Node] = status.ID
		}
	}
	return v
}

// isLost says that a replica was away for so long that others take its place. Replacing it sooner would copy all its
// shards at each restart of a router.
func isLost(now float64, status ReplicaStatus, replaceAfterSeconds float64) bool {
	return !status.Up && now-status.LastSeen >= replaceAfterSeconds
}

// isUp says that a replica is up and counts for its node.
func (v *view) isUp(id uint64) bool {
	status := v.byID[id]
	return status.Up && v.current[status.Node] == id
}

func (v *view) countUp(ids []uint64) int {
	up := 0
	for _, id := range ids {
		if v.isUp(id) {
			up++
		}
	}
	return up
}

// preferredReplicas are the replicas that should hold a shard, best first.
func (v *view) preferredReplicas(shard, count int) []uint64 {
	preferred := make([]uint64, 0, count)
	for _, name := range PreferredNodes(shard, v.nodes, count) {
		preferred = append(preferred, v.current[name])
	}
	return preferred
}

// nextChange is the next change of one shard's members, if there is one. A replica is added before
// another is removed, so that the shard bears as many losses meanwhile as before.
func nextChange(shard LedShard, preferred []uint64, v *view) (ConfChange, bool) {
	if len(shard.Learners) > 0 { // the first is made a voter or removed before anything else changes
		learner := shard.Learners[0]
		if slices.Contains(preferred, learner) && v.isUp(learner) {
			return ConfChange{Shard: shard.Shard, Add: learner}, true
		}
		return ConfChange{Shard: shard.Shard, Remove: learner}, true
	}
	for _, id := range preferred {
		if !slices.Contains(shard.Voters, id) && v.isUp(id) {
			return ConfChange{Shard: shard.Shard, Add: id}, true
		}
	}
	if len(shard.Voters) <= len(preferred) {
		return ConfChange{}, false
	}
	surplus := surplusVoter(shard.Voters, preferred, v)
	return ConfChange{Shard: shard.Shard, Remove: surplus}, surplus != 0
}

// surplusVoter is the voter to remove: one that is not preferred, and of those one that is not up.
// It is 0 where there is none.
func surplusVoter(voters, preferred []uint64, v *view) uint64 {
	var surplus uint64
	for _, voter := range voters {
		if slices.Contains(preferred, voter) {
			continue
		}
		if surplus == 0 || v.isUp(surplus) && !v.isUp(voter) {
			surplus = voter
		}
	}
	return surplus
}
