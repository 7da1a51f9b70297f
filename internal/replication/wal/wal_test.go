package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"testing"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(text)}
}

func vote(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(3), Commit: proto.Uint64(commit)}
}

func draw() uint64 { return 77 }

func open(t *testing.T, fs vfs.FS) (*WAL, map[int]shard.PersistentState) {
	f, saved, err := Open(fs, "r1", draw)
	require.NoError(t, err)
	return f, saved
}

func snapshot(index uint64, text string) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte(text), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: []uint64{1}}}}
}

func TestWhatWasWrittenIsThereAgain(t *testing.T) {
	fs, err := vfs.MakeDir(t.TempDir())
	require.NoError(t, err)
	f, saved := open(t, fs)
	assert.Empty(t, saved)
	assert.Equal(t, Identity{77, "r1", 1}, f.Identity())
	require.NoError(t, f.Write([]shard.Ready{{Shard: 4, HardState: vote(1, 0), Entries: []*pb.Entry{entry(1, 1, "a"), entry(2, 1, "b")}, MustSync: true}, {Shard: 9, Entries: []*pb.Entry{entry(1, 1, "x")}}}))
	require.NoError(t, f.Write([]shard.Ready{{Shard: 4, Entries: []*pb.Entry{entry(2, 2, "c")}, MustSync: true}}))
	assert.EqualValues(t, 2, f.SyncCount, "one for all slices")
	f.Close()
	f, saved = open(t, fs)
	assert.EqualValues(t, 2, f.Identity().StartCount)
	require.Len(t, saved[4].Entries, 2)
	assert.Equal(t, "c", string(saved[4].Entries[1].Data))
	assert.EqualValues(t, 1, saved[4].HardState.GetTerm())
	assert.Len(t, saved[9].Entries, 1)
	require.NoError(t, f.SaveSnapshot(4, snapshot(1, "state")))
	require.NoError(t, f.rotate())
	require.NoError(t, f.RemoveShard(9))
	f.Close()
	f, saved = open(t, fs)
	assert.Equal(t, "state", string(saved[4].Snapshot.Data))
	assert.Len(t, saved[4].Entries, 1)
	assert.NotContains(t, saved, 9)
	me, seen, err := Inspect(fs)
	require.NoError(t, err)
	assert.Equal(t, f.Identity(), me)
	assert.Equal(t, len(saved), len(seen))
	_, _, err = Open(fs, "r1", draw)
	assert.ErrorIs(t, err, vfs.ErrLocked)
	f.Close()
	_, _, err = Open(fs, "r2", draw)
	assert.ErrorIs(t, err, ErrForeignOwner)
}

// TestEveryPowerCutKeepsWhatWasAcknowledged cuts the power at each operation of a long history, in many ways, and holds that after it
// the votes and entries of every batch that had been synced are there, and nothing else than what was written.
func TestEveryPowerCutKeepsWhatWasAcknowledged(t *testing.T) {
	type written struct {
		entries map[uint64]string
		term    uint64
	}
	cuts := 0
	for seed := range uint64(25) {
		for cut := 1; ; cut++ {
			fs := vfs.NewFaultFS(seed*1000 + uint64(cut))
			fs.PowerLossAfter = cut
			rnd := rand.New(rand.NewPCG(seed, 1))
			acked, under := written{entries: map[uint64]string{}}, written{entries: map[uint64]string{}}
			snap := uint64(0)
			done := false
			func() {
				f, _, err := Open(fs, "r1", draw)
				if err != nil {
					return
				}
				defer f.Close()
				index := uint64(0)
				for i := range 30 {
					var es []*pb.Entry
					for range 1 + rnd.IntN(3) {
						index++
						es = append(es, entry(index, 1, fmt.Sprint("e", index)))
						under.entries[index] = fmt.Sprint("e", index)
					}
					under.term = uint64(i + 1)
					sync := rnd.IntN(3) > 0
					if f.Write([]shard.Ready{{Shard: 1, HardState: vote(uint64(i+1), 0), Entries: es, MustSync: sync}}) != nil {
						return
					}
					if sync {
						acked.term = under.term
						for k, v := range under.entries {
							acked.entries[k] = v
						}
					}
					if rnd.IntN(8) == 0 && index > snap+2 {
						if f.SaveSnapshot(1, snapshot(index-2, "s")) != nil {
							return
						}
						snap = index - 2
					}
					if rnd.IntN(10) == 0 && f.rotate() != nil {
						return
					}
				}
				done = true
			}()
			fs.Restart()
			f, saved, err := Open(fs, "r1", draw)
			require.NoError(t, err, "seed %d, cut %d", seed, cut)
			got := saved[1]
			have := map[uint64]string{}
			for _, e := range got.Entries {
				have[e.GetIndex()] = string(e.Data)
				assert.Equal(t, under.entries[e.GetIndex()], string(e.Data))
			}
			for k, v := range acked.entries {
				if k > got.Snapshot.GetMetadata().GetIndex() {
					require.Equal(t, v, have[k], "seed %d, cut %d: entry %d was acknowledged", seed, cut, k)
				}
			}
			require.GreaterOrEqual(t, got.HardState.GetTerm(), acked.term, "seed %d, cut %d", seed, cut)
			require.GreaterOrEqual(t, got.Snapshot.GetMetadata().GetIndex(), snap)
			f.Close()
			cuts++
			if done {
				break
			}
		}
	}
	t.Logf("%d cuts", cuts)
	assert.Greater(t, cuts, 1500)
}

