package wal

import (
	"fmt"
	"syscall"
	"testing"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(data)}
}

func hardState(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(3), Commit: proto.Uint64(commit)}
}

func drawID() uint64 { return 77 }

func open(t *testing.T, fs vfs.FS) (*WAL, map[int]shard.PersistentState) {
	t.Helper()
	w, saved, err := Open(fs, "r1", drawID)
	require.NoError(t, err)
	return w, saved
}

func snapshot(index uint64, data string) *pb.Snapshot {
	return &pb.Snapshot{
		Data: []byte(data),
		Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(index),
			Term:      proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: []uint64{1}},
		},
	}
}

// RemoveShard writes the record of a shard that this router no longer holds. The format has it and replay reads it;
// no program writes it.
func (w *WAL) RemoveShard(number int) error {
	if w.failure != nil {
		return w.failure
	}
	snapshotIndex := w.shardLog(number).snapshotIndex
	w.buffer = appendRecord(w.buffer[:0], kindRemoveShard, number, nil)
	delete(w.shards, number)
	err := w.flush(true)
	if err == nil && snapshotIndex > 0 {
		err = w.fs.Remove(fmt.Sprintf(snapshotNameFormat, number, snapshotIndex))
	}
	if err != nil {
		return w.fail(err)
	}
	return nil
}

// TestWrittenStateIsReadAfterReopening writes, rotates, saves a snapshot and reopens. A router that starts with less
// than it acknowledged can vote twice. All that was written must be there, the folder must be locked while it is
// open, and another router must be refused.
func TestWrittenStateIsReadAfterReopening(t *testing.T) {
	fs, err := vfs.MakeDir(t.TempDir())
	require.NoError(t, err)
	w, saved := open(t, fs)
	assert.Empty(t, saved)
	assert.Equal(t, Identity{77, "r1", 1}, w.Identity())
	entries := []*pb.Entry{entry(1, 1, "a"), entry(2, 1, "b")}
	require.NoError(t, w.Write([]shard.Ready{
		{Shard: 4, HardState: hardState(1, 0), Entries: entries, MustSync: true},
		{Shard: 9, Entries: []*pb.Entry{entry(1, 1, "x")}},
	}))
	require.NoError(t, w.Write([]shard.Ready{{Shard: 4, Entries: []*pb.Entry{entry(2, 2, "c")}, MustSync: true}}))
	assert.EqualValues(t, 2, w.SyncCount, "one for all shards")
	w.Close()
	w, saved = open(t, fs)
	assert.EqualValues(t, 2, w.Identity().StartCount)
	require.Len(t, saved[4].Entries, 2)
	assert.Equal(t, "c", string(saved[4].Entries[1].Data))
	assert.EqualValues(t, 1, saved[4].HardState.GetTerm())
	assert.Len(t, saved[9].Entries, 1)
	require.NoError(t, w.SaveSnapshot(4, snapshot(1, "state")))
	require.NoError(t, w.rotate())
	require.NoError(t, w.RemoveShard(9))
	w.Close()
	w, saved = open(t, fs)
	assert.Equal(t, "state", string(saved[4].Snapshot.Data))
	assert.Len(t, saved[4].Entries, 1)
	assert.NotContains(t, saved, 9)
	inspectedIdentity, inspected, err := Inspect(fs)
	require.NoError(t, err)
	assert.Equal(t, w.Identity(), inspectedIdentity)
	assert.Len(t, inspected, len(saved))
	_, _, err = Open(fs, "r1", drawID)
	require.ErrorIs(t, err, vfs.ErrLocked)
	w.Close()
	_, _, err = Open(fs, "r2", drawID)
	assert.ErrorIs(t, err, ErrForeignOwner)
}

