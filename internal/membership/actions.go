package membership

import (
	"math"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/partition"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/telemetry"
)

// executeActions executes the actions that the swim core requests, and then updates the partition state.
func (n *Node) executeActions(actions []swim.Action) {
	now := n.now()
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Send:
			n.send(now, action)
		case swim.StateChange:
			n.recordStateChange(action)
		case swim.NameConflict:
			// Two processes with the same name would refute each other's accusations and end each other's
			// suspicions, so only the newer process continues to send.
			n.hasNameConflict = true
			n.metrics.Inc(telemetry.PeerNameConflicts)
			n.metrics.Log.Error("peer name conflict", "instance_id", action.InstanceID)
		}
	}
	n.updatePartition(now)
}

func (n *Node) updatePartition(now float64) {
	present, roster, stuck := n.view.Counts()
	if n.hasNameConflict {
		present = 1
	}
	before, _, _ := n.partition.Current()
	if !n.partition.Update(now, partition.View{Roster: roster, Present: present, Stuck: stuck}) {
		return
	}
	state, epoch, _ := n.partition.Current()
	n.metrics.Inc(telemetry.PartitionStateChanges.With(state))
	n.metrics.Log.Info("partition state changed",
		"state", state.String(),
		"previous_state", before.String(),
		"epoch", epoch,
		"present", present,
		"roster", roster,
		"stuck", stuck)
}

func (n *Node) recordStateChange(c swim.StateChange) {
	n.metrics.Inc(telemetry.PeerStateChanges.With(c.To))
	attributes := []any{
		"peer", n.codec.Name(c.Member),
		"state", c.To.String(),
		"previous_state", c.From.String(),
		"reason", c.Reason.String(),
		"incarnation", c.Incarnation.StartMillis,
		"refutations", c.Incarnation.Refutations,
	}
	if c.To == swim.Failed && c.SuspectedSeconds > 0 {
		_ = n.detectionTimes.RecordValue(int64(c.SuspectedSeconds * 1000)) // values above the maximum are not counted
		attributes = append(attributes, "duration_seconds", roundToHundredth(c.SuspectedSeconds))
	}
	if !c.To.Present() {
		n.partition.Forget(c.Member)
	}
	n.metrics.Log.Info("peer state changed", attributes...)
}

// roundToHundredth rounds a value for the log to two decimal places; further digits are irrelevant.
func roundToHundredth(figure float64) float64 { return math.Round(figure*100) / 100 }

// handleDoubts passes doubts to the routing module if the partition state allows the router to act on other members'
// observations. It also signs and gossips the pending observations of this router.
func (n *Node) handleDoubts(doubts []observation.Doubt) {
	now := n.now()
	state, _, _ := n.partition.Current()
	for _, d := range doubts {
		if d.Level > 0 && !state.TrustsReports() {
			continue
		}
		seconds := max(d.Until-now, 0)
		n.metrics.Inc(telemetry.PeerDoubts)
		n.metrics.Log.Info("endpoint health doubted",
			"endpoint", string(d.Endpoint),
			"doubt", roundToHundredth(d.Level),
			"valid_seconds", roundToHundredth(seconds))
		if n.OnDoubt != nil {
			n.OnDoubt(d.Endpoint, d.Level, seconds)
		}
	}
	for _, o := range n.observations.TakeUnsigned() {
		if state.MayGossip() {
			n.gossipOwnObservation(o)
		}
	}
}

// gossipOwnObservation signs an observation by this router and queues it as gossip.
func (n *Node) gossipOwnObservation(o observation.Observation) {
	signed, err := n.codec.SignObservation(o)
	if err != nil {
		n.metrics.Log.Error("datagram encode failed", "error", err.Error())
		return
	}
	o.Signed = signed
	n.metrics.Inc(telemetry.PeerOwnObservations)
	n.observations.Enqueue(o)
}