func TestDamageIsRefusedAndATornEndIsNot(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	f, _ := open(t, fs)
	for i := range uint64(20) {
		require.NoError(t, f.Write([]shard.Ready{{Shard: 1, HardState: vote(i+1, 0), Entries: []*pb.Entry{entry(i+1, 1, "some text that is long enough")}, MustSync: true}}))
	}
	last := f.size
	f.Close()
	name := fmt.Sprintf(logNameFormat, f.number)
	for _, at := range []int64{3, 14, 40, last / 2} {
		fs.FlipBit(name, at, 1)
		_, _, err := Open(fs, "r1", draw)
		assert.ErrorIs(t, err, ErrCorrupt, "byte %d", at)
		fs.FlipBit(name, at, 1)
	}
	f, _ = open(t, fs)
	require.NoError(t, f.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(21, 1, "unsynced")}}}))
	f.Close()
	fs.FlipBit(name, last+30, 1)
	f, saved := open(t, fs)
	assert.Len(t, saved[1].Entries, 20)
	f.Close()
	fs.FlipBit(identityFile, 2, 1)
	_, _, err := Open(fs, "r1", draw)
	assert.ErrorIs(t, err, ErrCorrupt)
}

func TestAfterAFailedWriteNothingMoreIsTaken(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	f, _ := open(t, fs)
	fs.CapacityBytes = 1
	err := f.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(1, 1, "x")}, MustSync: true}})
	assert.ErrorIs(t, err, vfs.ErrNoSpace)
	fs.CapacityBytes = 0
	assert.Equal(t, err, f.Write([]shard.Ready{{Shard: 1, HardState: vote(1, 1), MustSync: true}}), "what is on the disk is not known")
	f.Close()
	f, saved := open(t, fs)
	assert.Empty(t, saved[1].Entries)
	require.NoError(t, f.Write([]shard.Ready{{Shard: 1, HardState: vote(1, 1), MustSync: true}}))
	f.Close()
}

func TestLaterVersionsAreNamed(t *testing.T) {
	fs := vfs.NewFaultFS(4)
	f, _ := open(t, fs)
	f.Close()
	text, err := readFile(fs, identityFile)
	require.NoError(t, err)
	later := func(b []byte) []byte {
		b[0] = version + 1
		return binary.BigEndian.AppendUint32(b[:len(b)-4], crc32.Checksum(b[:len(b)-4], castagnoli))
	}
	require.NoError(t, replaceFile(fs, identityFile, later(text)))
	_, _, err = Open(fs, "r1", draw)
	assert.ErrorIs(t, err, ErrNewerVersion)
	assert.ErrorContains(t, err, "2, this program reads 1")
}

func FuzzRead(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, kindFileHeader, 0, make([]byte, 9)), kindEntry, 1, []byte{8, 1}))
	f.Add(appendRecord(nil, kindHardState, 1, []byte("x")))
	f.Fuzz(func(t *testing.T, text []byte) {
		fs := vfs.NewFaultFS(1)
		file, err := fs.Create(fmt.Sprintf(logNameFormat, 1))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = file.WriteAt(text, 0)
		x, _, err := Open(fs, "r", draw)
		if err == nil {
			x.Close()
		}
	})
}
