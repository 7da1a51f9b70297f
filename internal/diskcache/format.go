package diskcache

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"cairnfront/internal/diskcache/eviction"
)

// The on-disk format; docs/disk-cache-format.md specifies every byte. All numbers are little-endian. The file names and
// magic numbers are part of the format: a "disk tier" is the disk cache, "PART" a chunk, "notices.log" the purge log.
const (
	formatVersion     = 1
	formatFileContent = "cairnfront disk tier %d\n"
	formatFileName    = "FORMAT" // file with the folder's format version, written as formatFileContent
	lockFileName      = "LOCK"
	purgeLogName      = "notices.log"
	snapshotName      = "index.snap"
	segmentPrefix     = "seg-"
	segmentNameFormat = segmentPrefix + "%08x.cf"
	tempSuffix        = ".new" // suffix of a file that is not yet renamed to its final name

	recordAlignment   = 8 // bytes; record offsets are multiples of it
	segmentHeaderSize = 64
	recordHeaderSize  = 64
	maxETagBytes      = 256
	maxBodyBytes      = 240000 // the protocol's limit for the body of a chunk

	segmentMagic = 0x4745534e52494143 // "CAIRNSEG"
	recordMagic  = 0x54524150         // "PART"
)

// recordKind is the kind of a record in a segment.
type recordKind byte

const (
	kindChunk recordKind = 1
	kindTorn  recordKind = 2 // record whose body was torn by a power loss; recovery skips it
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

func segmentName(id uint32) string { return fmt.Sprintf(segmentNameFormat, id) }

// Meta is the metadata of a cached copy of a chunk.
type Meta struct {
	eviction.Key
	Group    uint16 // validity.UnknownGroup if the response named no group
	Rank     uint8  // 0 to 3; memory evicts the lowest first, eviction from the disk does not use it
	IssuedAt int64  // Unix ms at which the origin issued the copy
	ETag     string // entity tag
	Seq      uint64 // sequence number of the write, assigned by the store
}

// Chunk is a cached copy of a chunk: metadata and body.
type Chunk struct {
	Meta
	Body           []byte
	ConfirmedEpoch uint16 // validation epoch of the upstream's last confirmation, 0 if there was none since the start
}

// recordSize returns the on-disk size of a record in bytes, with header and padding.
func recordSize(tag, body int) int64 {
	return (int64(recordHeaderSize+tag+body) + recordAlignment - 1) / recordAlignment * recordAlignment
}

// saltedChecksum returns the initial checksum value, derived from the segment's salt. A body may contain bytes that
// look like a record. The checksum of such a record is wrong, because the author of the body does not know the salt.
func saltedChecksum(salt uint64) uint32 {
	return crc32.Checksum(binary.LittleEndian.AppendUint64(nil, salt), crc32cTable)
}

func appendSegmentHeader(b []byte, id uint32, salt uint64, createdMS int64) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint64(b, segmentMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, id)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint64(b, uint64(createdMS))
	b = append(b, make([]byte, start+segmentHeaderSize-4-len(b))...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], crc32cTable))
}

func parseSegmentHeader(b []byte, id uint32) (salt uint64, err error) {
	le := binary.LittleEndian
	switch {
	case len(b) < segmentHeaderSize:
		return 0, fmt.Errorf("%w: %d bytes", errShortHeader, len(b))
	case le.Uint64(b) != segmentMagic,
		le.Uint32(b[segmentHeaderSize-4:]) != crc32.Checksum(b[:segmentHeaderSize-4], crc32cTable):
		return 0, errHeaderChecksum
	case le.Uint32(b[8:]) != formatVersion:
		return 0, fmt.Errorf("%w: %d, this program supports %d", errUnsupportedVersion, le.Uint32(b[8:]), formatVersion)
	case le.Uint32(b[12:]) != id:
		return 0, fmt.Errorf("%w: %08x", errWrongSegment, le.Uint32(b[12:]))
	}
	return le.Uint64(b[16:]), nil
}

