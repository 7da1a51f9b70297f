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

// The format of the index snapshot. The snapshot only speeds up a start: the headers of the records that it covers need
// not be read. No chunk is served on its word; each read verifies the record's header and checksums.
const (
	snapshotMagic        = 0x5844494e52494143 // "CAIRNIDX"
	snapshotHeaderSize   = 32
	snapshotSegmentSize  = 32
	snapshotEntrySize    = 64
	snapshotChecksumSize = 4
	snapshotBufferSize   = 256 << 10
	maxSnapshotEntries   = 1 << 40 // bounds the arithmetic on a damaged header
)

// HistoryFunc returns the access history of a cached chunk, if there is one.
type HistoryFunc func(eviction.Key) (eviction.AccessHistory, bool)

// WriteSnapshot writes the index with the access history of each chunk; history may be nil.
func (s *Store) WriteSnapshot(history HistoryFunc) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.active != nil { // what the snapshot names must be durable
		if err := s.active.file.Sync(); err != nil {
			return s.reportWriteError(StoreError{File: s.active.name, Err: err})
		}
	}
	content := s.copyIndex()
	const newName = snapshotName + newSuffix
	file, err := s.fs.Create(newName)
	if err != nil {
		return s.reportWriteError(StoreError{File: snapshotName, Err: err})
	}
	err = content.write(file, history)
	if err = errors.Join(err, file.Close()); err == nil {
		err = errors.Join(s.fs.Rename(newName, snapshotName), s.fs.SyncDir())
	}
	if err != nil {
		_ = s.fs.Remove(newName)
		return s.reportWriteError(StoreError{File: snapshotName, Err: err})
	}
	return nil
}

// snapshotContent is a copy of the store's state.
type snapshotContent struct {
	locations []location
	segments  []segment
	lastSeq   uint64
}

func (s *Store) copyIndex() snapshotContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := snapshotContent{locations: make([]location, 0, s.index.count), lastSeq: s.lastSeq}
	s.index.each(func(loc *location) bool {
		content.locations = append(content.locations, *loc)
		return true
	})
	for _, seg := range s.segments {
		content.segments = append(content.segments, *seg)
	}
	return content
}

// write writes and syncs the snapshot.
func (c *snapshotContent) write(file vfs.File, history HistoryFunc) error {
	w := &checksumWriter{buf: bufio.NewWriterSize(&fileCursor{file: file}, snapshotBufferSize)}
	w.write(c.appendHeader(nil))
	var b []byte
	for i := range c.segments {
		b = appendSnapshotSegment(b[:0], &c.segments[i])
		w.write(b)
	}
	for i := range c.locations {
		b = appendSnapshotEntry(b[:0], &c.locations[i], history)
		w.write(b)
	}
	w.write(binary.LittleEndian.AppendUint32(nil, w.sum))
	if err := w.buf.Flush(); err != nil {
		return err
	}
	return file.Sync()
}

func (c *snapshotContent) appendHeader(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(b, snapshotMagic)
	b = le.AppendUint32(b, formatVersion)
	b = le.AppendUint32(b, uint32(len(c.segments)))
	b = le.AppendUint64(b, uint64(len(c.locations)))
	return le.AppendUint64(b, c.lastSeq)
}

func appendSnapshotSegment(b []byte, seg *segment) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(b, seg.id)
	b = le.AppendUint32(b, 0)
	b = le.AppendUint64(b, seg.salt)
	b = le.AppendUint64(b, uint64(seg.size))
	return le.AppendUint64(b, uint64(seg.oldestIssuedAt))
}

// appendSnapshotEntry encodes a location. A chunk without an access history has a gap of NaN.
func appendSnapshotEntry(b []byte, loc *location, history HistoryFunc) []byte {
	access := eviction.AccessHistory{MeanGap: math.NaN()}
	if history != nil {
		if known, ok := history(loc.key()); ok {
			access = known
		}
	}
	le := binary.LittleEndian
	b = le.AppendUint64(b, loc.object)
	b = le.AppendUint64(b, loc.seq)
	b = le.AppendUint32(b, loc.chunk)
	b = le.AppendUint32(b, loc.segment)
	b = le.AppendUint32(b, loc.grains)
	b = le.AppendUint32(b, loc.size)
	b = append(b, loc.rank, 0, 0, 0, 0, 0, 0, 0)
	b = le.AppendUint64(b, math.Float64bits(access.MeanGap))
	b = le.AppendUint64(b, math.Float64bits(access.LastAccess))
	return le.AppendUint64(b, 0)
}

