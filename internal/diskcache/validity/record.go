package validity

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// RecordSize is the size of an encoded record in bytes. Eight records fill a disk sector, so no record spans two.
const RecordSize = 64

const (
	recordMagic   = 0x4e43 // "CN" in little-endian order
	recordVersion = 1
	checksumAt    = RecordSize - 4
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// ErrBadRecord is returned for bytes that are not a valid record.
var ErrBadRecord = errors.New("bad record")

// Kind is the kind of a record in the purge log.
type Kind byte

// Kinds of records; the values are part of the on-disk format.
const (
	PurgeObject Kind = 1 + iota
	PurgeGroup
	Checkpoint // position in the event stream and time of writing
	EventGap   // purges may have been missed: copies up to sequence number Seq need confirmation
	PurgeFloor // purges up to PurgedAt may have been discarded
)

// Record is a state change of the tracker that must survive a power loss. The JSON keys are part of the output of
// `disk-cache inspect --json`: At is the time of the purge, Sum the checksum, Heard the time of writing.
type Record struct {
	Kind      Kind
	Group     uint16
	Object    uint64
	PurgedAt  int64 `json:"At"` // Unix ms
	Number    uint64
	Checksum  uint32 `json:"Sum"`
	WrittenAt int64  `json:"Heard"` // Unix ms by the edge cache's own clock
	Seq       uint64
}

// AppendRecord appends a record to b, encoded as specified in docs/disk-cache-format.md.
func AppendRecord(b []byte, r Record) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint16(b, recordMagic)
	b = append(b, byte(r.Kind), recordVersion)
	b = binary.LittleEndian.AppendUint16(b, r.Group)
	b = binary.LittleEndian.AppendUint16(b, 0)
	b = binary.LittleEndian.AppendUint64(b, r.Object)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.PurgedAt))
	b = binary.LittleEndian.AppendUint64(b, r.Number)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.WrittenAt))
	b = binary.LittleEndian.AppendUint64(b, r.Seq)
	b = binary.LittleEndian.AppendUint32(b, r.Checksum)
	b = append(b, make([]byte, start+checksumAt-len(b))...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], crc32cTable))
}

// ParseRecord decodes a record from the first RecordSize bytes of b. Its errors wrap ErrBadRecord. A wrong magic number
// is reported as a checksum mismatch.
func ParseRecord(b []byte) (Record, error) {
	if len(b) < RecordSize {
		return Record{}, fmt.Errorf("%w: %d bytes of %d", ErrBadRecord, len(b), RecordSize)
	}
	le := binary.LittleEndian
	if le.Uint16(b) != recordMagic || le.Uint32(b[checksumAt:]) != crc32.Checksum(b[:checksumAt], crc32cTable) {
		return Record{}, fmt.Errorf("%w: checksum mismatch", ErrBadRecord)
	}
	if b[3] != recordVersion {
		return Record{}, fmt.Errorf("%w: version %d, this program supports %d", ErrBadRecord, b[3], recordVersion)
	}
	r := Record{
		Kind:      Kind(b[2]),
		Group:     le.Uint16(b[4:]),
		Object:    le.Uint64(b[8:]),
		PurgedAt:  int64(le.Uint64(b[16:])),
		Number:    le.Uint64(b[24:]),
		WrittenAt: int64(le.Uint64(b[32:])),
		Seq:       le.Uint64(b[40:]),
		Checksum:  le.Uint32(b[48:]),
	}
	if r.Kind < PurgeObject || r.Kind > PurgeFloor {
		return Record{}, fmt.Errorf("%w: unknown kind %d", ErrBadRecord, r.Kind)
	}
	return r, nil
}
