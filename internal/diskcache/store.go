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
	"fmt"
	"math"
	"sync"
	"time"

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
	_, _ = rand.Read(b[:]) // never fails: it ends the process instead
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
		_ = s.purgeLog.Close() // each append was synced
	}
}
