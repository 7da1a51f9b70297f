package diskcache

import (
	"math/bits"

	"cairnfront/internal/diskcache/eviction"
)

// IndexBytes is what the index takes in memory a part: 40 bytes a place, and a table is between 64% and 80% full once
// it has grown. Measured over a million parts by BenchmarkOpen: 50 to 63.
const IndexBytesPerChunk = 63

const (
	shards      = 256  // so that a table that grows copies few entries
	leastLen    = 16   // places of a table at first
	fullest     = 0.80 // share of places used at most: linear probing is short up to there
	growthBy    = 1.25
	reserveMore = 1.05 // a shard holds a little more or less than its even part
	noSegment   = 0
	placeBytes  = 40
)

// place is where a copy lies. A free place has no segment.
type place struct {
	object    uint64
	seq       uint64
	part      uint32
	segment   uint32
	at        uint32 // in grains
	size      uint32 // on the disk, in bytes
	confirmed uint16 // the doubt in which its source last confirmed it
	rank      uint8
}

func (p *place) key() eviction.Key { return eviction.Key{Object: p.object, Chunk: p.part} }

// index is an open table of places in shards; the zero value is empty.
type index struct {
	tables [shards][]place
	used   [shards]int
	n      int
}

func hash(k eviction.Key) uint64 {
	x := k.Object ^ uint64(k.Chunk)*0x9e3779b97f4a7c15
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func home(h uint64, n int) int {
	hi, _ := bits.Mul64(h<<8, uint64(n))
	return int(hi)
}

// find returns the place of a key, nil if there is none. It is good until the next put or remove.
func (x *index) find(k eviction.Key) *place {
	h := hash(k)
	table := x.tables[h>>56]
	if len(table) == 0 {
		return nil
	}
	for i := home(h, len(table)); ; {
		p := &table[i]
		if p.segment == noSegment {
			return nil
		}
		if p.object == k.Object && p.part == k.Chunk {
			return p
		}
		if i++; i == len(table) {
			i = 0
		}
	}
}

// put adds a place or replaces that of the same key.
func (x *index) put(p place) {
	if old := x.find(p.key()); old != nil {
		*old = p
		return
	}
	s := hash(p.key()) >> 56
	if float64(x.used[s]+1) > fullest*float64(len(x.tables[s])) {
		old := x.tables[s]
		x.tables[s] = make([]place, max(int(float64(len(old))*growthBy), leastLen))
		for i := range old {
			if old[i].segment != noSegment {
				x.insert(s, old[i])
			}
		}
	}
	x.insert(s, p)
	x.used[s]++
	x.n++
}

// reserve makes room for n parts in an empty index. Without it, parts that come in the order of another table's places
// would crowd at the front of each small table that grows.
func (x *index) reserve(n int) {
	for s := range x.tables {
		x.tables[s] = make([]place, max(int(float64(n)/shards*reserveMore/fullest), leastLen))
	}
}

func (x *index) insert(s uint64, p place) {
	table := x.tables[s]
	i := home(hash(p.key()), len(table))
	for table[i].segment != noSegment {
		if i++; i == len(table) {
			i = 0
		}
	}
	table[i] = p
}

// remove takes a key out; those that follow it move up, so that no search ends too early.
func (x *index) remove(k eviction.Key) bool {
	p := x.find(k)
	if p == nil {
		return false
	}
	s := hash(k) >> 56
	table := x.tables[s]
	gap := home(hash(k), len(table))
	for &table[gap] != p {
		if gap++; gap == len(table) {
			gap = 0
		}
	}
	for i := gap; ; {
		if i++; i == len(table) {
			i = 0
		}
		if table[i].segment == noSegment {
			break
		}
		at := home(hash(table[i].key()), len(table))
		// It may move to the gap unless its home lies after the gap, round the end of the table.
		if (i-at+len(table))%len(table) >= (i-gap+len(table))%len(table) {
			table[gap], gap = table[i], i
		}
	}
	table[gap] = place{}
	x.used[s]--
	x.n--
	return true
}

// each calls f for every place until it says no.
func (x *index) each(f func(*place) bool) {
	for s := range x.tables {
		for i := range x.tables[s] {
			if p := &x.tables[s][i]; p.segment != noSegment && !f(p) {
				return
			}
		}
	}
}

// IndexBytesFor is what the index takes a part once it holds so many, exactly: the places of its tables.
func MeasureIndexBytes(parts int) float64 {
	var x index
	for i := range parts {
		x.put(place{object: uint64(i / 15), part: uint32(i % 15), segment: 1})
	}
	places := 0
	for s := range x.tables {
		places += len(x.tables[s])
	}
	return float64(places) * placeBytes / float64(max(parts, 1))
}
