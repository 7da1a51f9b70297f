// Package view owns who is there among the routers of an installation, without I/O, clock or goroutine: checks after SWIM
// with Lifeguard's additions, and three of our own against liars. A peer is dropped by a router only on that router's
// own failed checks or on the word of more peers than may lie; what a peer says of itself is signed by itself; and only a
// proof that a question was heard ends a suspicion.
//
// The same events with the same times from the same seed give the same actions, byte for byte.
package swim

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Peer is a place in the roster, which both sides of every call share. The roster only grows.
type MemberID int32

// State is what a router holds of a peer.
type State uint8

// The states. Unknown was never heard of; Stuck answers checks but says that its work stands still.
const (
	Unknown State = iota
	Alive
	Stuck
	Suspect
	Failed
	Left
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "stuck", "suspect", "failed", "left"}[s]
}

// There says whether a peer in this state counts as being there.
func (s State) Present() bool { return s == Alive || s == Stuck || s == Suspect }

// Incarnation is one life of a peer and the times it has refuted in it. Only the peer itself can raise it.
type Incarnation struct {
	StartMillis uint64 // Unix ms at which the process started
	Refutations uint32 // refutations since
}

// Less orders incarnations.
func (a Incarnation) Less(b Incarnation) bool {
	return a.StartMillis < b.StartMillis || a.StartMillis == b.StartMillis && a.Refutations < b.Refutations
}

// Claim is what a peer says of itself, signed by it. Others hand it on as it is.
type MemberRecord struct {
	Member      MemberID
	Incarnation Incarnation
	InstanceID  uint64 // chosen anew at each start: two processes under one name differ here
	State       State  // Alive, Stuck or Left
	Signed      []byte // the signed text, not looked into here
}

// Charge says that its author failed to reach a peer at an incarnation, signed by its author.
type Accusation struct {
	Accuser, Member MemberID
	Incarnation     Incarnation
	Dead            bool // Terms.Plain alone: its author has dropped the peer, and so does everybody who hears of it
	FromPushPull    bool // it came as a row of an exchange, whose sender signed it: it is not handed on
	Signed          []byte
}

// Kind is that of a message.
type MessageKind uint8

// The kinds. A Ping is answered by an Ack to whom it names; one who asks others to look sends Ask, is told Taken at once,
// and Told when the answer came. Table, Reply and Give are the three messages of an exchange.
const (
	Ping MessageKind = iota + 1
	Ack
	IndirectPing
	IndirectPingAccepted
	IndirectAck
	PushPullRequest
	PushPullReply
	Push
)

// Row is a line of an exchange: what the sender holds of a peer.
type PushPullEntry struct {
	Member      MemberID
	Incarnation Incarnation
	State       State
}

// Message is what one peer sends another. Bounds of the lists are those of the constants below.
type Message struct {
	Kind        MessageKind
	Nonce       uint64   // of a check
	Requester   MemberID // who asked: the sender itself, or another whom the sender looks for
	Target      MemberID // Ask, Told: who is looked at
	Proof       []byte   // Ack, Told: signed by the one looked at, over nonce and asker; made and checked outside
	ViewHash    uint64   // of those who are there in the sender's view
	Records     []MemberRecord
	Accusations []Accusation
	Entries     []PushPullEntry
}

// Terms are what an installation may change, and what the laboratory does to compare.
type Config struct {
	ProbeIntervalSeconds float64 // s between two checks of a router; 0: the constant
	MaxByzantine         int     // peers that may lie at the same time
	PublishedSWIM        bool    // SWIM as published, for comparison: fixed suspicion, one accuser believed, no health of one's own
}