// appendRecord appends an encoded record to b: header, entity tag, body, and padding to a multiple of recordAlignment.
func appendRecord(b []byte, salt uint64, m Meta, body []byte, writtenMS int64) []byte {
	start := len(b)
	h := recordHeader{Meta: m, bodyLen: len(body), bodyChecksum: crc32.Checksum(body, crc32cTable)}
	b = appendRecordHeader(b, salt, h, writtenMS, kindChunk)
	b = append(b, body...)
	return append(b, make([]byte, start+int(h.size())-len(b))...)
}

// recordHeader is the decoded header and entity tag of a record.
type recordHeader struct {
	Meta
	bodyLen      int
	bodyChecksum uint32
	torn         bool
}

// size returns the on-disk size of the record in bytes, with header and padding.
func (h recordHeader) size() int64 { return recordSize(len(h.ETag), h.bodyLen) }

// appendRecordHeader appends the encoded header and entity tag of a record to b.
func appendRecordHeader(b []byte, salt uint64, h recordHeader, writtenMS int64, kind recordKind) []byte {
	start := len(b)
	le := binary.LittleEndian
	b = le.AppendUint32(b, recordMagic)
	b = append(b, formatVersion, byte(kind))
	b = le.AppendUint16(b, uint16(len(h.ETag)))
	b = le.AppendUint64(b, h.Object)
	b = le.AppendUint32(b, h.Chunk)
	b = le.AppendUint16(b, h.Group)
	b = append(b, h.Rank, 0)
	b = le.AppendUint64(b, h.Seq)
	b = le.AppendUint64(b, uint64(h.IssuedAt))
	b = le.AppendUint32(b, uint32(h.bodyLen))
	b = le.AppendUint32(b, h.bodyChecksum)
	b = le.AppendUint64(b, uint64(writtenMS))
	b = le.AppendUint32(b, 0)
	sum := crc32.Update(saltedChecksum(salt), crc32cTable, b[start:])
	b = le.AppendUint32(b, crc32.Update(sum, crc32cTable, []byte(h.ETag)))
	return append(b, h.ETag...)
}

// parseRecordHeader decodes a record's header and entity tag. After an error the result must not be used.
func parseRecordHeader(b []byte, salt uint64) (recordHeader, error) {
	le := binary.LittleEndian
	if len(b) < recordHeaderSize || le.Uint32(b) != recordMagic {
		return recordHeader{}, errNoRecord
	}
	tagLen := int(le.Uint16(b[6:]))
	if tagLen > maxETagBytes || len(b) < recordHeaderSize+tagLen {
		return recordHeader{}, fmt.Errorf("%w: a tag of %d bytes", errRecordTooLong, tagLen)
	}
	sum := crc32.Update(saltedChecksum(salt), crc32cTable, b[:recordHeaderSize-4])
	sum = crc32.Update(sum, crc32cTable, b[recordHeaderSize:recordHeaderSize+tagLen])
	if le.Uint32(b[recordHeaderSize-4:]) != sum {
		return recordHeader{}, errHeaderChecksum
	}
	kind := recordKind(b[5])
	if b[4] != formatVersion || kind != kindChunk && kind != kindTorn {
		return recordHeader{}, fmt.Errorf("%w: version %d, kind %d", errUnknownRecord, b[4], kind)
	}
	h := recordHeader{
		Meta: Meta{
			Key:      eviction.Key{Object: le.Uint64(b[8:]), Chunk: le.Uint32(b[16:])},
			Group:    le.Uint16(b[20:]),
			Rank:     b[22],
			IssuedAt: int64(le.Uint64(b[32:])),
			ETag:     string(b[recordHeaderSize : recordHeaderSize+tagLen]),
			Seq:      le.Uint64(b[24:]),
		},
		bodyLen:      int(le.Uint32(b[40:])),
		bodyChecksum: le.Uint32(b[44:]),
		torn:         kind == kindTorn,
	}
	if h.bodyLen > maxBodyBytes {
		return recordHeader{}, fmt.Errorf("%w: a body of %d bytes", errRecordTooLong, h.bodyLen)
	}
	return h, nil
}
