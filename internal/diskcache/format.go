package diskcache

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"cairnfront/internal/diskcache/eviction"
)

// The form on the disk; docs/disk-format.md names every byte. All numbers are little-endian.
const (
	formatVersion = 1
	formatName    = "FORMAT" // the folder's version, in text
	lockName      = "LOCK"
	noticesName   = "notices.log"
	snapshotName  = "index.snap"
	segmentForm   = "seg-%08x.cf"
	freshSuffix   = ".new" // of a file that is yet to take its name

	grain       = 8 // records begin at multiples of it
	segmentHead = 64
	recordHead  = 64
	mostTag     = 256
	mostBody    = 240000 // as the protocol's objects

	segmentMagic = 0x4745534e52494143 // "CAIRNSEG"
	recordMagic  = 0x54524150         // "PART"
	partKind     = 1
	struckKind   = 2 // was torn; passed over
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Meta is what is told of a copy. Dated is the Unix ms at which the origin gave it out.
type Meta struct {
	eviction.Key
	Group    uint16 // trust.UnknownGroup where nobody told
	Rank     uint8
	IssuedAt int64
	Tag      string
	Seq      uint64 // place in the order of writing; the store gives it
}

// Part is a copy with its bytes.
type Chunk struct {
	Meta
	Body           []byte
	ConfirmedEpoch uint16 // the doubt in which its source last confirmed it
}

// recordSize is what a copy takes on the disk.
func recordSize(tag, body int) int64 {
	return (int64(recordHead+tag+body) + grain - 1) / grain * grain
}

// salted starts a checksum from the segment's salt. A body may hold what looks like a record; without the salt,
// which no maker of bodies knows, its checksum does not hold.
func salted(salt uint64) uint32 {
	return crc32.Checksum(binary.LittleEndian.AppendUint64(nil, salt), castagnoli)
}

func appendSegmentHead(b []byte, id uint32, salt uint64, madeMS int64) []byte {
	from := len(b)
	b = binary.LittleEndian.AppendUint64(b, segmentMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, id)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint64(b, uint64(madeMS))
	b = append(b, make([]byte, from+segmentHead-4-len(b))...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

func parseSegmentHead(b []byte, id uint32) (salt uint64, err error) {
	le := binary.LittleEndian
	switch {
	case len(b) < segmentHead:
		return 0, fmt.Errorf("head of %d bytes", len(b))
	case le.Uint64(b) != segmentMagic || le.Uint32(b[segmentHead-4:]) != crc32.Checksum(b[:segmentHead-4], castagnoli):
		return 0, fmt.Errorf("head's checksum does not hold")
	case le.Uint32(b[8:]) != formatVersion:
		return 0, fmt.Errorf("version %d, this program knows %d", le.Uint32(b[8:]), formatVersion)
	case le.Uint32(b[12:]) != id:
		return 0, fmt.Errorf("head says segment %08x", le.Uint32(b[12:]))
	}
	return le.Uint64(b[16:]), nil
}

// appendRecord writes a record whole: head, tag, body and what fills the grain.
func appendRecord(b []byte, salt uint64, m Meta, body []byte, wroteMS int64) []byte {
	from := len(b)
	b = appendHead(b, salt, m, len(body), crc32.Checksum(body, castagnoli), wroteMS, partKind)
	b = append(b, body...)
	return append(b, make([]byte, from+int(recordSize(len(m.Tag), len(body)))-len(b))...)
}

// appendHead writes a record's head and tag.
func appendHead(b []byte, salt uint64, m Meta, size int, bodySum uint32, wroteMS int64, kind byte) []byte {
	from := len(b)
	le := binary.LittleEndian
	b = le.AppendUint32(b, recordMagic)
	b = append(b, formatVersion, kind)
	b = le.AppendUint16(b, uint16(len(m.Tag)))
	b = le.AppendUint64(b, m.Object)
	b = le.AppendUint32(b, m.Chunk)
	b = le.AppendUint16(b, m.Group)
	b = append(b, m.Rank, 0)
	b = le.AppendUint64(b, m.Seq)
	b = le.AppendUint64(b, uint64(m.IssuedAt))
	b = le.AppendUint32(b, uint32(size))
	b = le.AppendUint32(b, bodySum)
	b = le.AppendUint64(b, uint64(wroteMS))
	b = le.AppendUint32(b, 0)
	sum := crc32.Update(salted(salt), castagnoli, b[from:])
	b = le.AppendUint32(b, crc32.Update(sum, castagnoli, []byte(m.Tag)))
	return append(b, m.Tag...)
}

// head is what a record's head says of it.
type head struct {
	Meta
	bodyLen int
	bodySum uint32
	struck  bool
}

func (h head) size() int64 { return recordSize(len(h.Tag), h.bodyLen) }

// parseHead reads a record's head and tag. Whatever is wrong with it, nothing of it is used.
func parseHead(b []byte, salt uint64) (head, error) {
	var h head
	le := binary.LittleEndian
	if len(b) < recordHead || le.Uint32(b) != recordMagic {
		return h, fmt.Errorf("no record")
	}
	tag := int(le.Uint16(b[6:]))
	if tag > mostTag || len(b) < recordHead+tag {
		return h, fmt.Errorf("a tag of %d bytes", tag)
	}
	sum := crc32.Update(salted(salt), castagnoli, b[:recordHead-4])
	if le.Uint32(b[recordHead-4:]) != crc32.Update(sum, castagnoli, b[recordHead:recordHead+tag]) {
		return h, fmt.Errorf("head's checksum does not hold")
	}
	if b[4] != formatVersion || b[5] != partKind && b[5] != struckKind {
		return h, fmt.Errorf("record of version %d and kind %d", b[4], b[5])
	}
	h.Object, h.Chunk, h.Group, h.Rank = le.Uint64(b[8:]), le.Uint32(b[16:]), le.Uint16(b[20:]), b[22]
	h.struck = b[5] == struckKind
	h.Seq, h.IssuedAt = le.Uint64(b[24:]), int64(le.Uint64(b[32:]))
	h.bodyLen, h.bodySum = int(le.Uint32(b[40:])), le.Uint32(b[44:])
	h.Tag = string(b[recordHead : recordHead+tag])
	if h.bodyLen > mostBody {
		return h, fmt.Errorf("a body of %d bytes", h.bodyLen)
	}
	return h, nil
}