// Tuned values, with their unit and reason.
const (
	period        = 0.25     // s: a kill is known to all within 3 s, at some 3 KB/s
	leastWait     = 0.08     // s for an answer: a stop of the garbage collector or of the scheduler is shorter
	mostWait      = 2.0      // s: a peer further away than that is no help in a check
	firstWait     = 0.15     // s until a round trip is known
	longWait      = 2.0      // s for an answer at most, however unwell we are: a look must not outlast what it looks at
	relays        = 3        // others asked to look: SWIM's k
	relayChoice   = 9        // drawn, of whom those heard last are asked
	accusedFor    = 5.0      // s for which a charge against us counts towards our own health
	maxHealth     = 8        // Lifeguard's bound on the health multiplier
	suspectLeast  = 3.5      // periods times log10 of the peers: the time a refutation needs to reach all
	suspectMost   = 6        // times the least, while nobody else suspects: Lifeguard's beta
	confirmations = 3        // independent accusers that bring it down to the least: Lifeguard's K
	ownFails      = 2        // own failed looks, each direct and through others, before a peer is dropped
	byChance      = 1e-3     // odds at which failed looks are no chance any more
	mostLoss      = 0.9      // of round trips that is reckoned with
	mostDoubt     = 8        // failed looks that are always enough
	lossGain      = 1.0 / 32 // of a sample
	looks         = 3        // looks at suspects a period: more would make a mass kill a storm
	freshLook     = 1.5      // s for which a failed look may end in a drop: an older one is made again first
	spread        = 2        // times log2 of the peers that a claim is handed on
	mostEchoes    = 3        // times that one hears from others what one hands on before it has got around; the exchanges find who lacks it
	mostClaims    = 5        // a message: with charges and rows it stays under 1,400 bytes
	mostCharges   = 3        // a message
	mostRows      = 24       // a message of an exchange
	mostTold      = 3        // claims in a message that has rows
	mostChecks    = 64       // under way at once, and as many missed ones whose answer may still come
	exchangeEvery = 4.0      // s between exchanges while all say the same
	differEvery   = 0.5      // s between exchanges while somebody says otherwise
	differFor     = 0.75     // s after a change of our own before a different view is worth an exchange: it is on its way
	failedEvery   = 2        // periods between looks at somebody who is not there: the way back after a cut
	gap           = 0.3      // s that the clock may be late before what was under way is void: we were stopped, not they
	refuteEvery   = 1.0      // periods between two refutations: a liar must not make us talk
	wrongLeast    = 4.0      // contradicted charges before an accuser may lose its voice
	wrongOver     = 4.0      // times the mean of all: where datagrams get lost, everybody errs
	wrongHalf     = 60.0     // s after which a record counts half
	maxAccusers   = 8        // remembered of a suspect
	adopt         = 20.0     // s after the start in which an incarnation of an earlier life is taken over
	mostTargets   = 64       // looks waiting
	suspectFactor = 5        // Plain: periods times log2 of the peers, the published choice
)

// suspicion is what is held against a peer. About 200 bytes and its accusers' seals, 200 bytes each.
type suspicion struct {
	since    float64
	at       Incarnation
	own      int          // own failed looks since
	ownAt    float64      // the last of them
	said     bool         // our charge is out
	accusers []Accusation // in the order in which they came
	lookAt   float64      // next own look
}

// entry is what is held of a peer: about 140 bytes, a suspicion while there is one, and a seal of some 150 bytes.
type entry struct {
	claim   MemberRecord
	state   State
	since   float64 // of the state
	sus     *suspicion
	digest  uint64  // last heard from it
	heard   float64 // when a digest was heard; 0: never
	wrong   float64 // contradicted charges, halved by time
	right   float64 // charges that were borne out
	judged  float64 // when the two were last brought down
	removed bool    // no longer in the roster
	mark    uint64  // its part of the digest
}

// check is one look at a peer.
type check struct {
	nonce, again uint64 // of the first question and of the second: an answer tells how long it took
	of           MemberID
	sent, due    float64
	againAt      float64 // of the second question
	second       bool    // others have been asked, with the second question
	taken        int     // of them who said that they do it
	asked        int
}

// handing is something to be told on: of each peer its newest claim, and charges against it.
type handing struct {
	subject
	charge Accusation
	number uint64
}

