package simulation

import (
	"testing"

	"cairnfront/internal/lab/report"
	"cairnfront/internal/sim/faults"
	simmembership "cairnfront/internal/sim/membership"
	simreplication "cairnfront/internal/sim/replication"

	"github.com/stretchr/testify/assert"
)

// TestMembershipFailuresAreNamed shows that each invariant of a play can fail.
func TestMembershipFailuresAreNamed(t *testing.T) {
	script := &faults.Script{Processes: 3}
	assert.Empty(t, membershipFailure(&simmembership.Result{FinalPresent: []int{2, 2}}, script))
	assert.Contains(t, membershipFailure(&simmembership.Result{Resurrected: 1}, script), "incarnation")
	assert.Contains(t, membershipFailure(&simmembership.Result{MaxQueueLength: 37}, script), "37 things waited")
	assert.Contains(t, membershipFailure(&simmembership.Result{FinalPresent: []int{2, 1}}, script), "one sees 1, 2 run")
}

// TestReplicationFailuresAreNamed shows that each invariant of a play can fail.
func TestReplicationFailuresAreNamed(t *testing.T) {
	assert.Empty(t, replicationFailure(&simreplication.Result{Linearizable: true}))
	assert.Equal(t, "stuck", replicationFailure(&simreplication.Result{Failure: "stuck"}))
	assert.Contains(t, replicationFailure(&simreplication.Result{}), "not linearizable")
	lost := &simreplication.Result{Linearizable: true, ReservationsLost: 2}
	assert.Contains(t, replicationFailure(lost), "2 promises lost")
	conflicting := &simreplication.Result{Linearizable: true, ConflictingGrants: 1}
	assert.Contains(t, replicationFailure(conflicting), "1 keys granted")
}

// TestBoundsOfSimulationsCanBreak shows that the bounds over all plays can fail, and hold where they are kept.
func TestBoundsOfSimulationsCanBreak(t *testing.T) {
	curves := report.New("x", 1, "")
	curves.Counts["wrong"], curves.Counts["wrong_swim"] = 1, 20
	judgeCurves(curves)
	assert.Empty(t, curves.Broken)
	curves.Counts["wrong_swim"] = 19
	curves.Counts["resurrected"] = 1
	judgeCurves(curves)
	assert.Len(t, curves.Broken, 2)

	drawn := report.New("x", 1, "")
	drawn.Counts["plays"], drawn.Counts["wrong"] = 100, 2
	Membership{Peers: 10}.judgeDrawn(drawn)
	assert.Empty(t, drawn.Broken)
	drawn.Counts["wrong"] = 3
	Membership{Peers: 10}.judgeDrawn(drawn)
	assert.Len(t, drawn.Broken, 1)
}
