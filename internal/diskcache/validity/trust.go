// Package trust decides which copies may be believed: those on a disk that was out of reach of purges for a while,
// those held while the notice board is silent, and those that a purge voids. It does no I/O: what has to be written
// comes out as records, in order, and they come back at the next start.
//
// Continuity with the notice board is proved, not assumed. A box asks for the last event that it followed once more;
// the same number with the same sum says that the board's numbers go on where they stood. Anything else (another
// event under that number, a gap, nothing at all) says that purges may have been missed.
package validity

import (
	"cmp"
	"slices"
)

const (
	silenceMost      = 5000 // ms without a word of the board after which purges may have been missed: five beats
	clockSlack       = 2000 // ms by which a clock may lag behind what it said before: more has been set back
	forgetShare      = 8    // a full memory of purges forgets this part of it at once, so that it is not sorted each time
	DefaultMaxPurges = 65536
	BytesPerPurge    = 64 // in memory, about: key, time and their place in the map
	UnknownGroup     = 0xffff
)

// Verdict is what a copy is.
type Verdict int

// A sound copy may be served, one on probation once its source has confirmed its tag, a void one never.
const (
	Valid Verdict = iota
	Unconfirmed
	Invalidated
)

func (v Verdict) String() string { return [...]string{"sound", "on probation", "void"}[v] }

// Copy is what is asked about. Dated is the Unix ms at which the origin gave it out, Seq its place in the order of
// writing, 0 for one in memory. Confirmed is the doubt (see Doubts) in which its source gave it or last confirmed it.
type Copy struct {
	Object         uint64
	Group          uint16
	IssuedAt       int64
	Seq            uint64
	ConfirmedEpoch uint16
}

// Kind of a record.
type Kind byte

// The kinds of record.
const (
	PurgeObject Kind = 1 + iota
	PurgeGroup
	Checkpoint // the number followed so far, and the clock
	Gap        // all written up to Seq may be older than a purge that was not heard
	PurgeFloor // purges up to At are forgotten
)

// Record is what has to outlast a loss of power. At, Heard: Unix ms; Heard is the box's own clock.
type Record struct {
	Kind      Kind
	Group     uint16
	Object    uint64
	PurgedAt  int64 `json:"At"`
	Number    uint64
	Checksum  uint32 `json:"Sum"`
	WrittenAt int64  `json:"Heard"`
	Seq       uint64
}

// Notice is one event of the board. Sum is a checksum of all of it. A beat says that there is nothing new.
type Event struct {
	Number     uint64
	Checksum   uint32
	Heartbeat  bool
	Purge      bool
	WholeGroup bool // of the purge: the whole group
	Object     uint64
	Group      uint16
	PurgedAt   int64
}

// Core is what is known. It is not safe for more than one goroutine.
type Tracker struct {
	objects map[uint64]int64 // newest purge of each
	groups  map[uint16]int64
	any     int64 // newest purge of any group: for copies whose group is not known
	floor   int64
	most    int

	number uint64 // of the last event followed
	sum    uint32
	high   int64 // the latest that the clock ever said
	last   int64 // when the board was last heard

	linked  bool // events of this connection follow on what was heard before
	caught  bool // and all that the board had was heard
	certain bool // no purge can have been missed by now
	empty   bool // nothing was ever followed and nothing written: there is nothing to doubt

	doubt  uint64 // the highest seq that is doubted
	doubts uint16
}

// New starts with an empty memory of so many purges.
func NewTracker(most int) *Tracker {
	if most <= 0 {
		most = DefaultMaxPurges
	}
	return &Tracker{objects: map[uint64]int64{}, groups: map[uint16]int64{}, most: most, empty: true, doubts: 1}
}

// Restore takes the records of earlier starts, in order. Top is the highest seq on the disk, now the clock. What it
// returns has to be written.
func (c *Tracker) Restore(records []Record, top uint64, now int64) []Record {
	for _, r := range records {
		switch r.Kind {
		case PurgeObject, PurgeGroup:
			c.purge(r.Kind == PurgeGroup, r.Object, r.Group, r.PurgedAt)
		case Gap:
			c.doubt = max(c.doubt, r.Seq)
		case PurgeFloor:
			c.floor = max(c.floor, r.PurgedAt)
		}
		if r.Number > 0 {
			c.number, c.sum = r.Number, r.Checksum
		}
		c.high = max(c.high, r.WrittenAt)
	}
	c.empty = top == 0 && c.number == 0
	var out []Record
	if top > 0 && now < c.high-clockSlack { // ages can't be told any more
		out = append(out, c.distrust(top, now))
	}
	return append(out, c.forget(now)...)
}

// Ask is the number to ask the board for events after: the last one followed comes once more, to prove continuity.
func (c *Tracker) ResumeAfter() uint64 {
	if c.number == 0 {
		return 0
	}
	return c.number - 1
}

// Following is the number of the last event followed, and whether this connection is known to go on from it.
func (c *Tracker) Position() (number uint64, linked bool) { return c.number, c.linked }

// Connected says that a new connection to the board was made.
func (c *Tracker) StreamOpened() { c.linked, c.caught = c.number == 0, false }