// subject is what a thing handed on is about: one entry for a peer's claim and one for each accuser of it, so that the queue is
// bounded by the roster. By is -1 for a claim.
type subject struct{ of, by MemberID }

// queuedAs is the newest entry of a subject, and how often others told us the same since.
type queuedAs struct {
	number uint64
	echoes int
}

type accuser struct {
	by MemberID
	at float64
}

// Change tells that a peer's state changed, with the reason.
type StateChange struct {
	Member           MemberID
	From, To         State
	Reason           string
	Incarnation      Incarnation
	SuspectedSeconds float64 // from the first suspicion, where it ended in a drop
}

// Send is a message that has to go out.
type Send struct {
	To MemberID
	Message
}

// Action is one of Send, Change and Yield. Claims and charges of our own go out without a seal: the shell signs them.
type Action any

// Yield says that a newer process runs under our name: we must fall silent.
type NameConflict struct{ InstanceID uint64 }

// Core is one router's view. Its methods belong to one goroutine.
type Core struct {
	terms Config
	me    MemberID
	rnd   *rand.Rand

	peers   []entry
	started float64
	last    float64 // time of the last step
	wanted  float64 // when the next tick was asked for
	nextAt  float64 // of the next check
	exAt    float64 // of the next exchange
	turns   int     // checks made

	round    []MemberID // order of checks, shuffled anew each time it is through
	place    int
	checks   []check
	late     []check // missed; an answer still tells how far away a peer is
	suspects []MemberID
	nonce    uint64
	levels   [][]handing           // by how often they were handed on
	newest   map[subject]*queuedAs // what is still to be handed on of each subject
	queued   uint64
	targets  []MemberID // suspects to be looked at
	lookAt   float64    // of the next looks at them

	health   int
	accusers []accuser // who charged us lately
	rtt      float64   // averaged gap between question and answer, s
	dev      float64
	loss     float64 // averaged share of first questions that came to nothing at peers who then answered the second
	changed  float64 // when the digest changed last
	refuted  float64 // last refutation
	row      int     // where the next exchange begins
	digest   uint64
	there    int
	left     int // of the roster, others who said goodbye
	removed  int // of the roster
	stuck    int
	wrongs   float64 // contradicted charges of all, halved by time
	wrongAt  float64
	adopted  bool // an earlier life's incarnation, once in a life
	yielded  bool
	leaving  bool

	out []Action
}

// New makes the view of one peer of a roster, which is given by the marks of its names (Mark). Start is the peer's incarnation,
// birth a number that no other start has, now the time in seconds on any clock that does not jump.
func New(t Config, me MemberID, roster []uint64, seed, start, birth uint64, now float64) *Core {
	if t.ProbeIntervalSeconds == 0 {
		t.ProbeIntervalSeconds = period
	}
	c := &Core{terms: t, me: me, rnd: rand.New(rand.NewPCG(seed, uint64(me)+1)), newest: map[subject]*queuedAs{}, started: now, last: now, wanted: now, nextAt: now, exAt: now}
	c.nonce, c.refuted = c.rnd.Uint64(), now-refuteEvery*t.ProbeIntervalSeconds
	c.Grow(roster)
	c.row = c.rnd.IntN(len(roster))
	e := &c.peers[me]
	e.claim = MemberRecord{Member: me, Incarnation: Incarnation{StartMillis: start}, InstanceID: birth, State: Alive}
	e.state, e.since = Alive, now
	c.digest, c.there = c.peers[me].mark, 1
	return c
}

// Grow makes room for a longer roster.
func (c *Core) Grow(roster []uint64) {
	for i := len(c.peers); i < len(roster); i++ {
		c.peers = append(c.peers, entry{claim: MemberRecord{Member: MemberID(i)}, mark: roster[i]})
	}
}

// Remove takes a peer out of the roster, or back in.
func (c *Core) SetRemoved(now float64, p MemberID, removed bool) []Action {
	e := &c.peers[p]
	if e.removed == removed || p == c.me {
		return c.emit()
	}
	if removed {
		c.clear(p)
		c.become(now, p, Unknown, "not in the roster")
	}
	e.removed = removed
	c.removed += flag(removed) - flag(!removed)
	return c.emit()
}

