package swim

import (
	"cmp"
	"math"
	"slices"
)

// Tick does what the time asks for.
func (c *Core) Tick(now float64) []Action {
	if c.yielded {
		return c.emit()
	}
	c.awake(now)
	for i := 0; i < len(c.checks); {
		if k := &c.checks[i]; now >= k.due {
			if !k.second {
				c.further(now, k)
			} else {
				done := *k
				c.checks = slices.Delete(c.checks, i, i+1)
				c.missed(now, done)
				continue
			}
		}
		i++
	}
	c.verdicts(now)
	if now >= c.nextAt {
		p := c.terms.ProbeIntervalSeconds
		if !c.terms.PublishedSWIM {
			p *= float64(1 + c.health)
		}
		if c.nextAt = max(c.nextAt+p, now+p/2); c.turns == 0 {
			c.nextAt = now + p*c.rnd.Float64() // routers that start together do not check together
		}
		c.turns++
		c.checkOne(now)
	}
	if now >= c.lookAt && len(c.targets) > 0 {
		c.lookAt = now + c.terms.ProbeIntervalSeconds // however slowly we judge: looks are what saves a suspect
		c.suspectsOnce(now)
	}
	if now >= c.exAt {
		c.exchange(now)
	}
	c.last, c.wanted = now, c.NextDeadline()
	return c.emit()
}

// awake finds out whether we were stopped: then nobody else is to blame for what did not come.
func (c *Core) awake(now float64) {
	late := now - max(c.wanted, c.last)
	if c.terms.PublishedSWIM || late < gap {
		return
	}
	c.checks, c.late = c.checks[:0], c.late[:0]
	c.targets = c.targets[:0]
	c.health = min(c.health+2, maxHealth)
	c.nextAt, c.exAt = now, max(c.exAt, now)
	for _, p := range c.suspects {
		s := c.peers[p].sus
		s.since, s.lookAt, s.own = s.since+late, now, 0
	}
}

// suspectsOnce looks at some of the suspects.
func (c *Core) suspectsOnce(now float64) {
	for n := 0; n < looks && len(c.targets) > 0; n++ {
		p := c.targets[0]
		c.targets = c.targets[1:]
		if c.peers[p].sus != nil {
			c.check(now, p)
		}
	}
}

