// Package diskcache stores chunks of objects on a disk, for an edge cache that is to be warm after a crash.
//
// [Store] is a log-structured store: append-only segments, an index in memory, an index snapshot and a purge log.
// [Cache] puts it into the path of requests: bounded queues, the eviction policy and the validity of copies. The
// package owns the folder on the disk, which docs/disk-cache-format.md describes byte by byte. It does not fetch,
// serve or interpret chunks.
//
// Durability: a chunk survives a power loss once the Sync after its Put has returned. Before that all of it survives or
// nothing; half a chunk is never served. Purge records survive once AppendPurgeRecords has returned. A deleted chunk
// may reappear after a restart, where a logged purge invalidates it as before.
package diskcache

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"sync"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/diskcache/vfs"
)

// defaultSegmentBytes is the size at which a segment is sealed unless configured.
const defaultSegmentBytes = 64 << 20

// noRecord is the issue time of the oldest record where there is none.
const noRecord = math.MaxInt64

// StoreOptions configure a Store. The zero value has defaults.
type StoreOptions struct {
	SegmentBytes int64 // size at which a segment is sealed
	Clock        func() time.Time
	Salt         func() uint64 // for tests; otherwise random
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Salt == nil {
		o.Salt = randomSalt
	}
	return o
}

func randomSalt() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Store is a folder of chunks. It is safe for concurrent use; writers wait for each other.
//
// The index takes IndexBytesPerChunk bytes of memory for each chunk.
type Store struct {
	fs      vfs.FS
	options StoreOptions
	unlock  func()
	onFault func(StoreError) // never nil

	writeMu sync.Mutex // held by appends, the end of compactions and snapshots
	active  *segment
	nextID  uint32

	purgeLogMu   sync.Mutex // held by writers of the purge log
	purgeLog     vfs.File
	purgeLogSize int64 // bytes of valid records

	mu       sync.Mutex // guards what follows
	index    index
	segments map[uint32]*segment
	lastSeq  uint64
	closed   bool
}

// OpenStore opens a folder, or initializes an empty one. Each fault found is passed to onFault, which may be nil; it
// costs the chunks concerned. withHistory says whether the access histories of the snapshot are wanted.
func OpenStore(fs vfs.FS, o StoreOptions, withHistory bool, onFault func(StoreError)) (*Store, RecoveryReport, error) {
	if onFault == nil {
		onFault = func(StoreError) {}
	}
	startedAt := time.Now()
	report := RecoveryReport{}
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, report, fmt.Errorf("open disk cache: %w", err)
	}
	s := &Store{
		fs:       fs,
		options:  o.withDefaults(),
		unlock:   unlock,
		segments: map[uint32]*segment{},
		nextID:   1,
	}
	s.onFault = func(e StoreError) {
		report.Faults++
		onFault(e)
	}
	if err := s.recover(&report, withHistory); err != nil {
		s.closeFiles()
		unlock()
		return nil, report, err
	}
	s.onFault = onFault
	report.Chunks, report.Segments = s.index.count, len(s.segments)
	for _, seg := range s.segments {
		report.Bytes += seg.liveBytes
	}
	report.Took = time.Since(startedAt)
	return s, report, nil
}

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

// Get reads a chunk and verifies it. ErrNotFound reports that it is not stored. A StoreError costs the chunk, which is
// deleted.
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
	var corrupt corruptRecord
	if errors.As(err, &corrupt) {
		fault.Code = corrupt.code
	}
	s.deleteIf(key, loc.seq)
	s.onFault(fault)
	return Chunk{}, fault
}

// readRecord reads the record at a location and verifies it against the index and its checksums.
func (s *Store) readRecord(seg *segment, loc location) (Chunk, error) {
	buf := make([]byte, loc.size)
	n, err := seg.file.ReadAt(buf, loc.offset())
	if n < len(buf) {
		return Chunk{}, fmt.Errorf("read %d of %d bytes: %w", n, len(buf), err)
	}
	h, err := parseRecordHeader(buf, seg.salt)
	if err != nil {
		return Chunk{}, corruptRecord{CodeBadHeader, err}
	}
	if h.struck || h.Key != loc.key() || h.Seq != loc.seq || h.size() != int64(loc.size) {
		return Chunk{}, corruptRecord{
			CodeBadHeader,
			fmt.Errorf("record of another chunk: object %016x chunk %d", h.Object, h.Chunk),
		}
	}
	body := buf[recordHeaderSize+len(h.ETag):][:h.bodyLen:h.bodyLen]
	if crc32.Checksum(body, castagnoli) != h.bodyChecksum {
		return Chunk{}, corruptRecord{CodeBadBody, errors.New("body's checksum does not hold")}
	}
	return Chunk{Meta: h.Meta, Body: body, ConfirmedEpoch: loc.confirmedEpoch}, nil
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

// Sync returns once every chunk put before it survives a power loss.
func (s *Store) Sync() error {
	s.writeMu.Lock()
	seg := s.active
	s.writeMu.Unlock()
	if seg == nil {
		return nil
	}
	return seg.file.Sync()
}

// Close syncs and releases the folder.
func (s *Store) Close() error {
	err := s.Sync()
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeFiles()
	s.unlock()
	return err
}

func (s *Store) closeFiles() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		seg.removed = true
		seg.closeIfRemoved()
	}
	if s.purgeLog != nil {
		_ = s.purgeLog.Close()
	}
}

// purged reports whether a known purge invalidates a chunk.
func purged(tracker *validity.Tracker, m Meta) bool {
	return tracker.IsInvalidated(validity.Copy{Object: m.Object, Group: m.Group, IssuedAt: m.IssuedAt})
}
