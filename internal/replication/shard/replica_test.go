package shard

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"cairnfront/internal/replication/history"
	"cairnfront/internal/replication/statemachine"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
)

// runWithFaults injects a number of faults and checks whether the recorded history is linearizable.
func runWithFaults(t *testing.T, seed uint64, faults int, defect defect) (linearizable bool, c *cluster) {
	t.Helper()
	c = newCluster(t, seed, 3+2*int(seed%2), defect)
	c.run(200)
	for range faults {
		c.injectFault()
		c.run(80)
	}
	return history.Linearizable(c.history, 20*time.Second), c
}

// TestHistoriesAreLinearizable injects power losses, losses of routers with their disks, and
// network partitions, and checks that the answers that clients got are linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	answered, requested := 0, 0
	for seed := range uint64(12) {
		linearizable, c := runWithFaults(t, seed, 6, defect{})
		assert.True(t, linearizable, "seed %d", seed)
		for _, operation := range c.history {
			requested++
			output, ok := operation.Output.(history.Output)
			require.True(t, ok)
			if output.Answered {
				answered++
			}
		}
	}
	t.Logf("%d of %d requests were answered", answered, requested)
	assert.Greater(t, answered, requested/2)
}

// detectsDefect reports whether the history of a seed reveals a defect, or raft panics because of
// it.
func detectsDefect(t *testing.T, seed uint64, defect defect) (found bool) {
	t.Helper()
	defer func() {
		if recover() != nil {
			found = true
		}
	}()
	linearizable, _ := runWithFaults(t, seed, 8, defect)
	return !linearizable
}

// TestInjectedDefectsAreDetected injects three defects, which the checks must detect: a replica
// that votes with its old ID after its disk was emptied, a read without a quorum, and an
// acknowledgement before the sync.
func TestInjectedDefectsAreDetected(t *testing.T) {
	for name, defect := range map[string]defect{
		"reuses its ID with an empty disk": {reusesIDAfterDiskLoss: true},
		"reads without a quorum":           {readsWithoutQuorum: true},
		"sends before the sync":            {sendsBeforeSync: true},
	} {
		found := false
		for seed := uint64(100); seed < 160 && !found; seed++ {
			found = detectsDefect(t, seed, defect)
		}
		assert.True(t, found, name)
	}
}

// proposeAtLeaders proposes a reservation of a new key at each replica that is the leader, until
// lastRequest reaches the limit.
func (c *cluster) proposeAtLeaders(limit uint64) {
	for _, id := range c.ids {
		replica := c.replicas[id].replica
		if isLeader, _ := replica.Leadership(); !isLeader || c.lastRequest >= limit {
			continue
		}
		c.lastRequest++
		_ = replica.Propose(statemachine.Command{
			Op:              statemachine.OpReserve,
			Now:             100,
			Key:             strconv.FormatUint(c.lastRequest, 10),
			Group:           "g",
			LifetimeSeconds: 60,
			Requester:       "x",
			RequestNumber:   c.lastRequest,
		})
	}
}

// compactAll compacts the log of each replica and saves the snapshots.
func (c *cluster) compactAll() {
	for _, id := range c.ids {
		r := c.replicas[id]
		snapshot, err := r.replica.Compact()
		require.NoError(c.t, err)
		if snapshot == nil {
			continue
		}
		r.disk.Snapshot = snapshot
		r.disk.Entries = slices.DeleteFunc(r.disk.Entries, func(entry *pb.Entry) bool {
			return entry.GetIndex() <= snapshot.GetMetadata().GetIndex()
		})
	}
}

// TestNewMemberCatchesUpBySnapshot replaces a replica after the log was compacted. The entries that
// the new replica lacks are gone, so without a snapshot it would wait forever. It must receive the
// snapshot and hold as many reservations as the others.
func TestNewMemberCatchesUpBySnapshot(t *testing.T) {
	c := newCluster(t, 5, 3, defect{})
	c.run(300)
	for range 40_000 {
		c.run(1)
		c.proposeAtLeaders(snapshotInterval + 1000)
		c.compactAll()
		slowest := min(c.replicas[1].replica.applied, c.replicas[2].replica.applied, c.replicas[3].replica.applied)
		if slowest > snapshotInterval+500 {
			break
		}
	}
	require.Greater(t, c.replicas[1].replica.snapshotIndex, uint64(snapshotInterval))
	c.replicas[2].replica = nil
	delete(c.replicas, 2)
	c.ids = []uint64{1, 3, 4}
	c.start(&testReplica{id: 4}, nil)
	c.replaceMember(2, 4)
	c.run(200)
	assert.Equal(t, c.replicas[1].replica.State().Len(), c.replicas[4].replica.State().Len())
}
