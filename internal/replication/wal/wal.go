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
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/replication/shard"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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

const rotateBytes = 16 << 20 // of a log file, after which the next one begins with what still counts

// Errors that a caller may test for.
var (
	ErrCorrupt      = errors.New("write-ahead log is damaged")
	ErrNewerVersion = errors.New("write-ahead log was written by a newer version")
	ErrForeignOwner = errors.New("write-ahead log belongs to another router")
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

// shardLog is what of a shard counts.
type shardLog struct {
	hardState     *pb.HardState
	entries       []*pb.Entry
	snapshotIndex uint64 // 0 for none
}

// put puts an entry in its place. Entries at its index and after it no longer count.
func (l *shardLog) put(entry *pb.Entry) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].GetIndex() >= entry.GetIndex() {
		l.entries = l.entries[:len(l.entries)-1]
	}
	l.entries = append(l.entries, entry)
}

// setSnapshot names the shard's snapshot. Entries up to its index no longer count.
func (l *shardLog) setSnapshot(index uint64) {
	l.snapshotIndex = index
	l.entries = slices.DeleteFunc(slices.Clone(l.entries), func(entry *pb.Entry) bool {
		return entry.GetIndex() <= index
	})
}

// truncate drops the entries after an index.
func (l *shardLog) truncate(index uint64) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].GetIndex() > index {
		l.entries = l.entries[:len(l.entries)-1]
	}
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

// openLog opens the newest log file, or begins the first one, and removes what no longer counts.
func (w *WAL) openLog(names []string) error {
	name := newestLog(names)
	if name == "" {
		if err := w.rotate(); err != nil {
			return err
		}
		return w.removeObsolete(names)
	}
	if err := w.replay(name, true); err != nil {
		return err
	}
	file, err := w.fs.Open(name)
	if err != nil {
		return err
	}
	w.file = file
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

// Inspect reads a stopped router's folder and changes nothing in it.
func Inspect(fs vfs.FS) (Identity, map[int]shard.PersistentState, error) {
	content, err := readFile(fs, identityFile)
	if err != nil {
		return Identity{}, nil, fmt.Errorf("read write-ahead log: %w", err)
	}
	w := &WAL{fs: fs, shards: map[int]*shardLog{}}
	if w.identity, err = parseIdentity(content); err != nil {
		return w.identity, nil, err
	}
	names, err := fs.List()
	if err != nil {
		return w.identity, nil, fmt.Errorf("list write-ahead log: %w", err)
	}
	name := newestLog(names)
	if name == "" {
		return w.identity, nil, fmt.Errorf("%w: no log file", ErrCorrupt)
	}
	if err := w.replay(name, false); err != nil {
		return w.identity, nil, err
	}
	saved, err := w.persistentStates()
	return w.identity, saved, err
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

func (w *WAL) shardLog(number int) *shardLog {
	if w.shards[number] == nil {
		w.shards[number] = &shardLog{}
	}
	return w.shards[number]
}

// Write puts a batch on disk, with one sync if any part of it has to outlast a loss of power. After
// an error nothing of the batch may be sent or believed, and the log takes nothing more until it is
// opened anew.
func (w *WAL) Write(batch []shard.Ready) error {
	if w.failure != nil {
		return w.failure
	}
	w.buffer = w.buffer[:0]
	mustSync := false
	for _, ready := range batch {
		mustSync = mustSync || ready.MustSync
		if err := w.appendReady(ready); err != nil {
			return w.fail(err)
		}
	}
	if err := w.flush(mustSync); err != nil {
		return w.fail(err)
	}
	if w.size > rotateBytes {
		if err := w.rotate(); err != nil {
			return w.fail(err)
		}
	}
	return nil
}

// appendReady adds the records of one shard to the batch. A snapshot's file is written at once.
func (w *WAL) appendReady(ready shard.Ready) error {
	log := w.shardLog(ready.Shard)
	if ready.Snapshot != nil { // of a leader: it replaces all entries
		index := binary.BigEndian.AppendUint64(nil, ready.Snapshot.GetMetadata().GetIndex())
		w.buffer = appendRecord(w.buffer, kindTruncate, ready.Shard, index)
		if err := w.writeSnapshot(ready.Shard, ready.Snapshot); err != nil {
			return err
		}
		log.entries = nil
	}
	if ready.HardState != nil {
		log.hardState = ready.HardState
		if err := w.appendMessage(kindHardState, ready.Shard, ready.HardState); err != nil {
			return err
		}
	}
	for _, entry := range ready.Entries {
		log.put(entry)
		if err := w.appendMessage(kindEntry, ready.Shard, entry); err != nil {
			return err
		}
	}
	return nil
}

func (w *WAL) appendMessage(kind recordKind, shard int, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	w.buffer = appendRecord(w.buffer, kind, shard, payload)
	return nil
}

// fail ends the writing for good.
func (w *WAL) fail(err error) error {
	w.failure = fmt.Errorf("write to write-ahead log: %w", err)
	return w.failure
}

// flush writes the batch after a header, and syncs the file.
func (w *WAL) flush(sync bool) error {
	if len(w.buffer) > 0 {
		batch := append(batchHeader(w.synced), w.buffer...)
		if _, err := w.file.WriteAt(batch, w.size); err != nil {
			return err
		}
		w.size += int64(len(batch))
		w.BytesWritten += int64(len(batch))
		w.buffer = w.buffer[:0]
	}
	if !sync {
		return nil
	}
	w.SyncCount++
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.synced = w.size
	return nil
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
