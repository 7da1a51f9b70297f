// Package standing says how a router stands among its peers, from what its view shows: with all of them, with most, with
// few, alone, or among such as see other things than it does. No I/O, no clock: the same events give the same changes.
package partition

// Standing is one of the five, in the order of what they allow: the later, the more.
type State uint8

// The standings. docs/peers.md says what each part of a router may do in which.
const (
	Alone State = iota
	Minority
	Disagreeing
	Majority
	Whole
)

func (s State) String() string {
	return [...]string{"alone", "minority", "disagreeing", "majority", "whole"}[s]
}

// MayGrant says whether a router may grant or use what needs the fleet's agreement.
func (s State) MayGrant() bool { return s >= Majority }

// MayTell says whether what it says of members is worth telling: one that nobody hears has nobody to tell.
func (s State) MayGossip() bool { return s > Alone }

// Believes says whether it goes by what peers tell of members.
func (s State) TrustsReports() bool { return s == Majority || s == Whole || s == Disagreeing }

// Tuned values.
const (
	riseAfter   = 1.0 // s for which a better standing has to last before it counts: a cut that heals and falls again must not swing
	differAfter = 4.0 // s for which a peer has to see others than we do: a change takes about 1.5 s to reach all
	sampleLasts = 3.0 // s after which what a peer last said of its view is old
)

// Seen is what the view shows at a moment.
type View struct {
	Roster  int // who should be there, this router among them
	Present int // who is, this router among them
	Stuck   int // of them whose work stands still: they are there, but they carry nothing
}

// differing is since when a peer sees others than we do, and when it last said so. 24 bytes a peer that differs.
type differing struct{ since, last float64 }

// Core is the standing of one router. It belongs to one goroutine.
type Tracker struct {
	liars   int
	now     State
	epoch   uint64
	since   float64
	better  State
	from    float64 // since when the better one holds
	waiting bool
	differ  map[int]differing // bounded by the roster
}

// New starts alone, in the first epoch, believing that no more than so many peers lie.
func New(liars int, now float64) *Tracker {
	return &Tracker{liars: liars, epoch: 1, since: now, differ: map[int]differing{}}
}

// Heard notes whether a peer that is there says that it sees others than we do.
func (c *Tracker) RecordViewComparison(now float64, peer int, differs bool) {
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
func (c *Tracker) Forget(peer int) { delete(c.differ, peer) }

// Differing counts the peers that have seen others than we do for long.
func (c *Tracker) DissentingMembers(now float64) (n int) {
	for _, d := range c.differ {
		if now-d.last <= sampleLasts && now-d.since >= differAfter {
			n++
		}
	}
	return n
}

// reckon is the standing of a moment. Liars alone can't make a router disagree with the fleet.
func (c *Tracker) reckon(now float64, s View) State {
	working := s.Present - s.Stuck
	switch {
	case s.Present <= 1 && s.Roster > 1:
		return Alone
	case 2*working <= s.Roster && s.Roster > 1:
		return Minority
	case c.DissentingMembers(now) > c.liars:
		return Disagreeing
	case s.Present < s.Roster || s.Stuck > 0:
		return Majority
	}
	return Whole
}

// Step takes what is seen and says whether the standing changed. A worse one counts at once, a better one once it has held.
func (c *Tracker) Update(now float64, s View) bool {
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
func (c *Tracker) NextDeadline() float64 {
	if c.waiting {
		return c.from + riseAfter
	}
	return 0
}

// Now is the standing, its epoch, which counts changes from 1, and since when it holds.
func (c *Tracker) Current() (State, uint64, float64) { return c.now, c.epoch, c.since }
