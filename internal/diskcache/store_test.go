package diskcache

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func k(o, p int) eviction.Key { return eviction.Key{Object: uint64(o), Chunk: uint32(p)} }

// body derives the bytes of a chunk from its key and issue time, so that a wrong one is detected.
func body(key eviction.Key, dated int64, n int) []byte {
	b := make([]byte, n)
	r := rand.New(rand.NewPCG(key.Object<<8|uint64(key.Chunk), uint64(dated)))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

func meta(key eviction.Key, dated int64) Meta {
	return Meta{Key: key, Group: uint16(key.Object % 5), IssuedAt: dated, Tag: fmt.Sprintf("t%d", dated), Rank: 2}
}

func smallOptions() StoreOptions {
	salt := uint64(0)
	return StoreOptions{
		SegmentBytes: 4096, Salt: func() uint64 { salt++; return salt * 0x9e3779b97f4a7c15 },
		Clock: func() time.Time { return time.UnixMilli(5000) },
	}
}

func open(t *testing.T, fs vfs.FS) (*Store, RecoveryReport, *[]StoreError) {
	t.Helper()
	var faults []StoreError
	s, rep, err := OpenStore(fs, smallOptions(), true, func(f StoreError) { faults = append(faults, f) })
	require.NoError(t, err)
	return s, rep, &faults
}

func put(t *testing.T, s *Store, key eviction.Key, dated int64, n int) {
	t.Helper()
	_, err := s.Put(meta(key, dated), body(key, dated, n))
	require.NoError(t, err)
}

func holds(t *testing.T, s *Store, key eviction.Key, dated int64, n int) {
	t.Helper()
	p, err := s.Get(key)
	require.NoError(t, err)
	assert.Equal(t, dated, p.IssuedAt)
	assert.Equal(t, meta(key, dated).Tag, p.Tag)
	assert.Equal(t, uint16(key.Object%5), p.Group)
	assert.True(t, bytes.Equal(body(key, dated, n), p.Body))
}

func TestChunksSurviveReopeningRealFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tier")
	d, err := vfs.MakeDir(path)
	require.NoError(t, err)
	for _, snapshot := range []bool{false, true} {
		s, rep, _ := open(t, d)
		assert.Equal(t, !snapshot, rep.Created)
		for i := range 50 {
			put(t, s, k(i, 0), 100, 300+i)
			put(t, s, k(i, 1), 100, 10)
		}
		put(t, s, k(7, 0), 200, 33)
		s.Delete(k(8, 0))
		_, err := s.Get(k(8, 0))
		assert.ErrorIs(t, err, ErrNotFound)
		if snapshot {
			require.NoError(t, s.WriteSnapshot(func(eviction.Key) (eviction.AccessHistory, bool) {
				return eviction.AccessHistory{MeanGap: 3, LastAccess: 4}, true
			}))
			put(t, s, k(99, 0), 300, 40)
		}
		require.NoError(t, s.Close())
	}
	s, rep, faults := open(t, d)
	assert.Empty(t, *faults)
	assert.True(t, rep.SnapshotUsed)
	assert.Equal(t, eviction.AccessHistory{MeanGap: 3, LastAccess: 4}, rep.Known[k(7, 0)])
	assert.Less(t, rep.Scanned, int64(9000), "only what the snapshot does not cover")
	holds(t, s, k(7, 0), 200, 33)
	holds(t, s, k(9, 0), 100, 309)
	holds(t, s, k(99, 0), 300, 40)
	_, _, err = OpenStore(d, smallOptions(), false, nil)
	assert.ErrorIs(t, err, vfs.ErrLocked)
	require.NoError(t, s.Close())
}

func TestCompactionReclaimsSpaceAndKeepsWantedChunks(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	s, _, _ := open(t, fs)
	for i := range 40 {
		put(t, s, k(i, 0), 100, 400)
	}
	for i := range 40 {
		if i%4 != 0 {
			s.Delete(k(i, 0))
		}
	}
	_, before := s.Sizes()
	for range 20 {
		id, ok := PickCompaction(s.SegmentUsage(), 1<<30)
		if !ok {
			break
		}
		_, err := s.Compact(id, func(m Meta) bool { return m.Object != 4 })
		require.NoError(t, err)
	}
	live, after := s.Sizes()
	assert.Less(t, after, before/2)
	assert.Equal(t, 9, s.Chunks())
	assert.Less(t, float64(after)/float64(live), 2.2)
	holds(t, s, k(8, 0), 100, 400)
	_, err := s.Get(k(4, 0))
	assert.ErrorIs(t, err, ErrNotFound)
	require.NoError(t, s.Close())
	s, _, faults := open(t, fs)
	assert.Empty(t, *faults)
	holds(t, s, k(36, 0), 100, 400)
}

