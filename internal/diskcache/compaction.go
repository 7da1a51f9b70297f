package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/vfs"
)

// Thresholds of compaction, as shares.
const (
	// sparseShare is the share of live bytes under which a segment is worth rewriting: less is written than reclaimed.
	sparseShare = 0.5
	// tightShare is the share of the space in use above which denser segments are rewritten too.
	tightShare = 0.92
	// denseShare is the share of live bytes above which rewriting reclaims too little even then.
	denseShare = 0.95
)

// SegmentUsage says how full a segment is. The JSON keys are part of the output of `disk-cache inspect --json`.
type SegmentUsage struct {
	ID     uint32
	Size   int64 // bytes
	Live   int64 // bytes
	Sealed bool
}

// PickCompaction returns the segment to rewrite next: the sealed one with the smallest share of live bytes, if that is
// worth it. spaceBytes is the space that all segments may take.
func PickCompaction(segments []SegmentUsage, spaceBytes int64) (id uint32, ok bool) {
	used := int64(0)
	lowest := 2.0 // above every share
	for _, u := range segments {
		used += u.Size
		share := float64(u.Live) / float64(max(u.Size, 1))
		if u.Sealed && (share < lowest || share == lowest && u.ID < id) {
			id, lowest = u.ID, share
		}
	}
	return id, lowest < maxLiveShare(used, spaceBytes)
}

// maxLiveShare is the share of live bytes under which a segment is rewritten. It is higher while the space is tight:
// without room for the next segment chunks could not be written at all.
func maxLiveShare(usedBytes, spaceBytes int64) float64 {
	if float64(usedBytes) > tightShare*float64(spaceBytes) {
		return denseShare
	}
	return sparseShare
}

// SegmentUsage says how full each segment is.
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

// CompactionResult says what a compaction did.
type CompactionResult struct {
	Moved   int   // records
	Dropped int   // records not wanted
	Bad     int   // records that could not be read
	Freed   int64 // bytes

	written int64 // bytes
}

// Compact rewrites a sealed segment: live records that wanted accepts move to the active segment, then the file is
// removed. After a crash a record may exist twice, with the same sequence number. Others may write in between.
func (s *Store) Compact(id uint32, wanted func(Meta) bool) (CompactionResult, error) {
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
		if err := s.moveRecord(seg, &live[i], wanted, &result); err != nil {
			return result, err
		}
	}
	if err := s.Sync(); err != nil { // what was moved must be durable before its old segment is removed
		return result, s.reportWriteError(StoreError{File: seg.name, Err: err})
	}
	if err := s.forgetSegment(seg); err != nil {
		return result, err
	}
	result.Freed = seg.size - result.written
	if err := errors.Join(s.fs.Remove(seg.name), s.fs.SyncDir()); err != nil {
		return result, s.reportWriteError(StoreError{File: seg.name, Err: err})
	}
	return result, nil
}

// beginCompaction takes a segment for reading and lists its live records.
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

// moveRecord appends a record to the active segment, or deletes its chunk if it is not wanted or cannot be read.
func (s *Store) moveRecord(seg *segment, loc *location, wanted func(Meta) bool, result *CompactionResult) error {
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
	if !wanted(chunk.Meta) {
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

// forgetSegment removes a segment whose records were all moved or deleted from the store's state.
func (s *Store) forgetSegment(seg *segment) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seg.liveBytes != 0 { // cannot happen: nothing is appended to a sealed segment
		return fmt.Errorf("compact segment %08x: %w: %d", seg.id, errLiveBytes, seg.liveBytes)
	}
	delete(s.segments, seg.id)
	seg.removed = true
	return nil
}
