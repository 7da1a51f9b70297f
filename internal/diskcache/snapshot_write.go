package diskcache

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
)

// HistoryFunc returns the access history of a cached chunk, and false if there is none.
type HistoryFunc func(eviction.Key) (eviction.AccessHistory, bool)

// WriteSnapshot writes the index and the access history of each chunk to the snapshot file; history may be nil.
func (s *Store) WriteSnapshot(history HistoryFunc) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.active != nil { // records listed in the snapshot must be durable
		if err := s.active.file.Sync(); err != nil {
			return s.reportWriteError(StoreError{File: s.active.name, Err: err})
		}
	}
	content := s.copyIndex()
	const tempName = snapshotName + tempSuffix
	file, err := s.fs.Create(tempName)
	if err != nil {
		return s.reportWriteError(StoreError{File: snapshotName, Err: err})
	}
	err = content.write(file, history)
	if err = errors.Join(err, file.Close()); err == nil {
		err = errors.Join(s.fs.Rename(tempName, snapshotName), s.fs.SyncDir())
	}
	if err != nil {
		_ = s.fs.Remove(tempName) // if this fails, the next start removes the file
		return s.reportWriteError(StoreError{File: snapshotName, Err: err})
	}
	return nil
}

// snapshotContent is a copy of the store's state to be written to a snapshot.
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

// write encodes the snapshot into a file and syncs it.
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

// appendSnapshotEntry encodes a location and its access history. Without an access history the mean gap is NaN.
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
	b = le.AppendUint32(b, loc.alignedOffset)
	b = le.AppendUint32(b, loc.size)
	b = append(b, loc.rank, 0, 0, 0, 0, 0, 0, 0)
	b = le.AppendUint64(b, math.Float64bits(access.MeanGap))
	b = le.AppendUint64(b, math.Float64bits(access.LastAccess))
	return le.AppendUint64(b, 0)
}

// checksumWriter computes the checksum of the bytes written to buf. Flushing buf returns the first write error.
type checksumWriter struct {
	buf *bufio.Writer
	sum uint32
}

func (w *checksumWriter) write(b []byte) {
	w.sum = crc32.Update(w.sum, crc32cTable, b)
	_, _ = w.buf.Write(b) // Flush returns the error
}
