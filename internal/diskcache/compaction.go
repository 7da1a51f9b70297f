package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/vfs"
)

// Thresholds of compaction, as fractions.
const (
	// sparseLiveShare is the share of live bytes below which a segment is compacted: less is written than reclaimed.
	sparseLiveShare = 0.5
	// highUsageShare is the share of the space in use above which segments up to denseLiveShare are compacted too.
	highUsageShare = 0.92
	// denseLiveShare is the share of live bytes from which compaction reclaims too little even if disk usage is high.
	denseLiveShare = 0.95
)

// SegmentUsage describes the size and live bytes of a segment. The JSON keys are part of the output of
// `disk-cache inspect --json`.
type SegmentUsage struct {
	ID     uint32
	Size   int64 // bytes
	Live   int64 // bytes
	Sealed bool
}

// PickCompaction returns the segment to compact next: the sealed segment with the smallest share of live bytes. ok is
// false if no segment is below the threshold. spaceBytes is the maximum total size of all segments.
func PickCompaction(segments []SegmentUsage, spaceBytes int64) (id uint32, ok bool) {
	used := int64(0)
	lowest := 2.0 // above every possible share
	for _, u := range segments {
		used += u.Size
		share := float64(u.Live) / float64(max(u.Size, 1))
		if u.Sealed && (share < lowest || share == lowest && u.ID < id) {
			id, lowest = u.ID, share
		}
	}
	return id, lowest < maxLiveShare(used, spaceBytes)
}

// maxLiveShare returns the share of live bytes below which a segment is compacted. It is higher while disk usage is
// high: without space for the next segment, no chunk could be written at all.
func maxLiveShare(usedBytes, spaceBytes int64) float64 {
	if float64(usedBytes) > highUsageShare*float64(spaceBytes) {
		return denseLiveShare
	}
	return sparseLiveShare
}

// SegmentUsage returns the usage of each segment.
func (s *Store) SegmentUsage() []SegmentUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]SegmentUsage, 0, len(s.segments))
	for _, seg := range s.segments {
		out = append(out, SegmentUsage{
			ID:     seg.id,
			Size:   seg.size,
			Live:   seg.liveBytes,
			Sealed: seg.sealed,
		})
	}
	return out
}

// CompactionResult counts the work of one compaction.
type CompactionResult struct {
	Moved   int   // records copied to the active segment
	Dropped int   // live records that the caller's filter rejected
	Bad     int   // records that could not be read
	Freed   int64 // bytes of disk space reclaimed

	written int64 // bytes of moved records
}

// Compact rewrites a sealed segment: live records for which retain returns true are copied to the active segment, then
// the file is removed. After a crash a record may exist twice, with the same sequence number. Concurrent writes are
// allowed.
func (s *Store) Compact(id uint32, retain func(Meta) bool) (CompactionResult, error) {
	var result CompactionResult
	seg, live, err := s.beginCompaction(id)
	if err != nil {
		return result, err
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		seg.readers--
		seg.closeIfRemoved()
	}()
	for i := range live {
		if err := s.moveRecord(seg, &live[i], retain, &result); err != nil {
			return result, err
		}
	}
	if err := s.Sync(); err != nil { // moved records must be durable before their old segment is removed
		return result, s.reportWriteError(StoreError{File: seg.name, Err: err})
	}
	if err := s.removeSegment(seg); err != nil {
		return result, err
	}
	result.Freed = seg.size - result.written
	if err := errors.Join(s.fs.Remove(seg.name), s.fs.SyncDir()); err != nil {
		return result, s.reportWriteError(StoreError{File: seg.name, Err: err})
	}
	return result, nil
}

// beginCompaction registers a reader of a sealed segment and returns the locations of its live records.
func (s *Store) beginCompaction(id uint32) (*segment, []location, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := s.segments[id]
	if seg == nil || !seg.sealed || s.closed {
		return nil, nil, fmt.Errorf("compact segment %08x: %w", id, errNotSealed)
	}
	seg.readers++
	var live []location
	s.index.each(func(loc *location) bool {
		if loc.segment == id {
			live = append(live, *loc)
		}
		return true
	})
	return seg, live, nil
}

// moveRecord copies a record to the active segment. It deletes the chunk instead if retain returns false or the record
// cannot be read.
func (s *Store) moveRecord(seg *segment, loc *location, retain func(Meta) bool, result *CompactionResult) error {
	chunk, err := s.readRecord(seg, *loc)
	if errors.Is(err, vfs.ErrPowerLoss) {
		return err
	}
	if err != nil {
		result.Bad++
		s.deleteIf(loc.key(), loc.seq)
		s.onFault(StoreError{
			Code:   CodeBadBody,
			File:   seg.name,
			Offset: loc.offset(),
			Key:    loc.key(),
			Err:    err,
		})
		return nil //nolint:nilerr // reported: it costs this chunk only, and the compaction goes on
	}
	if !retain(chunk.Meta) {
		result.Dropped++
		s.deleteIf(loc.key(), loc.seq)
		return nil
	}
	s.writeMu.Lock()
	err = s.append(chunk.Meta, chunk.Body, loc)
	s.writeMu.Unlock()
	if err != nil {
		return err
	}
	result.Moved++
	result.written += int64(loc.size)
	return nil
}

// removeSegment removes a segment from the store's state. All its records must have been moved or deleted.
func (s *Store) removeSegment(seg *segment) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seg.liveBytes != 0 { // unreachable: nothing is appended to a sealed segment
		return fmt.Errorf("compact segment %08x: %w: %d", seg.id, errLiveBytes, seg.liveBytes)
	}
	delete(s.segments, seg.id)
	seg.removed = true
	return nil
}
