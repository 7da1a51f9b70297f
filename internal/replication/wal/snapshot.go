package wal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"cairnfront/internal/diskcache/vfs"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// SaveSnapshot stores a snapshot that a local replica created, and discards the entries up to its
// index.
func (w *WAL) SaveSnapshot(shard int, snapshot *pb.Snapshot) error {
	if w.failure != nil {
		return w.failure
	}
	w.buffer = w.buffer[:0]
	err := w.writeSnapshot(shard, snapshot)
	if err == nil {
		err = w.flush(true)
	}
	if err != nil {
		return w.fail(err)
	}
	return nil
}

// writeSnapshot writes a snapshot file and adds its index to the batch. The previous snapshot is
// removed once the log record with the index of the new one is synced.
func (w *WAL) writeSnapshot(number int, snapshot *pb.Snapshot) error {
	body, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	index := snapshot.GetMetadata().GetIndex()
	content := appendChecksum(append([]byte{formatVersion}, body...))
	if err := replaceFile(w.fs, fmt.Sprintf(snapshotNameFormat, number, index), content); err != nil {
		return err
	}
	w.buffer = appendRecord(w.buffer, kindSnapshot, number, binary.BigEndian.AppendUint64(nil, index))
	log := w.shardLog(number)
	replaced := log.snapshotIndex
	log.setSnapshot(index)
	if replaced == 0 || replaced == index {
		return nil
	}
	if err := w.flush(true); err != nil {
		return err
	}
	return w.fs.Remove(fmt.Sprintf(snapshotNameFormat, number, replaced))
}

func (w *WAL) readSnapshot(number int, index uint64) (*pb.Snapshot, error) {
	name := fmt.Sprintf(snapshotNameFormat, number, index)
	content, err := readFile(w.fs, name)
	if errors.Is(err, vfs.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	body, ok := cutChecksum(content)
	if !ok {
		return nil, fmt.Errorf("%w: checksum of %s does not match", ErrCorrupt, name)
	}
	if body[0] > formatVersion {
		return nil, fmt.Errorf("%w: %s has version %d, this program reads %d",
			ErrNewerVersion, name, body[0], formatVersion)
	}
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(body[1:], snapshot); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	return snapshot, nil
}
