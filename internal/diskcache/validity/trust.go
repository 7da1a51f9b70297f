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
	silenceMost  = 5000 // ms without a word of the board after which purges may have been missed: five beats
	clockSlack   = 2000 // ms by which a clock may lag behind what it said before: more has been set back
	forgetShare  = 8    // a full memory of purges forgets this part of it at once, so that it is not sorted each time
	MostPurges   = 65536
	BytesAPurge  = 64 // in memory, about: key, time and their place in the map
	UnknownGroup = 0xffff
)

// Verdict is what a copy is.
type Verdict int

// A sound copy may be served, one on probation once its source has confirmed its tag, a void one never.
const (
	Sound Verdict = iota
	Probation
	Void
)

func (v Verdict) String() string { return [...]string{"sound", "on probation", "void"}[v] }

// Copy is what is asked about. Dated is the Unix ms at which the origin gave it out, Seq its place in the order of
// writing, 0 for one in memory. Confirmed is the doubt (see Doubts) in which its source gave it or last confirmed it.
type Copy struct {
	Object    uint64
	Group     uint16
	Dated     int64
	Seq       uint64
	Confirmed uint16
}

// Kind of a record.
type Kind byte

// The kinds of record.
const (
	PurgeObject Kind = 1 + iota
	PurgeGroup
	Mark  // the number followed so far, and the clock
	Doubt // all written up to Seq may be older than a purge that was not heard
	Floor // purges up to At are forgotten
)

// Record is what has to outlast a loss of power. At, Heard: Unix ms; Heard is the box's own clock.
type Record struct {
	Kind   Kind
	Group  uint16
	Object uint64
	At     int64
	Number uint64
	Sum    uint32
	Heard  int64
	Seq    uint64
}

// Notice is one event of the board. Sum is a checksum of all of it. A beat says that there is nothing new.
type Notice struct {
	Number uint64
	Sum    uint32
	Beat   bool
	Purge  bool
	All    bool // of the purge: the whole group
	Object uint64
	Group  uint16
	At     int64
}

