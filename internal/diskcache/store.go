// Package diskcache stores chunks of objects on a disk, so that an edge cache is still warm after a restart or crash.
//
// [Store] is a log-structured store: append-only segments, an in-memory index, an index snapshot and a purge log.
// [Cache] makes it usable on the request path: it adds bounded queues, an eviction policy and validity checks. The
// package owns the folder on the disk, whose format docs/disk-cache-format.md specifies byte by byte. It does not
// fetch, serve or interpret chunks.
//
// Durability: a chunk survives a power loss once a Sync that follows its Put has returned. Before that, either the
// complete chunk survives or nothing of it; a torn chunk is never served. Purge records survive a power loss once
// AppendPurgeRecords has returned. A deleted chunk may reappear after a restart; if a purge had invalidated it, the
// logged purge then invalidates it again.
package diskcache

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"math"
	"sync"
	"time"

	"cairnfront/internal/diskcache/vfs"
)

// defaultSegmentBytes is the default size at which a segment is sealed.
const defaultSegmentBytes = 64 << 20

// noIssueTime is the value of the oldest issue time when there are no records.
const noIssueTime = math.MaxInt64

// StoreOptions configures a Store. Zero fields are replaced by defaults.
type StoreOptions struct {
	SegmentBytes int64 // size at which a segment is sealed
	Clock        func() time.Time
	Salt         func() uint64 // returns the salt of a new segment; random if nil, set by tests only
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
	_, _ = rand.Read(b[:]) // never returns an error: it crashes the process instead
	return binary.LittleEndian.Uint64(b[:])
}

// Store is a log-structured store of chunks in one folder. It is safe for concurrent use; writes are serialized.
//
// The index uses IndexBytesPerChunk bytes of memory per chunk.
type Store struct {
	fs      vfs.FS
	options StoreOptions
	unlock  func()
	onFault func(StoreError) // never nil

	writeMu sync.Mutex // held while appending a record, one at a time in a compaction, and while writing a snapshot
	active  *segment
	nextID  uint32

	purgeLogMu   sync.Mutex // held while writing the purge log
	purgeLog     vfs.File
	purgeLogSize int64 // bytes of valid records

	mu       sync.Mutex // guards the fields below
	index    index
	segments map[uint32]*segment
	lastSeq  uint64
	closed   bool
}

// OpenStore opens a cache folder, or initializes an empty one. Each fault found is passed to onFault, which may be nil;
// only the affected chunks are lost. withHistory selects whether the access histories in the snapshot are loaded.
func OpenStore(fs vfs.FS, o StoreOptions, withHistory bool, onFault func(StoreError)) (*Store, RecoveryReport, error) {
	if onFault == nil {
		onFault = func(StoreError) {}
	}
	startedAt := time.Now()
	report := RecoveryReport{}
	unlock, err := fs.Lock(lockFileName)
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

// Sync flushes the active segment. After it returns nil, every chunk put before the call survives a power loss.
func (s *Store) Sync() error {
	s.writeMu.Lock()
	seg := s.active
	s.writeMu.Unlock()
	if seg == nil {
		return nil
	}
	return seg.file.Sync()
}

// Close syncs the active segment, closes all files and releases the lock of the folder.
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
		_ = s.purgeLog.Close() // each append was synced
	}
}
