// Package wal is the write-ahead log of a router: the raft logs and hard states of all its replicas
// in one file, so that one sync serves them all, and a snapshot file a shard.
//
// It owns the files of one folder, which belongs to one router for good. The format is in
// docs/replication-log-format.md. It uses the file layer of the disk cache (package vfs) and has no
// goroutine.
//
// What was synced is believed only if its checksums match. A torn end, as a loss of power leaves
// it, is cut off, since nothing of it was acknowledged. Damage to what was synced is refused: a
// replica that forgot a vote could vote twice. Each batch says up to where the file was synced
// before it, which shows which of the two it is; only damage to the very last batch looks like a torn end.
package wal

import (
	"errors"
	"fmt"
	"strings"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"
)

// Files of the folder. Their names are part of the format: the file "holder" has the identity of the
// replica, a file "slice-..." the snapshot of a shard.
const (
	formatVersion      = 1
	identityFile       = "holder"
	lockFile           = "lock"
	logPrefix          = "log-"
	logNameFormat      = logPrefix + "%08x" // number of the file
	snapshotPrefix     = "slice-"
	snapshotNameFormat = snapshotPrefix + "%02x-%016x" // shard, index
	temporarySuffix    = ".new"
)

// Errors that a caller may test for.
var (
	ErrCorrupt      = errors.New("write-ahead log is damaged")
	ErrNewerVersion = errors.New("write-ahead log was written by a newer version")
	ErrForeignOwner = errors.New("write-ahead log belongs to another router")
	ErrWriteFailed  = errors.New("write to write-ahead log failed")
)

// WAL is an open log. It belongs to one goroutine.
type WAL struct {
	fs       vfs.FS
	identity Identity
	release  func() // of the folder's lock
	shards   map[int]*shardLog

	file   vfs.File
	number uint32 // of the file
	size   int64  // bytes written to the file
	synced int64  // bytes of it that were synced
	buffer []byte // records of the batch that is being written

	// failure is the first write or sync that failed. Nothing is written after it, as the content
	// of the disk is not known.
	failure error

	// Counters for operators.
	SyncCount, BytesWritten int64
}

// Open opens a router's folder, or fills an empty one, and gives what it holds by shard. The ID of
// a new folder is drawn.
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

// openLog reads the newest log file, begins the next one with all of it that counts, and removes what no longer counts.
//
// It guards against what a failed sync left behind: the system still reads it, so it would be believed, but it is not
// on the disk, and no later sync of that file brings it there.
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

// newestLog is the log file with the highest number, "" for none. It begins with all that counted
// in the older ones.
func newestLog(names []string) string {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, logPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
		}
	}
	return newest
}

// Identity says whose folder it is.
func (w *WAL) Identity() Identity { return w.identity }

// persistentStates is what counts of each shard.
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
		_ = w.file.Close() // what has to be on disk was synced before
	}
	if w.release != nil {
		w.release()
	}
}
