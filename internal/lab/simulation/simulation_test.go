package simulation

import (
	"testing"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
	simmembership "cairnfront/internal/sim/membership"
	simreplication "cairnfront/internal/sim/replication"

	"github.com/stretchr/testify/assert"
)

// TestMembershipFailuresAreNamed: a run whose invariants cannot fail finds nothing over any number of seeds. Each one
// must fail where it is broken, and name what broke.
func TestMembershipFailuresAreNamed(t *testing.T) {
	script := &faults.Script{Processes: 3}
	assert.Empty(t, membershipFailure(&simmembership.Result{FinalPresent: []int{2, 2}}, script))
	assert.Contains(t, membershipFailure(&simmembership.Result{Resurrected: 1}, script), "incarnation")
	queued := &simmembership.Result{MaxQueueLength: 37}
	assert.Contains(t, membershipFailure(queued, script), "37 entries in a gossip queue")
	disagreeing := &simmembership.Result{FinalPresent: []int{2, 1}}
	assert.Contains(t, membershipFailure(disagreeing, script), "a peer sees 1 peers, 2 run")
}

// TestReplicationFailuresAreNamed: the same for the invariants of the simulation of reservations.
func TestReplicationFailuresAreNamed(t *testing.T) {
	assert.Empty(t, replicationFailure(&simreplication.Result{Linearizable: true}))
	assert.Equal(t, "stuck", replicationFailure(&simreplication.Result{Failure: "stuck"}))
	assert.Contains(t, replicationFailure(&simreplication.Result{}), "not linearizable")
	lost := &simreplication.Result{Linearizable: true, ReservationsLost: 2}
	assert.Contains(t, replicationFailure(lost), "2 reservations lost")
	conflicting := &simreplication.Result{Linearizable: true, ConflictingGrants: 1}
	assert.Contains(t, replicationFailure(conflicting), "1 keys granted")
}

// TestBoundsOfSimulationsCanBreak: some faults are allowed in a few of many runs, so their bound is over all of them.
// It must break where it is passed, and hold just within it.
func TestBoundsOfSimulationsCanBreak(t *testing.T) {
	curves := report.New("x", 1, "")
	curves.Counts[report.FalseFailures], curves.Counts[report.FalseFailuresPublished] = 1, 20
	checkCurves(curves)
	assert.Empty(t, curves.Broken)
	curves.Counts[report.FalseFailuresPublished] = 19
	curves.Counts[report.Resurrected] = 1
	checkCurves(curves)
	assert.Len(t, curves.Broken, 2)

	drawn := report.New("x", 1, "")
	drawn.Counts[report.Runs], drawn.Counts[report.FalseFailures] = 100, 2
	Membership{Peers: 10}.checkDrawn(drawn)
	assert.Empty(t, drawn.Broken)
	drawn.Counts[report.FalseFailures] = 3
	Membership{Peers: 10}.checkDrawn(drawn)
	assert.Len(t, drawn.Broken, 1)
}