// A chunk that is deleted while a compaction moves it stays deleted.
func TestChunkDeletedDuringMoveStaysDeleted(t *testing.T) {
	s, _, _ := open(t, vfs.NewFaultFS(1))
	for i := range 12 {
		put(t, s, k(i, 0), 100, 400)
	}
	_, err := s.Compact(1, func(m Meta) bool {
		s.Delete(m.Key) // a purge arrives in between
		return true
	})
	require.NoError(t, err)
	for i := range 7 {
		assert.False(t, s.Contains(k(i, 0)), i)
	}
}

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

func reopen(t *testing.T, fs vfs.FS, s *Store) (*Store, RecoveryReport, *[]StoreError) {
	t.Helper()
	require.NoError(t, s.Close())
	return open(t, fs)
}

func TestOtherFormatIsRefused(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	h, _ := fs.Create(formatName)
	_, _ = h.WriteAt([]byte("cairnfront disk tier 9\n"), 0)
	_, _, err := OpenStore(fs, smallOptions(), false, nil)
	assert.ErrorIs(t, err, ErrUnsupportedFormat)
	assert.ErrorContains(t, err, "version 9, this program reads version 1")
	fs = vfs.NewFaultFS(1)
	_, _ = fs.Create("seg-00000001.cf")
	_, _, err = OpenStore(fs, smallOptions(), false, nil)
	assert.ErrorIs(t, err, ErrUnsupportedFormat)
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

// powerLoss plays the script drawn from the seed with a power loss at the operation numbered cut and requires that
// nothing broke. It returns the number of operations of the first life.
func powerLoss(t require.TestingT, seed uint64, cut int) (ops int) {
	out := RunPowerLoss(seed, cut)
	require.Empty(t, out.Violations, "seed %d, cut at %d", seed, cut)
	return out.Ops
}

// The power fails at every single write, sync, renaming, removal and truncation of the script, twice with other draws
// of what survives unsynced.
func TestPowerLossAtEveryOperation(t *testing.T) {
	ops := powerLoss(t, 1, 0)
	require.Greater(t, ops, 100)
	for cut := 1; cut <= ops; cut++ {
		for s := range uint64(2) {
			powerLoss(t, 1+s*1000, cut)
		}
	}
}

// The checks of a power-loss run can fail: a log that is not synced loses an acknowledged purge, and a body that is not
// verified is served torn.
func TestPowerLossChecksFailWithoutGuards(t *testing.T) {
	for name, breakIt := range map[string]func(*powerLossRun){
		"log without a sync": func(p *powerLossRun) { p.unsyncedLog = true },
		"body not checked":   func(p *powerLossRun) { p.uncheckedBody = true },
	} {
		wrong := 0
		for seed := range uint64(40) {
			for cut := 20; cut < 100; cut += 7 {
				p := powerLossRun{seed: seed, cut: cut}
				breakIt(&p)
				wrong += len(p.run().Violations)
			}
		}
		assert.Greater(t, wrong, 0, name)
	}
}

func TestIndexAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x index
		want := map[eviction.Key]uint64{}
		for n := range rapid.IntRange(1, 3000).Draw(t, "n") {
			key := k(n*7919%rapid.SampledFrom([]int{50, 400}).Draw(t, "wide"), 0)
			if n%3 == 0 {
				_, had := want[key]
				if x.remove(key) != had {
					t.Fatalf("remove of %v", key)
				}
				delete(want, key)
			} else {
				x.put(location{object: key.Object, segment: 1, seq: uint64(n)})
				want[key] = uint64(n)
			}
		}
		if x.count != len(want) {
			t.Fatalf("%d places for %d", x.count, len(want))
		}
		for key, seq := range want {
			if p := x.find(key); p == nil || p.seq != seq {
				t.Fatalf("%v is lost", key)
			}
		}
	})
}

func FuzzParseRecordHeader(f *testing.F) {
	f.Add(appendRecord(nil, 7, meta(k(1, 2), 3), []byte("body"), 4), uint64(7))
	f.Add(make([]byte, recordHeaderSize), uint64(0))
	f.Fuzz(func(t *testing.T, b []byte, salt uint64) {
		h, err := parseRecordHeader(b, salt)
		if err == nil && (h.bodyLen > maxBodyBytes || len(h.Tag) > maxTagBytes || h.size() < recordHeaderSize) {
			t.Fatalf("%+v", h)
		}
	})
}

// FuzzOpen opens segments, logs and snapshots of arbitrary bytes: the store opens or returns an error, and serves no
// chunk under another key.
func FuzzOpen(f *testing.F) {
	fs := vfs.NewFaultFS(1)
	s, _, err := OpenStore(fs, smallOptions(), true, nil)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 5 {
		_, _ = s.Put(meta(k(i, 0), 100), body(k(i, 0), 100, 90))
	}
	_ = s.AppendPurgeRecords([]validity.Record{{Kind: validity.PurgeObject, Object: 1, PurgedAt: 5}})
	_ = s.WriteSnapshot(nil)
	_ = s.Close()
	f.Add(fs.Contents("seg-00000001.cf"), fs.Contents(snapshotName), fs.Contents(purgeLogName))
	f.Fuzz(func(t *testing.T, seg, snap, log []byte) {
		fs := vfs.NewFaultFS(1)
		files := map[string][]byte{
			formatName:        []byte("cairnfront disk tier 1\n"),
			"seg-00000001.cf": seg,
			snapshotName:      snap,
			purgeLogName:      log,
		}
		for name, b := range files {
			h, _ := fs.Create(name)
			_, _ = h.WriteAt(b, 0)
		}
		s, _, err := OpenStore(fs, smallOptions(), true, nil)
		if err != nil {
			return
		}
		var keys []eviction.Key
		s.Each(func(key eviction.Key, _ int64, _ uint8) bool { keys = append(keys, key); return true })
		for _, key := range keys {
			if p, err := s.Get(key); err == nil && p.Key != key {
				t.Fatalf("%v for %v", p.Key, key)
			}
		}
		if _, err := s.Put(meta(k(1, 1), 1), []byte("x")); err != nil {
			t.Fatal(err)
		}
	})
}

