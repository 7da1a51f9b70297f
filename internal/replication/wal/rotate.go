package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cairnfront/internal/diskcache/vfs"

	"google.golang.org/protobuf/proto"
)

// rotate starts the next log file with a checkpoint of the current state, and removes the previous
// file once the checkpoint is on disk.
func (w *WAL) rotate() error {
	number := w.number + 1
	name := fmt.Sprintf(logNameFormat, number)
	file, err := w.fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	content, err := w.encodeCheckpoint()
	if err != nil {
		return err
	}
	if _, err := file.WriteAt(content, 0); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := w.publish(file, name); err != nil {
		return errors.Join(err, file.Close())
	}
	if w.file != nil {
		_ = w.file.Close() // superseded by the new file
		if err := w.fs.Remove(fmt.Sprintf(logNameFormat, w.number)); err != nil {
			return err
		}
	}
	w.file = file
	w.number = number
	w.size = int64(len(content))
	w.synced = w.size
	w.BytesWritten += w.size
	return nil
}

// publish syncs a file, renames it to its final name and syncs the directory. Each step runs only
// if the previous one succeeded.
func (w *WAL) publish(file vfs.File, name string) error {
	if err := file.Sync(); err != nil {
		return err
	}
	if err := w.fs.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return w.fs.SyncDir()
}

// encodeCheckpoint encodes the checkpoint of the current state, with which a log file starts.
func (w *WAL) encodeCheckpoint() ([]byte, error) {
	content := make([]byte, len(fileHeader(0))) // the header is written once the size is known
	for _, number := range slices.Sorted(maps.Keys(w.shards)) {
		log := w.shards[number]
		if log.snapshotIndex > 0 {
			index := binary.BigEndian.AppendUint64(nil, log.snapshotIndex)
			content = appendRecord(content, kindSnapshot, number, index)
		}
		if log.hardState != nil {
			payload, err := proto.Marshal(log.hardState)
			if err != nil {
				return nil, err
			}
			content = appendRecord(content, kindHardState, number, payload)
		}
		for _, entry := range log.entries {
			payload, err := proto.Marshal(entry)
			if err != nil {
				return nil, err
			}
			content = appendRecord(content, kindEntry, number, payload)
		}
	}
	copy(content, fileHeader(len(content)))
	return content, nil
}

// removeObsolete removes superseded files, and unfinished files that a power loss left behind.
func (w *WAL) removeObsolete(names []string) error {
	keep := map[string]bool{
		identityFile:                         true,
		lockFile:                             true,
		fmt.Sprintf(logNameFormat, w.number): true,
	}
	for number, log := range w.shards {
		keep[fmt.Sprintf(snapshotNameFormat, number, log.snapshotIndex)] = true
	}
	for _, name := range names {
		isOurs := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) ||
			strings.HasSuffix(name, temporarySuffix)
		if keep[name] || !isOurs {
			continue
		}
		if err := w.fs.Remove(name); err != nil && !errors.Is(err, vfs.ErrNotExist) {
			return err
		}
	}
	return nil
}
