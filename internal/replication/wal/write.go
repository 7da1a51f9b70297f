package wal

import (
	"encoding/binary"
	"fmt"

	"cairnfront/internal/replication/shard"

	"google.golang.org/protobuf/proto"
)

const rotateBytes = 16 << 20 // size of a log file above which the next one is started with a checkpoint

// Write writes a batch to disk, with one sync of the log if any part of it must survive a power
// loss. Each snapshot in the batch is synced in its own file, with one more sync of the log if it
// replaces an earlier snapshot. After an error nothing of the batch may be sent or relied on, and
// all further writes fail until the log is reopened.
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

// appendReady adds the records of one shard to the batch. A snapshot's file is written immediately.
func (w *WAL) appendReady(ready shard.Ready) error {
	log := w.shardLog(ready.Shard)
	if ready.Snapshot != nil { // sent by a leader: it replaces all entries
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
		log.putEntry(entry)
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

// fail makes all further writes fail until the log is reopened.
func (w *WAL) fail(err error) error {
	w.failure = fmt.Errorf("%w: %w", ErrWriteFailed, err)
	return w.failure
}

// flush writes a batch header and the buffered records, and syncs the file if sync is set.
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
