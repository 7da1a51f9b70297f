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

// RemoveShard writes the record of a shard that this router no longer replicates. The record is
// part of the format and replay reads it, but no program writes it.
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

// TestWrittenStateSurvivesReopening writes, rotates, saves a snapshot and reopens the log. A router
// that starts with less than it acknowledged could vote twice. Everything that was written must be
// read back, the folder must be locked while it is open, and another router must be rejected.
func TestWrittenStateSurvivesReopening(t *testing.T) {
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
	assert.EqualValues(t, 2, w.SyncCount, "one sync per batch for all shards")
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

// TestCorruptionIsRejectedAndTornTailIsDiscarded flips bits in synced and then in unsynced data. A
// replica that discards synced records forgets a vote; one that rejects a torn tail never starts
// after a power loss. Corruption of synced data must be rejected, and a torn tail discarded.
func TestCorruptionIsRejectedAndTornTailIsDiscarded(t *testing.T) {
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
	name = fmt.Sprintf(logNameFormat, w.number) // each Open starts a new file
	w.Close()
	fs.FlipBit(name, w.synced+30, 1)
	w, saved := open(t, fs)
	assert.Len(t, saved[1].Entries, 20)
	w.Close()
	fs.FlipBit(identityFile, 2, 1)
	_, _, err := Open(fs, "r1", drawID)
	assert.ErrorIs(t, err, ErrCorrupt)
}

// TestWritesFailAfterWriteFailure fills the disk during a write. After a failed write the content
// of the file is unknown, and a later write could leave a gap. All further writes must fail with
// the same error until the log is reopened.
func TestWritesFailAfterWriteFailure(t *testing.T) {
	fs := vfs.NewFaultFS(3)
	w, _ := open(t, fs)
	fs.CapacityBytes = 1
	err := w.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(1, 1, "x")}, MustSync: true}})
	require.ErrorIs(t, err, vfs.ErrNoSpace)
	fs.CapacityBytes = 0
	second := w.Write([]shard.Ready{{Shard: 1, HardState: hardState(1, 1), MustSync: true}})
	assert.Equal(t, err, second, "writes fail until the log is reopened")
	w.Close()
	w, saved := open(t, fs)
	assert.Empty(t, saved[1].Entries)
	require.NoError(t, w.Write([]shard.Ready{{Shard: 1, HardState: hardState(1, 1), MustSync: true}}))
	w.Close()
}

// TestNewerVersionIsRejected opens a folder written by the next version. If it were read as the
// current version, records would be discarded silently. It must be rejected with both versions in
// the error.
func TestNewerVersionIsRejected(t *testing.T) {
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

// FuzzRead opens log files with arbitrary content. A corrupt file must be rejected or read, and
// must never crash the process.
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

// TestSnapshotFromLeaderReplacesAllEntries writes a snapshot from a leader over entries of an older
// term. Entries after its index that stayed on disk would reappear after a restart. The snapshot
// must replace all entries, also after the log is reopened.
func TestSnapshotFromLeaderReplacesAllEntries(t *testing.T) {
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

// TestReopenedLogSurvivesPowerLossAfterFailedSync fails a sync, reopens the log on the same system,
// and loses the power later. The system still returns the data of the failed sync. If the log
// continued in the same file, it would acknowledge entries that a power loss destroys.
func TestReopenedLogSurvivesPowerLossAfterFailedSync(t *testing.T) {
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
		require.Len(t, saved[1].Entries, 1, "the system still returns the unsynced entry")
		require.NoError(t, w.Write([]shard.Ready{{Shard: 1, Entries: []*pb.Entry{entry(2, 1, "b")}, MustSync: true}}))
		w.Close()
		fs.Restart()
		w, saved = open(t, fs)
		require.Len(t, saved[1].Entries, 2, "seed %d", seed)
		assert.EqualValues(t, 1, saved[1].HardState.GetTerm())
		w.Close()
	}
}

// syncFailingFS is a folder whose files cannot be synced while failing is set. It counts renames.
type syncFailingFS struct {
	vfs.FS
	failing bool
	renamed int
}

func (f *syncFailingFS) Create(name string) (vfs.File, error) {
	file, err := f.FS.Create(name)
	return syncFailingFile{file, f}, err
}

func (f *syncFailingFS) Rename(from, to string) error {
	f.renamed++
	return f.FS.Rename(from, to)
}

type syncFailingFile struct {
	vfs.File
	folder *syncFailingFS
}

func (f syncFailingFile) Sync() error {
	if f.folder.failing {
		return syscall.EIO
	}
	return f.File.Sync()
}

// TestLogFileIsRenamedOnlyAfterSync fails the sync of a rotation. A file that is renamed before it
// is on disk may be empty after a power loss, although the previous file is already removed. The
// previous file must remain the newest.
func TestLogFileIsRenamedOnlyAfterSync(t *testing.T) {
	fs := &syncFailingFS{FS: vfs.NewFaultFS(6)}
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
