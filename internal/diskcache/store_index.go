package diskcache

import (
	"cairnfront/internal/diskcache/eviction"
)

// LastSeq returns the highest sequence number assigned so far.
func (s *Store) LastSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeq
}

// Chunks returns the number of stored chunks.
func (s *Store) Chunks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.count
}

// Sizes returns the total bytes of live records and of all segments.
func (s *Store) Sizes() (live, all int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		live += seg.liveBytes
		all += seg.size
	}
	return live, all
}

// OldestIssuedAt returns the earliest issue time of all records, live or dead, in Unix ms. It is the largest int64 if
// there are no records.
func (s *Store) OldestIssuedAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := int64(noIssueTime)
	for _, seg := range s.segments {
		oldest = min(oldest, seg.oldestIssuedAt)
	}
	return oldest
}

// Contains reports whether a chunk is stored. It reads the index only.
func (s *Store) Contains(key eviction.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.find(key) != nil
}

// Confirm records the validation epoch in which the upstream confirmed the copy with the given sequence number.
func (s *Store) Confirm(key eviction.Key, seq uint64, epoch uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loc := s.index.find(key); loc != nil && loc.seq == seq {
		loc.confirmedEpoch = epoch
	}
}

// Delete removes a chunk from the index. Compaction reclaims its bytes later; the chunk may reappear after a restart.
func (s *Store) Delete(key eviction.Key) bool {
	const anySeq = 0
	return s.deleteIf(key, anySeq)
}

// deleteIf removes a chunk if its copy has the given sequence number; a seq of 0 matches any copy.
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

// Each calls f for every chunk, with its on-disk size, until f returns false. f must not call methods of the store.
func (s *Store) Each(f func(key eviction.Key, size int64, rank uint8) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.each(func(loc *location) bool { return f(loc.key(), int64(loc.size), loc.rank) })
}
