package replication

import (
	"bytes"
	"testing"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/wal"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// stoppedFolder creates the folder of a stopped router with one committed reservation.
func stoppedFolder(t *testing.T, group string) string {
	t.Helper()
	path := t.TempDir()
	log, _, err := wal.Open(vfs.Dir(path), "r1", func() uint64 { return 5 })
	require.NoError(t, err)
	command := reserveCommand("a", 1, "k", group)
	command.Now = 100
	encoded, err := command.Encode()
	require.NoError(t, err)
	require.NoError(t, log.Write([]shard.Ready{{
		Shard:    3,
		MustSync: true,
		Snapshot: shard.InitialSnapshot([]uint64{5}),
		HardState: &pb.HardState{
			Term:   proto.Uint64(2),
			Vote:   proto.Uint64(5),
			Commit: proto.Uint64(2),
		},
		Entries: []*pb.Entry{{
			Index: proto.Uint64(2),
			Term:  proto.Uint64(2),
			Type:  pb.EntryType_EntryNormal.Enum(),
			Data:  encoded,
		}},
	}}))
	log.Close()
	return path
}

// TestVerifyComparesStoppedRouters compares folders that agree, folders that differ in one command,
// and an empty folder. If the comparison missed a difference, a key that was granted twice would
// stay unnoticed. The index of the first difference must be reported, and an unreadable folder must
// not count as equal.
func TestVerifyComparesStoppedRouters(t *testing.T) {
	a, b, c := stoppedFolder(t, "g1"), stoppedFolder(t, "g1"), stoppedFolder(t, "g2")
	var out bytes.Buffer
	assert.True(t, Verify(&out, []string{a, b}), out.String())
	assert.Contains(t, out.String(), "router r1, replica 5, started 1 times: 1 shards, 1 reservations")
	assert.Contains(t, out.String(), "1 shards compared in pairs agree, 0 differ")
	out.Reset()
	assert.False(t, Verify(&out, []string{a, c, t.TempDir()}))
	assert.Contains(t, out.String(), "differ at log index 2")
	assert.Contains(t, out.String(), "read write-ahead log: ")
}
