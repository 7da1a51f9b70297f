package diskcache

import (
	"errors"
	"fmt"
	"hash/crc32"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// Get reads a chunk and verifies its checksums. It returns ErrNotFound if the chunk is not stored. If it returns a
// StoreError, the chunk was deleted.
func (s *Store) Get(key eviction.Key) (Chunk, error) {
	s.mu.Lock()
	found := s.index.find(key)
	if found == nil || s.closed {
		s.mu.Unlock()
		return Chunk{}, ErrNotFound
	}
	loc := *found
	seg := s.segments[loc.segment]
	seg.readers++
	s.mu.Unlock()

	chunk, err := s.readRecord(seg, loc)

	s.mu.Lock()
	seg.readers--
	seg.closeIfRemoved()
	s.mu.Unlock()
	if err == nil {
		return chunk, nil
	}
	if errors.Is(err, vfs.ErrPowerLoss) {
		return Chunk{}, err
	}
	fault := StoreError{
		Code:   CodeReadFailed,
		File:   seg.name,
		Offset: loc.offset(),
		Key:    key,
		Err:    err,
	}
	var corrupt corruptRecordError
	if errors.As(err, &corrupt) {
		fault.Code = corrupt.code
	}
	s.deleteIf(key, loc.seq)
	s.onFault(fault)
	return Chunk{}, fault
}

// readRecord reads the record at a location and verifies its checksums and that it matches the index.
func (s *Store) readRecord(seg *segment, loc location) (Chunk, error) {
	buf := make([]byte, loc.size)
	n, err := seg.file.ReadAt(buf, loc.offset())
	if n < len(buf) {
		return Chunk{}, fmt.Errorf("read %d of %d bytes: %w", n, len(buf), err)
	}
	h, err := parseRecordHeader(buf, seg.salt)
	if err != nil {
		return Chunk{}, corruptRecordError{CodeBadHeader, err}
	}
	if h.torn || h.Key != loc.key() || h.Seq != loc.seq || h.size() != int64(loc.size) {
		return Chunk{}, corruptRecordError{
			CodeBadHeader,
			fmt.Errorf("%w: object %016x chunk %d", errWrongChunk, h.Object, h.Chunk),
		}
	}
	body := buf[recordHeaderSize+len(h.ETag):][:h.bodyLen:h.bodyLen]
	if crc32.Checksum(body, crc32cTable) != h.bodyChecksum {
		return Chunk{}, corruptRecordError{CodeBadBody, errBodyChecksum}
	}
	return Chunk{Meta: h.Meta, Body: body, ConfirmedEpoch: loc.confirmedEpoch}, nil
}

// purged reports whether a known purge invalidates a chunk.
func purged(tracker *validity.Tracker, m Meta) bool {
	return tracker.IsInvalidated(validity.Copy{Object: m.Object, Group: m.Group, IssuedAt: m.IssuedAt})
}
