package diskcache

import (
	"bytes"
	"fmt"
	"testing"

	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Content of the folder into which faults are injected: twenty chunks, eight per segment.
const (
	faultChunks    = 20
	faultBodyBytes = 400
	someChunks     = -1 // value of faultCase.lost: at least one chunk and at most those of one segment
)

// faultCase is a fault injected into a folder and the expected number of lost chunks.
type faultCase struct {
	name   string
	inject func(t *testing.T, fs *vfs.FaultFS)
	lost   int // number of lost chunks, or someChunks
	code   FaultCode
}

// needsSnapshot reports whether the fault is detected only if the folder has a snapshot.
func (c faultCase) needsSnapshot() bool {
	return c.code == CodeMissingSegment || c.code == CodeBadSnapshot
}

// flipBit returns a function that flips one bit of a file.
func flipBit(name string, offset int64, bit byte) func(*testing.T, *vfs.FaultFS) {
	return func(t *testing.T, fs *vfs.FaultFS) {
		t.Helper()
		fs.FlipBit(name, offset, bit)
	}
}

// faultCases returns one case per kind of fault. Faults of a single record affect the second record of the first
// segment.
func faultCases() []faultCase {
	const first, second = "seg-00000001.cf", "seg-00000002.cf"
	record := recordSize(len("t100"), faultBodyBytes)
	at := segmentHeaderSize + record
	return []faultCase{
		{"a bit in a header", flipBit(first, at+20, 3), 1, CodeBadHeader},
		{"a bit in a body", flipBit(first, at+recordHeaderSize+50, 3), 1, CodeBadBody},
		{"a segment cut off", func(t *testing.T, fs *vfs.FaultFS) {
			t.Helper()
			file, err := fs.Open(second)
			require.NoError(t, err)
			require.NoError(t, file.Truncate(segmentHeaderSize+3*record+100))
		}, someChunks, CodeTruncated},
		{"a segment's header", flipBit(first, 17, 0), 8, CodeBadSegment},
		{"a segment missing", func(t *testing.T, fs *vfs.FaultFS) {
			t.Helper()
			require.NoError(t, fs.Remove(first))
		}, 8, CodeMissingSegment},
		{"a read that fails", func(t *testing.T, fs *vfs.FaultFS) {
			t.Helper()
			fs.FailRead = func(name string, offset int64) bool { return name == first && offset == at }
		}, 1, CodeReadFailed},
		{"a snapshot's bit", flipBit(snapshotName, 200, 1), 0, CodeBadSnapshot},
		{"the purge log's end", func(t *testing.T, fs *vfs.FaultFS) {
			t.Helper()
			file, err := fs.Open(purgeLogName)
			require.NoError(t, err)
			_, err = file.WriteAt([]byte("garbage"), validity.RecordSize)
			require.NoError(t, err)
		}, 0, CodeBadPurgeLog},
	}
}

// writeFaultFolder fills a folder with faultChunks chunks, a purge record and optionally a snapshot.
func writeFaultFolder(t *testing.T, fs *vfs.FaultFS, snapshot bool) {
	t.Helper()
	store, _, _ := open(t, fs)
	for i := range faultChunks {
		put(t, store, chunkKey(i, 0), 100, faultBodyBytes)
	}
	purge := validity.Record{Kind: validity.PurgeObject, Object: 77, PurgedAt: 5}
	require.NoError(t, store.AppendPurgeRecords([]validity.Record{purge}))
	if snapshot {
		require.NoError(t, store.WriteSnapshot(nil))
	}
	require.NoError(t, store.Close())
}

// countLost reads every chunk and returns the number of lost ones. The others must have the expected body.
func countLost(t *testing.T, store *Store) (lost int) {
	t.Helper()
	for i := range faultChunks {
		chunk, err := store.Get(chunkKey(i, 0))
		if err != nil {
			lost++
			continue
		}
		assert.True(t, bytes.Equal(body(chunkKey(i, 0), 100, faultBodyBytes), chunk.Body))
	}
	return lost
}

// TestEachFaultLosesOnlyAffectedChunks injects each fault into a folder, with and without a snapshot. One bad sector
// must not abort the start or empty the cache: only the affected chunks may be lost, the fault must be reported once,
// no purge record may be lost, and the store must accept new chunks.
func TestEachFaultLosesOnlyAffectedChunks(t *testing.T) {
	for _, c := range faultCases() {
		for _, snapshot := range []bool{false, true} {
			if !snapshot && c.needsSnapshot() {
				continue
			}
			t.Run(fmt.Sprint(c.name, snapshot), func(t *testing.T) {
				fs := vfs.NewFaultFS(1)
				writeFaultFolder(t, fs, snapshot)
				c.inject(t, fs)
				store, report, faults := open(t, fs)
				assert.Len(t, report.Records, 1, "no purge record may be lost")
				lost := countLost(t, store)
				if c.lost == someChunks {
					assert.Positive(t, lost)
					assert.Less(t, lost, 9)
				} else {
					assert.Equal(t, c.lost, lost)
				}
				codes := map[FaultCode]int{}
				for _, fault := range *faults {
					codes[fault.Code]++
				}
				assert.Equal(t, 1, codes[c.code], "the fault must be reported once: %v", codes)
				put(t, store, chunkKey(1, 0), 300, 50) // the store still accepts chunks
				requireStored(t, store, chunkKey(1, 0), 300, 50)
			})
		}
	}
}

// TestFullDiskFailsOnlyTheWrite fills the disk and injects a short write. A failed write must neither stop the store
// nor leave a partial record that makes stored chunks unreadable. Only that write may fail, with the code of its cause,
// and later writes must succeed.
func TestFullDiskFailsOnlyTheWrite(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	store, _, faults := open(t, fs)
	put(t, store, chunkKey(1, 0), 100, 400)
	fs.CapacityBytes = 1000
	_, err := store.Put(meta(chunkKey(2, 0), 100), body(chunkKey(2, 0), 100, 900))
	var fault StoreError
	require.ErrorAs(t, err, &fault)
	assert.Equal(t, CodeDiskFull, fault.Code)
	assert.Len(t, *faults, 1)
	requireStored(t, store, chunkKey(1, 0), 100, 400)
	fs.CapacityBytes = 0
	short := true
	fs.ShortWrite = func() bool { short = !short; return !short }
	_, err = store.Put(meta(chunkKey(3, 0), 100), body(chunkKey(3, 0), 100, 900))
	require.ErrorAs(t, err, &fault)
	assert.Equal(t, CodeWriteFailed, fault.Code)
	fs.ShortWrite = nil
	put(t, store, chunkKey(3, 0), 100, 800)
	store, _, _ = reopen(t, fs, store)
	requireStored(t, store, chunkKey(3, 0), 100, 800)
	assert.False(t, store.Contains(chunkKey(2, 0)))
}

// TestRecordWithinBodyIsNotAccepted stores a body that contains bytes encoded like records and damages the header
// before it, so that the scan reaches these bytes. The scan must not accept them as records: the author of the body
// does not know the segment's salt.
func TestRecordWithinBodyIsNotAccepted(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	store, _, _ := open(t, fs)
	forged := appendRecord(nil, 0, meta(chunkKey(666, 0), 1), []byte("not what it was"), 0)
	for len(forged) < 3000 {
		forged = appendRecord(forged, 0, meta(chunkKey(666, len(forged)), 1), []byte("nor this"), 0)
	}
	_, err := store.Put(meta(chunkKey(1, 0), 100), forged)
	require.NoError(t, err)
	put(t, store, chunkKey(2, 0), 100, 100)
	require.NoError(t, store.Close())
	fs.FlipBit("seg-00000001.cf", segmentHeaderSize+9, 0)
	store, _, _ = open(t, fs)
	assert.Equal(t, 1, store.Chunks())
	requireStored(t, store, chunkKey(2, 0), 100, 100)
}
