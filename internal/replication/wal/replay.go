package wal

import (
	"encoding/binary"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// replay reads a log file's records. A torn end is left out.
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
		return checkTornEnd(name, content, end)
	}
	return nil
}

// replayRecords takes the records up to the first that does not hold, and says where that is.
func (w *WAL) replayRecords(name string, content []byte) (end int, err error) {
	base := 0
	for end < len(content) {
		r, ok := parseRecord(content[end:])
		if !ok {
			break
		}
		if end == 0 {
			base, err = parseFileHeader(name, r)
		} else if err = w.apply(r); err != nil {
			err = fmt.Errorf("%s at byte %d: %w", name, end, err)
		}
		if err != nil {
			return end, err
		}
		end += r.size
	}
	if end < base || end == 0 {
		return end, fmt.Errorf("%w: %s at byte %d, the first %d were synced", ErrCorrupt, name, end, base)
	}
	return end, nil
}

// parseFileHeader reads the bytes of what a file begins with.
func parseFileHeader(name string, r record) (base int, err error) {
	if r.kind != kindFileHeader || len(r.payload) < fileHeaderBytes {
		return 0, fmt.Errorf("%w: %s has no file header", ErrCorrupt, name)
	}
	if r.payload[0] > formatVersion {
		return 0, fmt.Errorf("%w: %s has version %d, this program reads %d",
			ErrNewerVersion, name, r.payload[0], formatVersion)
	}
	return int(binary.BigEndian.Uint64(r.payload[1:])), nil
}

// checkTornEnd refuses a file where a later batch says that what does not hold was synced.
func checkTornEnd(name string, content []byte, end int) error {
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

// apply takes one record. Batch headers and kinds of later versions change nothing.
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
		w.shardLog(r.shard).put(entry)
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
