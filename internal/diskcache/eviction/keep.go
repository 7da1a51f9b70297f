// Package keep decides which parts a disk keeps and which go: the mechanism of Cafe Cache at its original place (the
// paper's section 6). It does no I/O and has no clock: every call says when it is.
//
// A caller asks once for each request of a part, when the part's size is known, carries out what is said, and tells
// what it could not carry out with Lost.
package eviction

import (
	"math"
	"slices"

	"github.com/google/btree"
)

const (
	gamma       = 0.25    // weight of the newest gap (Eq. 8; the paper's value in all experiments)
	leastAge    = 1.0     // s, T at least: a disk that was just filled has no age yet to judge by
	degree      = 32      // children of a tree's node: two cache lines of pointers are searched at once
	burstShare  = 1. / 24 // of the day's budget of writes that may be spent at once: an hour's, for a publication
	dearBelow   = 0.5     // share of that burst under which writing costs more, up to twice its price where it is spent
	daySeconds  = 86400   // s
	siblingsMax = 64      // held parts of an object that are looked at for the gap of an unseen one: bounds the work
)

// EntryBytes is about what a part that is held or remembered takes in memory: the entry, its places in the map, in
// the tree and in its object's list. Measured by BenchmarkAsk's heap at 10^6 parts.
const EntryBytes = 208

// Key names a part of an object.
type Key struct {
	Object uint64
	Chunk  uint32
}

// Terms are what the operators' file says of the choice.
type Config struct {
	Alpha           float64 // cost of a fill over that of a pass (the paper's alpha_F2R), over 0
	CapacityBytes   int64   // bytes of the disk
	MaxGhosts       int     // parts remembered that are not held
	DailyWriteBytes int64   // bytes that may be written a day, 0 for any
}

// Choice is what is to be done with a part that was asked for.
type Decision struct {
	Cached bool  // it was held already
	Admit  bool  // it is to be written, and is held from now on
	Evict  []Key // parts to drop for it
}

// Policy is a choice that can be compared with others. Only Core serves; the others are baselines.
type Policy interface {
	Request(now float64, k Key, size int64) Decision
}

// entry is a part that is held, or a ghost: one that is remembered with its gap.
type entry struct {
	key      Key
	size     int64
	dt, last float64 // s; Unix s
	rank     float64 // order by gap, the same at any time (Theorem 1)
	held     bool
	prev     *entry // among the ghosts, by time of last use
	next     *entry
}

// list holds entries, longest unused first.
type list struct {
	root entry
	n    int
}

func (l *list) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *list) push(e *entry) {
	e.prev, e.next = l.root.prev, &l.root
	e.prev.next, e.next.prev = e, e
	l.n++
}

func (l *list) cut(e *entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	e.prev, e.next = nil, nil
	l.n--
}

func (l *list) oldest() *entry {
	if l.n == 0 {
		return nil
	}
	return l.root.next
}

// Core is the choice. It is not safe for more than one goroutine.
type Cafe struct {
	terms  Config
	cf, cr float64
	parts  map[Key]*entry
	byGap  *btree.BTreeG[*entry] // held parts, largest gap first
	count  int                   // of held parts
	ghosts list
	of     map[uint64][]*entry // held parts of an object
	bytes  int64
	first  float64 // when the first request came

	tokens, filled float64 // bytes that may be written now; as of when
}

// New makes a choice that holds nothing.
func NewCafe(t Config) *Cafe {
	if !(t.Alpha > 0) || math.IsInf(t.Alpha, 1) {
		t.Alpha = 1
	}
	c := &Cafe{terms: t, cf: 2 * t.Alpha / (t.Alpha + 1), cr: 2 / (t.Alpha + 1), parts: map[Key]*entry{},
		of: map[uint64][]*entry{}, first: math.NaN(), tokens: float64(t.DailyWriteBytes) * burstShare}
	c.byGap = btree.NewG(degree, func(a, b *entry) bool {
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		if a.key.Object != b.key.Object {
			return a.key.Object < b.key.Object
		}
		return a.key.Chunk < b.key.Chunk
	})
	c.ghosts.init()
	return c
}

