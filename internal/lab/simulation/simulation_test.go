package simulation

import (
	"testing"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
	simmembership "cairnfront/internal/sim/membership"
	simreplication "cairnfront/internal/sim/replication"

	"github.com/stretchr/testify/assert"
)

// TestMembershipFailuresAreNamed: if the check of an invariant cannot fail, no number of seeds finds a violation. Each
// check must fail when its invariant is violated, and name the violation.
func TestMembershipFailuresAreNamed(t *testing.T) {
	script := &faults.Script{Processes: 3}
	assert.Empty(t, membershipFailure(&simmembership.Result{FinalPresent: []int{2, 2}}, script))
	assert.Contains(t, membershipFailure(&simmembership.Result{Resurrected: 1}, script), "incarnation")
	queued := &simmembership.Result{MaxQueueLength: 37}
	assert.Contains(t, membershipFailure(queued, script), "37 entries in a gossip queue")
	disagreeing := &simmembership.Result{FinalPresent: []int{2, 1}}
	assert.Contains(t, membershipFailure(disagreeing, script), "a peer sees 1 peers, 2 run")
}

// TestReplicationFailuresAreNamed: if the check of an invariant cannot fail, no number of seeds finds a violation in a
// simulation of reservations. Each check must fail when its invariant is violated, and name the violation.
func TestReplicationFailuresAreNamed(t *testing.T) {
	assert.Empty(t, replicationFailure(&simreplication.Result{Linearizable: true}))
	assert.Equal(t, "stuck", replicationFailure(&simreplication.Result{Failure: "stuck"}))
	assert.Contains(t, replicationFailure(&simreplication.Result{}), "not linearizable")
	lost := &simreplication.Result{Linearizable: true, ReservationsLost: 2}
	assert.Contains(t, replicationFailure(lost), "2 reservations lost")
	conflicting := &simreplication.Result{Linearizable: true, ConflictingGrants: 1}
	assert.Contains(t, replicationFailure(conflicting), "1 keys granted")
}

// TestSimulationBoundsCanFail: some faults are allowed in a few of many runs, so their limit applies to the total. The
// check must fail when the limit is exceeded, and pass just within it.
func TestSimulationBoundsCanFail(t *testing.T) {
	curves := report.New("x", 1, "")
	curves.Counts[report.FalseFailures], curves.Counts[report.FalseFailuresPublished] = 1, 20
	checkCurves(curves)
	assert.Empty(t, curves.Broken)
	curves.Counts[report.FalseFailuresPublished] = 19
	curves.Counts[report.Resurrected] = 1
	checkCurves(curves)
	assert.Len(t, curves.Broken, 2)

	generated := report.New("x", 1, "")
	generated.Counts[report.Runs], generated.Counts[report.FalseFailures] = 100, 2
	Membership{Peers: 10}.checkFalseFailureShare(generated)
	assert.Empty(t, generated.Broken)
	generated.Counts[report.FalseFailures] = 3
	Membership{Peers: 10}.checkFalseFailureShare(generated)
	assert.Len(t, generated.Broken, 1)
}