// checkOne looks at the next of the round, and now and then at one who is not there.
func (c *Core) checkOne(now float64) {
	if c.turns%failedEvery == 0 {
		if p, ok := c.absent(); ok {
			c.ping(p)
		}
	}
	for tries := 0; tries < 2; tries++ {
		for c.place < len(c.round) {
			p := c.round[c.place]
			c.place++
			if e := &c.peers[p]; e.state.Present() && p != c.me && !e.removed {
				c.check(now, p)
				return
			}
		}
		c.round, c.place = c.round[:0], 0
		for i := range c.peers {
			if MemberID(i) != c.me && c.peers[i].state.Present() {
				c.round = append(c.round, MemberID(i))
			}
		}
		c.rnd.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
}

// absent draws one of the roster who is not there and did not leave.
func (c *Core) absent() (MemberID, bool) {
	if len(c.peers) == 0 {
		return 0, false
	}
	from := c.rnd.IntN(len(c.peers))
	for i := range c.peers {
		p := MemberID((from + i) % len(c.peers))
		if e := &c.peers[p]; p != c.me && !e.removed && (e.state == Failed || e.state == Unknown || e.state == Left && c.turns%(8*failedEvery) == 0) {
			return p, true
		}
	}
	return 0, false
}

func (c *Core) check(now float64, p MemberID) {
	if slices.ContainsFunc(c.checks, func(k check) bool { return k.of == p }) || len(c.checks) >= mostChecks {
		return
	}
	c.checks = append(c.checks, check{nonce: c.ping(p), of: p, sent: now, due: now + c.wait()})
}

func (c *Core) ping(p MemberID) uint64 {
	c.nonce++
	m := Message{Kind: Ping, Nonce: c.nonce, Requester: c.me}
	if e := &c.peers[c.me]; !c.peers[p].state.Present() {
		m.Records = append(m.Records, e.claim) // who does not know us may want to
	}
	c.send(p, m)
	return c.nonce
}

// further asks others to look, and looks once more itself: one lost datagram is no reason to suspect anybody.
func (c *Core) further(now float64, k *check) {
	c.nonce++
	k.second, k.again, k.againAt, k.due = true, c.nonce, now, now+2*c.wait()
	if !c.terms.PublishedSWIM {
		c.send(k.of, Message{Kind: Ping, Nonce: k.again, Requester: c.me})
	}
	if s := c.peers[k.of].sus; s != nil && c.others(s) > c.terms.MaxByzantine && !c.terms.PublishedSWIM {
		return // one of them at least speaks the truth and has asked others: our own eyes are enough
	}
	var able []MemberID
	for i := range c.peers {
		if e := &c.peers[i]; MemberID(i) != c.me && MemberID(i) != k.of && (e.state == Alive || e.state == Stuck) && !e.removed {
			able = append(able, MemberID(i))
		}
	}
	// Of some drawn by chance those who were heard last: in a cut they are on this side of it.
	c.rnd.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	if !c.terms.PublishedSWIM {
		able = able[:min(len(able), relayChoice)]
		slices.SortStableFunc(able, func(a, b MemberID) int { return cmp.Compare(c.peers[b].heard, c.peers[a].heard) })
	}
	for _, p := range able[:min(len(able), relays)] {
		c.send(p, Message{Kind: IndirectPing, Nonce: k.again, Requester: c.me, Target: k.of})
		k.asked++
	}
}

// missed is a check that nobody answered.
func (c *Core) missed(now float64, k check) {
	e := &c.peers[k.of]
	if !e.state.Present() {
		return
	}
	if len(c.late) >= mostChecks {
		c.late = slices.Delete(c.late, 0, 1)
	}
	c.late = append(c.late, k)
	// Others who did not even say that they look: it is likelier to be us.
	if k.asked > 0 && k.taken < (k.asked+1)/2 {
		c.health = min(c.health+1, maxHealth)
	}
	c.suspect(now, Accusation{Accuser: c.me, Member: k.of, Incarnation: e.claim.Incarnation})
	if e.sus != nil {
		e.sus.lookAt = now
		// A look that waited long because we were unwell tells of the time when it asked.
		e.sus.ownAt = min(now, k.againAt+2*c.wait())
	}
}

// answered is a proof that a peer heard a question of ours. One that comes late proves the same, and tells how far away
// the peer is.
func (c *Core) answered(now float64, p MemberID, nonce uint64) bool {
	same := func(k check) bool { return k.of == p && (k.nonce == nonce || k.second && k.again == nonce) }
	list, late := &c.checks, false
	i := slices.IndexFunc(*list, same)
	if i < 0 {
		list, late = &c.late, true
		if i = slices.IndexFunc(*list, same); i < 0 {
			return false
		}
	}
	k := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	if k.nonce == nonce {
		c.sample(now - k.sent)
	}
	if c.peers[p].sus == nil && !late {
		lost := 0.0
		if k.second && k.again == nonce {
			lost = 1
		}
		c.loss += (lost - c.loss) * lossGain
	}
	if c.health > 0 && !late && !k.second {
		c.health--
	}
	return true
}

// sample learns how long answers take.
func (c *Core) sample(s float64) {
	if c.rtt == 0 {
		c.rtt, c.dev = s, s/2
		return
	}
	c.dev += (math.Abs(s-c.rtt) - c.dev) / 4
	c.rtt += (s - c.rtt) / 8
}

// verdicts ends suspicions whose time is over, and looks again at those that go on.
func (c *Core) verdicts(now float64) {
	for _, p := range slices.Clone(c.suspects) {
		e := &c.peers[p]
		s := e.sus
		if now >= s.lookAt {
			s.lookAt = now + c.terms.ProbeIntervalSeconds
			c.look(p)
		}
		if now < c.ends(s) || !c.terms.PublishedSWIM && s.own < max(ownFails, c.doubt()) && !c.overwhelming(now, s) {
			continue
		}
		if now > s.ownAt+freshLook && !c.terms.PublishedSWIM && !c.overwhelming(now, s) {
			c.look(p)
			continue
		}
		for _, a := range s.accusers {
			c.judge(now, a.Accuser, false)
		}
		why := "our checks and its silence"
		if s.own < ownFails {
			why = "the charges of more peers than may lie"
		}
		c.become(now, p, Failed, why)
		c.clear(p)
		if c.terms.PublishedSWIM {
			c.handCharge(Accusation{Accuser: c.me, Member: p, Incarnation: e.claim.Incarnation, Dead: true})
		}
	}
}

// overwhelming says whether more accusers than may lie hold out for the longest time: the way for a router that is too busy
// to look for itself.
func (c *Core) overwhelming(now float64, s *suspicion) bool {
	_, most := c.limits()
	return c.voices(s) > c.terms.MaxByzantine+1 && now >= s.since+2*most
}

// exchange compares a part of the table with somebody, sooner with one who sees others than we do.
func (c *Core) exchange(now float64) {
	var able, differ []MemberID
	for i := range c.peers {
		e := &c.peers[i]
		if MemberID(i) == c.me || !e.state.Present() || e.removed {
			continue
		}
		able = append(able, MemberID(i))
		if e.heard > c.changed+differFor && now-e.heard < exchangeEvery && e.digest != c.digest {
			differ = append(differ, MemberID(i))
		}
	}
	every, from := exchangeEvery, able
	if len(differ) > 0 {
		every, from = differEvery, differ
	}
	c.exAt = now + every*(0.75+0.5*c.rnd.Float64())
	if len(from) == 0 {
		return
	}
	c.send(from[c.rnd.IntN(len(from))], Message{Kind: PushPullRequest, Entries: c.rows()})
}

// rows is the next part of the table.
func (c *Core) rows() []PushPullEntry {
	var out []PushPullEntry
	for n := 0; n < len(c.peers) && len(out) < mostRows; n++ {
		c.row = (c.row + 1) % len(c.peers)
		out = append(out, c.rowOf(MemberID(c.row)))
	}
	return out
}

func (c *Core) rowOf(p MemberID) PushPullEntry {
	return PushPullEntry{p, c.peers[p].claim.Incarnation, c.peers[p].state}
}

// Heard takes a message from a peer whose signature, counter and proof the shell has checked.
func (c *Core) HandleMessage(now float64, from MemberID, m Message) []Action {
	if c.yielded || from == c.me || int(from) >= len(c.peers) || c.peers[from].removed {
		return c.emit()
	}
	for _, cl := range m.Records {
		c.claim(now, cl)
	}
	for _, ch := range m.Accusations {
		c.charge(now, ch)
	}
	e := &c.peers[from]
	if m.ViewHash != 0 {
		e.digest, e.heard = m.ViewHash, now
	}
	switch m.Kind {
	case Ping:
		// Asked for somebody else, we answer the one who asks on, with a proof for the one who wants to know.
		back := Message{Kind: Ack, Nonce: m.Nonce, Requester: m.Requester}
		if !e.state.Present() || e.state == Suspect {
			back.Records = append(back.Records, c.peers[c.me].claim)
		}
		c.send(from, back)
	case Ack:
		if m.Requester != c.me {
			if int(m.Requester) < len(c.peers) {
				c.send(m.Requester, Message{Kind: IndirectAck, Nonce: m.Nonce, Requester: m.Requester, Target: from, Proof: m.Proof})
			}
		} else if c.answered(now, from, m.Nonce) {
			c.proven(now, from)
		}
	case IndirectPing:
		if int(m.Target) < len(c.peers) && m.Target != c.me {
			c.send(from, Message{Kind: IndirectPingAccepted, Nonce: m.Nonce})
			c.send(m.Target, Message{Kind: Ping, Nonce: m.Nonce, Requester: from})
		}
	case IndirectPingAccepted:
		if i := slices.IndexFunc(c.checks, func(k check) bool { return k.second && k.again == m.Nonce }); i >= 0 {
			c.checks[i].taken++
		}
	case IndirectAck:
		if m.Requester == c.me && int(m.Target) < len(c.peers) && c.answered(now, m.Target, m.Nonce) {
			c.proven(now, m.Target)
		}
	case PushPullRequest:
		back := Message{Kind: PushPullReply}
		c.compare(now, from, m.Entries, &back, true)
		c.send(from, back)
	case PushPullReply:
		give := Message{Kind: Push}
		c.compare(now, from, m.Entries, &give, false)
		if len(give.Records) > 0 {
			c.send(from, give)
		}
	}
	return c.emit()
}

func (c *Core) proven(now float64, p MemberID) {
	e := &c.peers[p]
	if e.state == Failed || e.state == Unknown {
		return // it answers, but its new incarnation is what brings it back
	}
	c.well(now, p, "it answers")
}

// compare looks through rows of another: what we know better goes back with it, what it knows better we ask for.
func (c *Core) compare(now float64, from MemberID, rows []PushPullEntry, back *Message, ask bool) {
	pings := 0
	for _, r := range rows {
		if int(r.Member) >= len(c.peers) {
			continue
		}
		e := &c.peers[r.Member]
		switch {
		case r.Incarnation.Less(e.claim.Incarnation):
			if len(back.Records) < mostClaims {
				back.Records = append(back.Records, e.claim)
			}
		case e.claim.Incarnation.Less(r.Incarnation):
			if ask && len(back.Entries) < mostRows {
				back.Entries = append(back.Entries, c.rowOf(r.Member))
			}
		case r.State == Failed && e.state.Present():
			// Whoever sent the table signed it: its row is its charge.
			c.charge(now, Accusation{Accuser: from, Member: r.Member, Incarnation: r.Incarnation, FromPushPull: true})
		case r.State.Present() && e.state == Failed && r.Member != c.me && pings < looks:
			pings++
			c.ping(r.Member) // somebody sees whom we dropped: it will refute what we hold against it
		}
	}
}

// claim takes what a peer says of itself; its signature has been checked.
func (c *Core) claim(now float64, cl MemberRecord) {
	if int(cl.Member) >= len(c.peers) {
		return
	}
	e := &c.peers[cl.Member]
	if cl.Member == c.me {
		c.ourselves(now, cl)
		return
	}
	if e.claim.Incarnation == cl.Incarnation {
		c.echo(cl.Member, -1)
	}
	if e.removed || !e.claim.Incarnation.Less(cl.Incarnation) && !(e.claim.Incarnation == cl.Incarnation && e.state == Unknown) {
		return
	}
	e.claim = cl
	c.handClaim(cl.Member)
	if e.state == Unknown {
		c.exAt = min(c.exAt, now+c.terms.ProbeIntervalSeconds*c.rnd.Float64()) // who comes in anew has things to tell
	}
	c.well(now, cl.Member, "it refuted")
	why := "its newer claim"
	switch cl.State {
	case Left:
		why = "it left"
	case Stuck:
		why = "it says that its work stands still"
	}
	c.become(now, cl.Member, cl.State, why)
}

// ourselves is a claim under our own name: of an earlier life, of ours, or of another process with our key.
func (c *Core) ourselves(now float64, cl MemberRecord) {
	e := &c.peers[c.me]
	if !e.claim.Incarnation.Less(cl.Incarnation) {
		return
	}
	if c.adopted || now > c.started+adopt {
		c.yielded = true
		c.out = append(c.out, NameConflict{cl.InstanceID})
		return
	}
	c.adopted = true
	c.restate(now, Incarnation{StartMillis: cl.Incarnation.StartMillis + 1})
}

func (c *Core) restate(now float64, at Incarnation) {
	e := &c.peers[c.me]
	e.claim.Incarnation, c.refuted = at, now
	c.handClaim(c.me)
}

// charge takes another's word against a peer.
func (c *Core) charge(now float64, ch Accusation) {
	if int(ch.Member) >= len(c.peers) || int(ch.Accuser) >= len(c.peers) || c.peers[ch.Accuser].removed || ch.Accuser == c.me {
		return
	}
	if ch.Member != c.me {
		c.suspect(now, ch)
		return
	}
	e := &c.peers[c.me]
	if ch.Incarnation == e.claim.Incarnation {
		c.accused(now, ch.Accuser)
	}
	if ch.Incarnation != e.claim.Incarnation || c.leaving || now < c.refuted+refuteEvery*c.terms.ProbeIntervalSeconds {
		return // of a life that is over, of one that never was, or answered just now
	}
	c.judge(now, ch.Accuser, true)
	c.restate(now, Incarnation{e.claim.Incarnation.StartMillis, e.claim.Incarnation.Refutations + 1})
}

// accused notes who charges us. More than may lie say that we were not heard in time: then we judge more slowly. Fewer say
// nothing, for a liar could make us slow.
func (c *Core) accused(now float64, by MemberID) {
	c.accusers = slices.DeleteFunc(c.accusers, func(a accuser) bool { return a.by == by || now-a.at > accusedFor })
	c.accusers = append(c.accusers, accuser{by, now})
	if len(c.accusers) > c.terms.MaxByzantine && !c.terms.PublishedSWIM {
		c.health = min(c.health+1, maxHealth)
		c.accusers = c.accusers[:0]
	}
}

// Work says whether our own work goes on; while it stands still we say so.
func (c *Core) SetWorking(now float64, goes bool) []Action {
	e := &c.peers[c.me]
	want := Alive
	if !goes {
		want = Stuck
	}
	if e.claim.State != want && !c.leaving && !c.yielded {
		e.claim.State = want
		c.become(now, c.me, want, "our own work")
		c.restate(now, Incarnation{e.claim.Incarnation.StartMillis, e.claim.Incarnation.Refutations + 1})
	}
	return c.emit()
}

// Leave says goodbye: the claim goes to some at once, and they hand it on.
func (c *Core) Leave(now float64) []Action {
	if c.yielded || c.leaving {
		return c.emit()
	}
	c.leaving = true
	e := &c.peers[c.me]
	e.claim.State = Left
	c.become(now, c.me, Left, "we leave")
	c.restate(now, Incarnation{e.claim.Incarnation.StartMillis, e.claim.Incarnation.Refutations + 1})
	var able []MemberID
	for i := range c.peers {
		if MemberID(i) != c.me && c.peers[i].state.Present() {
			able = append(able, MemberID(i))
		}
	}
	c.rnd.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	for _, p := range able[:min(len(able), 2*relays)] {
		c.send(p, Message{Kind: Push, Records: []MemberRecord{e.claim}})
	}
	return c.emit()
}

// Line is what is held of a peer, for people.
type MemberInfo struct {
	Member               MemberID
	State                State
	Incarnation          Incarnation
	Since                float64
	Accusers             []MemberID
	FailedProbes         int
	RefutedAccusations   float64
	ConfirmedAccusations float64
	Silenced             bool
	ViewDiffers          bool
}

// Lines is the whole view.
func (c *Core) Snapshot(now float64) []MemberInfo {
	var out []MemberInfo
	for i := range c.peers {
		e := &c.peers[i]
		if e.removed {
			continue
		}
		l := MemberInfo{Member: MemberID(i), State: e.state, Incarnation: e.claim.Incarnation, Since: e.since, RefutedAccusations: e.wrong, ConfirmedAccusations: e.right, Silenced: c.voiceless(MemberID(i)),
			ViewDiffers: c.ViewDiffers(now, MemberID(i))}
		if e.sus != nil {
			l.FailedProbes = e.sus.own
			for _, a := range e.sus.accusers {
				l.Accusers = append(l.Accusers, a.Accuser)
			}
		}
		out = append(out, l)
	}
	return out
}

// State of a peer, and its claim.
func (c *Core) Lookup(p MemberID) (State, MemberRecord) { return c.peers[p].state, c.peers[p].claim }

// There counts those who are there, we among them, and those of the roster who did not say goodbye.
func (c *Core) Counts() (there, roster, stuck int) {
	return c.there, len(c.peers) - c.removed - c.left, c.stuck
}

// Assume takes claims as known from before, without handing them on: the state of a fleet that has long been running.
func (c *Core) Preload(now float64, claims []MemberRecord) []Action {
	for _, cl := range claims {
		if cl.Member != c.me {
			c.peers[cl.Member].claim = cl
			c.become(now, cl.Member, cl.State, "assumed")
		}
	}
	return c.emit()
}

// Differs says whether somebody who is there was lately heard to see others than we do.
func (c *Core) ViewDiffers(now float64, p MemberID) bool {
	e := &c.peers[p]
	return p != c.me && e.state.Present() && e.heard > 0 && now-e.heard < 2*exchangeEvery && e.digest != c.digest
}

// Health is our own, 0 to 8: how much slower we judge others.
func (c *Core) HealthScore() int { return c.health }

// Queued is how much waits to be handed on, for tests of its bound.
func (c *Core) QueueLength() int { return len(c.newest) }

// Newer says whether a claim would be news, so that its signature has to be checked.
func (c *Core) IsNewer(p MemberID, at Incarnation) bool {
	e := &c.peers[p]
	return e.claim.Incarnation.Less(at) || e.state == Unknown && e.claim.Incarnation == at
}

// Digest is that of those who are there.
func (c *Core) ViewHash() uint64 { return c.digest }

// Me is this peer's own claim.
func (c *Core) SelfRecord() MemberRecord { return c.peers[c.me].claim }
