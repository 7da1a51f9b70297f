package diskcache

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func chunkKey(object, chunk int) eviction.Key {
	return eviction.Key{Object: uint64(object), Chunk: uint32(chunk)}
}

// body returns pseudo-random bytes determined by a chunk's key and issue time, so that a mix-up of bodies is detected.
func body(key eviction.Key, issuedAt int64, n int) []byte {
	b := make([]byte, n)
	random := rand.New(rand.NewPCG(key.Object<<8|uint64(key.Chunk), uint64(issuedAt)))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

func meta(key eviction.Key, issuedAt int64) Meta {
	return Meta{
		Key: key, Group: uint16(key.Object % 5), IssuedAt: issuedAt, ETag: fmt.Sprintf("t%d", issuedAt), Rank: 2,
	}
}

func testOptions() StoreOptions {
	salt := uint64(0)
	return StoreOptions{
		SegmentBytes: 4096, Salt: func() uint64 { salt++; return salt * 0x9e3779b97f4a7c15 },
		Clock: func() time.Time { return time.UnixMilli(5000) },
	}
}

func open(t *testing.T, fs vfs.FS) (*Store, RecoveryReport, *[]StoreError) {
	t.Helper()
	var faults []StoreError
	store, report, err := OpenStore(fs, testOptions(), true, func(f StoreError) { faults = append(faults, f) })
	require.NoError(t, err)
	return store, report, &faults
}

func put(t *testing.T, store *Store, key eviction.Key, issuedAt int64, n int) {
	t.Helper()
	_, err := store.Put(meta(key, issuedAt), body(key, issuedAt, n))
	require.NoError(t, err)
}

func requireStored(t *testing.T, store *Store, key eviction.Key, issuedAt int64, n int) {
	t.Helper()
	chunk, err := store.Get(key)
	require.NoError(t, err)
	assert.Equal(t, issuedAt, chunk.IssuedAt)
	assert.Equal(t, meta(key, issuedAt).ETag, chunk.ETag)
	assert.Equal(t, uint16(key.Object%5), chunk.Group)
	assert.True(t, bytes.Equal(body(key, issuedAt, n), chunk.Body))
}

// TestChunksSurviveReopeningRealFolder reopens a folder of the operating system, with and without a snapshot. All
// chunks must be present, replaced ones in their new version. A deleted chunk must not be found in the same session,
// and recovery may read only the records that the snapshot does not cover.
func TestChunksSurviveReopeningRealFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cache")
	dir, err := vfs.MakeDir(path)
	require.NoError(t, err)
	for _, snapshot := range []bool{false, true} {
		store, report, _ := open(t, dir)
		assert.Equal(t, !snapshot, report.Created)
		for i := range 50 {
			put(t, store, chunkKey(i, 0), 100, 300+i)
			put(t, store, chunkKey(i, 1), 100, 10)
		}
		put(t, store, chunkKey(7, 0), 200, 33)
		store.Delete(chunkKey(8, 0))
		_, err := store.Get(chunkKey(8, 0))
		require.ErrorIs(t, err, ErrNotFound)
		if snapshot {
			require.NoError(t, store.WriteSnapshot(func(eviction.Key) (eviction.AccessHistory, bool) {
				return eviction.AccessHistory{MeanGap: 3, LastAccess: 4}, true
			}))
			put(t, store, chunkKey(99, 0), 300, 40)
		}
		require.NoError(t, store.Close())
	}
	store, report, faults := open(t, dir)
	assert.Empty(t, *faults)
	assert.True(t, report.SnapshotUsed)
	assert.Equal(t, eviction.AccessHistory{MeanGap: 3, LastAccess: 4}, report.AccessHistories[chunkKey(7, 0)])
	assert.Less(t, report.Scanned, int64(9000), "only records not covered by the snapshot are read")
	requireStored(t, store, chunkKey(7, 0), 200, 33)
	requireStored(t, store, chunkKey(9, 0), 100, 309)
	requireStored(t, store, chunkKey(99, 0), 300, 40)
	_, _, err = OpenStore(dir, testOptions(), false, nil)
	require.ErrorIs(t, err, vfs.ErrLocked)
	require.NoError(t, store.Close())
}

// TestCompactionReclaimsSpaceAndRetainsLiveChunks deletes most chunks and compacts. Compaction must not lose live
// records, and it must drop dead ones, or the disk would fill up. The used space must shrink, and the chunks that the
// filter accepts must be readable after the folder is reopened.
func TestCompactionReclaimsSpaceAndRetainsLiveChunks(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	store, _, _ := open(t, fs)
	for i := range 40 {
		put(t, store, chunkKey(i, 0), 100, 400)
	}
	for i := range 40 {
		if i%4 != 0 {
			store.Delete(chunkKey(i, 0))
		}
	}
	_, before := store.Sizes()
	for range 20 {
		id, ok := PickCompaction(store.SegmentUsage(), 1<<30)
		if !ok {
			break
		}
		_, err := store.Compact(id, func(m Meta) bool { return m.Object != 4 })
		require.NoError(t, err)
	}
	live, after := store.Sizes()
	assert.Less(t, after, before/2)
	assert.Equal(t, 9, store.Chunks())
	assert.Less(t, float64(after)/float64(live), 2.2)
	requireStored(t, store, chunkKey(8, 0), 100, 400)
	_, err := store.Get(chunkKey(4, 0))
	require.ErrorIs(t, err, ErrNotFound)
	require.NoError(t, store.Close())
	store, _, faults := open(t, fs)
	assert.Empty(t, *faults)
	requireStored(t, store, chunkKey(36, 0), 100, 400)
}