// benchStore is a store in a real folder.
func benchStore(b *testing.B) *Store {
	d, err := vfs.MakeDir(filepath.Join(b.TempDir(), "t"))
	require.NoError(b, err)
	s, _, err := OpenStore(d, StoreOptions{}, false, nil)
	require.NoError(b, err)
	b.Cleanup(func() { _ = s.Close() })
	return s
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{4 << 10, 100 << 10} {
		b.Run(fmt.Sprint(n>>10, "KB"), func(b *testing.B) {
			s := benchStore(b)
			x := body(k(1, 1), 1, n)
			b.SetBytes(int64(n))
			b.ReportAllocs()
			for i := range b.N {
				_, _ = s.Put(meta(k(i%500, 0), 1), x)
			}
		})
	}
}

func BenchmarkGet(b *testing.B) {
	for _, n := range []int{4 << 10, 100 << 10} {
		b.Run(fmt.Sprint(n>>10, "KB"), func(b *testing.B) {
			s := benchStore(b)
			for i := range 500 {
				_, _ = s.Put(meta(k(i, 0), 1), body(k(i, 0), 1, n))
			}
			b.SetBytes(int64(n))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				_, _ = s.Get(k(i*37%500, 0))
			}
		})
	}
}

// BenchmarkOpen opens a store of a million chunks of 24 bytes, with and without the snapshot, and reports the heap that
// the index takes for a chunk and the peak of the heap.
func BenchmarkOpen(b *testing.B) {
	const chunks = 1_000_000
	d, _ := vfs.MakeDir(filepath.Join(b.TempDir(), "t"))
	s, _, err := OpenStore(d, StoreOptions{}, false, nil)
	require.NoError(b, err)
	for i := range chunks {
		_, err := s.Put(
			Meta{Key: k(i/15, i%15), IssuedAt: 1, Tag: "4be0c1927d55a6f3"},
			[]byte("a body of 24 bytes, so. "),
		)
		require.NoError(b, err)
	}
	require.NoError(b, s.Close())
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			if snapshot {
				s, _, err := OpenStore(d, StoreOptions{}, false, nil)
				require.NoError(b, err)
				require.NoError(b, s.WriteSnapshot(nil))
				require.NoError(b, s.Close())
			}
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s, rep, err := OpenStore(d, StoreOptions{}, false, nil)
				require.NoError(b, err)
				runtime.ReadMemStats(&after)
				top := float64(after.HeapSys-after.HeapReleased) / (1 << 20)
				runtime.GC()
				runtime.ReadMemStats(&after)
				require.Equal(b, chunks, rep.Chunks)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/chunks, "B/chunk")
				b.ReportMetric(top, "MB-heap")
				b.ReportMetric(rep.Took.Seconds(), "s/open")
				require.NoError(b, s.Close())
			}
		})
	}
}

// interruptFS calls a function in the middle of a read.
type interruptFS struct {
	vfs.FS
	then func()
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
	if then := f.fs.then; then != nil && at > 0 {
		f.fs.then = nil
		then()
	}
	return f.File.ReadAt(p, at)
}

// A chunk is deleted and its segment compacted away while it is being read and sent: the bytes are the requested ones,
// and the file is closed after the last reader.
func TestChunkDeletedWhileRead(t *testing.T) {
	disk := vfs.NewFaultFS(1)
	s, _, _ := open(t, disk)
	for i := range 20 {
		put(t, s, k(i, 0), 100, 400)
	}
	require.NoError(t, s.Close())
	fs := &interruptFS{FS: disk}
	s, _, _ = open(t, fs)
	fs.then = func() {
		s.Delete(k(1, 0))
		_, err := s.Compact(1, func(Meta) bool { return true })
		assert.NoError(t, err)
	}
	p, err := s.Get(k(1, 0))
	require.NoError(t, err)
	assert.Nil(t, disk.Contents("seg-00000001.cf"), "the segment is gone")
	put(t, s, k(1, 0), 200, 400)
	assert.True(t, bytes.Equal(body(k(1, 0), 100, 400), p.Body))
	holds(t, s, k(1, 0), 200, 400)
	holds(t, s, k(2, 0), 100, 400)
}
