package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/clock"
	"cairnfront/internal/diskcache/vfs"
)

// segment is one append-only file of records.
type segment struct {
	id             uint32
	name           string
	salt           uint64
	file           vfs.File
	size           int64 // bytes written
	liveBytes      int64 // bytes of records that the index refers to
	oldestIssuedAt int64 // Unix ms; earliest issue time of its records, live or dead
	sealed         bool
	readers        int  // reads in progress; the last one closes the file of a removed segment
	removed        bool // the segment was compacted, or the store is closed
}

// closeIfRemoved closes the file of a removed segment if no read of it is in progress. The caller must hold Store.mu.
func (g *segment) closeIfRemoved() {
	if g.removed && g.readers == 0 && g.file != nil {
		_ = g.file.Close() // no unsynced writes: sealed before, or synced by Store.Close
		g.file = nil
	}
}

// Put writes a chunk and returns the sequence number assigned to it. The error wraps ErrChunkTooLong, is a StoreError
// if the write failed, or reports that the store is closed.
func (s *Store) Put(m Meta, body []byte) (uint64, error) {
	if len(m.ETag) > maxETagBytes || len(body) > maxBodyBytes {
		return 0, fmt.Errorf("write chunk: %w: %d and %d bytes", ErrChunkTooLong, len(m.ETag), len(body))
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, errClosed
	}
	s.lastSeq++
	m.Seq = s.lastSeq
	s.mu.Unlock()
	return m.Seq, s.append(m, body, nil)
}

// append writes a record to the active segment and adds it to the index. moved is the old location if compaction moves
// an existing record, and nil for a new record. The caller must hold writeMu.
func (s *Store) append(m Meta, body []byte, moved *location) error {
	size := recordSize(len(m.ETag), len(body))
	if err := s.prepareActive(size); err != nil {
		return s.reportWriteError(StoreError{File: segmentName(s.nextID), Key: m.Key, Err: err})
	}
	seg := s.active
	offset := seg.size
	record := appendRecord(nil, seg.salt, m, body, clock.UnixMillis(s.options.Clock()))
	if _, err := seg.file.WriteAt(record, offset); err != nil {
		// seg.size is unchanged, so the next record overwrites this partial one.
		return s.reportWriteError(StoreError{
			File:   seg.name,
			Offset: offset,
			Key:    m.Key,
			Err:    err,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seg.size += size
	seg.oldestIssuedAt = min(seg.oldestIssuedAt, m.IssuedAt)
	s.indexAppended(seg, offset, size, m, moved)
	return nil
}

// indexAppended adds an appended record to the index. A moved record replaces only the location of the same copy: if
// the copy was deleted or replaced during the move, the record is dead. The caller must hold mu.
func (s *Store) indexAppended(seg *segment, offset, size int64, m Meta, moved *location) {
	old := s.index.find(m.Key)
	if moved != nil && (old == nil || old.seq != moved.seq) {
		return
	}
	loc := newLocation(seg.id, offset, size, m)
	if old != nil {
		s.segments[old.segment].liveBytes -= int64(old.size)
	}
	if moved != nil {
		loc.confirmedEpoch = old.confirmedEpoch
	}
	seg.liveBytes += size
	s.index.put(loc)
}

// prepareActive ensures that the active segment has space for a record. A full segment is sealed and a new one created.
func (s *Store) prepareActive(size int64) error {
	if s.active != nil && s.active.size+size <= s.options.SegmentBytes {
		return nil
	}
	if s.active != nil {
		if err := s.active.file.Sync(); err != nil {
			return err
		}
		s.mu.Lock()
		s.active.sealed = true
		s.mu.Unlock()
		s.active = nil
	}
	seg, err := s.createSegment(s.nextID)
	if err != nil {
		return err
	}
	s.nextID++
	s.active = seg
	s.mu.Lock()
	s.segments[seg.id] = seg
	s.mu.Unlock()
	return nil
}

func (s *Store) createSegment(id uint32) (*segment, error) {
	seg := &segment{
		id:             id,
		name:           segmentName(id),
		salt:           s.options.Salt(),
		size:           segmentHeaderSize,
		oldestIssuedAt: noIssueTime,
	}
	file, err := s.fs.Create(seg.name)
	if err != nil {
		return nil, err
	}
	header := appendSegmentHeader(nil, id, seg.salt, clock.UnixMillis(s.options.Clock()))
	if _, err := file.WriteAt(header, 0); err != nil {
		_ = file.Close() // the write error is returned instead
		_ = s.fs.Remove(seg.name)
		return nil, err
	}
	if err := errors.Join(file.Sync(), s.fs.SyncDir()); err != nil {
		_ = file.Close() // the sync error is returned instead
		return nil, err
	}
	seg.file = file
	return seg, nil
}
