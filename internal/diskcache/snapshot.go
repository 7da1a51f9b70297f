package diskcache

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
)

// The snapshot only speeds the start: it spares reading the heads of what it covers. Nothing is served on its word:
// each read holds the record against its head and checksums.
const (
	snapMagic   = 0x5844494e52494143 // "CAIRNIDX"
	snapHead    = 32
	snapSegment = 32
	snapEntry   = 64
)

// Snapshot writes the index with what is known of each part's gaps.
func (s *Store) WriteSnapshot(recall func(eviction.Key) (eviction.AccessHistory, bool)) error {
	s.write.Lock()
	defer s.write.Unlock()
	if s.active != nil { // what is named must be there
		if err := s.active.file.Sync(); err != nil {
			return s.writeFault(StoreError{File: s.active.name, Err: err})
		}
	}
	s.mu.Lock()
	places := make([]place, 0, s.index.n)
	s.index.each(func(p *place) bool { places = append(places, *p); return true })
	var segs []segment
	for _, g := range s.segments {
		segs = append(segs, *g)
	}
	seq := s.seq
	s.mu.Unlock()

	f, err := s.fs.Create(snapshotName + freshSuffix)
	if err != nil {
		return s.writeFault(StoreError{File: snapshotName, Err: err})
	}
	w := &at{f: f}
	buf := bufio.NewWriterSize(w, 256<<10)
	sum := uint32(0)
	le := binary.LittleEndian
	put := func(b []byte) {
		sum = crc32.Update(sum, castagnoli, b)
		_, _ = buf.Write(b) // the first error is the one that Flush tells
	}
	b := le.AppendUint64(nil, snapMagic)
	b = le.AppendUint32(b, formatVersion)
	b = le.AppendUint32(b, uint32(len(segs)))
	b = le.AppendUint64(b, uint64(len(places)))
	put(le.AppendUint64(b, seq))
	for _, g := range segs {
		b = le.AppendUint32(b[:0], g.id)
		b = le.AppendUint32(b, 0)
		b = le.AppendUint64(b, g.salt)
		b = le.AppendUint64(b, uint64(g.size))
		put(le.AppendUint64(b, uint64(g.oldest)))
	}
	for _, p := range places {
		b = le.AppendUint64(b[:0], p.object)
		b = le.AppendUint64(b, p.seq)
		b = le.AppendUint32(b, p.part)
		b = le.AppendUint32(b, p.segment)
		b = le.AppendUint32(b, p.at)
		b = le.AppendUint32(b, p.size)
		b = append(b, p.rank, 0, 0, 0, 0, 0, 0, 0)
		m := eviction.AccessHistory{MeanGap: math.NaN()}
		if recall != nil {
			if known, ok := recall(p.key()); ok {
				m = known
			}
		}
		b = le.AppendUint64(b, math.Float64bits(m.MeanGap))
		b = le.AppendUint64(b, math.Float64bits(m.LastAccess))
		put(le.AppendUint64(b, 0))
	}
	_, _ = buf.Write(le.AppendUint32(nil, sum))
	err = buf.Flush()
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = errors.Join(s.fs.Rename(snapshotName+freshSuffix, snapshotName), s.fs.SyncDir())
	}
	if err != nil {
		_ = s.fs.Remove(snapshotName + freshSuffix)
		return s.writeFault(StoreError{File: snapshotName, Err: err})
	}
	return nil
}

// at writes one after the other.
type at struct {
	f   vfs.File
	off int64
}

func (w *at) Write(p []byte) (int, error) {
	n, err := w.f.WriteAt(p, w.off)
	w.off += int64(n)
	return n, err
}

