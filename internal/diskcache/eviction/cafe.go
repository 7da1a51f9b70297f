package eviction

import (
	"math"
	"slices"

	"github.com/google/btree"
)

const (
	minCacheAge       = 1.0  // seconds; lower bound for a disk that was filled just now
	treeDegree        = 32   // B-tree degree: a search in a node reads two CPU cache lines of child pointers
	maxComparedChunks = 64   // per object; bounds the work to estimate the gap of an unseen chunk
	minGap            = 1e-9 // seconds; avoids a division by zero
	fillingDivisor    = 2    // below CapacityBytes/fillingDivisor cached bytes, the disk counts as filling
)

// Config configures a Cafe policy.
type Config struct {
	Alpha              float64 // cost of a cache fill relative to a redirect (alpha_F2R of the paper), must be positive
	CapacityBytes      int64   // capacity of the disk for cached chunks
	MaxUncachedEntries int     // maximum number of uncached chunks whose access history is retained
	DailyWriteBytes    int64   // write limit per day; 0 means no limit
}

// Cafe is the Cafe Cache policy of the paper. It compares the cost of a cache fill with the cost of redirecting a
// request, both estimated from the mean gap between requests (inter-arrival time) of chunks. It is not safe for
// concurrent use.
//
// Its memory is EntryBytes for each cached chunk and each of up to MaxUncachedEntries uncached chunks.
type Cafe struct {
	config       Config
	fillCost     float64 // C_F of the paper
	redirectCost float64 // C_R of the paper
	entries      map[Key]*entry
	cached       *btree.BTreeG[*entry] // cached chunks, largest mean gap first
	uncached     entryList             // uncached chunks, least recently requested first
	byObject     map[uint64][]*entry   // cached chunks of each object
	chunks       int                   // number of cached chunks
	bytes        int64                 // total size of cached chunks
	firstRequest float64               // Unix seconds, NaN before the first request
	budget       writeBudget
}

// NewCafe returns a policy with an empty cache. An invalid Alpha is replaced by 1.
func NewCafe(config Config) *Cafe {
	if !(config.Alpha > 0) || math.IsInf(config.Alpha, 1) {
		config.Alpha = 1
	}
	c := &Cafe{
		config:       config,
		fillCost:     2 * config.Alpha / (config.Alpha + 1),
		redirectCost: 2 / (config.Alpha + 1),
		entries:      map[Key]*entry{},
		cached:       btree.NewG(treeDegree, byDescendingGap),
		byObject:     map[uint64][]*entry{},
		firstRequest: math.NaN(),
		budget:       newWriteBudget(config.DailyWriteBytes),
	}
	c.uncached.init()
	return c
}

// Bytes returns the total size of the cached chunks.
func (c *Cafe) Bytes() int64 { return c.bytes }

// Chunks returns the number of cached chunks.
func (c *Cafe) Chunks() int { return c.chunks }

// UncachedEntries returns the number of uncached chunks whose access history is retained.
func (c *Cafe) UncachedEntries() int { return c.uncached.count }

// Contains reports whether a chunk is cached.
func (c *Cafe) Contains(key Key) bool {
	e := c.entries[key]
	return e != nil && e.cached
}

// WriteBudget returns the number of bytes that may be written now, infinite without a daily limit.
func (c *Cafe) WriteBudget(now float64) float64 { return c.budget.available(now) }

// CacheAge returns the cache age in seconds (T of the paper): the mean gap of the chunk that would be evicted first.
// Before the disk is half full it is the time since the first request, if that is longer.
func (c *Cafe) CacheAge(now float64) float64 {
	age := minCacheAge
	if e, ok := c.cached.Min(); ok {
		age = max(age, e.gap(now))
	}
	if !math.IsNaN(c.firstRequest) && c.isFilling() {
		age = max(age, now-c.firstRequest)
	}
	return age
}

// isFilling reports whether the disk is less than half full. The mean gap of the chunk that would be evicted first is
// then no estimate of how long a chunk stays cached.
func (c *Cafe) isFilling() bool { return c.bytes < c.config.CapacityBytes/fillingDivisor }

