package replication

import (
	"context"
	"math"
	"slices"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
)

// Health describes which further failures the shards tolerate: the loss of a router or of a zone.
type Health string

// The values of Health, from worst to best.
const (
	HealthNoShards          Health = "holds no shards"
	HealthNoMajority        Health = "some shards have no majority: their reservations can't be read or made"
	HealthToleratesNoLoss   Health = "the loss of one more router would stop some shards"
	HealthToleratesNodeLoss Health = "bears the loss of a router, not of a zone"
	HealthToleratesZoneLoss Health = "bears the loss of a zone"
)

// ShardReport describes a shard for operators. Its JSON keys keep the names of the first version:
//
//	slice: the shard; holders: its voters; coming: its learners; promises: its reservations;
//	bears_machines, bears_zones: the losses that it tolerates
type ShardReport struct {
	Shard    int      `json:"slice"`
	IsLeader bool     `json:"leads"`
	Leader   string   `json:"leader"`
	Replicas []string `json:"holders"`
	Learners []string `json:"coming"`
	// Lag is the number of log entries that the slowest member lacks; 0 unless this router leads the
	// shard.
	Lag                 uint64 `json:"lag"`
	Reservations        int    `json:"promises"`
	TolerableNodeLosses int    `json:"bears_machines"`
	TolerableZoneLosses int    `json:"bears_zones"`
}

// Report describes a router's shards. Its JSON keys keep the names of the first version:
//
//	holder: the replica; boots: the start count; up: the connected peers; slices: the shards;
//	claims: the proposals
type Report struct {
	Name       string        `json:"name"`
	Replica    uint64        `json:"holder"`
	StartCount uint32        `json:"boots"`
	Health     Health        `json:"health"`
	Connected  []string      `json:"up"`
	Shards     []ShardReport `json:"slices"`
	Proposals  int64         `json:"claims"`
	Syncs      int64         `json:"syncs"`
}

// Report returns the node's current report. It is safe for concurrent use.
func (n *Node) Report(ctx context.Context) (Report, error) {
	reports := make(chan Report, 1)
	select {
	case n.events <- reportRequested{reports}:
	case <-n.stopped:
		return Report{}, ErrStopped
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
	select {
	case report := <-reports:
		return report, nil
	case <-n.stopped:
		return Report{}, ErrStopped
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
}

func (n *Node) buildReport() Report {
	report := Report{
		Name:       n.config.Name,
		Replica:    n.replicaID,
		StartCount: n.identity.StartCount,
		Connected:  []string{},
		Shards:     []ShardReport{},
		Proposals:  n.proposalCount,
		Syncs:      n.syncCount,
	}
	for peer, connected := range n.connected {
		if connected {
			report.Connected = append(report.Connected, peer)
		}
	}
	slices.Sort(report.Connected)
	for number := range placement.ShardCount {
		if replica := n.replicas[number]; replica != nil {
			report.Shards = append(report.Shards, n.reportShard(number, replica))
		}
	}
	report.Health = healthOf(report.Shards)
	return report
}

func (n *Node) reportShard(number int, replica *shard.Replica) ShardReport {
	isLeader, leader := replica.Leadership()
	report := ShardReport{
		Shard:        number,
		IsLeader:     isLeader,
		Leader:       n.statuses[leader].Node,
		Reservations: replica.State().Len(),
	}
	voters, learners := replica.Members()
	var present []placement.Node
	for _, voter := range voters {
		status := n.statuses[voter]
		report.Replicas = append(report.Replicas, status.Node)
		if status.Up {
			present = append(present, placement.Node{Name: status.Node, Zone: status.Zone})
		}
	}
	for _, learner := range learners {
		report.Learners = append(report.Learners, n.statuses[learner].Node)
	}
	for _, lag := range replica.Lag() {
		report.Lag = max(report.Lag, lag)
	}
	report.TolerableNodeLosses, report.TolerableZoneLosses = placement.FaultTolerance(len(voters), present)
	return report
}

func healthOf(shards []ShardReport) Health {
	if len(shards) == 0 {
		return HealthNoShards
	}
	nodeLosses, zoneLosses := math.MaxInt, math.MaxInt
	for _, report := range shards {
		nodeLosses = min(nodeLosses, report.TolerableNodeLosses)
		zoneLosses = min(zoneLosses, report.TolerableZoneLosses)
	}
	switch {
	case nodeLosses < 0:
		return HealthNoMajority
	case nodeLosses == 0:
		return HealthToleratesNoLoss
	case zoneLosses == 0:
		return HealthToleratesNodeLoss
	}
	return HealthToleratesZoneLoss
}
