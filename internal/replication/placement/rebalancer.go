package placement

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxChangesPerCall bounds the changes that one call of Changes returns, so that copying
	// replicas leaves network capacity for reservations. Changes still in progress from earlier calls
	// are not counted.
	maxChangesPerCall = 4
	// changeIntervalSeconds is the minimum time between two proposals for a shard. It is also how
	// often the rebalancer checks whether a learner has caught up.
	changeIntervalSeconds = 0.5
)

// ReplicaStatus is the current status of a replica from one router's point of view.
type ReplicaStatus struct {
	ID       uint64 // identifies the replica's disk
	Node     string
	Zone     string
	Up       bool
	LastSeen float64 // when it was last up, in seconds on the caller's clock
}

// SortedByID returns the statuses sorted by ID.
func SortedByID(statuses map[uint64]ReplicaStatus) []ReplicaStatus {
	return slices.SortedFunc(maps.Values(statuses), func(a, b ReplicaStatus) int { return cmp.Compare(a.ID, b.ID) })
}

// LedShard is a shard that this router leads.
type LedShard struct {
	Shard    int
	Voters   []uint64
	Learners []uint64
}

// ConfChange is one change of a shard's members: either Add or Remove is set. A replica is first
// added as a learner, then as a voter.
type ConfChange struct {
	Shard       int
	Add, Remove uint64
}

// Rebalancer decides which replicas are replaced. It has no clock and is not safe for concurrent
// use.
type Rebalancer struct {
	replicaCount        int
	replaceAfterSeconds float64
	lastChange          map[int]float64 // by shard, in seconds on the caller's clock
}

// NewRebalancer returns a rebalancer that maintains replicaCount replicas of each shard, and
// replaces a replica that has been down for replaceAfterSeconds.
func NewRebalancer(replicaCount int, replaceAfterSeconds float64) *Rebalancer {
	return &Rebalancer{
		replicaCount:        replicaCount,
		replaceAfterSeconds: replaceAfterSeconds,
		lastChange:          map[int]float64{},
	}
}

// Changes returns the changes to propose now for the shards that this router leads. Shards with the
// fewest voters up come first.
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
	for _, c := range candidates[:min(len(candidates), maxChangesPerCall)] {
		r.lastChange[c.change.Shard] = now
		changes = append(changes, c.change)
	}
	return changes
}

// view is the rebalancer's view of the replicas at one time.
type view struct {
	byID    map[uint64]ReplicaStatus
	current map[string]uint64 // ID of the current replica of each node, by name
	nodes   []Node            // nodes on which replicas may be placed
}

// newView selects the nodes that are up or were up recently. If two replicas have the same node
// name, the later one in statuses is the current replica of the node if the earlier one is down or
// was seen less recently, even if the later one is down itself.
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

// isLost reports whether a replica has been down so long that it is replaced. Replacing it sooner
// would copy all its shards at each restart of a router.
func isLost(now float64, status ReplicaStatus, replaceAfterSeconds float64) bool {
	return !status.Up && now-status.LastSeen >= replaceAfterSeconds
}

// isUp reports whether a replica is up and is the current replica of its node.
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

// preferredReplicas returns the replicas that should replicate a shard, best first.
func (v *view) preferredReplicas(shard, count int) []uint64 {
	preferred := make([]uint64, 0, count)
	for _, name := range PreferredNodes(shard, v.nodes, count) {
		preferred = append(preferred, v.current[name])
	}
	return preferred
}

// nextChange returns the next membership change of one shard, and false if none is needed.
// A replica is added before another one is removed, so that the shard tolerates as many losses in
// between as before.
func nextChange(shard LedShard, preferred []uint64, v *view) (ConfChange, bool) {
	if len(shard.Learners) > 0 { // the first learner is promoted or removed before any other change
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

// surplusVoter returns the voter to remove: one that is not preferred, with priority for one that
// is down. It returns 0 if there is none.
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
