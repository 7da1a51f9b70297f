package diskcache

import (
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/vfs"
)

// When space is given back.
const (
	emptyShare = 0.5  // share of live bytes under which a segment is worth rewriting: less is written than given back
	tightShare = 0.92 // share of the space in use from which any segment with dead bytes is rewritten, emptiest first
	worthShare = 0.95 // share of live bytes above which even that gains too little
)

// SegmentUse is how full a segment is.
type SegmentUsage struct {
	ID         uint32
	Size, Live int64
	Sealed     bool
}

// Emptiest names the segment to rewrite next, if any is worth it: the one with the smallest share of live bytes.
func PickCompaction(uses []SegmentUsage, space int64) (uint32, bool) {
	all, best, least := int64(0), uint32(0), 2.0
	for _, u := range uses {
		all += u.Size
		if share := float64(u.Live) / float64(max(u.Size, 1)); u.Sealed && (share < least || share == least && u.ID < best) {
			best, least = u.ID, share
		}
	}
	bound := emptyShare
	if float64(all) > tightShare*float64(space) {
		bound = worthShare
	}
	return best, least < bound
}

// Uses says how full each segment is.
func (s *Store) SegmentUsage() []SegmentUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]SegmentUsage, 0, len(s.segments))
	for _, g := range s.segments {
		out = append(out, SegmentUsage{g.id, g.size, g.live, g.sealed})
	}
	return out
}

// Moved is what a compaction did.
type CompactionResult struct {
	Kept, Dropped, Bad int
	Freed              int64 // bytes
}

// Compact rewrites one sealed segment: what is alive and wanted goes to the active one, then the file is removed. A
// crash on the way leaves a part twice at worst, with the same seq. Between two parts others may write.
func (s *Store) Compact(id uint32, wanted func(Meta) bool) (CompactionResult, error) {
	var m CompactionResult
	s.mu.Lock()
	g := s.segments[id]
	if g == nil || !g.sealed || s.closed {
		s.mu.Unlock()
		return m, fmt.Errorf("segment %08x is not there to be compacted", id)
	}
	g.refs++
	var places []place
	s.index.each(func(p *place) bool {
		if p.segment == id {
			places = append(places, *p)
		}
		return true
	})
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		g.refs--
		s.closeDead(g)
		s.mu.Unlock()
	}()
	wrote := int64(0)
	for i := range places {
		p := &places[i]
		part, err := s.read(g, *p)
		if errors.Is(err, vfs.ErrPowerLoss) {
			return m, err
		}
		if err != nil {
			m.Bad++
			s.dropIf(p.key(), p.seq)
			s.fault(StoreError{Code: CodeBadBody, File: g.name, Offset: int64(p.at) * grain, Key: p.key(), Err: err})
			continue
		}
		if !wanted(part.Meta) {
			m.Dropped++
			s.dropIf(p.key(), p.seq)
			continue
		}
		s.write.Lock()
		err = s.append(part.Meta, part.Body, p)
		s.write.Unlock()
		if err != nil {
			return m, err
		}
		m.Kept++
		wrote += int64(p.size)
	}
	if err := s.Sync(); err != nil { // what was moved must be there before its old place goes
		return m, s.writeFault(StoreError{File: g.name, Err: err})
	}
	s.mu.Lock()
	if g.live != 0 { // somebody put it back here: it can't be, segments are sealed
		s.mu.Unlock()
		return m, fmt.Errorf("segment %08x still has %d live bytes", id, g.live)
	}
	delete(s.segments, id)
	g.dead = true
	s.mu.Unlock()
	m.Freed = g.size - wrote
	if err := errors.Join(s.fs.Remove(g.name), s.fs.SyncDir()); err != nil {
		return m, s.writeFault(StoreError{File: g.name, Err: err})
	}
	return m, nil
}
