package replication

import (
	"bytes"
	"testing"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/wal"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func stopped(t *testing.T, group string) string {
	path := t.TempDir()
	f, _, err := wal.Open(vfs.Dir(path), "r1", func() uint64 { return 5 })
	require.NoError(t, err)
	text, err := statemachine.Command{Op: statemachine.OpReserve, Now: 100, Key: "k", Group: group, LifetimeSeconds: 60, Requester: "a", RequestNumber: 1}.Encode()
	require.NoError(t, err)
	require.NoError(t, f.Write([]shard.Ready{{Shard: 3, MustSync: true, Snapshot: shard.InitialSnapshot([]uint64{5}), HardState: &pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(5), Commit: proto.Uint64(2)},
		Entries: []*pb.Entry{{Index: proto.Uint64(2), Term: proto.Uint64(2), Type: pb.EntryType_EntryNormal.Enum(), Data: text}}}}))
	f.Close()
	return path
}

func TestVerifySaysWhatStoppedMachinesHold(t *testing.T) {
	a, b, c := stopped(t, "g1"), stopped(t, "g1"), stopped(t, "g2")
	var out bytes.Buffer
	assert.True(t, Verify(&out, []string{a, b}), out.String())
	assert.Contains(t, out.String(), "router r1, holder 5, started 1 times: 1 slices, 1 promises")
	assert.Contains(t, out.String(), "1 slices compared in pairs agree, 0 differ")
	out.Reset()
	assert.False(t, Verify(&out, []string{a, c, t.TempDir()}))
	assert.Contains(t, out.String(), "differ at command 2")
	assert.Contains(t, out.String(), "the ledger's folder")
}
