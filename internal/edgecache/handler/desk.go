// Package desk decides what a cache box does with each txn: answer it from memory, read the disk, ask a source, join
// a fill that is under way, or say that it has nothing. It does no I/O: events come in with the time, actions go out,
// and the shell tells truly how each ended.
package handler

import (
	"container/list"
	"math"
	"slices"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/routing"
)

const (
	ranks       = 4    // 0 keeps nothing, 3 goes last (the protocol's shelf)
	parentRank  = 2    // at which a parent is asked to keep what it fetches for a box: the middle one
	mostRefills = 1    // times that a fill is asked for anew because a purge overtook it
	copyBytes   = 256  // of memory that a copy takes besides its body: its entry, its place in a list and a map
	fillMargin  = 0.02 // s by which a source is told to be done earlier than the txn has to be: the way back
)

// Rule is a remap rule as far as a box has to know it. Times are seconds.
type Class struct {
	Name                       string
	Cacheable                  bool
	FreshSeconds, StaleSeconds float64
}

// Txn is one that a box was asked for. ID is the shell's.
type Request struct {
	ID       uint64
	Key      eviction.Key
	Class    Class
	Deadline float64 // Unix s after which nobody waits
	Source   string  // who fills a miss; empty for nobody
	Rank     int
	MaxAge   float64 // s, 0 for the rule's fresh time

	Join, NoFetch, NoTrace, Renew bool

	Tag string // of the copy that the asker holds

	came float64
}

// Copy is a part that a box has in memory. Seq is its place on the disk, 0 if it is not from there.
type Copy struct {
	eviction.Key
	Tag            string
	IssuedAt       int64 // Unix ms
	Group          uint16
	Rank           int
	Seq            uint64
	ConfirmedEpoch uint16 // the doubt in which its source gave or confirmed it
	Body           []byte
}

func (c *Copy) asked() validity.Copy {
	return validity.Copy{Object: c.Object, Group: c.Group, IssuedAt: c.IssuedAt, Seq: c.Seq, ConfirmedEpoch: c.ConfirmedEpoch}
}

// Action is one of Answer, Read, Fetch, Abandon, Keep, Used, Forget and Confirm.
type Action interface{ action() }

// Answer is the end of a txn. Copy is set where it is completed from one; Same says that the asker's copy is the one.
type Respond struct {
	Request     uint64
	Code        routing.AttemptResult
	Remark      routing.ResultDetail
	NotModified bool
	Copy        *Copy
	PassThrough bool // completed with what the source gave, which is no copy: its bytes are those of the fill
	Fill        uint64
}

// Read asks for a part from the disk; its end is DiskRead.
type ReadDisk struct{ Key eviction.Key }

// Fetch asks a source; its end is Fetched.
type Fetch struct {
	Fill           uint64
	Request        uint64 // whose body goes with it; 0 where it is for no txn in particular
	Key            eviction.Key
	Class          string
	Source         string
	Tag            string  // of the copy in hand
	TimeoutSeconds float64 // s
	MaxAge         float64 // s, 0 for the rule's fresh time
	Rank           int

	NoFetch, NoTrace, Join bool
}

// Abandon gives a fetch up; its end is not waited for.
type CancelFetch struct{ Fill uint64 }

// Keep offers a copy to the disk. Doubts is from before its source was asked.
type WriteDisk struct {
	Copy  *Copy
	Epoch uint16
}

// Used tells the disk's choice of a request that memory answered.
type TouchDisk struct{ Copy *Copy }

// Forget drops a part from the disk.
type DeleteFromDisk struct{ Key eviction.Key }

// Confirm notes that the source has confirmed the copy on the disk.
type ConfirmOnDisk struct {
	Key   eviction.Key
	Seq   uint64
	Epoch uint16
}

func (Respond) action()        {}
func (ReadDisk) action()       {}
func (Fetch) action()          {}
func (CancelFetch) action()    {}
func (WriteDisk) action()      {}
func (TouchDisk) action()      {}
func (DeleteFromDisk) action() {}
func (ConfirmOnDisk) action()  {}

// End is how a fetch ended.
type FetchResult struct {
	Code        routing.AttemptResult
	NotModified bool
	Tag         string
	IssuedAt    int64
	Group       uint16
	Body        []byte
}

// World is what a desk may look up. Its answers hold for the event in hand.
type Environment interface {
	Evaluate(validity.Copy) validity.Verdict
	Epoch() uint16
	OnDisk(eviction.Key) bool
}