// Core is what is known. It is not safe for more than one goroutine.
type Core struct {
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
func New(most int) *Core {
	if most <= 0 {
		most = MostPurges
	}
	return &Core{objects: map[uint64]int64{}, groups: map[uint16]int64{}, most: most, empty: true, doubts: 1}
}

// Restore takes the records of earlier starts, in order. Top is the highest seq on the disk, now the clock. What it
// returns has to be written.
func (c *Core) Restore(records []Record, top uint64, now int64) []Record {
	for _, r := range records {
		switch r.Kind {
		case PurgeObject, PurgeGroup:
			c.purge(r.Kind == PurgeGroup, r.Object, r.Group, r.At)
		case Doubt:
			c.doubt = max(c.doubt, r.Seq)
		case Floor:
			c.floor = max(c.floor, r.At)
		}
		if r.Number > 0 {
			c.number, c.sum = r.Number, r.Sum
		}
		c.high = max(c.high, r.Heard)
	}
	c.empty = top == 0 && c.number == 0
	var out []Record
	if top > 0 && now < c.high-clockSlack { // ages can't be told any more
		out = append(out, c.distrust(top, now))
	}
	return append(out, c.forget(now)...)
}

// Ask is the number to ask the board for events after: the last one followed comes once more, to prove continuity.
func (c *Core) Ask() uint64 {
	if c.number == 0 {
		return 0
	}
	return c.number - 1
}

// Following is the number of the last event followed, and whether this connection is known to go on from it.
func (c *Core) Following() (number uint64, linked bool) { return c.number, c.linked }

// Connected says that a new connection to the board was made.
func (c *Core) Connected() { c.linked, c.caught = c.number == 0, false }

// Hear takes an event. Top is the highest seq written so far. Again asks for a new connection, from Ask: the board's
// numbers are others now, and all of them have to be read.
func (c *Core) Hear(now int64, top uint64, n Notice) (write []Record, again bool) {
	c.high = max(c.high, now)
	if !c.linked {
		if !n.Beat && n.Number == c.number && n.Sum == c.sum {
			c.linked, c.last = true, now
			return nil, false
		}
		c.number, c.sum = 0, 0
		return c.missed(top, now), true
	}
	c.last = now
	if n.Beat {
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
	c.number, c.sum = n.Number, n.Sum
	r := Record{Kind: Mark, Number: n.Number, Sum: n.Sum, Heard: now}
	if n.Purge {
		c.purge(n.All, n.Object, n.Group, n.At)
		r.Kind, r.Object, r.Group, r.At = PurgeObject, n.Object, n.Group, n.At
		if n.All {
			r.Kind = PurgeGroup
		}
	}
	write = append(write, r)
	return append(write, c.forget(now)...), false
}

// missed notes that purges may have been missed; of an empty disk they can't have been.
func (c *Core) missed(top uint64, now int64) []Record {
	if top == 0 {
		return nil
	}
	return []Record{c.distrust(top, now)}
}

func (c *Core) distrust(top uint64, now int64) Record {
	c.doubt = max(c.doubt, top)
	c.doubts++
	return Record{Kind: Doubt, Seq: top, Heard: now}
}

// Mark is the record of the clock and the number followed so far; it is worth writing now and then.
func (c *Core) Mark(now int64) Record {
	c.high = max(c.high, now)
	return Record{Kind: Mark, Number: c.number, Sum: c.sum, Heard: now}
}

func (c *Core) purge(all bool, object uint64, group uint16, at int64) {
	if all {
		c.groups[group] = max(c.groups[group], at)
		c.any = max(c.any, at)
	} else {
		c.objects[object] = max(c.objects[object], at)
	}
}

// forget keeps the memory of purges within its bound. Copies from before what is forgotten stay on probation.
func (c *Core) forget(now int64) []Record {
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
	return []Record{{Kind: Floor, At: c.floor, Heard: now}}
}

// Settled forgets the purges that nothing can meet any more: every copy on the disk is younger than they are, and
// none that could still be on its way is older. Oldest is the time of the oldest copy on the disk.
func (c *Core) Settled(oldest int64) {
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
func (c *Core) Certain(now int64) bool { return c.certain && now-c.last <= silenceMost }

// Judge says what a copy is now.
func (c *Core) Judge(now int64, x Copy) Verdict {
	if c.Voided(x) {
		return Void
	}
	switch {
	case !c.Certain(now), x.Dated <= c.floor, x.Dated > now+clockSlack,
		x.Confirmed != c.doubts && (x.Seq == 0 || x.Seq <= c.doubt):
		return Probation
	}
	return Sound
}

// Voided says whether a purge that was heard voids a copy. One of the same millisecond is void too.
func (c *Core) Voided(x Copy) bool {
	if at, ok := c.objects[x.Object]; ok && x.Dated <= at {
		return true
	}
	if x.Group == UnknownGroup {
		return x.Dated <= c.any
	}
	at, ok := c.groups[x.Group]
	return ok && x.Dated <= at
}

// Doubts is what a confirmation has to carry: it counts only if no doubt came up since it was asked for.
func (c *Core) Doubts() uint16 { return c.doubts }

// State is what an operator is shown.
type State struct {
	Number          uint64
	Certain, Linked bool
	Doubted         uint64 // the highest seq on probation
	Floor           int64
	Purges          int
	High            int64
}

// State says how things stand.
func (c *Core) State(now int64) State {
	return State{Number: c.number, Certain: c.Certain(now), Linked: c.linked, Doubted: c.doubt, Floor: c.floor,
		Purges: len(c.objects) + len(c.groups), High: c.high}
}

// Records is the shortest list that restores what is known, for a log that has grown.
func (c *Core) Records(now int64) []Record {
	var out []Record
	for object, at := range c.objects {
		out = append(out, Record{Kind: PurgeObject, Object: object, At: at, Heard: now})
	}
	for group, at := range c.groups {
		out = append(out, Record{Kind: PurgeGroup, Group: group, At: at, Heard: now})
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Group, b.Group))
	})
	if c.doubt > 0 {
		out = append(out, Record{Kind: Doubt, Seq: c.doubt, Heard: now})
	}
	if c.floor > 0 {
		out = append(out, Record{Kind: Floor, At: c.floor, Heard: now})
	}
	return append(out, c.Mark(now))
}
