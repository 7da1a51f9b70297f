package handler

import (
	"container/list"
	"fmt"

	"cairnfront/internal/diskcache/eviction"
)

const (
	rankCount = 4 // copies of rank 0 are not cached, those of rank 3 are evicted last
	// copyOverheadBytes is the memory that a copy uses in addition to its body: its cache entry and its list and map
	// elements.
	copyOverheadBytes = 256
)

// memoryCache caches copies in memory. It evicts the lowest rank first and, within a rank, the least recently used
// copy.
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

// get returns the cached copy of a chunk, or nil if there is none.
func (m *memoryCache) get(key eviction.Key) *Copy {
	if e := m.entries[key]; e != nil {
		return e.copy
	}
	return nil
}

// touch marks the copy of a chunk as the most recently used of its rank.
func (m *memoryCache) touch(key eviction.Key) {
	if e := m.entries[key]; e != nil {
		m.byRank[e.copy.Rank].MoveToBack(e.element)
	}
}

// put caches a copy, replacing an older one of the same chunk, and clamps its rank to the valid range. It never evicts
// a copy of a higher rank; if the memory limit leaves no space otherwise, the copy is not cached.
func (m *memoryCache) put(c *Copy) {
	m.remove(c.Key)
	c.Rank = min(max(c.Rank, 0), rankCount-1)
	needed := int64(len(c.Body)) + copyOverheadBytes
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

// evict evicts copies of at most maxRank until the needed bytes are free or no such copy is left.
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

// entryOf returns the entry in a list element. It panics on another type, since put stores only entries in the lists.
func entryOf(element *list.Element) *memoryEntry {
	entry, ok := element.Value.(*memoryEntry)
	if !ok {
		panic(fmt.Sprintf("memory cache: a list holds a %T", element.Value))
	}
	return entry
}

func (m *memoryCache) remove(key eviction.Key) {
	if e := m.entries[key]; e != nil {
		m.byRank[e.copy.Rank].Remove(e.element)
		delete(m.entries, key)
		m.bytes -= int64(len(e.copy.Body)) + copyOverheadBytes
	}
}