// TestChunkDeletedDuringMoveStaysDeleted deletes each chunk while compaction moves it. It must stay deleted.
func TestChunkDeletedDuringMoveStaysDeleted(t *testing.T) {
	store, _, _ := open(t, vfs.NewFaultFS(1))
	for i := range 12 {
		put(t, store, chunkKey(i, 0), 100, 400)
	}
	_, err := store.Compact(1, func(m Meta) bool {
		store.Delete(m.Key) // simulates a purge during the move
		return true
	})
	require.NoError(t, err)
	for i := range 7 {
		assert.False(t, store.Contains(chunkKey(i, 0)), i)
	}
}

func reopen(t *testing.T, fs vfs.FS, store *Store) (*Store, RecoveryReport, *[]StoreError) {
	t.Helper()
	require.NoError(t, store.Close())
	return open(t, fs)
}

// TestUnsupportedFormatIsRejected opens a folder of another format version, and one with data but without a version
// file. If they were read as this version, wrong chunks would be served. Both must be rejected, and the error for the
// other version names both versions.
func TestUnsupportedFormatIsRejected(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	file, _ := fs.Create(formatFileName)
	_, _ = file.WriteAt([]byte("cairnfront disk tier 9\n"), 0)
	_, _, err := OpenStore(fs, testOptions(), false, nil)
	require.ErrorIs(t, err, ErrUnsupportedFormat)
	require.ErrorContains(t, err, "version 9, this program reads version 1")
	fs = vfs.NewFaultFS(1)
	_, _ = fs.Create("seg-00000001.cf")
	_, _, err = OpenStore(fs, testOptions(), false, nil)
	assert.ErrorIs(t, err, ErrUnsupportedFormat)
}

// TestTooLongChunkIsRejected puts an entity tag and a body above the size limits of the format. If they
// were written, the record would be unreadable and the records after it would be lost. Put must return ErrChunkTooLong
// and report no disk fault.
func TestTooLongChunkIsRejected(t *testing.T) {
	store, _, faults := open(t, vfs.NewFaultFS(1))
	long := meta(chunkKey(1, 0), 100)
	long.ETag = strings.Repeat("t", maxETagBytes+1)
	_, err := store.Put(long, nil)
	require.ErrorIs(t, err, ErrChunkTooLong)
	_, err = store.Put(meta(chunkKey(1, 0), 100), make([]byte, maxBodyBytes+1))
	require.ErrorIs(t, err, ErrChunkTooLong)
	assert.Empty(t, *faults)
	assert.Zero(t, store.Chunks())
}

// interruptFS calls duringRead once, during the first read of a record.
type interruptFS struct {
	vfs.FS
	duringRead func()
}

type interruptFile struct {
	vfs.File
	fs *interruptFS
}

func (m *interruptFS) Open(name string) (vfs.File, error) {
	f, err := m.FS.Open(name)
	return interruptFile{f, m}, err
}

func (f interruptFile) ReadAt(p []byte, at int64) (int, error) {
	if duringRead := f.fs.duringRead; duringRead != nil && at > 0 {
		f.fs.duringRead = nil
		duringRead()
	}
	return f.File.ReadAt(p, at)
}

// TestChunkDeletedWhileRead deletes a chunk and compacts its segment during a read of the chunk. The read must return
// the requested bytes, and the file must be closed only after the last reader has finished.
func TestChunkDeletedWhileRead(t *testing.T) {
	disk := vfs.NewFaultFS(1)
	store, _, _ := open(t, disk)
	for i := range 20 {
		put(t, store, chunkKey(i, 0), 100, 400)
	}
	require.NoError(t, store.Close())
	fs := &interruptFS{FS: disk}
	store, _, _ = open(t, fs)
	fs.duringRead = func() {
		store.Delete(chunkKey(1, 0))
		_, err := store.Compact(1, func(Meta) bool { return true })
		assert.NoError(t, err)
	}
	chunk, err := store.Get(chunkKey(1, 0))
	require.NoError(t, err)
	assert.Nil(t, disk.Contents("seg-00000001.cf"), "compaction must remove the segment")
	put(t, store, chunkKey(1, 0), 200, 400)
	assert.True(t, bytes.Equal(body(chunkKey(1, 0), 100, 400), chunk.Body))
	requireStored(t, store, chunkKey(1, 0), 200, 400)
	requireStored(t, store, chunkKey(2, 0), 100, 400)
}