// Bounds of a desk.
type Limits struct {
	MemoryBytes        int64   // bytes of copies
	MaxFills           int     // fetches under way
	FillTimeoutSeconds float64 // s after which one is given up
}

type held struct {
	copy  *Copy
	place *list.Element
}

type fill struct {
	no      uint64
	key     eviction.Key
	first   Request
	base    *Copy // the copy that is to be confirmed
	doubts  uint16
	by      float64
	waiters []Request // the first of them began it
	passed  bool      // of a rule that is not kept: one txn's own
	refills int
}

// Desk is the state. It is not safe for more than one goroutine.
type Handler struct {
	world  Environment
	bounds Limits
	now    float64
	acts   []Action

	memory map[eviction.Key]*held
	shelf  [ranks]*list.List // of *held, longest unused first
	bytes  int64

	reads  map[eviction.Key][]Request // who waits for the disk
	fills  map[uint64]*fill
	byKey  map[eviction.Key]*fill // that may be joined
	ofTxn  map[uint64]*fill
	number uint64
}

// New makes an empty desk.
func New(w Environment, b Limits) *Handler {
	d := &Handler{world: w, bounds: b, memory: map[eviction.Key]*held{}, reads: map[eviction.Key][]Request{}, fills: map[uint64]*fill{},
		byKey: map[eviction.Key]*fill{}, ofTxn: map[uint64]*fill{}}
	for i := range d.shelf {
		d.shelf[i] = list.New()
	}
	return d
}

// Bytes is what the copies in memory take; Fills how many fetches are under way.
func (d *Handler) Bytes() int64 { return d.bytes }

// Fills is how many fetches are under way.
func (d *Handler) Fills() int { return len(d.fills) }

func (d *Handler) begin(now float64) { d.now, d.acts = max(d.now, now), d.acts[:0] }

func (d *Handler) do(a Action) { d.acts = append(d.acts, a) }

// Ask takes a txn. The slice is good until the next call, as are those of the other events.
func (d *Handler) HandleRequest(now float64, t Request) []Action {
	d.begin(now)
	if t.came = d.now; !t.Class.Cacheable {
		d.fetch(t, nil, 0)
		return d.acts
	}
	if h := d.memory[t.Key]; h != nil {
		d.weigh(t, h.copy, true)
	} else if d.world.OnDisk(t.Key) {
		if d.reads[t.Key] = append(d.reads[t.Key], t); len(d.reads[t.Key]) == 1 {
			d.do(ReadDisk{t.Key})
		}
	} else {
		d.miss(t)
	}
	return d.acts
}

// DiskRead is the end of a Read: the copy, or nil where it could not be had.
func (d *Handler) HandleDiskRead(now float64, k eviction.Key, c *Copy) []Action {
	d.begin(now)
	waiters := d.reads[k]
	delete(d.reads, k)
	if h := d.memory[k]; h != nil && (c == nil || h.copy.IssuedAt >= c.IssuedAt) {
		c = h.copy // a fill came first
	} else if c != nil {
		d.hold(c)
	}
	for _, t := range waiters {
		if c == nil {
			d.miss(t)
		} else {
			d.weigh(t, c, false)
		}
	}
	return d.acts
}

// limit is the age in seconds that will do.
func (t *Request) limit() float64 {
	switch {
	case t.MaxAge > 0:
		return t.MaxAge
	case t.Class.FreshSeconds > 0:
		return t.Class.FreshSeconds
	}
	return math.Inf(1)
}

func (d *Handler) age(c *Copy) float64 { return d.now - float64(c.IssuedAt)/1000 }

// weigh decides what a copy in hand is worth to a txn.
func (d *Handler) weigh(t Request, c *Copy, memory bool) {
	switch d.world.Evaluate(c.asked()) {
	case validity.Invalidated:
		d.drop(c.Key)
		d.do(DeleteFromDisk{c.Key})
		d.miss(t)
		return
	case validity.Unconfirmed:
		d.fetch(t, c, 0) // only its source can tell
		return
	}
	age := d.age(c)
	if age > t.limit() {
		d.fetch(t, c, 0)
		return
	}
	old := t.Class.FreshSeconds > 0 && age > t.Class.FreshSeconds
	d.serve(t, c, map[bool]routing.ResultDetail{false: routing.CacheHit, true: routing.StaleHit}[old], memory)
	if old && t.Renew && t.Source != "" && d.byKey[t.Key] == nil && len(d.fills) < d.bounds.MaxFills {
		t.ID, t.Deadline = 0, d.now+d.bounds.FillTimeoutSeconds
		d.fetch(t, c, 0)
	}
}