// TestDamageIsRefusedAndTornEndIsCutOff flips bits in what was synced, and then in what was not. A replica that
// drops synced records forgets a vote; one that refuses a torn end never starts after a loss of power. The first
// must be refused, the second cut off.
func TestDamageIsRefusedAndTornEndIsCutOff(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	w, _ := open(t, fs)
	for i := range uint64(20) {
		entries := []*pb.Entry{entry(i+1, 1, "some text that is long enough")}
		ready := shard.Ready{Shard: 1, HardState: hardState(i+1, 0), Entries: entries, MustSync: true}
		require.NoError(t, w.Write([]shard.Ready{ready}))
	}
	size := w.size
	w.Close()
	name := fmt.Sprintf(logNameFormat, w.number)
	for _, at := range []int64{3, 14, 40, size / 2} {
		fs.FlipBit(name, at, 1)
		_, _, err := Open(fs, "r1", drawID)
		require.ErrorIs(t, err, ErrCorrupt, "byte %d", at)
		fs.FlipBit(name, at, 1)
	}
	w, _ = open(t, fs)
	require.NoError(t, w.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(21, 1, "unsynced")}}}))
	name = fmt.Sprintf(logNameFormat, w.number) // each opening begins a file
	w.Close()
	fs.FlipBit(name, w.synced+30, 1)
	w, saved := open(t, fs)
	assert.Len(t, saved[1].Entries, 20)
	w.Close()
	fs.FlipBit(identityFile, 2, 1)
	_, _, err := Open(fs, "r1", drawID)
	assert.ErrorIs(t, err, ErrCorrupt)
}

// TestNothingIsWrittenAfterAFailure fills the disk during a write. After a failed write the content of the file is
// not known, and a later one could leave a hole. All further writes must fail with the same error until the log is
// opened anew.
func TestNothingIsWrittenAfterAFailure(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	w, _ := open(t, fs)
	fs.CapacityBytes = 1
	err := w.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(1, 1, "x")}, MustSync: true}})
	require.ErrorIs(t, err, vfs.ErrNoSpace)
	fs.CapacityBytes = 0
	second := w.Write([]shard.Ready{{Shard: 1, HardState: hardState(1, 1), MustSync: true}})
	assert.Equal(t, err, second, "the content of the disk is not known")
	w.Close()
	w, saved := open(t, fs)
	assert.Empty(t, saved[1].Entries)
	require.NoError(t, w.Write([]shard.Ready{{Shard: 1, HardState: hardState(1, 1), MustSync: true}}))
	w.Close()
}

// TestNewerVersionIsRefused opens a folder of the next version. Read as if it were of this version, records would be
// dropped without a word. It must be refused with both versions in the message.
func TestNewerVersionIsRefused(t *testing.T) {
	fs := vfs.NewFaultFS(4)
	w, _ := open(t, fs)
	w.Close()
	content, err := readFile(fs, identityFile)
	require.NoError(t, err)
	newer := func(b []byte) []byte {
		b[0] = formatVersion + 1
		return appendChecksum(b[:len(b)-checksumBytes])
	}
	require.NoError(t, replaceFile(fs, identityFile, newer(content)))
	_, _, err = Open(fs, "r1", drawID)
	require.ErrorIs(t, err, ErrNewerVersion)
	assert.ErrorContains(t, err, "2, this program reads 1")
}

// FuzzRead opens log files of any content. A damaged file must be refused or read, and never end the process.
func FuzzRead(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, kindFileHeader, 0, make([]byte, fileHeaderBytes)), kindEntry, 1, []byte{8, 1}))
	f.Add(appendRecord(nil, kindHardState, 1, []byte("x")))
	f.Fuzz(func(t *testing.T, content []byte) {
		fs := vfs.NewFaultFS(1)
		file, err := fs.Create(fmt.Sprintf(logNameFormat, 1))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = file.WriteAt(content, 0)
		w, _, err := Open(fs, "r", drawID)
		if err == nil {
			w.Close()
		}
	})
}

