package diskcache

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
)

// readSnapshot loads the index snapshot and returns the offset up to which it covers each segment. An invalid snapshot
// is discarded completely.
func (s *Store) readSnapshot(report *RecoveryReport, withHistory bool) map[uint32]int64 {
	file, err := s.fs.Open(snapshotName)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }() // only read
	r := newSnapshotReader(s, file)
	if withHistory {
		r.history = map[eviction.Key]eviction.AccessHistory{}
	}
	if err := r.load(); err != nil {
		s.onFault(StoreError{Code: CodeBadSnapshot, File: snapshotName, Err: err})
		s.index, s.lastSeq = index{}, 0
		for _, seg := range s.segments {
			seg.liveBytes, seg.oldestIssuedAt = 0, noIssueTime
		}
		return nil
	}
	report.SnapshotUsed = true
	report.FromSnapshot = r.entriesLoaded
	report.AccessHistories = r.history
	return r.covered
}

// snapshotReader reads a snapshot into a store.
type snapshotReader struct {
	store         *Store
	file          vfs.File
	in            *bufio.Reader
	sum           uint32
	buf           []byte
	covered       map[uint32]int64                        // offset up to which each existing segment is covered
	missing       map[uint32]bool                         // segments that do not exist or have another salt
	history       map[eviction.Key]eviction.AccessHistory // nil if access histories are not loaded
	entriesLoaded int                                     // number of entries added to the index
}

func newSnapshotReader(s *Store, file vfs.File) *snapshotReader {
	return &snapshotReader{
		store:   s,
		file:    file,
		in:      bufio.NewReaderSize(&fileCursor{file: file}, snapshotBufferSize),
		buf:     make([]byte, snapshotEntrySize),
		covered: map[uint32]int64{},
		missing: map[uint32]bool{},
	}
}

// next reads the next n bytes and adds them to the checksum. The slice is valid until the next call.
func (r *snapshotReader) next(n int) ([]byte, error) {
	_, err := io.ReadFull(r.in, r.buf[:n])
	r.sum = crc32.Update(r.sum, crc32cTable, r.buf[:n])
	return r.buf[:n], err
}

func (r *snapshotReader) load() error {
	segments, entries, lastSeq, err := r.readHeader()
	if err != nil {
		return err
	}
	for range segments {
		if err := r.readSegment(); err != nil {
			return err
		}
	}
	r.store.index.reserve(int(entries))
	for range entries {
		if err := r.readEntry(); err != nil {
			return err
		}
	}
	sum := r.sum
	b, err := r.next(snapshotChecksumSize)
	if err != nil {
		return err
	}
	if binary.LittleEndian.Uint32(b) != sum {
		return errSnapshotChecksum
	}
	r.store.lastSeq = max(r.store.lastSeq, lastSeq)
	return nil
}

func (r *snapshotReader) readHeader() (segments uint32, entries, lastSeq uint64, err error) {
	le := binary.LittleEndian
	b, err := r.next(snapshotHeaderSize)
	if err != nil {
		return 0, 0, 0, err
	}
	if le.Uint64(b) != snapshotMagic || le.Uint32(b[8:]) != formatVersion { // the error names the supported version
		return 0, 0, 0, fmt.Errorf("%w: %d", errNotASnapshot, formatVersion)
	}
	segments, entries, lastSeq = le.Uint32(b[12:]), le.Uint64(b[16:]), le.Uint64(b[24:])
	size, err := r.file.Size()
	want := snapshotHeaderSize + int64(segments)*snapshotSegmentSize +
		int64(min(entries, maxSnapshotEntries))*snapshotEntrySize + snapshotChecksumSize
	if err != nil || size != want {
		return 0, 0, 0, fmt.Errorf("%w: %d bytes", errSnapshotSize, size)
	}
	return segments, entries, lastSeq, nil
}

func (r *snapshotReader) readSegment() error {
	le := binary.LittleEndian
	b, err := r.next(snapshotSegmentSize)
	if err != nil {
		return err
	}
	id, salt, upTo := le.Uint32(b), le.Uint64(b[8:]), int64(le.Uint64(b[16:]))
	seg := r.store.segments[id]
	if seg == nil || seg.salt != salt {
		r.missing[id] = true
		r.store.onFault(StoreError{
			Code: CodeMissingSegment,
			File: segmentName(id),
			Err:  errSegmentMissing,
		})
		return nil
	}
	if upTo < segmentHeaderSize || upTo%recordAlignment != 0 {
		return fmt.Errorf("%w: segment %08x, offset %d", errSnapshotSegment, id, upTo)
	}
	r.covered[id] = min(upTo, seg.size)
	if seg.size < upTo {
		r.store.onFault(StoreError{
			Code:   CodeTruncated,
			File:   seg.name,
			Offset: seg.size,
			Err:    fmt.Errorf("%w: %d bytes", errSegmentWasTruncated, upTo),
		})
	}
	seg.oldestIssuedAt = int64(le.Uint64(b[24:]))
	return nil
}

func (r *snapshotReader) readEntry() error {
	le := binary.LittleEndian
	b, err := r.next(snapshotEntrySize)
	if err != nil {
		return err
	}
	loc := location{
		object:        le.Uint64(b),
		seq:           le.Uint64(b[8:]),
		chunk:         le.Uint32(b[16:]),
		segment:       le.Uint32(b[20:]),
		alignedOffset: le.Uint32(b[24:]),
		size:          le.Uint32(b[28:]),
		rank:          b[32],
	}
	covered, exists := r.covered[loc.segment]
	missing := r.missing[loc.segment]
	const maxRecordSize = recordHeaderSize + maxETagBytes + maxBodyBytes + recordAlignment
	if !exists && !missing || loc.size < recordHeaderSize || loc.size > maxRecordSize {
		return errSnapshotEntry
	}
	if missing || loc.offset()+int64(loc.size) > covered {
		return nil
	}
	if r.store.index.find(loc.key()) != nil {
		return errDuplicateEntry
	}
	r.store.segments[loc.segment].liveBytes += int64(loc.size)
	r.store.index.put(loc)
	r.entriesLoaded++
	if gap := math.Float64frombits(le.Uint64(b[40:])); r.history != nil && !math.IsNaN(gap) {
		access := eviction.AccessHistory{MeanGap: gap, LastAccess: math.Float64frombits(le.Uint64(b[48:]))}
		r.history[loc.key()] = access
	}
	return nil
}
