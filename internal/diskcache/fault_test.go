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

// The folder on which faults are played: twenty chunks, eight a segment.
const (
	faultChunks    = 20
	faultBodyBytes = 400
	someChunks     = -1 // lost: at least one, and no more than a segment has
)

// faultCase is one fault of a folder and what it may cost.
type faultCase struct {
	name string
	hurt func(t *testing.T, fs *vfs.FaultFS)
	lost int // chunks, or someChunks
	code FaultCode
}

// needsSnapshot says that the fault shows only at a start with a snapshot.
func (c faultCase) needsSnapshot() bool {
	return c.code == CodeMissingSegment || c.code == CodeBadSnapshot
}

// flipBit is damage to one bit of a file.
func flipBit(name string, offset int64, bit byte) func(*testing.T, *vfs.FaultFS) {
	return func(t *testing.T, fs *vfs.FaultFS) {
		t.Helper()
		fs.FlipBit(name, offset, bit)
	}
}

// faultCases are the faults that a folder can have, on the second record of the first segment where one is concerned.
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

// writeFaultFolder fills a folder with the chunks, a purge record and perhaps a snapshot.
func writeFaultFolder(t *testing.T, fs *vfs.FaultFS, snapshot bool) {
	t.Helper()
	s, _, _ := open(t, fs)
	for i := range faultChunks {
		put(t, s, k(i, 0), 100, faultBodyBytes)
	}
	purge := validity.Record{Kind: validity.PurgeObject, Object: 77, PurgedAt: 5}
	require.NoError(t, s.AppendPurgeRecords([]validity.Record{purge}))
	if snapshot {
		require.NoError(t, s.WriteSnapshot(nil))
	}
	require.NoError(t, s.Close())
}

// countLost reads every chunk and returns how many are lost. The others must have their bytes.
func countLost(t *testing.T, s *Store) (lost int) {
	t.Helper()
	for i := range faultChunks {
		p, err := s.Get(k(i, 0))
		if err != nil {
			lost++
			continue
		}
		assert.True(t, bytes.Equal(body(k(i, 0), 100, faultBodyBytes), p.Body))
	}
	return lost
}

// TestEachFaultCostsOnlyChunksConcerned damages a folder in each way, with and without a snapshot. A fault that ends
// the start, or empties the folder, turns one bad sector into a cold cache. Each must cost the chunks concerned, be
// reported once, lose no purge, and leave a store that goes on.
func TestEachFaultCostsOnlyChunksConcerned(t *testing.T) {
	for _, c := range faultCases() {
		for _, snapshot := range []bool{false, true} {
			if !snapshot && c.needsSnapshot() {
				continue
			}
			t.Run(fmt.Sprint(c.name, snapshot), func(t *testing.T) {
				fs := vfs.NewFaultFS(1)
				writeFaultFolder(t, fs, snapshot)
				c.hurt(t, fs)
				s, rep, faults := open(t, fs)
				assert.Len(t, rep.Records, 1, "no purge record is lost")
				lost := countLost(t, s)
				if c.lost == someChunks {
					assert.Positive(t, lost)
					assert.Less(t, lost, 9)
				} else {
					assert.Equal(t, c.lost, lost)
				}
				codes := map[FaultCode]int{}
				for _, f := range *faults {
					codes[f.Code]++
				}
				assert.Equal(t, 1, codes[c.code], "one line: %v", codes)
				put(t, s, k(1, 0), 300, 50) // and it goes on
				holds(t, s, k(1, 0), 300, 50)
			})
		}
	}
}

// TestFullDiskFailsOnlyTheWrite fills the disk, and cuts a write short. A store that stops at the first failed
// write, or leaves half a record, would lose what it has. Only the write may fail, with the code of its cause, and
// later ones must succeed.
func TestFullDiskFailsOnlyTheWrite(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	s, _, faults := open(t, fs)
	put(t, s, k(1, 0), 100, 400)
	fs.CapacityBytes = 1000
	_, err := s.Put(meta(k(2, 0), 100), body(k(2, 0), 100, 900))
	var f StoreError
	require.ErrorAs(t, err, &f)
	assert.Equal(t, CodeDiskFull, f.Code)
	assert.Len(t, *faults, 1)
	holds(t, s, k(1, 0), 100, 400)
	fs.CapacityBytes = 0
	short := true
	fs.ShortWrite = func() bool { short = !short; return !short }
	_, err = s.Put(meta(k(3, 0), 100), body(k(3, 0), 100, 900))
	require.ErrorAs(t, err, &f)
	assert.Equal(t, CodeWriteFailed, f.Code)
	fs.ShortWrite = nil
	put(t, s, k(3, 0), 100, 800)
	s, _, _ = reopen(t, fs, s)
	holds(t, s, k(3, 0), 100, 800)
	assert.False(t, s.Contains(k(2, 0)))
}

// A body may contain what looks like a record. When the header before it is damaged, the scan reaches it and must not
// accept it: whoever made the body does not know the segment's salt.
func TestRecordWithinBodyIsNotAccepted(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	s, _, _ := open(t, fs)
	forged := appendRecord(nil, 0, meta(k(666, 0), 1), []byte("not what it was"), 0)
	for len(forged) < 3000 {
		forged = appendRecord(forged, 0, meta(k(666, len(forged)), 1), []byte("nor this"), 0)
	}
	_, err := s.Put(meta(k(1, 0), 100), forged)
	require.NoError(t, err)
	put(t, s, k(2, 0), 100, 100)
	require.NoError(t, s.Close())
	fs.FlipBit("seg-00000001.cf", segmentHeaderSize+9, 0)
	s, _, _ = open(t, fs)
	assert.Equal(t, 1, s.Chunks())
	holds(t, s, k(2, 0), 100, 100)
}