// checksumWriter sums what it writes. Flush of its buffer returns the first error.
type checksumWriter struct {
	buf *bufio.Writer
	sum uint32
}

func (w *checksumWriter) write(b []byte) {
	w.sum = crc32.Update(w.sum, castagnoli, b)
	_, _ = w.buf.Write(b)
}

// fileCursor reads and writes a file sequentially.
type fileCursor struct {
	file   vfs.File
	offset int64
}

func (c *fileCursor) Write(p []byte) (int, error) {
	n, err := c.file.WriteAt(p, c.offset)
	c.offset += int64(n)
	return n, err
}

func (c *fileCursor) Read(p []byte) (int, error) {
	n, err := c.file.ReadAt(p, c.offset)
	c.offset += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

// readSnapshot enters what the snapshot names into the index and returns the offset up to which it covers each segment.
// Nothing is taken from a snapshot that cannot be used.
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
			seg.liveBytes, seg.oldestIssuedAt = 0, noRecord
		}
		return nil
	}
	report.SnapshotUsed = true
	report.FromSnapshot = r.entered
	report.Known = r.history
	return r.covered
}

// snapshotReader reads a snapshot into a store.
type snapshotReader struct {
	store   *Store
	file    vfs.File
	in      *bufio.Reader
	sum     uint32
	buf     []byte
	covered map[uint32]int64                        // offset up to which each existing segment is covered
	missing map[uint32]bool                         // segments that do not exist, or not as the snapshot knew them
	history map[eviction.Key]eviction.AccessHistory // nil if not wanted
	entered int
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

// next reads n bytes, which are valid until the next call.
func (r *snapshotReader) next(n int) ([]byte, error) {
	_, err := io.ReadFull(r.in, r.buf[:n])
	r.sum = crc32.Update(r.sum, castagnoli, r.buf[:n])
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
		return errors.New("checksum of the snapshot does not hold")
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
	if le.Uint64(b) != snapshotMagic || le.Uint32(b[8:]) != formatVersion {
		return 0, 0, 0, fmt.Errorf("not a snapshot of version %d", formatVersion)
	}
	segments, entries, lastSeq = le.Uint32(b[12:]), le.Uint64(b[16:]), le.Uint64(b[24:])
	size, err := r.file.Size()
	want := snapshotHeaderSize + int64(segments)*snapshotSegmentSize +
		int64(min(entries, maxSnapshotEntries))*snapshotEntrySize + snapshotChecksumSize
	if err != nil || size != want {
		return 0, 0, 0, fmt.Errorf("size of %d bytes does not fit the header", size)
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
			Err:  errors.New("named by the snapshot: lost, or compacted since"),
		})
		return nil
	}
	if upTo < segmentHeaderSize || upTo%grain != 0 {
		return fmt.Errorf("segment %08x is covered up to %d", id, upTo)
	}
	r.covered[id] = min(upTo, seg.size)
	if seg.size < upTo {
		r.store.onFault(StoreError{
			Code:   CodeTruncated,
			File:   seg.name,
			Offset: seg.size,
			Err:    fmt.Errorf("segment was %d bytes long", upTo),
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
		object:  le.Uint64(b),
		seq:     le.Uint64(b[8:]),
		chunk:   le.Uint32(b[16:]),
		segment: le.Uint32(b[20:]),
		grains:  le.Uint32(b[24:]),
		size:    le.Uint32(b[28:]),
		rank:    b[32],
	}
	covered, exists := r.covered[loc.segment]
	missing := r.missing[loc.segment]
	const maxRecordSize = recordHeaderSize + maxTagBytes + maxBodyBytes + grain
	if !exists && !missing || loc.size < recordHeaderSize || loc.size > maxRecordSize {
		return errors.New("entry of an impossible size or segment")
	}
	if missing || loc.offset()+int64(loc.size) > covered {
		return nil
	}
	if r.store.index.find(loc.key()) != nil {
		return errors.New("chunk is listed twice")
	}
	r.store.segments[loc.segment].liveBytes += int64(loc.size)
	r.store.index.put(loc)
	r.entered++
	if gap := math.Float64frombits(le.Uint64(b[40:])); r.history != nil && !math.IsNaN(gap) {
		access := eviction.AccessHistory{MeanGap: gap, LastAccess: math.Float64frombits(le.Uint64(b[48:]))}
		r.history[loc.key()] = access
	}
	return nil
}
