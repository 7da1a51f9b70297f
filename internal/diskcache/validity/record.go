package validity

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// RecordSize is that of every record on the disk. Eight fill a sector: none is torn in two.
const RecordSize = 64

const recordMagic = 0x4e43 // "CN"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrRecord tells of a record that can't be believed.
var ErrBadRecord = errors.New("bad record")

// AppendRecord writes a record; docs/disk-format.md names its bytes.
func AppendRecord(b []byte, r Record) []byte {
	from := len(b)
	b = binary.LittleEndian.AppendUint16(b, recordMagic)
	b = append(b, byte(r.Kind), 1)
	b = binary.LittleEndian.AppendUint16(b, r.Group)
	b = binary.LittleEndian.AppendUint16(b, 0)
	b = binary.LittleEndian.AppendUint64(b, r.Object)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.PurgedAt))
	b = binary.LittleEndian.AppendUint64(b, r.Number)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.WrittenAt))
	b = binary.LittleEndian.AppendUint64(b, r.Seq)
	b = binary.LittleEndian.AppendUint32(b, r.Checksum)
	b = append(b, make([]byte, from+RecordSize-4-len(b))...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// ParseRecord reads RecordSize bytes.
func ParseRecord(b []byte) (Record, error) {
	if len(b) < RecordSize {
		return Record{}, fmt.Errorf("%w: %d bytes of %d", ErrBadRecord, len(b), RecordSize)
	}
	le := binary.LittleEndian
	if le.Uint16(b) != recordMagic || le.Uint32(b[RecordSize-4:]) != crc32.Checksum(b[:RecordSize-4], castagnoli) {
		return Record{}, fmt.Errorf("%w: its checksum does not hold", ErrBadRecord)
	}
	if b[3] != 1 {
		return Record{}, fmt.Errorf("%w: version %d, this program knows 1", ErrBadRecord, b[3])
	}
	r := Record{Kind: Kind(b[2]), Group: le.Uint16(b[4:]), Object: le.Uint64(b[8:]), PurgedAt: int64(le.Uint64(b[16:])),
		Number: le.Uint64(b[24:]), WrittenAt: int64(le.Uint64(b[32:])), Seq: le.Uint64(b[40:]), Checksum: le.Uint32(b[48:])}
	if r.Kind < PurgeObject || r.Kind > PurgeFloor {
		return Record{}, fmt.Errorf("%w: unknown kind %d", ErrBadRecord, r.Kind)
	}
	return r, nil
}