// Bytes is how much is held, Parts how many parts, Remembered how many that are not held.
func (c *Cafe) Bytes() int64 { return c.bytes }

// Parts is how many parts are held.
func (c *Cafe) Chunks() int { return c.count }

// Remembered is how many parts are remembered that are not held.
func (c *Cafe) Ghosts() int { return c.ghosts.n }

// Holds says whether a part is held.
func (c *Cafe) Contains(k Key) bool { e := c.parts[k]; return e != nil && e.held }

// Budget is how many bytes may be written now, infinite where there is no budget.
func (c *Cafe) WriteBudget(now float64) float64 {
	if c.terms.DailyWriteBytes <= 0 {
		return math.Inf(1)
	}
	c.refill(now)
	return c.tokens
}

// Horizon is T: the age of the oldest part, which is the averaged gap of the one that would go first; before the disk
// is half full, the time for which there have been requests, if that is more. In seconds. The time since the least
// recent use was tried and is worse: one part that was much wanted for an hour keeps its low gap while it ages, T grows
// with it, and where T is large alpha no longer counts (docs/disk-tier.md has the figures).
func (c *Cafe) CacheAge(now float64) float64 {
	T := leastAge
	if e, ok := c.byGap.Min(); ok {
		T = max(T, e.gap(now))
	}
	if !math.IsNaN(c.first) && c.bytes < c.terms.CapacityBytes/2 {
		T = max(T, now-c.first)
	}
	return T
}

func (e *entry) gap(now float64) float64 { return gamma*(now-e.last) + (1-gamma)*e.dt }