func (d *Handler) serve(t Request, c *Copy, r routing.ResultDetail, used bool) {
	if h := d.memory[c.Key]; h != nil {
		d.shelf[h.copy.Rank].MoveToBack(h.place)
	}
	if used {
		d.do(TouchDisk{c})
	}
	d.do(Respond{Request: t.ID, Code: routing.Completed, Remark: r, NotModified: t.Tag != "" && t.Tag == c.Tag, Copy: c})
}

func (d *Handler) miss(t Request) { d.fetch(t, nil, 0) }

// fetch joins a fill that will do, or begins one; without a source there is nothing to be had.
func (d *Handler) fetch(t Request, base *Copy, refills int) {
	if f := d.byKey[t.Key]; f != nil && t.Class.Cacheable && t.Join && t.ID != 0 && f.first.limit() <= t.limit() && f.by > d.now {
		f.waiters = append(f.waiters, t)
		d.ofTxn[t.ID] = f
		return
	}
	if t.Source == "" {
		d.end(t, routing.CacheMiss)
		return
	}
	if len(d.fills) >= d.bounds.MaxFills {
		d.end(t, routing.Overloaded)
		return
	}
	d.number++
	f := &fill{no: d.number, key: t.Key, first: t, base: base, doubts: d.world.Epoch(), by: d.now + d.bounds.FillTimeoutSeconds,
		passed: !t.Class.Cacheable, refills: refills}
	if f.passed { // it is the txn's own, and ends with it
		f.by = t.Deadline
	}
	d.fills[f.no] = f
	if t.ID != 0 {
		f.waiters, d.ofTxn[t.ID] = []Request{t}, f
	}
	x := Fetch{Fill: f.no, Key: t.Key, Class: t.Class.Name, Source: t.Source, TimeoutSeconds: max(f.by-d.now-fillMargin, fillMargin), NoFetch: t.NoFetch, NoTrace: t.NoTrace}
	if f.passed {
		x.Request, x.Tag = t.ID, t.Tag
	} else {
		if x.MaxAge = t.limit(); math.IsInf(x.MaxAge, 1) {
			x.MaxAge = 0
		}
		if x.Join = true; !t.NoFetch && !t.NoTrace {
			x.Rank = parentRank
		}
		if base != nil {
			x.Tag = base.Tag
		}
		if t.Join || t.ID == 0 {
			d.byKey[t.Key] = f
		}
	}
	d.do(x)
}

func (d *Handler) end(t Request, code routing.AttemptResult) {
	if t.ID != 0 {
		delete(d.ofTxn, t.ID)
		d.do(Respond{Request: t.ID, Code: code})
	}
}

func (d *Handler) forget(f *fill) {
	delete(d.fills, f.no)
	if d.byKey[f.key] == f {
		delete(d.byKey, f.key)
	}
	for _, t := range f.waiters {
		delete(d.ofTxn, t.ID)
	}
}

// Fetched is the end of a Fetch.
func (d *Handler) HandleFetched(now float64, no uint64, e FetchResult) []Action {
	d.begin(now)
	f := d.fills[no]
	if f == nil {
		return d.acts
	}
	d.forget(f)
	switch {
	case f.passed:
		for _, t := range f.waiters {
			if e.Code == routing.Completed {
				d.do(Respond{Request: t.ID, Code: routing.Completed, Remark: routing.Filled, NotModified: e.NotModified, PassThrough: true, Fill: no})
			} else {
				d.end(t, told(e.Code))
			}
		}
	case e.Code != routing.Completed:
		code := told(e.Code)
		for _, t := range f.waiters {
			d.end(t, code)
		}
	default:
		d.filled(f, e)
	}
	return d.acts
}

// told is what an asker hears of a source's end. What surely did not run may be said so; all else may have run.
func told(code routing.AttemptResult) routing.AttemptResult {
	switch code {
	case routing.CacheMiss:
		return routing.CacheMiss
	case routing.Overloaded, routing.ConnectFailed, routing.NotSent:
		return routing.Overloaded
	}
	return routing.ServerError
}

