package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is what a record of a log file holds. Its numbers are part of the format.
type recordKind byte

// The kinds of records.
const (
	kindHardState   recordKind = 1
	kindEntry       recordKind = 2
	kindSnapshot    recordKind = 3 // names the index of the shard's snapshot
	kindRemoveShard recordKind = 4 // the shard is no longer held
	kindFileHeader  recordKind = 5 // first of a file: version, and the bytes of what the file begins with
	kindBatchHeader recordKind = 6 // before each batch: up to where the file was synced
	kindTruncate    recordKind = 7 // entries after an index no longer count
)

// A record is its payload's length (4), the checksum of all that follows it (4), kind (1), shard
// (1), two unused bytes and the payload.
const (
	recordChecksumOffset  = 4
	recordKindOffset      = 8
	recordShardOffset     = 9
	recordHeaderBytes     = 12
	maxRecordPayloadBytes = 8 << 20
)

const (
	indexBytes      = 8                 // of a snapshot's index, and of a place in a file
	fileHeaderBytes = 1 + indexBytes    // payload of kindFileHeader: version and base
	checksumBytes   = crc32.Size        // at the end of the identity file and of snapshot files
	minTrailerBytes = 1 + checksumBytes // a file with a checksum has its version at least
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one of a log file.
type record struct {
	kind    recordKind
	shard   int
	payload []byte
	size    int // bytes with its header
}

func appendRecord(b []byte, kind recordKind, shard int, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, 0, 0, 0, 0, byte(kind), byte(shard), 0, 0)
	b = append(b, payload...)
	checksum := crc32.Checksum(b[start+recordKindOffset:], castagnoli)
	binary.BigEndian.PutUint32(b[start+recordChecksumOffset:], checksum)
	return b
}

// parseRecord reads the record that b begins with; ok is false where none begins, or its checksum
// does not match.
func parseRecord(b []byte) (r record, ok bool) {
	if len(b) < recordHeaderBytes {
		return record{}, false
	}
	length := int(binary.BigEndian.Uint32(b))
	size := recordHeaderBytes + length
	if length > maxRecordPayloadBytes || size > len(b) {
		return record{}, false
	}
	if crc32.Checksum(b[recordKindOffset:size], castagnoli) != binary.BigEndian.Uint32(b[recordChecksumOffset:]) {
		return record{}, false
	}
	return record{
		kind:    recordKind(b[recordKindOffset]),
		shard:   int(b[recordShardOffset]),
		payload: b[recordHeaderBytes:size],
		size:    size,
	}, true
}

// fileHeader is the first record of a file that begins with a number of bytes, this record's among
// them.
func fileHeader(base int) []byte {
	return appendRecord(nil, kindFileHeader, 0, binary.BigEndian.AppendUint64([]byte{formatVersion}, uint64(base)))
}

// batchHeader is the first record of a batch.
func batchHeader(synced int64) []byte {
	return appendRecord(nil, kindBatchHeader, 0, binary.BigEndian.AppendUint64(nil, uint64(synced)))
}

func appendChecksum(content []byte) []byte {
	return binary.BigEndian.AppendUint32(content, crc32.Checksum(content, castagnoli))
}

// cutChecksum takes the checksum off a file's content, and says whether it matches.
func cutChecksum(content []byte) (body []byte, ok bool) {
	if len(content) < minTrailerBytes {
		return nil, false
	}
	body = content[:len(content)-checksumBytes]
	return body, crc32.Checksum(body, castagnoli) == binary.BigEndian.Uint32(content[len(body):])
}