func (w *at) Read(p []byte) (int, error) {
	n, err := w.f.ReadAt(p, w.off)
	w.off += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

// readSnapshot enters what the snapshot names and says up to where it covers each segment. One that can't be used is
// passed over whole.
func (s *Store) readSnapshot(rep *RecoveryReport, want bool) map[uint32]int64 {
	f, err := s.fs.Open(snapshotName)
	if err != nil {
		return nil
	}
	defer f.Close()
	known := map[eviction.Key]eviction.AccessHistory{}
	covered, err := s.loadSnapshot(f, rep, want, known)
	if err != nil {
		s.fault(StoreError{Code: CodeBadSnapshot, File: snapshotName, Err: err})
		s.index, s.seq = index{}, 0
		for _, g := range s.segments {
			g.live, g.oldest = 0, 1<<63-1
		}
		rep.FromSnapshot = 0
		return nil
	}
	rep.SnapshotUsed = true
	if want {
		rep.Known = known
	}
	return covered
}

func (s *Store) loadSnapshot(f vfs.File, rep *RecoveryReport, want bool, known map[eviction.Key]eviction.AccessHistory) (map[uint32]int64, error) {
	r := bufio.NewReaderSize(&at{f: f}, 256<<10)
	sum := uint32(0)
	buf := make([]byte, snapEntry)
	next := func(n int) ([]byte, error) {
		_, err := io.ReadFull(r, buf[:n])
		sum = crc32.Update(sum, castagnoli, buf[:n])
		return buf[:n], err
	}
	le := binary.LittleEndian
	b, err := next(snapHead)
	if err != nil {
		return nil, err
	}
	if le.Uint64(b) != snapMagic || le.Uint32(b[8:]) != formatVersion {
		return nil, fmt.Errorf("not a snapshot of version %d", formatVersion)
	}
	segs, entries, seq := le.Uint32(b[12:]), le.Uint64(b[16:]), le.Uint64(b[24:])
	size, err := f.Size()
	if err != nil || size != snapHead+int64(segs)*snapSegment+int64(min(entries, 1<<40))*snapEntry+4 {
		return nil, fmt.Errorf("%d bytes do not fit what its head says", size)
	}
	covered, gone, stated := map[uint32]int64{}, map[uint32]bool{}, map[uint32]bool{}
	for range segs {
		if b, err = next(snapSegment); err != nil {
			return nil, err
		}
		id, upto := le.Uint32(b), int64(le.Uint64(b[16:]))
		stated[id] = true
		if g := s.segments[id]; g != nil && g.salt == le.Uint64(b[8:]) {
			if upto < segmentHead || upto%grain != 0 {
				return nil, fmt.Errorf("segment %08x is covered up to %d", id, upto)
			}
			if covered[id] = min(upto, g.size); g.size < upto {
				s.fault(StoreError{Code: CodeTruncated, File: g.name, Offset: g.size, Err: fmt.Errorf("it was %d bytes long", upto)})
			}
			g.oldest = int64(le.Uint64(b[24:]))
		} else {
			gone[id] = true
			s.fault(StoreError{Code: CodeMissingSegment, File: fmt.Sprintf(segmentForm, id), Err: errors.New("the snapshot names it: lost, or compacted since")})
		}
	}
	s.index.reserve(int(entries))
	for range entries {
		if b, err = next(snapEntry); err != nil {
			return nil, err
		}
		p := place{object: le.Uint64(b), seq: le.Uint64(b[8:]), part: le.Uint32(b[16:]), segment: le.Uint32(b[20:]),
			at: le.Uint32(b[24:]), size: le.Uint32(b[28:]), rank: b[32]}
		if !stated[p.segment] || p.size < recordHead || p.size > recordHead+mostTag+mostBody+grain {
			return nil, fmt.Errorf("an entry can't be")
		}
		if gone[p.segment] || int64(p.at)*grain+int64(p.size) > covered[p.segment] {
			continue
		}
		if old := s.index.find(p.key()); old != nil {
			return nil, fmt.Errorf("a part stands there twice")
		}
		s.segments[p.segment].live += int64(p.size)
		s.index.put(p)
		rep.FromSnapshot++
		if gap := math.Float64frombits(le.Uint64(b[40:])); want && !math.IsNaN(gap) {
			known[p.key()] = eviction.AccessHistory{MeanGap: gap, LastAccess: math.Float64frombits(le.Uint64(b[48:]))}
		}
	}
	want32 := sum
	if b, err = next(4); err != nil {
		return nil, err
	}
	if le.Uint32(b) != want32 {
		return nil, errors.New("its checksum does not hold")
	}
	s.seq = max(s.seq, seq)
	return covered, nil
}