// Gap is a part's averaged gap (Eq. 8) in seconds; that of an unseen one is the largest of its object's held parts,
// infinite where none is held.
func (c *Cafe) Gap(now float64, k Key) float64 {
	if e := c.parts[k]; e != nil {
		return e.gap(now)
	}
	largest := 0.0
	siblings := c.of[k.Object]
	for _, e := range siblings[:min(len(siblings), siblingsMax)] {
		largest = max(largest, e.gap(now))
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return largest
}

// Ask takes a request of a part of so many bytes and says what to do with it (Eq. 6 and 7).
func (c *Cafe) Request(now float64, k Key, size int64) Decision {
	if math.IsNaN(c.first) {
		c.first = now
	}
	T, gap := c.CacheAge(now), c.Gap(now, k)
	e := c.parts[k]
	if e != nil && e.held {
		c.requested(e, now, T)
		return Decision{Cached: true}
	}
	keep, out := c.serves(now, size, T, gap)
	if e == nil {
		e = &entry{key: k, dt: T, last: now}
		c.parts[k] = e
		c.ghosts.push(e)
	}
	e.size = size
	c.requested(e, now, T)
	choice := Decision{Admit: keep}
	if keep {
		for _, x := range out {
			choice.Evict = append(choice.Evict, x.key)
			c.drop(x)
		}
		c.tokens -= float64(size)
		c.hold(e)
	}
	c.forget()
	return choice
}

// serves compares the cost of keeping a part of a size with that of passing it, and names what it would displace.
func (c *Cafe) serves(now float64, size int64, T, gap float64) (bool, []*entry) {
	if size <= 0 || size > c.terms.CapacityBytes {
		return false, nil
	}
	least, wear := min(c.cf, c.cr), 0.0
	if c.terms.DailyWriteBytes > 0 {
		if c.refill(now); c.tokens < float64(size) {
			return false, nil
		}
		burst := float64(c.terms.DailyWriteBytes) * burstShare
		wear = max(0, 1-c.tokens/burst/dearBelow)
	}
	serve := float64(size) * c.cf * (1 + wear)
	pass := float64(size) * (c.cr + T/gap*least)
	var out []*entry
	need := size - (c.terms.CapacityBytes - c.bytes)
	c.byGap.Ascend(func(x *entry) bool {
		if need <= 0 || serve >= pass {
			return false
		}
		serve += float64(min(x.size, need)) * T / max(x.gap(now), 1e-9) * least
		need -= x.size
		out = append(out, x)
		return true
	})
	return need <= 0 && serve < pass, out
}

// requested updates a part's gap and its places. A first request sets its gap to T (the design's own rule).
func (c *Cafe) requested(e *entry, now, T float64) {
	if e.held {
		c.byGap.Delete(e)
	} else {
		c.ghosts.cut(e)
	}
	e.dt, e.last = e.gap(now), max(now, e.last)
	c.place(e)
}

func (c *Cafe) place(e *entry) {
	e.rank = gamma*e.last - (1-gamma)*e.dt
	if e.held {
		c.byGap.ReplaceOrInsert(e)
	} else {
		c.ghosts.push(e)
	}
}

func (c *Cafe) hold(e *entry) {
	c.ghosts.cut(e)
	e.held = true
	c.count++
	c.bytes += e.size
	c.of[e.key.Object] = append(c.of[e.key.Object], e)
	c.place(e)
}

// drop makes a held part a ghost.
func (c *Cafe) drop(e *entry) {
	c.byGap.Delete(e)
	c.count--
	e.held = false
	c.bytes -= e.size
	rest := c.of[e.key.Object]
	if i := slices.Index(rest, e); i >= 0 {
		rest[i] = rest[len(rest)-1]
		rest[len(rest)-1] = nil
		rest = rest[:len(rest)-1]
	}
	if c.of[e.key.Object] = rest; len(rest) == 0 {
		delete(c.of, e.key.Object)
	}
	c.ghosts.push(e)
}

// forget keeps the ghosts within their bound, the longest unused first.
func (c *Cafe) forget() {
	for c.ghosts.n > c.terms.MaxGhosts {
		e := c.ghosts.oldest()
		c.ghosts.cut(e)
		delete(c.parts, e.key)
	}
}

// Lost says that a part is not held after all: it could not be written or read, or was purged.
func (c *Cafe) Remove(k Key) {
	if e := c.parts[k]; e != nil && e.held {
		c.drop(e)
		c.forget()
	}
}

// Memory is what is known of a held part; it goes into the index snapshot and comes back from there.
type AccessHistory struct {
	MeanGap, LastAccess float64 // s; Unix s
}

// Recall says what is known of a held part.
func (c *Cafe) History(k Key) (AccessHistory, bool) {
	e := c.parts[k]
	if e == nil || !e.held {
		return AccessHistory{}, false
	}
	return AccessHistory{MeanGap: e.dt, LastAccess: e.last}, true
}

// Load takes a part that was found on the disk at a start. It returns what has to be dropped where the disk holds
// more than it should by now.
func (c *Cafe) Restore(k Key, size int64, m AccessHistory) []Key {
	e := c.parts[k]
	if e != nil && e.held {
		return nil
	}
	if e == nil {
		e = &entry{key: k}
		c.parts[k] = e
		c.ghosts.push(e)
	}
	e.size, e.dt, e.last = size, max(m.MeanGap, 0), m.LastAccess
	c.hold(e)
	var out []Key
	for c.bytes > c.terms.CapacityBytes {
		x, _ := c.byGap.Min()
		out = append(out, x.key)
		c.drop(x)
	}
	c.forget()
	return out
}

// refill adds what the budget gained since it was last looked at.
func (c *Cafe) refill(now float64) {
	if c.filled > 0 && now > c.filled {
		rate := float64(c.terms.DailyWriteBytes) / daySeconds
		c.tokens = min(c.tokens+rate*(now-c.filled), float64(c.terms.DailyWriteBytes)*burstShare)
	}
	c.filled = max(c.filled, now)
}
