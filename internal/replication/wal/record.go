package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is the type of a record in a log file. The numbers are part of the format.
type recordKind byte

// The kinds of records.
const (
	kindHardState   recordKind = 1
	kindEntry       recordKind = 2
	kindSnapshot    recordKind = 3 // index of the shard's current snapshot
	kindRemoveShard recordKind = 4 // the shard has no replica here any more
	kindFileHeader  recordKind = 5 // first record of a file: version, and length of its checkpoint
	kindBatchHeader recordKind = 6 // precedes each batch: length of the file that was synced before it
	kindTruncate    recordKind = 7 // discards the entries after an index
)

// A record consists of its payload's length (4 bytes), the checksum of everything after it (4),
// kind (1), shard (1), two unused bytes and the payload.
const (
	recordChecksumOffset  = 4
	recordKindOffset      = 8
	recordShardOffset     = 9
	recordHeaderBytes     = 12
	maxRecordPayloadBytes = 8 << 20
)

const (
	indexBytes              = 8                 // snapshot index, or offset in a file
	fileHeaderBytes         = 1 + indexBytes    // payload of kindFileHeader: version and checkpoint length
	checksumBytes           = crc32.Size        // at the end of the identity file and of snapshot files
	minChecksummedFileBytes = 1 + checksumBytes // smallest file with a checksum: the version and the checksum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a parsed record of a log file.
type record struct {
	kind    recordKind
	shard   int
	payload []byte
	size    int // in bytes, including the header
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

// parseRecord parses the record at the start of b. ok is false if the record is incomplete or its
// checksum does not match.
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

// fileHeader returns the first record of a file whose checkpoint, including this record, has the
// given number of bytes.
func fileHeader(length int) []byte {
	return appendRecord(nil, kindFileHeader, 0, binary.BigEndian.AppendUint64([]byte{formatVersion}, uint64(length)))
}

// batchHeader returns the first record of a batch.
func batchHeader(synced int64) []byte {
	return appendRecord(nil, kindBatchHeader, 0, binary.BigEndian.AppendUint64(nil, uint64(synced)))
}

func appendChecksum(content []byte) []byte {
	return binary.BigEndian.AppendUint32(content, crc32.Checksum(content, castagnoli))
}

// cutChecksum removes the checksum from a file's content, and reports whether it matches.
func cutChecksum(content []byte) (body []byte, ok bool) {
	if len(content) < minChecksummedFileBytes {
		return nil, false
	}
	body = content[:len(content)-checksumBytes]
	return body, crc32.Checksum(body, castagnoli) == binary.BigEndian.Uint32(content[len(body):])
}
