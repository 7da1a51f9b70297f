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

// body is made of the part and its time, so that a wrong one shows.
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

func small() StoreOptions {
	salt := uint64(0)
	return StoreOptions{SegmentBytes: 4096, Salt: func() uint64 { salt++; return salt * 0x9e3779b97f4a7c15 },
		Clock: func() time.Time { return time.UnixMilli(5000) }}
}

func open(t *testing.T, fs vfs.FS) (*Store, RecoveryReport, *[]StoreError) {
	t.Helper()
	var faults []StoreError
	s, rep, err := OpenStore(fs, small(), true, func(f StoreError) { faults = append(faults, f) })
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

func TestPartsComeBackFromARealFolder(t *testing.T) {
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
	_, _, err = OpenStore(d, small(), false, nil)
	assert.ErrorIs(t, err, vfs.ErrLocked)
	require.NoError(t, s.Close())
}

func TestCompactionGivesSpaceBackAndKeepsWhatIsWanted(t *testing.T) {
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

// A part that is dropped while it is being moved stays dropped.
func TestAPartDroppedWhileItIsMovedStaysDropped(t *testing.T) {
	s, _, _ := open(t, vfs.NewFaultFS(1))
	for i := range 12 {
		put(t, s, k(i, 0), 100, 400)
	}
	_, err := s.Compact(1, func(m Meta) bool {
		s.Delete(m.Key) // a purge comes in between
		return true
	})
	require.NoError(t, err)
	for i := range 7 {
		assert.False(t, s.Contains(k(i, 0)), i)
	}
}

func TestEachFaultCostsThePartsConcerned(t *testing.T) {
	const parts, size = 20, 400 // eight a segment
	rec := recordSize(len("t100"), size)
	cases := []struct {
		name string
		hurt func(*vfs.FaultFS)
		lost int
		code string
	}{
		{"a bit in a head", func(f *vfs.FaultFS) { f.FlipBit("seg-00000001.cf", segmentHead+rec+20, 3) }, 1, CodeBadHeader},
		{"a bit in a body", func(f *vfs.FaultFS) { f.FlipBit("seg-00000001.cf", segmentHead+rec+recordHead+50, 3) }, 1, CodeBadBody},
		{"a segment cut off", func(f *vfs.FaultFS) {
			h, _ := f.Open("seg-00000002.cf")
			_ = h.Truncate(segmentHead + 3*rec + 100)
		}, -1, CodeTruncated},
		{"a segment's head", func(f *vfs.FaultFS) { f.FlipBit("seg-00000001.cf", 17, 0) }, 8, CodeBadSegment},
		{"a segment missing", func(f *vfs.FaultFS) { _ = f.Remove("seg-00000001.cf") }, 8, CodeMissingSegment},
		{"a read that fails", func(f *vfs.FaultFS) {
			f.FailRead = func(name string, at int64) bool { return name == "seg-00000001.cf" && at == segmentHead+rec }
		}, 1, CodeReadFailed},
		{"a snapshot's bit", func(f *vfs.FaultFS) { f.FlipBit(snapshotName, 200, 1) }, 0, CodeBadSnapshot},
		{"the notices' end", func(f *vfs.FaultFS) {
			h, _ := f.Open(noticesName)
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
				for i := range parts {
					put(t, s, k(i, 0), 100, size)
				}
				require.NoError(t, s.AppendPurgeRecords([]validity.Record{{Kind: validity.PurgeObject, Object: 77, PurgedAt: 5}}))
				if snapshot {
					require.NoError(t, s.WriteSnapshot(nil))
				}
				require.NoError(t, s.Close())
				c.hurt(fs)
				s, rep, faults := open(t, fs)
				assert.Len(t, rep.Records, 1, "no purge is lost")
				lost := 0
				for i := range parts {
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
				codes := map[string]int{}
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

func TestAFullDiskCostsTheWriteAndNothingElse(t *testing.T) {
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
	s, _, _ = open2(t, fs, s)
	holds(t, s, k(3, 0), 100, 800)
	assert.False(t, s.Contains(k(2, 0)))
}

func open2(t *testing.T, fs vfs.FS, s *Store) (*Store, RecoveryReport, *[]StoreError) {
	t.Helper()
	require.NoError(t, s.Close())
	return open(t, fs)
}

func TestAnotherFormatIsRefusedWithALine(t *testing.T) {
	fs := vfs.NewFaultFS(1)
	h, _ := fs.Create(formatName)
	_, _ = h.WriteAt([]byte("cairnfront disk tier 9\n"), 0)
	_, _, err := OpenStore(fs, small(), false, nil)
	assert.ErrorIs(t, err, ErrUnsupportedFormat)
	assert.ErrorContains(t, err, "version 9, this program reads version 1")
	fs = vfs.NewFaultFS(1)
	_, _ = fs.Create("seg-00000001.cf")
	_, _, err = OpenStore(fs, small(), false, nil)
	assert.ErrorIs(t, err, ErrUnsupportedFormat)
}

// A body may hold what looks like a record. After the true head before it is hurt, the scan meets it and must not
// believe it: its maker does not know the segment's salt.
func TestARecordWithinABodyIsNotBelieved(t *testing.T) {
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
	fs.FlipBit("seg-00000001.cf", segmentHead+9, 0)
	s, _, _ = open(t, fs)
	assert.Equal(t, 1, s.Chunks())
	holds(t, s, k(2, 0), 100, 100)
}

// PowerCut plays a script of puts, purges, compactions and snapshots, drawn from the seed, with the power cut at the
// operation numbered cut, and opens the folder again. It returns how many operations there were in all if the power
// stayed on, and what was wrong after.
func powerCut(t require.TestingT, seed uint64, cut int) (ops int) {
	out := RunPowerLoss(seed, cut)
	require.Empty(t, out.Violations, "seed %d, cut at %d", seed, cut)
	return out.Ops
}

// The power is cut at every single write, sync, renaming, removal and truncation of the script, several times with
// other chances for what was not synced.
func TestPowerCutAtEveryOperation(t *testing.T) {
	ops := powerCut(t, 1, 0)
	require.Greater(t, ops, 100)
	for cut := 1; cut <= ops; cut++ {
		for s := range uint64(2) {
			powerCut(t, 1+s*1000, cut)
		}
	}
}

// The check of the power cuts is shown to fail: a log that is not synced loses an acknowledged purge, and a body that
// is not checked is served torn.
func TestPowerCutsAreNoticedWhereTheGuardIsMissing(t *testing.T) {
	for name, breakIt := range map[string]func(*powerScript){
		"log without a sync": func(p *powerScript) { p.unsyncedLog = true },
		"body not checked":   func(p *powerScript) { p.uncheckedBody = true },
	} {
		wrong := 0
		for seed := range uint64(40) {
			for cut := 20; cut < 100; cut += 7 {
				p := powerScript{seed: seed, cut: cut}
				breakIt(&p)
				wrong += len(p.play().Violations)
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
				x.put(place{object: key.Object, segment: 1, seq: uint64(n)})
				want[key] = uint64(n)
			}
		}
		if x.n != len(want) {
			t.Fatalf("%d places for %d", x.n, len(want))
		}
		for key, seq := range want {
			if p := x.find(key); p == nil || p.seq != seq {
				t.Fatalf("%v is lost", key)
			}
		}
	})
}

func FuzzParseHead(f *testing.F) {
	f.Add(appendRecord(nil, 7, meta(k(1, 2), 3), []byte("body"), 4), uint64(7))
	f.Add(make([]byte, recordHead), uint64(0))
	f.Fuzz(func(t *testing.T, b []byte, salt uint64) {
		h, err := parseHead(b, salt)
		if err == nil && (h.bodyLen > mostBody || len(h.Tag) > mostTag || h.size() < recordHead) {
			t.Fatalf("%+v", h)
		}
	})
}

// FuzzOpen gives a store segments, logs and snapshots of any bytes: it opens or says why, and serves nothing wrong.
func FuzzOpen(f *testing.F) {
	fs := vfs.NewFaultFS(1)
	s, _, err := OpenStore(fs, small(), true, nil)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 5 {
		_, _ = s.Put(meta(k(i, 0), 100), body(k(i, 0), 100, 90))
	}
	_ = s.AppendPurgeRecords([]validity.Record{{Kind: validity.PurgeObject, Object: 1, PurgedAt: 5}})
	_ = s.WriteSnapshot(nil)
	_ = s.Close()
	f.Add(fs.Contents("seg-00000001.cf"), fs.Contents(snapshotName), fs.Contents(noticesName))
	f.Fuzz(func(t *testing.T, seg, snap, log []byte) {
		fs := vfs.NewFaultFS(1)
		for name, b := range map[string][]byte{formatName: []byte("cairnfront disk tier 1\n"), "seg-00000001.cf": seg, snapshotName: snap, noticesName: log} {
			h, _ := fs.Create(name)
			_, _ = h.WriteAt(b, 0)
		}
		s, _, err := OpenStore(fs, small(), true, nil)
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

// benched is a store in a real folder.
func benched(b *testing.B) *Store {
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
			s := benched(b)
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
			s := benched(b)
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

// BenchmarkOpen opens a store of a million parts of 24 bytes, with and without the snapshot, and tells the heap that
// the index takes a part and the most that the heap held on the way.
func BenchmarkOpen(b *testing.B) {
	const parts = 1_000_000
	d, _ := vfs.MakeDir(filepath.Join(b.TempDir(), "t"))
	s, _, err := OpenStore(d, StoreOptions{}, false, nil)
	require.NoError(b, err)
	for i := range parts {
		_, err := s.Put(Meta{Key: k(i/15, i%15), IssuedAt: 1, Tag: "4be0c1927d55a6f3"}, []byte("a body of 24 bytes, so. "))
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
				require.Equal(b, parts, rep.Parts)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/parts, "B/part")
				b.ReportMetric(top, "MB-heap")
				b.ReportMetric(rep.Took.Seconds(), "s/open")
				require.NoError(b, s.Close())
			}
		})
	}
}

// midway calls a function in the middle of a read.
type midway struct {
	vfs.FS
	then func()
}

type midwayFile struct {
	vfs.File
	fs *midway
}

func (m *midway) Open(name string) (vfs.File, error) {
	f, err := m.FS.Open(name)
	return midwayFile{f, m}, err
}

func (f midwayFile) ReadAt(p []byte, at int64) (int, error) {
	if then := f.fs.then; then != nil && at > 0 {
		f.fs.then = nil
		then()
	}
	return f.File.ReadAt(p, at)
}

// A part is dropped and its segment compacted away while it is being read, and while a slow client is being sent it:
// the bytes are the ones that were asked for, and the file is closed after the last reader.
func TestAPartGoesWhileItIsBeingSent(t *testing.T) {
	real := vfs.NewFaultFS(1)
	s, _, _ := open(t, real)
	for i := range 20 {
		put(t, s, k(i, 0), 100, 400)
	}
	require.NoError(t, s.Close())
	fs := &midway{FS: real}
	s, _, _ = open(t, fs)
	fs.then = func() {
		s.Delete(k(1, 0))
		_, err := s.Compact(1, func(Meta) bool { return true })
		assert.NoError(t, err)
	}
	p, err := s.Get(k(1, 0))
	require.NoError(t, err)
	assert.Nil(t, real.Contents("seg-00000001.cf"), "the segment is gone")
	put(t, s, k(1, 0), 200, 400)
	assert.True(t, bytes.Equal(body(k(1, 0), 100, 400), p.Body))
	holds(t, s, k(1, 0), 200, 400)
	holds(t, s, k(2, 0), 100, 400)
}