// Hear takes an event. Top is the highest seq written so far. Again asks for a new connection, from Ask: the board's
// numbers are others now, and all of them have to be read.
func (c *Tracker) Apply(now int64, top uint64, n Event) (write []Record, again bool) {
	c.high = max(c.high, now)
	if !c.linked {
		if !n.Heartbeat && n.Number == c.number && n.Checksum == c.sum {
			c.linked, c.last = true, now
			return nil, false
		}
		c.number, c.sum = 0, 0
		return c.missed(top, now), true
	}
	c.last = now
	if n.Heartbeat {
		c.caught, c.certain = true, true
		return nil, false
	}
	if n.Number <= c.number {
		return nil, false
	}
	if n.Number > c.number+1 && c.number > 0 {
		write = append(write, c.missed(top, now)...)
	} else if c.number == 0 && n.Number > 1 && !c.empty { // its numbers began before what it has to tell
		write = append(write, c.missed(top, now)...)
	}
	c.number, c.sum = n.Number, n.Checksum
	r := Record{Kind: Checkpoint, Number: n.Number, Checksum: n.Checksum, WrittenAt: now}
	if n.Purge {
		c.purge(n.WholeGroup, n.Object, n.Group, n.PurgedAt)
		r.Kind, r.Object, r.Group, r.PurgedAt = PurgeObject, n.Object, n.Group, n.PurgedAt
		if n.WholeGroup {
			r.Kind = PurgeGroup
		}
	}
	write = append(write, r)
	return append(write, c.forget(now)...), false
}

// missed notes that purges may have been missed; of an empty disk they can't have been.
func (c *Tracker) missed(top uint64, now int64) []Record {
	if top == 0 {
		return nil
	}
	return []Record{c.distrust(top, now)}
}

func (c *Tracker) distrust(top uint64, now int64) Record {
	c.doubt = max(c.doubt, top)
	c.doubts++
	return Record{Kind: Gap, Seq: top, WrittenAt: now}
}

// Mark is the record of the clock and the number followed so far; it is worth writing now and then.
func (c *Tracker) Checkpoint(now int64) Record {
	c.high = max(c.high, now)
	return Record{Kind: Checkpoint, Number: c.number, Checksum: c.sum, WrittenAt: now}
}

func (c *Tracker) purge(all bool, object uint64, group uint16, at int64) {
	if all {
		c.groups[group] = max(c.groups[group], at)
		c.any = max(c.any, at)
	} else {
		c.objects[object] = max(c.objects[object], at)
	}
}

// forget keeps the memory of purges within its bound. Copies from before what is forgotten stay on probation.
func (c *Tracker) forget(now int64) []Record {
	if len(c.objects) <= c.most {
		return nil
	}
	times := make([]int64, 0, len(c.objects))
	for _, at := range c.objects {
		times = append(times, at)
	}
	slices.Sort(times)
	c.floor = max(c.floor, times[len(times)/forgetShare])
	for object, at := range c.objects {
		if at <= c.floor {
			delete(c.objects, object)
		}
	}
	return []Record{{Kind: PurgeFloor, PurgedAt: c.floor, WrittenAt: now}}
}

// Settled forgets the purges that nothing can meet any more: every copy on the disk is younger than they are, and
// none that could still be on its way is older. Oldest is the time of the oldest copy on the disk.
func (c *Tracker) PrunePurges(oldest int64) {
	for object, at := range c.objects {
		if at < oldest {
			delete(c.objects, object)
		}
	}
	for group, at := range c.groups {
		if at < oldest {
			delete(c.groups, group)
		}
	}
}

// Certain says whether no purge can have been missed: the board was caught up with and is heard. Before that, and
// while it is silent, every copy is on probation.
func (c *Tracker) UpToDate(now int64) bool { return c.certain && now-c.last <= silenceMost }

// Judge says what a copy is now.
func (c *Tracker) Evaluate(now int64, x Copy) Verdict {
	if c.IsInvalidated(x) {
		return Invalidated
	}
	switch {
	case !c.UpToDate(now), x.IssuedAt <= c.floor, x.IssuedAt > now+clockSlack,
		x.ConfirmedEpoch != c.doubts && (x.Seq == 0 || x.Seq <= c.doubt):
		return Unconfirmed
	}
	return Valid
}

// Voided says whether a purge that was heard voids a copy. One of the same millisecond is void too.
func (c *Tracker) IsInvalidated(x Copy) bool {
	if at, ok := c.objects[x.Object]; ok && x.IssuedAt <= at {
		return true
	}
	if x.Group == UnknownGroup {
		return x.IssuedAt <= c.any
	}
	at, ok := c.groups[x.Group]
	return ok && x.IssuedAt <= at
}

// Doubts is what a confirmation has to carry: it counts only if no doubt came up since it was asked for.
func (c *Tracker) Epoch() uint16 { return c.doubts }

// State is what an operator is shown.
type Status struct {
	Number               uint64
	UpToDate, Continuous bool
	SuspectUpTo          uint64 // the highest seq on probation
	PurgeFloor           int64
	Purges               int
	ClockHighWater       int64
}

// State says how things stand.
func (c *Tracker) Status(now int64) Status {
	return Status{Number: c.number, UpToDate: c.UpToDate(now), Continuous: c.linked, SuspectUpTo: c.doubt, PurgeFloor: c.floor,
		Purges: len(c.objects) + len(c.groups), ClockHighWater: c.high}
}

// Records is the shortest list that restores what is known, for a log that has grown.
func (c *Tracker) Records(now int64) []Record {
	var out []Record
	for object, at := range c.objects {
		out = append(out, Record{Kind: PurgeObject, Object: object, PurgedAt: at, WrittenAt: now})
	}
	for group, at := range c.groups {
		out = append(out, Record{Kind: PurgeGroup, Group: group, PurgedAt: at, WrittenAt: now})
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.PurgedAt, b.PurgedAt), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Group, b.Group))
	})
	if c.doubt > 0 {
		out = append(out, Record{Kind: Gap, Seq: c.doubt, WrittenAt: now})
	}
	if c.floor > 0 {
		out = append(out, Record{Kind: PurgeFloor, PurgedAt: c.floor, WrittenAt: now})
	}
	return append(out, c.Checkpoint(now))
}
