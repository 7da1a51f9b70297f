package diskcache

import (
	"cairnfront/internal/diskcache/eviction"
)

// LastSeq returns the highest sequence number written.
func (s *Store) LastSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeq
}

// Chunks returns the number of chunks stored.
func (s *Store) Chunks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.count
}

// Sizes returns the bytes of live records and of all segments.
func (s *Store) Sizes() (live, all int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		live += seg.liveBytes
		all += seg.size
	}
	return live, all
}

// OldestIssuedAt returns the issue time of the oldest record, live or not, in Unix ms; the largest int64 if there is
// none.
func (s *Store) OldestIssuedAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := int64(noRecord)
	for _, seg := range s.segments {
		oldest = min(oldest, seg.oldestIssuedAt)
	}
	return oldest
}

// Contains reports whether the index has a chunk.
func (s *Store) Contains(key eviction.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.find(key) != nil
}

// Confirm records the epoch in which a chunk's source has confirmed the copy with that sequence number.
func (s *Store) Confirm(key eviction.Key, seq uint64, epoch uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loc := s.index.find(key); loc != nil && loc.seq == seq {
		loc.confirmedEpoch = epoch
	}
}

// Delete removes a chunk from the index. Compaction reclaims its bytes; after a restart the chunk may be there again.
func (s *Store) Delete(key eviction.Key) bool {
	const anySeq = 0
	return s.deleteIf(key, anySeq)
}

// deleteIf removes a chunk if its copy has that sequence number, or any if seq is 0.
func (s *Store) deleteIf(key eviction.Key, seq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	loc := s.index.find(key)
	if loc == nil || (seq > 0 && loc.seq != seq) {
		return false
	}
	s.segments[loc.segment].liveBytes -= int64(loc.size)
	return s.index.remove(key)
}

// Each calls f for every chunk with its size on the disk until f returns false. f must not use the store.
func (s *Store) Each(f func(key eviction.Key, size int64, rank uint8) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.each(func(loc *location) bool { return f(loc.key(), int64(loc.size), loc.rank) })
}
