package diskcache

import (
	"archive/tar"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// The operators' tools work on the folder of a stopped box; one in use is refused by its lock.

// Inspection is what a folder holds.
type Inspection struct {
	RecoveryReport
	Objects       int
	Live, OnDisk  int64
	ByRank        [4]int
	Purges        int
	Followed      uint64
	Doubted       uint64
	Floor         int64
	OldestDated   int64 // Unix ms; 0 where there is none
	LogBytes      int64
	Uses          []SegmentUsage
	FaultsByCode  map[string]int
	IndexBytes    int64
	Voided, Sound int // parts that a purge voids, and the others; counted by Verify
}

// opened opens a folder that must be there already.
func opened(path string, fault func(StoreError)) (*Store, Inspection, *validity.Tracker, error) {
	in := Inspection{FaultsByCode: map[string]int{}}
	dir := vfs.Dir(path)
	names, err := dir.List()
	if err != nil {
		return nil, in, nil, fmt.Errorf("reading the folder: %w", err)
	}
	if !slices.Contains(names, formatName) {
		return nil, in, nil, fmt.Errorf("%s is no folder of a disk tier: it holds no %s", path, formatName)
	}
	s, rep, err := OpenStore(dir, StoreOptions{}, true, func(f StoreError) {
		in.FaultsByCode[f.Code]++
		if fault != nil {
			fault(f)
		}
	})
	if err != nil {
		return nil, in, nil, err
	}
	in.RecoveryReport = rep
	core := validity.NewTracker(1 << 30)
	now := time.Now().UnixMilli()
	core.Restore(rep.Records, s.LastSeq(), now)
	st := core.Status(now)
	in.Purges, in.Followed, in.Doubted, in.Floor = st.Purges, st.Number, st.SuspectUpTo, st.PurgeFloor
	in.Live, in.OnDisk = s.Sizes()
	in.LogBytes, in.Uses, in.IndexBytes = s.PurgeLogBytes(), s.SegmentUsage(), int64(rep.Parts)*IndexBytesPerChunk
	slices.SortFunc(in.Uses, func(a, b SegmentUsage) int { return int(int64(a.ID) - int64(b.ID)) })
	if rep.Parts > 0 {
		in.OldestDated = s.OldestIssuedAt()
	}
	objects := map[uint64]bool{}
	s.Each(func(k eviction.Key, _ int64, rank uint8) bool {
		objects[k.Object] = true
		in.ByRank[min(rank, 3)]++
		return true
	})
	in.Objects = len(objects)
	return s, in, core, nil
}

// Inspect says what a folder holds, from its heads and logs.
func Inspect(path string) (Inspection, error) {
	s, in, _, err := opened(path, nil)
	if err != nil {
		return in, err
	}
	return in, s.Close()
}

// keys is every part, in order.
func (s *Store) keys() []eviction.Key {
	var out []eviction.Key
	s.Each(func(k eviction.Key, _ int64, _ uint8) bool { out = append(out, k); return true })
	slices.SortFunc(out, func(a, b eviction.Key) int {
		if a.Object != b.Object {
			if a.Object < b.Object {
				return -1
			}
			return 1
		}
		return int(int64(a.Chunk) - int64(b.Chunk))
	})
	return out
}

// Verify reads every part whole and calls bad for each record that can't be used. Progress is told how many are read.
func Verify(path string, bad func(StoreError), progress func(done, all int)) (Inspection, int, error) {
	faults := 0
	count := func(f StoreError) {
		faults++
		bad(f)
	}
	s, in, core, err := opened(path, count)
	if err != nil {
		return in, faults, err
	}
	s.fault = func(f StoreError) {
		in.FaultsByCode[f.Code]++
		count(f)
	}
	keys := s.keys()
	for i, k := range keys {
		p, err := s.Get(k)
		if err == nil && core.IsInvalidated(validity.Copy{Object: k.Object, Group: p.Group, IssuedAt: p.IssuedAt}) {
			in.Voided++
		} else if err == nil {
			in.Sound++
		}
		if progress != nil {
			progress(i+1, len(keys))
		}
	}
	return in, faults, s.Close()
}

// CompactAll rewrites every segment that has dead bytes or voided parts.
func CompactAll(path string) (before, after int64, err error) {
	s, in, core, err := opened(path, nil)
	if err != nil {
		return 0, 0, err
	}
	for _, k := range s.keys() {
		p, err := s.Get(k)
		if err == nil && core.IsInvalidated(validity.Copy{Object: k.Object, Group: p.Group, IssuedAt: p.IssuedAt}) {
			s.Delete(k)
		}
	}
	for _, u := range s.SegmentUsage() {
		if u.Sealed && u.Size-u.Live > segmentHead {
			if _, err := s.Compact(u.ID, func(Meta) bool { return true }); err != nil {
				return in.OnDisk, 0, errors.Join(err, s.Close())
			}
		}
	}
	if err := s.WriteSnapshot(func(k eviction.Key) (eviction.AccessHistory, bool) { m, ok := in.Known[k]; return m, ok }); err != nil {
		return in.OnDisk, 0, errors.Join(err, s.Close())
	}
	_, after = s.Sizes()
	return in.OnDisk, after, s.Close()
}

// Export writes every part that is not void as a tar file: OBJECT/PART, with group, tag and date as PAX records.
func Export(path string, w io.Writer) (parts int, err error) {
	s, _, core, err := opened(path, nil)
	if err != nil {
		return 0, err
	}
	out := tar.NewWriter(w)
	for _, k := range s.keys() {
		p, err := s.Get(k)
		if err != nil || core.IsInvalidated(validity.Copy{Object: k.Object, Group: p.Group, IssuedAt: p.IssuedAt}) {
			continue
		}
		h := &tar.Header{Name: fmt.Sprintf("%016x/%d", k.Object, k.Chunk), Mode: 0o640, Size: int64(len(p.Body)), ModTime: time.UnixMilli(p.IssuedAt),
			Format: tar.FormatPAX, PAXRecords: map[string]string{"CAIRNFRONT.tag": p.Tag, "CAIRNFRONT.group": fmt.Sprint(p.Group),
				"CAIRNFRONT.dated": fmt.Sprint(p.IssuedAt)}}
		if err := errors.Join(out.WriteHeader(h), second(out.Write(p.Body))); err != nil {
			return parts, errors.Join(fmt.Errorf("writing part %d of object %016x: %w", k.Chunk, k.Object, err), s.Close())
		}
		parts++
	}
	return parts, errors.Join(out.Close(), s.Close())
}

func second(_ int, err error) error { return err }
