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

func TestEachFaultCostsOnlyChunksConcerned(t *testing.T) {
	const chunks, size = 20, 400 // eight a segment
	rec := recordSize(len("t100"), size)
	cases := []struct {
		name string
		hurt func(*vfs.FaultFS)
		lost int
		code FaultCode
	}{
		{"a bit in a header", func(f *vfs.FaultFS) {
			f.FlipBit("seg-00000001.cf", segmentHeaderSize+rec+20, 3)
		}, 1, CodeBadHeader},
		{"a bit in a body", func(f *vfs.FaultFS) {
			f.FlipBit("seg-00000001.cf", segmentHeaderSize+rec+recordHeaderSize+50, 3)
		}, 1, CodeBadBody},
		{"a segment cut off", func(f *vfs.FaultFS) {
			h, _ := f.Open("seg-00000002.cf")
			_ = h.Truncate(segmentHeaderSize + 3*rec + 100)
		}, -1, CodeTruncated},
		{"a segment's header", func(f *vfs.FaultFS) { f.FlipBit("seg-00000001.cf", 17, 0) }, 8, CodeBadSegment},
		{"a segment missing", func(f *vfs.FaultFS) { _ = f.Remove("seg-00000001.cf") }, 8, CodeMissingSegment},
		{"a read that fails", func(f *vfs.FaultFS) {
			f.FailRead = func(name string, offset int64) bool {
				return name == "seg-00000001.cf" && offset == segmentHeaderSize+rec
			}
		}, 1, CodeReadFailed},
		{"a snapshot's bit", func(f *vfs.FaultFS) { f.FlipBit(snapshotName, 200, 1) }, 0, CodeBadSnapshot},
		{"the purge log's end", func(f *vfs.FaultFS) {
			h, _ := f.Open(purgeLogName)
			_, _ = h.WriteAt([]byte("garbage"), validity.RecordSize)
		}, 0, CodeBadPurgeLog},
	}
	for _, c := range cases {
		for _, snapshot := range []bool{false, true} {
			if !snapshot && (c.code == CodeMissingSegment || c.code == CodeBadSnapshot) {
				continue
			}
			t.Run(fmt.Sprint(c.name, snapshot), func(t *testing.T) {
				fs := vfs.NewFaultFS(1)
				s, _, _ := open(t, fs)
				for i := range chunks {
					put(t, s, k(i, 0), 100, size)
				}
				require.NoError(
					t,
					s.AppendPurgeRecords([]validity.Record{{Kind: validity.PurgeObject, Object: 77, PurgedAt: 5}}),
				)
				if snapshot {
					require.NoError(t, s.WriteSnapshot(nil))
				}
				require.NoError(t, s.Close())
				c.hurt(fs)
				s, rep, faults := open(t, fs)
				assert.Len(t, rep.Records, 1, "no purge record is lost")
				lost := 0
				for i := range chunks {
					if p, err := s.Get(k(i, 0)); err != nil {
						lost++
					} else {
						assert.True(t, bytes.Equal(body(k(i, 0), 100, size), p.Body))
					}
				}
				if c.lost >= 0 {
					assert.Equal(t, c.lost, lost)
				} else {
					assert.Greater(t, lost, 0)
					assert.Less(t, lost, 9)
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
