// Package rumour owns what peers tell of members: how one of their hops ended, not what is to be done about it. A rumour is
// signed by its witness and runs out. It counts by witnesses that are independent of each other, less for more of one zone,
// by what their earlier words were worth; what comes of it is a doubt, which makes the module look sooner and never takes a
// member out. No I/O and no clock: the same events with the same times give the same.
package observation

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Says is what a witness saw.
type Health uint8

// What can be said. Failing is errors, refusals and silence; Slow is late answers, which operators see and which raise no doubt,
// for in a burst all are slow; Well takes either back.
const (
	Failing Health = iota + 1
	Slow
	Healthy
)

func (s Health) String() string {
	if s < Failing || s > Healthy {
		return "nothing"
	}
	return [...]string{"failing", "slow", "well"}[s-1]
}

// Rumour is one witness's word on one member.
type Observation struct {
	Witness            int    // the witness, a place in the roster
	WitnessStartMillis uint64 // of its life
	Sequence           uint32 // of its words in that life
	Endpoint           string
	Health             Health
	Zone               string // from where it was seen
	Signed             []byte // the signed text, not looked into here
}

// Tuned values, with unit and reason.
const (
	lasts       = 10.0   // s for which a word counts: a member that is still bad is seen again by then
	mostMembers = 1024   // with words on them
	mostVoices  = 24     // on one member
	mostOwn     = 4.0    // words of one's own a second: more is a storm, not news
	ownBurst    = 16.0   // of them at once
	spread      = 2.0    // times log2 of the peers that a word is handed on
	mostQueue   = 256    // words waiting to be handed on
	mostPer     = 3      // words a datagram
	sameZone    = 0.5    // of a witness's weight for each earlier one of its zone: they share a switch
	badEnds     = 2      // failed ends in a row before one says so: one is chance
	slowEnds    = 4      // late ends in a row
	goodEnds    = 3      // good ends in a row before one takes it back
	ownFresh    = 3.0    // s for which an own end says whether a witness was right
	recordHalf  = 120.0  // s after which a record counts half
	wrongLeast  = 2.5    // contradicted words before a witness may lose its voice
	wrongOver   = 2.0    // times the borne out ones
	mostWords   = 4096   // words held in all, about 300 bytes each with their seals
	repeatAfter = 6.0    // s after which a word that is still true is said again
	mostAhead   = 100000 // numbers that a witness may run ahead of its last word: a life is not used up at once
)

// word is a rumour as held.
type word struct {
	Observation
	until  float64
	judged bool
}

// witness is what is known of a peer as one: 48 bytes.
type witness struct {
	start        uint64
	seq          uint32
	right, wrong float64
	at           float64
}

// own is what this router saw of a member.
type own struct {
	row       int // ends of the same kind in a row
	last      Health
	said      Health
	saidAt    float64
	good, bad float64 // when it last ended well, and failed
}

// Heed is how much a member is doubted, from 0 to 1, and until when. It is emitted where it changes.
type Doubt struct {
	Endpoint string
	Level    float64
	Until    float64 // clock time of the core
}

type handing struct {
	r    Observation
	sent int
}

// Core is one router's. It belongs to one goroutine.
type Tracker struct {
	me    int
	zone  string
	liars int

	start     uint64
	seq       uint32
	words     map[string][]word // by member, in the order in which they came
	held      int
	witnesses map[int]*witness
	own       map[string]*own
	doubted   map[string]Doubt
	queue     []handing
	tokens    float64
	tokensAt  float64
	say       []Observation
}

// New makes the rumours of a router: its place in the roster, its zone, its life, and how many peers may lie.
func New(me int, zone string, liars int, start uint64) *Tracker {
	return &Tracker{me: me, zone: zone, liars: liars, start: start, words: map[string][]word{}, witnesses: map[int]*witness{}, own: map[string]*own{},
		doubted: map[string]Doubt{}, tokens: ownBurst}
}

// Life sets the incarnation under which words go out.
func (c *Tracker) SetIncarnation(start uint64) { c.start, c.seq = start, 0 }

// Ended takes the end of an own hop to a member: what it says of the member, and of those who spoke about it.
func (c *Tracker) AttemptEnded(now float64, member string, says Health) (heeds []Doubt) {
	o := c.own[member]
	if o == nil {
		if len(c.own) >= mostMembers {
			c.forget(now)
		}
		if len(c.own) >= mostMembers {
			return nil
		}
		o = &own{}
		c.own[member] = o
	}
	if o.last == says {
		o.row++
	} else {
		o.last, o.row = says, 1
	}
	if says == Failing {
		o.bad = now
	} else {
		o.good = now
	}
	c.try(now, member, o)
	need := map[Health]int{Failing: badEnds, Slow: slowEnds, Healthy: goodEnds}[says]
	known := o.said == says && now < o.saidAt+repeatAfter
	if o.row >= need && !known && (says != Healthy || o.said != 0 && o.said != Healthy) && c.may(now) {
		o.said, o.saidAt = says, now
		c.seq++
		r := Observation{Witness: c.me, WitnessStartMillis: c.start, Sequence: c.seq, Endpoint: member, Health: says, Zone: c.zone}
		c.say = append(c.say, r)
	}
	return c.weigh(now, member)
}

