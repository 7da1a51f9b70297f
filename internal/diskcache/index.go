package diskcache

import (
	"math/bits"

	"cairnfront/internal/diskcache/eviction"
)

const (
	// IndexBytesPerChunk is the index memory per chunk: locationBytes for each slot, in tables that are 64% to 80%
	// full once they have grown. BenchmarkOpen with a million chunks reports 50 to 63 bytes.
	IndexBytesPerChunk = 63

	locationBytes = 40
	shardCount    = 256  // many small tables, so that growing one copies few entries
	minTableLen   = 16   // slots
	maxLoadFactor = 0.80 // maximum load factor; probe sequences stay short up to this value
	tableGrowth   = 1.25 // growth factor of a full table
	reserveMargin = 1.05 // slots reserved relative to the average, as shards fill unevenly
	noSegment     = 0    // segment ID of a free slot
)

// location is the position of a chunk's record on the disk. In a free slot of the index, segment is noSegment.
type location struct {
	object         uint64
	seq            uint64
	chunk          uint32
	segment        uint32
	alignedOffset  uint32 // offset in the segment, in units of recordAlignment bytes
	size           uint32 // size of the record in bytes
	confirmedEpoch uint16 // validation epoch of the upstream's last confirmation, 0 if there was none since the start
	rank           uint8
}

func newLocation(segmentID uint32, offset, size int64, m Meta) location {
	return location{
		object:        m.Object,
		seq:           m.Seq,
		chunk:         m.Chunk,
		segment:       segmentID,
		alignedOffset: uint32(offset / recordAlignment),
		size:          uint32(size),
		rank:          m.Rank,
	}
}

func (l *location) key() eviction.Key { return eviction.Key{Object: l.object, Chunk: l.chunk} }

// offset returns the record's offset in its segment in bytes.
func (l *location) offset() int64 { return int64(l.alignedOffset) * recordAlignment }

// index is a sharded open-addressing hash table of locations. The zero value is an empty index.
type index struct {
	tables [shardCount][]location
	used   [shardCount]int
	count  int
}

// hashKey returns a 64-bit hash of a key. The top eight bits select the shard.
func hashKey(key eviction.Key) uint64 {
	h := key.Object ^ uint64(key.Chunk)*0x9e3779b97f4a7c15
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func shardOf(hash uint64) uint64 { return hash >> 56 }

// homeSlot returns the slot at which probing for a hash begins.
func homeSlot(hash uint64, tableLen int) int {
	hi, _ := bits.Mul64(hash<<8, uint64(tableLen))
	return int(hi)
}

func nextSlot(slot, tableLen int) int {
	if slot+1 == tableLen {
		return 0
	}
	return slot + 1
}

// find returns the location of a key, or nil if there is none. The pointer is valid until the next put or remove.
func (x *index) find(key eviction.Key) *location {
	hash := hashKey(key)
	table := x.tables[shardOf(hash)]
	if len(table) == 0 {
		return nil
	}
	for slot := homeSlot(hash, len(table)); ; slot = nextSlot(slot, len(table)) {
		loc := &table[slot]
		if loc.segment == noSegment {
			return nil
		}
		if loc.object == key.Object && loc.chunk == key.Chunk {
			return loc
		}
	}
}

// put adds a location or replaces the location of the same key.
func (x *index) put(loc location) {
	if old := x.find(loc.key()); old != nil {
		*old = loc
		return
	}
	shard := shardOf(hashKey(loc.key()))
	if float64(x.used[shard]+1) > maxLoadFactor*float64(len(x.tables[shard])) {
		x.grow(shard)
	}
	x.insert(shard, loc)
	x.used[shard]++
	x.count++
}

func (x *index) grow(shard uint64) {
	old := x.tables[shard]
	x.tables[shard] = make([]location, max(int(float64(len(old))*tableGrowth), minTableLen))
	for i := range old {
		if old[i].segment != noSegment {
			x.insert(shard, old[i])
		}
	}
}

// reserve allocates tables for the given number of chunks in an empty index. Without it, chunks inserted in the slot
// order of another table would cluster at the front of each small table while it grows.
func (x *index) reserve(chunks int) {
	slots := int(float64(chunks) / shardCount * reserveMargin / maxLoadFactor)
	for shard := range x.tables {
		x.tables[shard] = make([]location, max(slots, minTableLen))
	}
}

// insert stores a location in the next free slot. Its key must not be in the table.
func (x *index) insert(shard uint64, loc location) {
	table := x.tables[shard]
	slot := homeSlot(hashKey(loc.key()), len(table))
	for table[slot].segment != noSegment {
		slot = nextSlot(slot, len(table))
	}
	table[slot] = loc
}

// remove deletes a key and reports whether it was present. Later locations of the probe sequence are shifted back, so
// that no search ends at the freed slot.
func (x *index) remove(key eviction.Key) bool {
	loc := x.find(key)
	if loc == nil {
		return false
	}
	hash := hashKey(key)
	shard := shardOf(hash)
	table := x.tables[shard]
	gap := homeSlot(hash, len(table))
	for &table[gap] != loc {
		gap = nextSlot(gap, len(table))
	}
	for slot := nextSlot(gap, len(table)); table[slot].segment != noSegment; slot = nextSlot(slot, len(table)) {
		home := homeSlot(hashKey(table[slot].key()), len(table))
		distance := (slot - home + len(table)) % len(table)
		// The location may move into the gap unless its home slot lies after the gap (modulo the table length).
		if distance >= (slot-gap+len(table))%len(table) {
			table[gap], gap = table[slot], slot
		}
	}
	table[gap] = location{}
	x.used[shard]--
	x.count--
	return true
}

// each calls f for every location until f returns false.
func (x *index) each(f func(*location) bool) {
	for shard := range x.tables {
		for i := range x.tables[shard] {
			if loc := &x.tables[shard][i]; loc.segment != noSegment && !f(loc) {
				return
			}
		}
	}
}

// MeasureIndexBytes builds an index with the given number of chunks and returns the memory of its slots per chunk.
func MeasureIndexBytes(chunks int) float64 {
	const chunksPerObject = 15
	var x index
	for i := range chunks {
		x.put(location{object: uint64(i / chunksPerObject), chunk: uint32(i % chunksPerObject), segment: 1})
	}
	slots := 0
	for shard := range x.tables {
		slots += len(x.tables[shard])
	}
	return float64(slots) * locationBytes / float64(max(chunks, 1))
}
