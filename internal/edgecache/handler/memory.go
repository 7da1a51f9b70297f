package handler

import (
	"container/list"
	"fmt"

	"cairnfront/internal/diskcache/eviction"
)

const (
	rankCount = 4 // rank 0 is not cached, rank 3 is evicted last
	// copyBytes is the memory that a copy takes besides its body: its entry and its places in a list and a map.
	copyBytes = 256
)

// memoryCache holds copies in memory. The lowest rank is evicted first, then the least recently used copy.
type memoryCache struct {
	limit   int64 // bytes
	bytes   int64
	entries map[eviction.Key]*memoryEntry
	byRank  [rankCount]*list.List // of *memoryEntry, least recently used first
}

type memoryEntry struct {
	copy    *Copy
	element *list.Element
}

func newMemoryCache(limit int64) *memoryCache {
	m := &memoryCache{limit: limit, entries: map[eviction.Key]*memoryEntry{}}
	for rank := range m.byRank {
		m.byRank[rank] = list.New()
	}
	return m
}

// get returns the copy of a chunk, nil if there is none.
func (m *memoryCache) get(key eviction.Key) *Copy {
	if e := m.entries[key]; e != nil {
		return e.copy
	}
	return nil
}

// touch marks a copy as used.
func (m *memoryCache) touch(key eviction.Key) {
	if e := m.entries[key]; e != nil {
		m.byRank[e.copy.Rank].MoveToBack(e.element)
	}
}

// put caches a copy in place of an older one and bounds its rank. It evicts no copy of a higher rank; without room the
// copy is not cached.
func (m *memoryCache) put(c *Copy) {
	m.remove(c.Key)
	c.Rank = min(max(c.Rank, 0), rankCount-1)
	needed := int64(len(c.Body)) + copyBytes
	if c.Rank == 0 || needed > m.limit {
		return
	}
	m.evict(needed, c.Rank)
	if m.bytes+needed > m.limit {
		return
	}
	e := &memoryEntry{copy: c}
	e.element = m.byRank[c.Rank].PushBack(e)
	m.entries[c.Key] = e
	m.bytes += needed
}

// evict makes room by evicting copies up to a rank.
func (m *memoryCache) evict(needed int64, maxRank int) {
	for rank := 1; rank <= maxRank && m.bytes+needed > m.limit; {
		oldest := m.byRank[rank].Front()
		if oldest == nil {
			rank++
			continue
		}
		m.remove(entryOf(oldest).copy.Key)
	}
}

// entryOf is the entry in a place of a list: put stores nothing else there.
func entryOf(place *list.Element) *memoryEntry {
	entry, ok := place.Value.(*memoryEntry)
	if !ok {
		panic(fmt.Sprintf("memory cache: a list holds a %T", place.Value))
	}
	return entry
}

func (m *memoryCache) remove(key eviction.Key) {
	if e := m.entries[key]; e != nil {
		m.byRank[e.copy.Rank].Remove(e.element)
		delete(m.entries, key)
		m.bytes -= int64(len(e.copy.Body)) + copyBytes
	}
}