// may spends from the bucket of own words.
func (c *Tracker) may(now float64) bool {
	c.tokens = min(c.tokens+mostOwn*max(now-c.tokensAt, 0), ownBurst)
	c.tokensAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// Say gives the own words that wait to be signed; each comes back by Tell.
func (c *Tracker) TakeUnsigned() []Observation {
	out := c.say
	c.say = nil
	return out
}

// Tell queues a signed word to be handed on. There is one of a witness on a member.
func (c *Tracker) Enqueue(r Observation) {
	same := func(h handing) bool { return h.r.Witness == r.Witness && h.r.Endpoint == r.Endpoint }
	if i := slices.IndexFunc(c.queue, same); i >= 0 {
		c.queue[i] = handing{r: r}
		return
	}
	if len(c.queue) >= mostQueue {
		i := 0 // what was told most has got furthest
		for j := range c.queue {
			if c.queue[j].sent > c.queue[i].sent {
				i = j
			}
		}
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	c.queue = append(c.queue, handing{r: r})
}

// Next gives what goes with a datagram to a peer, of so many that are there, the least told first.
func (c *Tracker) Piggyback(to, there int) (out []Observation) {
	most := max(int(spread*math.Ceil(math.Log2(float64(there+1)))), 2)
	slices.SortStableFunc(c.queue, func(a, b handing) int { return cmp.Compare(a.sent, b.sent) })
	for i := range c.queue {
		if h := &c.queue[i]; len(out) < mostPer && h.r.Witness != to {
			out = append(out, h.r)
			h.sent++
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(h handing) bool { return h.sent >= most })
	return out
}

// Heard takes a word whose signature holds. It is refused if its witness said something later, or the life it is from is over.
func (c *Tracker) HandleObservation(now float64, r Observation) (heeds []Doubt, fresh bool) {
	if r.Witness == c.me || r.Health < Failing || r.Health > Healthy || r.Endpoint == "" {
		return nil, false
	}
	w := c.witnesses[r.Witness]
	if w == nil {
		w = &witness{at: now}
		c.witnesses[r.Witness] = w
	}
	if r.WitnessStartMillis < w.start || r.WitnessStartMillis == w.start && (r.Sequence <= w.seq || w.start != 0 && r.Sequence-w.seq > mostAhead) {
		if !c.missing(r) {
			return nil, false
		}
	} else {
		w.start, w.seq = r.WitnessStartMillis, r.Sequence
	}
	list := c.words[r.Endpoint]
	if list == nil && len(c.words) >= mostMembers || c.held >= mostWords {
		c.forget(now)
		if list = c.words[r.Endpoint]; list == nil && len(c.words) >= mostMembers || c.held >= mostWords {
			return nil, false
		}
	}
	if i := slices.IndexFunc(list, func(x word) bool { return x.Witness == r.Witness }); i >= 0 {
		if list[i].WitnessStartMillis == r.WitnessStartMillis && list[i].Sequence >= r.Sequence || list[i].WitnessStartMillis > r.WitnessStartMillis {
			return nil, false
		}
		list = slices.Delete(list, i, i+1)
		c.held--
	}
	if len(list) >= mostVoices {
		list = slices.Delete(list, 0, 1)
		c.held--
	}
	c.words[r.Endpoint] = append(list, word{Observation: r, until: now + lasts})
	c.held++
	c.Enqueue(r)
	if o := c.own[r.Endpoint]; o != nil {
		c.try(now, r.Endpoint, o)
	}
	return c.weigh(now, r.Endpoint), true
}

// missing says whether a word with an earlier number may still be news: numbers of one witness on different members can
// arrive in any order, so one that is not far behind counts if nothing is held of it on that member.
func (c *Tracker) missing(r Observation) bool {
	w := c.witnesses[r.Witness]
	if r.WitnessStartMillis != w.start || r.Sequence == w.seq || w.seq-r.Sequence > 64 || r.Sequence > w.seq {
		return false
	}
	return !slices.ContainsFunc(c.words[r.Endpoint], func(x word) bool { return x.Witness == r.Witness })
}

// try holds the words on a member against what this router just saw of it itself.
func (c *Tracker) try(now float64, member string, o *own) {
	for i := range c.words[member] {
		x := &c.words[member][i]
		if x.judged || now >= x.until || x.Health != Failing {
			continue // slowness depends on where one stands
		}
		w := c.witnesses[x.Witness]
		c.age(now, w)
		switch {
		case now-o.bad < ownFresh && o.bad > 0:
			x.judged = true
			w.right++
		case now-o.good < ownFresh && o.good > 0 && o.last != Failing && o.row >= goodEnds:
			x.judged = true
			w.wrong++
		}
	}
}

func (c *Tracker) age(now float64, w *witness) {
	k := math.Exp2(-(now - w.at) / recordHalf)
	w.right, w.wrong, w.at = w.right*k, w.wrong*k, now
}

// weight is what a witness's word is worth, from its record: nothing once it is often wrong.
func (w *witness) weight() float64 {
	if w.wrong >= wrongLeast && w.wrong > wrongOver*w.right {
		return 0
	}
	return (w.right + 1) / (w.right + w.wrong + 1)
}

// weigh reckons the doubt of a member anew and tells if it changed. Liars alone raise none, however many words they say.
func (c *Tracker) weigh(now float64, member string) []Doubt {
	var voices []word
	for _, x := range c.words[member] {
		if now < x.until && x.Health == Failing && c.witnesses[x.Witness].weight() > 0 {
			voices = append(voices, x)
		}
	}
	slices.SortFunc(voices, func(a, b word) int {
		return cmp.Or(cmp.Compare(c.witnesses[b.Witness].weight(), c.witnesses[a.Witness].weight()), cmp.Compare(a.Witness, b.Witness))
	})
	zones := map[string]int{}
	sum, until := 0.0, 0.0
	for i, x := range voices {
		if i >= c.liars { // the best of them may be the liars: they count for nothing
			sum += c.witnesses[x.Witness].weight() * math.Pow(sameZone, float64(zones[x.Zone]))
			zones[x.Zone]++
			until = max(until, x.until)
		}
	}
	h := Doubt{Endpoint: member, Level: 1 - math.Exp2(-2*sum), Until: until}
	if sum == 0 {
		h = Doubt{Endpoint: member}
	}
	old := c.doubted[member]
	if (old.Level == 0) == (h.Level == 0) && math.Abs(h.Level-old.Level) < 0.1 && h.Until <= old.Until+lasts/4 {
		return nil
	}
	if h.Level == 0 {
		delete(c.doubted, member)
	} else {
		c.doubted[member] = h
	}
	return []Doubt{h}
}

// Tick ends what has run out and gives the doubts that changed by it, in the order of their members.
func (c *Tracker) Tick(now float64) (out []Doubt) {
	members := slices.Sorted(maps.Keys(c.doubted))
	c.forget(now)
	for _, m := range members {
		out = append(out, c.weigh(now, m)...)
	}
	return out
}

// forget drops what has run out.
func (c *Tracker) forget(now float64) {
	for m, list := range c.words {
		n := len(list)
		list = slices.DeleteFunc(list, func(x word) bool { return now >= x.until })
		c.held -= n - len(list)
		if len(list) == 0 {
			delete(c.words, m)
		} else {
			c.words[m] = list
		}
	}
	for m, o := range c.own {
		if now > max(o.good, o.bad)+6*lasts {
			delete(c.own, m)
		}
	}
}

// Gone forgets a peer that is no longer in the roster; its record goes with it.
func (c *Tracker) ForgetWitness(p int) { delete(c.witnesses, p) }

// Line is what is held of a member, for people.
type EndpointEvidence struct {
	Endpoint  string
	Doubt     float64
	Witnesses []int
	Healths   []string
}

// Lines are the words that count, by member.
func (c *Tracker) Snapshot(now float64) (out []EndpointEvidence) {
	for _, m := range slices.Sorted(maps.Keys(c.words)) {
		l := EndpointEvidence{Endpoint: m, Doubt: c.doubted[m].Level}
		for _, x := range c.words[m] {
			if now < x.until {
				l.Witnesses, l.Healths = append(l.Witnesses, x.Witness), append(l.Healths, x.Health.String())
			}
		}
		if len(l.Witnesses) > 0 {
			out = append(out, l)
		}
	}
	return out
}

// Record is what a witness's words were worth, and whether it is still listened to.
func (c *Tracker) Reputation(p int) (right, wrong float64, voice bool) {
	w := c.witnesses[p]
	if w == nil {
		return 0, 0, true
	}
	return w.right, w.wrong, w.weight() > 0
}

// Held is how many words are held and how many wait, for tests of the bounds.
func (c *Tracker) Sizes() (words, waiting int) { return c.held, len(c.queue) }
