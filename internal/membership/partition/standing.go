// Package standing says how a router stands among its peers, from what its view shows: with all of them, with most, with
// few, alone, or among such as see other things than it does. No I/O, no clock: the same events give the same changes.
package partition

// Standing is one of the five, in the order of what they allow: the later, the more.
type Standing uint8

// The standings. docs/peers.md says what each part of a router may do in which.
const (
	Alone Standing = iota
	Minority
	Disagreeing
	Majority
	Whole
)

func (s Standing) String() string {
	return [...]string{"alone", "minority", "disagreeing", "majority", "whole"}[s]
}

// MayGrant says whether a router may grant or use what needs the fleet's agreement.
func (s Standing) MayGrant() bool { return s >= Majority }

// MayTell says whether what it says of members is worth telling: one that nobody hears has nobody to tell.
func (s Standing) MayTell() bool { return s > Alone }

// Believes says whether it goes by what peers tell of members.
func (s Standing) Believes() bool { return s == Majority || s == Whole || s == Disagreeing }

// Tuned values.
const (
	riseAfter   = 1.0 // s for which a better standing has to last before it counts: a cut that heals and falls again must not swing
	differAfter = 4.0 // s for which a peer has to see others than we do: a change takes about 1.5 s to reach all
	sampleLasts = 3.0 // s after which what a peer last said of its view is old
)

// Seen is what the view shows at a moment.
type Seen struct {
	Roster int // who should be there, this router among them
	There  int // who is, this router among them
	Stuck  int // of them whose work stands still: they are there, but they carry nothing
}

// differing is since when a peer sees others than we do, and when it last said so. 24 bytes a peer that differs.
type differing struct{ since, last float64 }

// Core is the standing of one router. It belongs to one goroutine.
type Core struct {
	liars   int
	now     Standing
	epoch   uint64
	since   float64
	better  Standing
	from    float64 // since when the better one holds
	waiting bool
	differ  map[int]differing // bounded by the roster
}

// New starts alone, in the first epoch, believing that no more than so many peers lie.
func New(liars int, now float64) *Core {
	return &Core{liars: liars, epoch: 1, since: now, differ: map[int]differing{}}
}

// Heard notes whether a peer that is there says that it sees others than we do.
func (c *Core) Heard(now float64, peer int, differs bool) {
	d, ok := c.differ[peer]
	switch {
	case !differs:
		delete(c.differ, peer)
	case !ok || now-d.last > sampleLasts:
		c.differ[peer] = differing{now, now}
	default:
		d.last = now
		c.differ[peer] = d
	}
}

// Gone forgets what a peer said: it is not there any more.
func (c *Core) Gone(peer int) { delete(c.differ, peer) }

// Differing counts the peers that have seen others than we do for long.
func (c *Core) Differing(now float64) (n int) {
	for _, d := range c.differ {
		if now-d.last <= sampleLasts && now-d.since >= differAfter {
			n++
		}
	}
	return n
}

// reckon is the standing of a moment. Liars alone can't make a router disagree with the fleet.
func (c *Core) reckon(now float64, s Seen) Standing {
	working := s.There - s.Stuck
	switch {
	case s.There <= 1 && s.Roster > 1:
		return Alone
	case 2*working <= s.Roster && s.Roster > 1:
		return Minority
	case c.Differing(now) > c.liars:
		return Disagreeing
	case s.There < s.Roster || s.Stuck > 0:
		return Majority
	}
	return Whole
}

// Step takes what is seen and says whether the standing changed. A worse one counts at once, a better one once it has held.
func (c *Core) Step(now float64, s Seen) bool {
	to := c.reckon(now, s)
	if to > c.now {
		if !c.waiting || to < c.better {
			if !c.waiting {
				c.from = now
			}
			c.better, c.waiting = to, true // of several better ones the least has held throughout
		}
		if now-c.from < riseAfter {
			return false
		}
		to = c.better
	}
	c.waiting = false
	if to == c.now {
		return false
	}
	c.now, c.since = to, now
	c.epoch++
	return true
}

// Wants is when Step is to be called again though nothing is heard, 0 for no wish.
func (c *Core) Wants() float64 {
	if c.waiting {
		return c.from + riseAfter
	}
	return 0
}

// Now is the standing, its epoch, which counts changes from 1, and since when it holds.
func (c *Core) Now() (Standing, uint64, float64) { return c.now, c.epoch, c.since }