// Mark is a name's part of the digest of those who are there.
func NameHash(name string) uint64 {
	x := uint64(0xcbf29ce484222325)
	for i := range len(name) {
		x = (x ^ uint64(name[i])) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *Core) emit() []Action {
	out := c.out
	c.out = nil
	return out
}

// become is the one place where a peer's state changes.
func (c *Core) become(now float64, p MemberID, to State, why string) {
	e := &c.peers[p]
	if e.state == to {
		return
	}
	ch := StateChange{Member: p, From: e.state, To: to, Reason: why, Incarnation: e.claim.Incarnation}
	if e.sus != nil && to == Failed {
		ch.SuspectedSeconds = now - e.sus.since
	}
	if was, is := e.state.Present(), to.Present(); was != is {
		c.digest, c.changed = c.digest^e.mark, now
		c.there++
		if was {
			c.there -= 2
		}
	}
	if p != c.me && !e.removed {
		c.left += flag(to == Left) - flag(e.state == Left)
	}
	c.stuck += flag(to == Stuck) - flag(e.state == Stuck)
	e.state, e.since = to, now
	c.out = append(c.out, ch)
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// size is how many peers there are, we among them, as far as the times depend on it.
func (c *Core) size() float64 { return float64(max(c.there, 2)) }

// wait is how long an answer may take: averaged gap and four times its swing, longer while we are not well ourselves.
func (c *Core) wait() float64 {
	w := firstWait
	if c.rtt > 0 {
		w = min(max(c.rtt+4*c.dev, leastWait), mostWait)
	}
	if c.terms.PublishedSWIM {
		return w
	}
	return max(w, min(w*float64(1+c.health), longWait))
}

// limits are the shortest and the longest time of a suspicion.
func (c *Core) limits() (least, most float64) {
	if c.terms.PublishedSWIM {
		t := suspectFactor * math.Log2(c.size()) * c.terms.ProbeIntervalSeconds
		return t, t
	}
	least = suspectLeast*max(math.Log10(c.size()), 1)*c.terms.ProbeIntervalSeconds + 2*max(c.rtt, 0)
	return least, suspectMost * least
}

// ends says when a suspicion ends in a drop, by how many hold it.
func (c *Core) ends(s *suspicion) float64 {
	least, most := c.limits()
	k := float64(min(confirmations, max(c.there-2, 1)))
	n := min(float64(c.voices(s)), k+1)
	if n > 1 {
		most = max(least, most-(most-least)*math.Log(n)/math.Log(k+1))
	}
	return s.since + most
}

// doubt is how many own looks have to fail before one says so aloud, or drops: so many that by the loss that one sees, chance
// alone would do it less than once in a thousand. A look fails if two questions and three relayed ones are lost, each relayed one over
// two round trips. Lifeguard's health does the same for lateness.
func (c *Core) doubt() int {
	if c.terms.PublishedSWIM || c.loss <= 0 {
		return 1
	}
	l := min(c.loss, mostLoss)
	odds := l * l * math.Pow(1-(1-l)*(1-l), relays)
	return min(max(int(math.Ceil(math.Log(byChance)/math.Log(odds))), 1), mostDoubt)
}

// voices counts those who hold a suspicion independently, we among them.
func (c *Core) voices(s *suspicion) int {
	n := c.others(s)
	if s.own >= c.doubt() {
		n++
	}
	return n
}

// others counts the accusers that are listened to.
func (c *Core) others(s *suspicion) (n int) {
	for _, a := range s.accusers {
		if !c.voiceless(a.Accuser) {
			n++
		}
	}
	return n
}

// voiceless says whether an accuser has been wrong so much more often than others that it is not listened to.
func (c *Core) voiceless(p MemberID) bool {
	e := &c.peers[p]
	return !c.terms.PublishedSWIM && e.wrong > e.right && e.wrong > wrongLeast+wrongOver*c.wrongs/c.size()
}

// Record is what an accuser's charges were worth: contradicted and borne out, and whether it is listened to no more.
func (c *Core) Reputation(p MemberID) (wrong, right float64, voiceless bool) {
	e := &c.peers[p]
	return e.wrong, e.right, c.voiceless(p)
}

func (c *Core) judge(now float64, p MemberID, wrong bool) {
	if p == c.me {
		return
	}
	e := &c.peers[p]
	k := math.Exp2(-(now - e.judged) / wrongHalf)
	e.wrong, e.right, e.judged = e.wrong*k, e.right*k, now
	c.wrongs, c.wrongAt = c.wrongs*math.Exp2(-(now-c.wrongAt)/wrongHalf), now
	if wrong {
		e.wrong++
		c.wrongs++
	} else {
		e.right++
	}
}

// well is somebody's proof that it heard a question of ours, or a newer claim of its own: what was held against it is over.
func (c *Core) well(now float64, p MemberID, why string) {
	e := &c.peers[p]
	if e.sus != nil {
		for _, a := range e.sus.accusers {
			c.judge(now, a.Accuser, true)
		}
		c.clear(p)
	}
	if e.state == Suspect {
		c.become(now, p, e.claim.State, why)
	}
}

// clear ends a suspicion.
func (c *Core) clear(p MemberID) {
	if s := c.peers[p].sus; s != nil {
		c.unhand(s, p)
	}
	c.peers[p].sus = nil
	c.suspects = slices.DeleteFunc(c.suspects, func(o MemberID) bool { return o == p })
}

// suspect notes a charge, or our own where by is us.
func (c *Core) suspect(now float64, ch Accusation) {
	e := &c.peers[ch.Member]
	if ch.Member == c.me || e.removed || e.state == Unknown || e.state == Left || ch.Incarnation != e.claim.Incarnation {
		return // a charge against an incarnation that nobody signed to us says nothing
	}
	if e.state == Failed {
		return
	}
	if c.terms.PublishedSWIM && ch.Dead {
		c.clear(ch.Member)
		c.handCharge(ch)
		c.become(now, ch.Member, Failed, "another peer's word")
		return
	}
	own := ch.Accuser == c.me
	if !own && c.voiceless(ch.Accuser) {
		return
	}
	if e.sus == nil {
		e.sus = &suspicion{since: now, at: e.claim.Incarnation, lookAt: now}
		c.suspects = append(c.suspects, ch.Member)
		c.become(now, ch.Member, Suspect, why(own))
		if !own {
			c.look(ch.Member)
		}
	}
	s := e.sus
	if own {
		s.own, s.ownAt = s.own+1, now
		if !s.said && s.own >= c.doubt() && len(s.accusers) <= confirmations {
			s.said = true // where enough have said so, one more voice changes nothing
			c.handCharge(ch)
		}
		return
	}
	if slices.ContainsFunc(s.accusers, func(a Accusation) bool { return a.Accuser == ch.Accuser }) {
		c.echo(ch.Member, ch.Accuser)
		return
	}
	if len(s.accusers) >= maxAccusers {
		return
	}
	s.accusers = append(s.accusers, ch)
	if len(s.accusers) <= confirmations+1 && !ch.FromPushPull {
		c.handCharge(ch)
	}
}

func why(own bool) string {
	if own {
		return "no answer to our checks"
	}
	return "another peer's charge"
}

func (c *Core) look(p MemberID) {
	if len(c.targets) < mostTargets && !slices.Contains(c.targets, p) {
		c.targets = append(c.targets, p)
	}
}

// handClaim queues a peer's newest claim to be handed on, handCharge a charge.
func (c *Core) handClaim(p MemberID) { c.hand(handing{subject: subject{p, -1}}) }

func (c *Core) handCharge(ch Accusation) {
	c.hand(handing{subject: subject{ch.Member, ch.Accuser}, charge: ch})
}

func (c *Core) hand(h handing) {
	c.queued++
	h.number = c.queued
	c.newest[h.subject] = &queuedAs{number: h.number}
	if len(c.levels) == 0 {
		c.levels = make([][]handing, 1)
	}
	c.levels[0] = append(c.levels[0], h)
}

// echo is somebody telling us what we hand on ourselves: after some of them it has got around.
func (c *Core) echo(of, by MemberID) {
	if q := c.newest[subject{of, by}]; q != nil && !c.terms.PublishedSWIM {
		if q.echoes++; q.echoes >= mostEchoes {
			delete(c.newest, subject{of, by})
		}
	}
}

// unhand ends the handing on of all charges against a peer.
func (c *Core) unhand(s *suspicion, p MemberID) {
	delete(c.newest, subject{p, c.me})
	for _, a := range s.accusers {
		delete(c.newest, subject{p, a.Accuser})
	}
}

// fill puts what is least told into a message, after what the receiver itself should know of.
func (c *Core) fill(to MemberID, m *Message) {
	m.ViewHash = c.digest
	if e := &c.peers[to]; e.sus != nil || e.state == Failed {
		// Who is charged has to hear of it to be able to refute: Lifeguard's buddies.
		if e.sus == nil || e.sus.said {
			m.Accusations = append(m.Accusations, Accusation{Accuser: c.me, Member: to, Incarnation: e.claim.Incarnation})
		} else if i := slices.IndexFunc(e.sus.accusers, func(a Accusation) bool { return !a.FromPushPull }); i >= 0 {
			m.Accusations = append(m.Accusations, e.sus.accusers[i])
		}
	}
	claims := mostClaims
	if len(m.Entries) > 0 {
		claims = mostTold
	}
	most := max(int(spread*math.Ceil(math.Log2(c.size()+1))), 3)
	for level := 0; level < len(c.levels) && (len(m.Records) < claims || len(m.Accusations) < mostCharges); level++ {
		list := c.levels[level]
		var kept, told []handing
		i := 0
		for ; i < len(list) && (len(m.Records) < claims || len(m.Accusations) < mostCharges); i++ {
			h := list[i]
			isClaim := h.by < 0
			switch {
			case c.newest[h.subject] == nil || c.newest[h.subject].number != h.number: // something newer stands in the queue, or nothing is to be said any more
			case isClaim && len(m.Records) < claims && h.of != to && !hasClaim(m, h.of):
				m.Records = append(m.Records, c.peers[h.of].claim)
				told = append(told, h)
			case !isClaim && len(m.Accusations) < mostCharges && h.of != to && h.by != to:
				m.Accusations = append(m.Accusations, h.charge)
				told = append(told, h)
			default:
				kept = append(kept, h)
			}
		}
		if len(kept) > 0 {
			c.levels[level] = append(kept, list[i:]...)
		} else {
			c.levels[level] = list[i:]
		}
		switch {
		case level+1 >= most:
			for _, h := range told {
				delete(c.newest, h.subject)
			}
		case len(told) > 0:
			if level+1 == len(c.levels) {
				c.levels = append(c.levels, nil)
			}
			// What is told just now must not be taken once more by the next turn of this loop.
			defer func(to int) { c.levels[to] = append(c.levels[to], told...) }(level + 1)
		}
	}
}

func hasClaim(m *Message, p MemberID) bool {
	return slices.ContainsFunc(m.Records, func(x MemberRecord) bool { return x.Member == p })
}

// send fills a message up and puts it out.
func (c *Core) send(to MemberID, m Message) {
	c.fill(to, &m)
	c.out = append(c.out, Send{to, m})
}

// Next is when the next tick is wanted.
func (c *Core) NextDeadline() float64 {
	next := min(c.nextAt, c.exAt)
	if len(c.targets) > 0 {
		next = min(next, c.lookAt)
	}
	for i := range c.checks {
		next = min(next, c.checks[i].due)
	}
	return max(next, c.last)
}