// filled takes what a source gave for a rule that is kept.
func (d *Handler) filled(f *fill, e FetchResult) {
	c := f.base
	if e.NotModified && c == nil { // it confirms what was not asked
		for _, t := range f.waiters {
			d.end(t, routing.ServerError)
		}
		return
	}
	if e.NotModified {
		c = &Copy{Key: c.Key, Tag: c.Tag, IssuedAt: max(c.IssuedAt, e.IssuedAt), Group: c.Group, Rank: c.Rank, Seq: c.Seq, Body: c.Body}
		if e.Group != validity.UnknownGroup {
			c.Group = e.Group
		}
	} else {
		c = &Copy{Key: f.key, Tag: e.Tag, IssuedAt: e.IssuedAt, Group: e.Group, Rank: f.first.Rank, Body: e.Body}
	}
	c.ConfirmedEpoch = f.doubts
	verdict := d.world.Evaluate(c.asked())
	if verdict == validity.Invalidated { // a purge overtook it
		d.drop(f.key)
		d.do(DeleteFromDisk{f.key})
		for _, t := range f.waiters {
			if f.refills < mostRefills && t.Deadline > d.now {
				d.fetch(t, nil, f.refills+1)
			} else {
				d.end(t, routing.ServerError)
			}
		}
		return
	}
	for _, t := range f.waiters {
		c.Rank = max(c.Rank, t.Rank)
	}
	switch {
	case e.NotModified:
		if c.Seq > 0 {
			d.do(ConfirmOnDisk{c.Key, c.Seq, f.doubts})
		}
		if h := d.memory[c.Key]; h == nil || h.copy.IssuedAt <= c.IssuedAt {
			d.hold(c)
		}
	case c.Rank > 0 && !f.first.NoTrace:
		d.hold(c)
		d.do(WriteDisk{c, f.doubts})
	default:
		d.drop(c.Key) // what was there is older
	}
	for i, t := range f.waiters {
		r := routing.Filled
		switch {
		case e.NotModified:
			r = routing.CacheHit // the bytes are the box's own
		case i > 0:
			r = routing.JoinedFill
		}
		if d.age(c) > t.limit()+d.now-t.came+fillMargin && t.ID != 0 { // the source gave one older than was asked for
			if f.refills < mostRefills && t.Deadline > d.now {
				d.fetch(t, nil, f.refills+1)
			} else {
				d.end(t, routing.CacheMiss)
			}
			continue
		}
		d.serve(t, c, r, e.NotModified)
	}
}

// Leave says that nobody waits for a txn any more. A fill runs on; what is the txn's own is given up.
func (d *Handler) HandleCancel(now float64, id uint64, k eviction.Key) []Action {
	d.begin(now)
	if list, ok := d.reads[k]; ok {
		d.reads[k] = slices.DeleteFunc(list, func(t Request) bool { return t.ID == id })
	}
	if f := d.ofTxn[id]; f != nil {
		delete(d.ofTxn, id)
		f.waiters = slices.DeleteFunc(f.waiters, func(t Request) bool { return t.ID == id })
		if f.passed {
			d.forget(f)
			d.do(CancelFetch{f.no})
		}
	}
	return d.acts
}

// Tick gives up fills from which nothing came in time.
func (d *Handler) HandleTick(now float64) []Action {
	d.begin(now)
	var late []*fill
	for _, f := range d.fills {
		if d.now >= f.by {
			late = append(late, f)
		}
	}
	slices.SortFunc(late, func(a, b *fill) int { return int(a.no) - int(b.no) })
	for _, f := range late {
		d.forget(f)
		d.do(CancelFetch{f.no})
		for _, t := range f.waiters {
			d.end(t, routing.ServerError)
		}
	}
	return d.acts
}

// hold puts a copy into memory at its rank. What is ranked lowest goes first, then what was used longest ago, and
// nothing for a copy of lower rank.
func (d *Handler) hold(c *Copy) {
	d.drop(c.Key)
	if c.Rank = min(max(c.Rank, 0), ranks-1); c.Rank == 0 {
		return
	}
	need := int64(len(c.Body)) + copyBytes
	if need > d.bounds.MemoryBytes {
		return
	}
	for r := 1; r <= c.Rank && d.bytes+need > d.bounds.MemoryBytes; {
		e := d.shelf[r].Front()
		if e == nil {
			r++
			continue
		}
		d.drop(e.Value.(*held).copy.Key)
	}
	if d.bytes+need > d.bounds.MemoryBytes {
		return
	}
	h := &held{copy: c}
	h.place = d.shelf[c.Rank].PushBack(h)
	d.memory[c.Key] = h
	d.bytes += need
}

func (d *Handler) drop(k eviction.Key) {
	if h := d.memory[k]; h != nil {
		d.shelf[h.copy.Rank].Remove(h.place)
		delete(d.memory, k)
		d.bytes -= int64(len(h.copy.Body)) + copyBytes
	}
}
