package diskcache

import (
	"archive/tar"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// The functions in this file implement the operators' tools for the folder of a stopped edge cache. Opening a folder
// that is in use fails, because the running process holds its lock.

const (
	rankCount = 4
	// toolPurgeLimit is the number of purges that the tools remember. It is high enough for all purges in practice.
	toolPurgeLimit = 1 << 30
)

// Inspection describes the content of a cache folder. The JSON keys are part of the output of
// `disk-cache inspect --json`:
//
//	Followed: the last event; Doubted: the last unconfirmed sequence number; Floor: the purge floor;
//	OldestDated: the oldest issue time; Uses: the usage of segments; Voided, Sound: invalidated and valid chunks
type Inspection struct {
	RecoveryReport
	Objects        int
	LiveBytes      int64 `json:"Live"`
	DiskBytes      int64 `json:"OnDisk"`
	ByRank         [rankCount]int
	Purges         int
	LastEvent      uint64         `json:"Followed"`    // number of the last event applied
	SuspectUpTo    uint64         `json:"Doubted"`     // highest sequence number that needs confirmation
	PurgeFloor     int64          `json:"Floor"`       // Unix ms up to which purges may have been discarded
	OldestIssuedAt int64          `json:"OldestDated"` // Unix ms, 0 if there is no chunk
	PurgeLogBytes  int64          `json:"LogBytes"`
	SegmentUsage   []SegmentUsage `json:"Uses"`
	FaultsByCode   FaultCounts
	IndexBytes     int64
	Invalidated    int `json:"Voided"` // chunks invalidated by a purge, counted by Verify
	Valid          int `json:"Sound"`  // readable chunks not invalidated by a purge, counted by Verify
}

// folder is an open cache folder with the purge state and the result of its inspection.
type folder struct {
	store      *Store
	tracker    *validity.Tracker
	inspection Inspection
}

// openFolder opens an existing cache folder. Each fault is counted by its code and passed to onFault.
func openFolder(path string, onFault func(StoreError)) (*folder, error) {
	f := &folder{
		tracker:    validity.NewTracker(toolPurgeLimit),
		inspection: Inspection{FaultsByCode: FaultCounts{}},
	}
	dir := vfs.Dir(path)
	names, err := dir.List()
	if err != nil {
		return f, fmt.Errorf("read folder %s: %w", path, err)
	}
	if !slices.Contains(names, formatFileName) {
		return f, fmt.Errorf("open %s: %w: no file %s", path, ErrNoDiskCache, formatFileName)
	}
	store, report, err := OpenStore(dir, StoreOptions{}, true, func(fault StoreError) {
		f.inspection.FaultsByCode[fault.Code]++
		onFault(fault)
	})
	if err != nil {
		return f, err
	}
	f.store = store
	f.inspection.RecoveryReport = report
	f.describe()
	return f, nil
}

// describe fills in the inspection from the state of the store and the tracker.
func (f *folder) describe() {
	in := &f.inspection
	now := clock.Now().UnixMillis()
	f.tracker.Restore(in.Records, f.store.LastSeq(), now)
	status := f.tracker.Status(now)
	in.Purges = status.Purges
	in.LastEvent = status.Number
	in.SuspectUpTo = status.SuspectUpTo
	in.PurgeFloor = status.PurgeFloor
	in.LiveBytes, in.DiskBytes = f.store.Sizes()
	in.PurgeLogBytes = f.store.PurgeLogBytes()
	in.IndexBytes = int64(in.Chunks) * IndexBytesPerChunk
	in.SegmentUsage = f.store.SegmentUsage()
	slices.SortFunc(in.SegmentUsage, func(a, b SegmentUsage) int { return int(int64(a.ID) - int64(b.ID)) })
	if in.Chunks > 0 {
		in.OldestIssuedAt = f.store.OldestIssuedAt()
	}
	objects := map[uint64]bool{}
	f.store.Each(func(key eviction.Key, _ int64, rank uint8) bool {
		objects[key.Object] = true
		in.ByRank[min(rank, rankCount-1)]++
		return true
	})
	in.Objects = len(objects)
}

func ignoreFault(StoreError) {}

// Inspect describes the content of a folder from record headers, the snapshot and the purge log. It reads no bodies
// except those verified by recovery.
func Inspect(path string) (Inspection, error) {
	f, err := openFolder(path, ignoreFault)
	if err != nil {
		return f.inspection, err
	}
	return f.inspection, f.store.Close()
}

// keys returns the keys of all chunks in ascending order.
func (s *Store) keys() []eviction.Key {
	var out []eviction.Key
	s.Each(func(key eviction.Key, _ int64, _ uint8) bool {
		out = append(out, key)
		return true
	})
	slices.SortFunc(out, eviction.Key.Compare)
	return out
}

// Verify reads and checks every chunk completely and calls onFault for each invalid record. It returns the number of
// faults. progress may be nil.
func Verify(path string, onFault func(StoreError), progress func(done, all int)) (Inspection, int, error) {
	faults := 0
	count := func(fault StoreError) {
		faults++
		onFault(fault)
	}
	f, err := openFolder(path, count)
	if err != nil {
		return f.inspection, faults, err
	}
	f.store.onFault = func(fault StoreError) {
		f.inspection.FaultsByCode[fault.Code]++
		count(fault)
	}
	keys := f.store.keys()
	for i, key := range keys {
		chunk, err := f.store.Get(key)
		switch {
		case err != nil:
		case purged(f.tracker, chunk.Meta):
			f.inspection.Invalidated++
		default:
			f.inspection.Valid++
		}
		if progress != nil {
			progress(i+1, len(keys))
		}
	}
	return f.inspection, faults, f.store.Close()
}

// CompactAll compacts every segment that has dead bytes or purged chunks. It returns the total size of all segments in
// bytes before and after.
func CompactAll(path string) (before, after int64, err error) {
	f, err := openFolder(path, ignoreFault)
	if err != nil {
		return 0, 0, err
	}
	before = f.inspection.DiskBytes
	if err := f.compactAll(); err != nil {
		return before, 0, errors.Join(err, f.store.Close())
	}
	_, after = f.store.Sizes()
	return before, after, f.store.Close()
}

func (f *folder) compactAll() error {
	for _, key := range f.store.keys() {
		chunk, err := f.store.Get(key)
		if err == nil && purged(f.tracker, chunk.Meta) {
			f.store.Delete(key)
		}
	}
	for _, usage := range f.store.SegmentUsage() {
		if !usage.Sealed || usage.Size-usage.Live <= segmentHeaderSize {
			continue
		}
		if _, err := f.store.Compact(usage.ID, func(Meta) bool { return true }); err != nil {
			return err
		}
	}
	return f.store.WriteSnapshot(func(key eviction.Key) (eviction.AccessHistory, bool) {
		history, ok := f.inspection.AccessHistories[key]
		return history, ok
	})
}

// Export writes every chunk not invalidated by a purge to a tar file, as member OBJECT/CHUNK with group, entity tag
// and issue time in PAX records.
func Export(path string, w io.Writer) (chunks int, err error) {
	f, err := openFolder(path, ignoreFault)
	if err != nil {
		return 0, err
	}
	tarWriter := tar.NewWriter(w)
	for _, key := range f.store.keys() {
		chunk, err := f.store.Get(key)
		if err != nil || purged(f.tracker, chunk.Meta) {
			continue
		}
		if err := exportChunk(tarWriter, chunk); err != nil {
			err = fmt.Errorf("export chunk %d of object %016x: %w", key.Chunk, key.Object, err)
			return chunks, errors.Join(err, f.store.Close())
		}
		chunks++
	}
	return chunks, errors.Join(tarWriter.Close(), f.store.Close())
}

func exportChunk(tarWriter *tar.Writer, chunk Chunk) error {
	const exportMode = 0o640
	// The PAX record names are part of the export format: "tag" is the ETag, "dated" the issue time.
	header := &tar.Header{
		Name:    fmt.Sprintf("%016x/%d", chunk.Object, chunk.Chunk),
		Mode:    exportMode,
		Size:    int64(len(chunk.Body)),
		ModTime: clock.FromUnixMillis(chunk.IssuedAt),
		Format:  tar.FormatPAX,
		PAXRecords: map[string]string{
			"CAIRNFRONT.tag":   chunk.ETag,
			"CAIRNFRONT.group": strconv.FormatUint(uint64(chunk.Group), 10),
			"CAIRNFRONT.dated": strconv.FormatInt(chunk.IssuedAt, 10),
		},
	}
	if err := tarWriter.WriteHeader(header); err != nil {
		return err
	}
	_, err := tarWriter.Write(chunk.Body)
	return err
}
