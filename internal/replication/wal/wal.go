// Package wal implements the write-ahead log of a router. It stores the raft logs and hard states
// of all replicas in one file, so that a single sync covers all of them, and one snapshot file per
// shard.
//
// It owns the files of one folder, which belongs permanently to one router. The format is in
// docs/replication-log-format.md. It uses the file layer of the disk cache (package vfs) and starts
// no goroutine.
//
// Records are accepted only if their checksums match. A torn tail, which a power loss leaves, is
// discarded, because nothing in it was acknowledged. Corruption of synced data is an error: a
// replica that lost its vote could vote twice. The header of each batch has the length of the file
// that was synced before it, which distinguishes the two cases; only corruption of the very last
// batch is taken for a torn tail.
package wal

import (
	"errors"
	"fmt"
	"strings"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"
)

// Files of the folder. Their names are part of the format: the file "holder" contains the identity
// of the replica, a file "slice-..." the snapshot of a shard.
const (
	formatVersion      = 1
	identityFile       = "holder"
	lockFile           = "lock"
	logPrefix          = "log-"
	logNameFormat      = logPrefix + "%08x" // file number
	snapshotPrefix     = "slice-"
	snapshotNameFormat = snapshotPrefix + "%02x-%016x" // shard number, snapshot index
	temporarySuffix    = ".new"
)

// Errors that callers may test for.
var (
	ErrCorrupt      = errors.New("write-ahead log is damaged")
	ErrNewerVersion = errors.New("write-ahead log was written by a newer version")
	ErrForeignOwner = errors.New("write-ahead log belongs to another router")
	ErrWriteFailed  = errors.New("write to write-ahead log failed")
)

// WAL is an open write-ahead log. It is not safe for concurrent use.
type WAL struct {
	fs       vfs.FS
	identity Identity
	release  func() // releases the folder's lock
	shards   map[int]*shardLog

	file   vfs.File
	number uint32 // number of the log file
	size   int64  // bytes written to the log file
	synced int64  // bytes of the log file that are synced
	buffer []byte // records of the current batch

	// failure is the first failed write or sync. Nothing is written after it, because the content of
	// the disk is then unknown.
	failure error

	// Counters for operators.
	SyncCount, BytesWritten int64
}

// Open opens a router's folder, or creates its files if it is empty, and returns the stored state
// by shard. drawID returns the ID for a new folder.
func Open(fs vfs.FS, owner string, drawID func() uint64) (*WAL, map[int]shard.PersistentState, error) {
	release, err := fs.Lock(lockFile)
	if err != nil {
		return nil, nil, fmt.Errorf("lock write-ahead log: %w", err)
	}
	w := &WAL{fs: fs, release: release, shards: map[int]*shardLog{}}
	saved, err := w.open(owner, drawID)
	if err != nil {
		w.Close()
		return nil, nil, err
	}
	return w, saved, nil
}

func (w *WAL) open(owner string, drawID func() uint64) (map[int]shard.PersistentState, error) {
	if err := w.openIdentity(owner, drawID); err != nil {
		return nil, err
	}
	names, err := w.fs.List()
	if err != nil {
		return nil, fmt.Errorf("list write-ahead log: %w", err)
	}
	if err := w.openLog(names); err != nil {
		return nil, fmt.Errorf("open write-ahead log: %w", err)
	}
	return w.persistentStates()
}

// openLog reads the newest log file, writes a checkpoint of its state to the next one, and removes
// superseded files.
//
// The new file is needed because of failed syncs: the operating system still returns the data of a
// failed sync from its cache, so the data appears valid, but it is not on the disk and no later
// sync of that file writes it.
func (w *WAL) openLog(names []string) error {
	if name := newestLog(names); name != "" {
		if err := w.replay(name); err != nil {
			return err
		}
	}
	if err := w.rotate(); err != nil {
		return err
	}
	return w.removeObsolete(names)
}

// newestLog returns the name of the log file with the highest number, or "" if there is none. Its
// checkpoint replaces all older log files.
func newestLog(names []string) string {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, logPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
		}
	}
	return newest
}

// Identity returns the identity of the folder.
func (w *WAL) Identity() Identity { return w.identity }

// persistentStates returns the current state of each shard.
func (w *WAL) persistentStates() (map[int]shard.PersistentState, error) {
	states := map[int]shard.PersistentState{}
	for number, log := range w.shards {
		state := shard.PersistentState{HardState: log.hardState, Entries: log.entries}
		if log.snapshotIndex > 0 {
			snapshot, err := w.readSnapshot(number, log.snapshotIndex)
			if err != nil {
				return nil, err
			}
			state.Snapshot = snapshot
		}
		states[number] = state
	}
	return states, nil
}

// Close closes the files and unlocks the folder.
func (w *WAL) Close() {
	if w.file != nil {
		_ = w.file.Close() // required data was synced before
	}
	if w.release != nil {
		w.release()
	}
}