// MeanGapAt returns the mean gap between requests of a chunk in seconds, as of now (Eq. 8 of the paper). For an unseen
// chunk it is the largest gap of the cached chunks of its object, or infinite if there are none.
func (c *Cafe) MeanGapAt(now float64, key Key) float64 {
	if e := c.entries[key]; e != nil {
		return e.gap(now)
	}
	largest := 0.0
	chunks := c.byObject[key.Object]
	for _, e := range chunks[:min(len(chunks), maxComparedChunks)] {
		largest = max(largest, e.gap(now))
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return largest
}

// Request implements Policy (Eq. 6 and 7 of the paper).
func (c *Cafe) Request(now float64, key Key, size int64) Decision {
	if math.IsNaN(c.firstRequest) {
		c.firstRequest = now
	}
	age, gap := c.CacheAge(now), c.MeanGapAt(now, key)
	e := c.entries[key]
	if e != nil && e.cached {
		c.recordAccess(e, now)
		return Decision{Cached: true}
	}
	admit, evicted := c.compareCosts(now, size, age, gap)
	if e == nil { // the cache age is the initial mean gap of an unseen chunk
		e = &entry{key: key, meanGap: age, lastAccess: now}
		c.entries[key] = e
		c.uncached.pushBack(e)
	}
	e.size = size
	c.recordAccess(e, now)
	decision := Decision{Admit: admit}
	if admit {
		for _, victim := range evicted {
			decision.Evict = append(decision.Evict, victim.key)
			c.evict(victim)
		}
		c.budget.spend(size)
		c.admit(e)
	}
	c.trimUncached()
	return decision
}

// compareCosts compares the cost of filling a chunk with the cost of redirecting its request. It reports whether the
// fill is cheaper and returns the chunks that must be evicted for it.
func (c *Cafe) compareCosts(now float64, size int64, age, gap float64) (admit bool, displaced []*entry) {
	if size <= 0 || size > c.config.CapacityBytes {
		return false, nil
	}
	if c.budget.available(now) < float64(size) {
		return false, nil
	}
	fill := c.costOfFill(size)
	redirect := c.costOfRedirect(size, age, gap)
	needed := size - (c.config.CapacityBytes - c.bytes)
	c.cached.Ascend(func(victim *entry) bool {
		if needed <= 0 || fill >= redirect {
			return false
		}
		fill += c.costOfEviction(min(victim.size, needed), age, victim.gap(now))
		needed -= victim.size
		displaced = append(displaced, victim)
		return true
	})
	return needed <= 0 && fill < redirect, displaced
}

// costOfFill returns the cost of writing a chunk of the given size, without the cost of evictions (Eq. 6, first term).
// It is higher while the write budget is low.
func (c *Cafe) costOfFill(size int64) float64 {
	return float64(size) * c.fillCost * (1 + c.budget.surcharge())
}

// costOfRedirect returns the cost of redirecting this request and those expected while the chunk would be cached
// (Eq. 7 of the paper).
func (c *Cafe) costOfRedirect(size int64, age, gap float64) float64 {
	return float64(size) * (c.redirectCost + age/gap*min(c.fillCost, c.redirectCost))
}

// costOfEviction returns the cost of the requests expected for size bytes of an evicted chunk (Eq. 6, second term).
func (c *Cafe) costOfEviction(size int64, age, gap float64) float64 {
	return float64(size) * age / max(gap, minGap) * min(c.fillCost, c.redirectCost)
}

// recordAccess updates the mean gap and last access of an entry and its position in the tree or list.
func (c *Cafe) recordAccess(e *entry, now float64) {
	if e.cached {
		c.cached.Delete(e)
	} else {
		c.uncached.remove(e)
	}
	e.meanGap = e.gap(now)
	e.lastAccess = max(now, e.lastAccess)
	c.insert(e)
}

// insert adds an entry to the tree of cached chunks or the list of uncached ones.
func (c *Cafe) insert(e *entry) {
	e.updateSortKey()
	if e.cached {
		c.cached.ReplaceOrInsert(e)
	} else {
		c.uncached.pushBack(e)
	}
}

// admit marks the chunk of an entry as cached and moves the entry from the list to the tree.
func (c *Cafe) admit(e *entry) {
	c.uncached.remove(e)
	e.cached = true
	c.chunks++
	c.bytes += e.size
	c.byObject[e.key.Object] = append(c.byObject[e.key.Object], e)
	c.insert(e)
}

// evict marks the chunk of an entry as uncached and moves the entry from the tree to the list.
func (c *Cafe) evict(e *entry) {
	c.cached.Delete(e)
	e.cached = false
	c.chunks--
	c.bytes -= e.size
	c.removeFromObject(e)
	c.uncached.pushBack(e)
}

// removeFromObject removes an entry from the list of its object's cached chunks.
func (c *Cafe) removeFromObject(e *entry) {
	chunks := c.byObject[e.key.Object]
	if i := slices.Index(chunks, e); i >= 0 {
		last := len(chunks) - 1
		chunks[i] = chunks[last]
		chunks[last] = nil
		chunks = chunks[:last]
	}
	if len(chunks) == 0 {
		delete(c.byObject, e.key.Object)
		return
	}
	c.byObject[e.key.Object] = chunks
}

// trimUncached removes the least recently used entries of uncached chunks while there are more than MaxUncachedEntries.
func (c *Cafe) trimUncached() {
	for c.uncached.count > c.config.MaxUncachedEntries {
		oldest := c.uncached.front()
		c.uncached.remove(oldest)
		delete(c.entries, oldest.key)
	}
}

// Remove marks a chunk as not cached, because it could not be written or read, or was purged.
func (c *Cafe) Remove(key Key) {
	if e := c.entries[key]; e != nil && e.cached {
		c.evict(e)
		c.trimUncached()
	}
}

// AccessHistory is the access history of a cached chunk. The index snapshot stores it.
type AccessHistory struct {
	MeanGap    float64 // mean seconds between requests
	LastAccess float64 // Unix seconds
}

// History returns the access history of a cached chunk.
func (c *Cafe) History(key Key) (AccessHistory, bool) {
	e := c.entries[key]
	if e == nil || !e.cached {
		return AccessHistory{}, false
	}
	return AccessHistory{MeanGap: e.meanGap, LastAccess: e.lastAccess}, true
}

// Restore adds a chunk that was found on the disk at a start. It returns the chunks that the caller must delete because
// the cached chunks exceed the capacity.
func (c *Cafe) Restore(key Key, size int64, history AccessHistory) []Key {
	e := c.entries[key]
	if e != nil && e.cached {
		return nil
	}
	if e == nil {
		e = &entry{key: key}
		c.entries[key] = e
		c.uncached.pushBack(e)
	}
	e.size = size
	e.meanGap = max(history.MeanGap, 0)
	e.lastAccess = history.LastAccess
	c.admit(e)
	var evicted []Key
	for c.bytes > c.config.CapacityBytes {
		victim, _ := c.cached.Min()
		evicted = append(evicted, victim.key)
		c.evict(victim)
	}
	c.trimUncached()
	return evicted
}