// TestLeadersSnapshotEndsLaterEntriesOnDisk takes a snapshot that a leader sent over entries of an older term.
// Entries behind it that stayed on the disk would come back after a restart. The snapshot must replace all entries,
// also after a reopening.
func TestLeadersSnapshotEndsLaterEntriesOnDisk(t *testing.T) {
	fs := vfs.NewFaultFS(5)
	w, _ := open(t, fs)
	entries := []*pb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c"), entry(4, 1, "d"), entry(5, 1, "e")}
	require.NoError(t, w.Write([]shard.Ready{{Shard: 1, HardState: hardState(1, 0), Entries: entries, MustSync: true}}))
	require.NoError(t, w.Write([]shard.Ready{
		{Shard: 1, HardState: hardState(2, 3), Snapshot: snapshot(3, "state"), MustSync: true},
	}))
	w.Close()
	w, saved := open(t, fs)
	assert.Empty(t, saved[1].Entries)
	assert.Equal(t, "state", string(saved[1].Snapshot.Data))
	require.NoError(t, w.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(4, 2, "new")}, MustSync: true}}))
	w.Close()
	w, saved = open(t, fs)
	assert.Len(t, saved[1].Entries, 1)
	w.Close()
}

// A sync fails, the log is opened anew by the same system, and the power is lost later. The system still reads what the
// failed sync lost; a log that goes on behind it acknowledges entries that a loss of power takes with it.
func TestLogOpenedAfterAFailedSyncKeepsWhatItAcknowledges(t *testing.T) {
	for seed := range uint64(20) {
		fs := vfs.NewFaultFS(seed)
		w, _ := open(t, fs)
		entries := []*pb.Entry{entry(1, 1, "a")}
		first := shard.Ready{Shard: 1, HardState: hardState(1, 0), Entries: entries, MustSync: true}
		fs.FailSync = func() bool { return true }
		require.ErrorIs(t, w.Write([]shard.Ready{first}), ErrWriteFailed)
		fs.FailSync = nil
		w.Close()
		w, saved := open(t, fs)
		require.Len(t, saved[1].Entries, 1, "the system still reads it")
		require.NoError(t, w.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(2, 1, "b")}, MustSync: true}}))
		w.Close()
		fs.Restart()
		w, saved = open(t, fs)
		require.Len(t, saved[1].Entries, 2, "seed %d", seed)
		assert.EqualValues(t, 1, saved[1].HardState.GetTerm())
		w.Close()
	}
}

// syncFailure is a folder whose files can't be synced. It counts renames.
type syncFailure struct {
	vfs.FS
	failing bool
	renamed int
}

func (f *syncFailure) Create(name string) (vfs.File, error) {
	file, err := f.FS.Create(name)
	return unsyncedFile{file, f}, err
}

func (f *syncFailure) Rename(from, to string) error {
	f.renamed++
	return f.FS.Rename(from, to)
}

type unsyncedFile struct {
	vfs.File
	folder *syncFailure
}

func (f unsyncedFile) Sync() error {
	if f.folder.failing {
		return syscall.EIO
	}
	return f.File.Sync()
}

// TestLogFileIsNotUsedUnlessItIsOnDisk fails the sync of a rotation. A file that is renamed before it is on the disk
// may be empty after a loss of power, while the older one is removed. The older file must stay the newest.
func TestLogFileIsNotUsedUnlessItIsOnDisk(t *testing.T) {
	fs := &syncFailure{FS: vfs.NewFaultFS(6)}
	w, _ := open(t, fs)
	require.NoError(t, w.Write([]shard.Ready{{Shard: 1, HardState: hardState(1, 0), MustSync: true}}))
	fs.failing, fs.renamed = true, 0
	require.ErrorIs(t, w.rotate(), syscall.EIO)
	assert.Zero(t, fs.renamed)
	w.Close()
	fs.failing = false
	w, saved := open(t, fs)
	assert.EqualValues(t, 1, saved[1].HardState.GetTerm())
	w.Close()
}
