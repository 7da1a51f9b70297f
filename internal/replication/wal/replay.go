package wal

import (
	"encoding/binary"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// replay applies the records of a log file. It ignores a torn tail.
func (w *WAL) replay(name string) error {
	content, err := readFile(w.fs, name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	if _, err := fmt.Sscanf(name, logNameFormat, &w.number); err != nil {
		return fmt.Errorf("%w: file name %s", ErrCorrupt, name)
	}
	end, err := w.replayRecords(name, content)
	if err != nil {
		return err
	}
	if end < len(content) {
		return checkTornTail(name, content, end)
	}
	return nil
}

// replayRecords applies the records up to the first invalid one, and returns the offset of that
// one.
func (w *WAL) replayRecords(name string, content []byte) (end int, err error) {
	checkpointBytes := 0
	for end < len(content) {
		r, ok := parseRecord(content[end:])
		if !ok {
			break
		}
		if end == 0 {
			checkpointBytes, err = parseFileHeader(name, r)
		} else if err = w.apply(r); err != nil {
			err = fmt.Errorf("%s at byte %d: %w", name, end, err)
		}
		if err != nil {
			return end, err
		}
		end += r.size
	}
	if end < checkpointBytes || end == 0 {
		return end, fmt.Errorf("%w: %s at byte %d, the first %d were synced", ErrCorrupt, name, end, checkpointBytes)
	}
	return end, nil
}

// parseFileHeader returns the length of the checkpoint at the start of a file.
func parseFileHeader(name string, r record) (checkpointBytes int, err error) {
	if r.kind != kindFileHeader || len(r.payload) < fileHeaderBytes {
		return 0, fmt.Errorf("%w: %s has no file header", ErrCorrupt, name)
	}
	if r.payload[0] > formatVersion {
		return 0, fmt.Errorf("%w: %s has version %d, this program reads %d",
			ErrNewerVersion, name, r.payload[0], formatVersion)
	}
	return int(binary.BigEndian.Uint64(r.payload[1:])), nil
}

// checkTornTail returns an error if the invalid data at end had been synced, according to the
// header of a later batch.
func checkTornTail(name string, content []byte, end int) error {
	for i := end + 1; i+recordHeaderBytes <= len(content); i++ {
		r, ok := parseRecord(content[i:])
		if !ok || r.kind != kindBatchHeader || len(r.payload) != indexBytes {
			continue
		}
		if synced := binary.BigEndian.Uint64(r.payload); synced > uint64(end) {
			return fmt.Errorf("%w: %s at byte %d, synced up to %d", ErrCorrupt, name, end, synced)
		}
	}
	return nil
}

// apply applies one record. Batch headers and record kinds of later versions have no effect.
func (w *WAL) apply(r record) error {
	switch r.kind {
	case kindRemoveShard:
		delete(w.shards, r.shard)
	case kindHardState:
		hardState := &pb.HardState{}
		w.shardLog(r.shard).hardState = hardState
		if err := proto.Unmarshal(r.payload, hardState); err != nil {
			return fmt.Errorf("%w: hard state: %w", ErrCorrupt, err)
		}
	case kindEntry:
		entry := &pb.Entry{}
		if err := proto.Unmarshal(r.payload, entry); err != nil {
			return fmt.Errorf("%w: entry: %w", ErrCorrupt, err)
		}
		w.shardLog(r.shard).putEntry(entry)
	case kindSnapshot:
		if len(r.payload) != indexBytes {
			return fmt.Errorf("%w: snapshot index of %d bytes", ErrCorrupt, len(r.payload))
		}
		w.shardLog(r.shard).setSnapshot(binary.BigEndian.Uint64(r.payload))
	case kindTruncate:
		if len(r.payload) != indexBytes {
			return fmt.Errorf("%w: index of a truncation of %d bytes", ErrCorrupt, len(r.payload))
		}
		w.shardLog(r.shard).truncate(binary.BigEndian.Uint64(r.payload))
	case kindFileHeader, kindBatchHeader:
	}
	return nil
}
