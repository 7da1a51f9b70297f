package wal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
)

// powerLossRun writes a long history drawn from a seed, until it ends or the power fails.
type powerLossRun struct {
	rnd       *rand.Rand
	lastIndex uint64

	written       map[uint64]string // entries passed to the log, by index
	term          uint64            // last term passed to the log
	synced        map[uint64]string // entries whose sync was acknowledged, by index
	syncedTerm    uint64
	snapshotIndex uint64 // index of the last acknowledged snapshot
}

// run reports whether the history ended before the power failed.
func (p *powerLossRun) run(fs *vfs.FaultFS) bool {
	w, _, err := Open(fs, "r1", drawID)
	if err != nil {
		return false
	}
	defer w.Close()
	for batch := range uint64(30) {
		p.term = batch + 1
		if p.writeBatch(w) != nil {
			return false
		}
		if p.rnd.IntN(8) == 0 && p.lastIndex > p.snapshotIndex+2 {
			if w.SaveSnapshot(1, snapshot(p.lastIndex-2, "s")) != nil {
				return false
			}
			p.snapshotIndex = p.lastIndex - 2
		}
		if p.rnd.IntN(10) == 0 && w.rotate() != nil {
			return false
		}
	}
	return true
}

func (p *powerLossRun) writeBatch(w *WAL) error {
	var entries []*pb.Entry
	for range 1 + p.rnd.IntN(3) {
		p.lastIndex++
		data := fmt.Sprint("e", p.lastIndex)
		entries = append(entries, entry(p.lastIndex, 1, data))
		p.written[p.lastIndex] = data
	}
	mustSync := p.rnd.IntN(3) > 0
	ready := shard.Ready{Shard: 1, HardState: hardState(p.term, 0), Entries: entries, MustSync: mustSync}
	if err := w.Write([]shard.Ready{ready}); err != nil {
		return err
	}
	if mustSync {
		p.syncedTerm = p.term
		maps.Copy(p.synced, p.written)
	}
	return nil
}

// check compares the state on disk after the power loss with what was acknowledged before it.
func (p *powerLossRun) check(t *testing.T, state shard.PersistentState, where string) {
	t.Helper()
	found := map[uint64]string{}
	for _, entry := range state.Entries {
		found[entry.GetIndex()] = string(entry.Data)
		assert.Equal(t, p.written[entry.GetIndex()], string(entry.Data))
	}
	snapshotIndex := state.Snapshot.GetMetadata().GetIndex()
	for index, data := range p.synced {
		if index > snapshotIndex {
			require.Equal(t, data, found[index], "%s: entry %d was acknowledged", where, index)
		}
	}
	require.GreaterOrEqual(t, state.HardState.GetTerm(), p.syncedTerm, where)
	require.GreaterOrEqual(t, snapshotIndex, p.snapshotIndex)
}

// TestPowerLossKeepsAcknowledgedState cuts the power at each operation of many long histories.
// Afterwards the hard state and the entries of each synced batch must be on disk, and nothing that
// was never written.
func TestPowerLossKeepsAcknowledgedState(t *testing.T) {
	losses := 0
	for seed := range uint64(25) {
		ended := false
		for operation := 1; !ended; operation++ {
			fs := vfs.NewFaultFS(seed*1000 + uint64(operation))
			fs.PowerLossAfter = operation
			history := &powerLossRun{
				rnd:     rand.New(rand.NewPCG(seed, 1)),
				written: map[uint64]string{},
				synced:  map[uint64]string{},
			}
			ended = history.run(fs)
			fs.Restart()
			where := fmt.Sprintf("seed %d, operation %d", seed, operation)
			w, saved, err := Open(fs, "r1", drawID)
			require.NoError(t, err, where)
			history.check(t, saved[1], where)
			w.Close()
			losses++
		}
	}
	t.Logf("%d power losses", losses)
	assert.Greater(t, losses, 1500)
}
