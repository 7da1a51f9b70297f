package swim

import (
	"cmp"
	"slices"
)

const (
	indirectProbes     = 3 // members asked to ping on our behalf: SWIM's k
	indirectCandidates = 9 // drawn, of which the indirectProbes heard last are asked
	// retryTimeouts is how many ack timeouts the second ping and the indirect ones have: an indirect ack takes two
	// round trips.
	retryTimeouts   = 2
	maxProbes       = 64 // under way, and as many missed ones whose ack may still come
	absentPingEvery = 2  // probes between pings of a member that is not present: the way back after a partition
	leftPingEvery   = 16 // probes between pings that may go to a member that left
	// minSpacingDivisor of the probe interval is the shortest time between two probes, after one that was late.
	minSpacingDivisor        = 2
	suspectProbesPerInterval = 3  // more would make the failure of many members a storm
	maxSuspectProbes         = 64 // waiting
)

// prober schedules probes and holds those under way.
type prober struct {
	nextAt         float64    // of the next probe in turn
	count          int        // probes in turn so far
	order          []MemberID // of the round, shuffled anew for each
	position       int        // in the order
	probes         []probe
	missed         []probe // probes that failed; a late ack still gives the round trip time
	suspectQueue   []MemberID
	nextSuspectsAt float64 // of the next probes of suspects
	lastNonce      uint64
}

// probe is one probe of a member: a ping, and after the timeout a second one together with indirect pings.
type probe struct {
	target        MemberID
	nonce         uint64 // of the first ping
	retryNonce    uint64 // of the second ping and the indirect ones
	sentAt        float64
	retriedAt     float64
	deadline      float64
	retried       bool
	indirectAsked int // indirect pings sent
	indirectTaken int // indirect pings accepted
}

// acknowledgedBy reports whether an ack of a member with a nonce belongs to the probe.
func (p *probe) acknowledgedBy(id MemberID, nonce uint64) bool {
	return p.target == id && (p.nonce == nonce || p.retried && p.retryNonce == nonce)
}

// forget drops all probes under way.
func (p *prober) forget() {
	p.probes = p.probes[:0]
	p.missed = p.missed[:0]
	p.suspectQueue = p.suspectQueue[:0]
}

func (p *prober) nextNonce() uint64 {
	p.lastNonce++
	return p.lastNonce
}

// enqueueSuspect has a suspect probed soon, out of turn.
func (p *prober) enqueueSuspect(id MemberID) {
	if len(p.suspectQueue) < maxSuspectProbes && !slices.Contains(p.suspectQueue, id) {
		p.suspectQueue = append(p.suspectQueue, id)
	}
}

// probeNext probes the next member in turn if it is time, and now and then pings one that is not present.
func (c *Core) probeNext(now float64) {
	if now < c.prober.nextAt {
		return
	}
	interval := c.probeInterval()
	if c.prober.count == 0 {
		c.prober.nextAt = now + interval*c.random.Float64() // routers that start together do not probe together
	} else {
		c.prober.nextAt = nextProbeAt(now, c.prober.nextAt, interval)
	}
	c.prober.count++
	if c.prober.count%absentPingEvery == 0 {
		if id, ok := c.pickAbsent(); ok {
			c.ping(id)
		}
	}
	if id, ok := c.pickInTurn(); ok {
		c.startProbe(now, id)
	}
}

// probeInterval is the time between two probes in turn, in seconds, longer with our health score.
func (c *Core) probeInterval() float64 {
	if c.config.PublishedSWIM {
		return c.config.ProbeIntervalSeconds
	}
	return c.config.ProbeIntervalSeconds * c.health.multiplier()
}

// nextProbeAt is when the next probe in turn is due. After a late one it catches up, without a burst.
func nextProbeAt(now, previousDue, interval float64) float64 {
	return max(previousDue+interval, now+interval/minSpacingDivisor)
}

// pickInTurn is the next present member of the round. It begins a new round at the end of one.
func (c *Core) pickInTurn() (MemberID, bool) {
	for range 2 {
		for c.prober.position < len(c.prober.order) {
			id := c.prober.order[c.prober.position]
			c.prober.position++
			if m := &c.members[id]; m.state.Present() && id != c.self && !m.removed {
				return id, true
			}
		}
		c.prober.position = 0
		c.prober.order = c.prober.order[:0]
		for i := range c.members {
			if MemberID(i) != c.self && c.members[i].state.Present() {
				c.prober.order = append(c.prober.order, MemberID(i))
			}
		}
		c.shuffle(c.prober.order)
	}
	return 0, false
}

// pickAbsent draws a member of the roster that is not present. After a partition both sides hold each other failed and
// probe only their own: without these pings they would never meet again.
func (c *Core) pickAbsent() (MemberID, bool) {
	first := c.random.IntN(len(c.members))
	for i := range c.members {
		id := MemberID((first + i) % len(c.members))
		m := &c.members[id]
		if id == c.self || m.removed {
			continue
		}
		if mayPingAbsent(m.state, c.prober.count) {
			return id, true
		}
	}
	return 0, false
}

// mayPingAbsent says whether a member that is not present may be pinged. One that left is pinged more rarely: it
// comes back by itself.
func mayPingAbsent(state State, probeCount int) bool {
	return state == Failed || state == Unknown || state == Left && probeCount%leftPingEvery == 0
}

// probeSuspects probes some of the suspects that wait, at any health score: an ack is what saves a suspect.
func (c *Core) probeSuspects(now float64) {
	p := &c.prober
	if now < p.nextSuspectsAt || len(p.suspectQueue) == 0 {
		return
	}
	p.nextSuspectsAt = now + c.config.ProbeIntervalSeconds
	for n := 0; n < suspectProbesPerInterval && len(p.suspectQueue) > 0; n++ {
		id := p.suspectQueue[0]
		p.suspectQueue = p.suspectQueue[1:]
		if c.members[id].suspicion != nil {
			c.startProbe(now, id)
		}
	}
}

func (c *Core) startProbe(now float64, id MemberID) {
	underWay := slices.ContainsFunc(c.prober.probes, func(p probe) bool { return p.target == id })
	if underWay || len(c.prober.probes) >= maxProbes {
		return
	}
	nonce := c.ping(id)
	c.prober.probes = append(c.prober.probes, probe{
		nonce:    nonce,
		target:   id,
		sentAt:   now,
		deadline: now + c.ackTimeout(),
	})
}

// ping sends a ping and returns its nonce. A member that is not present gets our record with it, for it may not
// know us.
func (c *Core) ping(id MemberID) uint64 {
	m := Message{Kind: Ping, Nonce: c.prober.nextNonce(), Requester: c.self}
	if !c.members[id].state.Present() {
		m.Records = append(m.Records, c.members[c.self].record)
	}
	c.send(id, m)
	return m.Nonce
}

// checkProbeDeadlines retries probes whose first ping timed out, and ends those whose second one did.
func (c *Core) checkProbeDeadlines(now float64) {
	for i := 0; i < len(c.prober.probes); {
		p := &c.prober.probes[i]
		switch {
		case now < p.deadline:
			i++
		case !p.retried:
			c.retryProbe(now, p)
			i++
		default:
			failed := *p
			c.prober.probes = slices.Delete(c.prober.probes, i, i+1)
			c.probeFailed(now, failed)
		}
	}
}

// retryProbe pings once more, because one lost datagram is no reason for a suspicion, and asks others to ping.
func (c *Core) retryProbe(now float64, p *probe) {
	p.retried = true
	p.retryNonce = c.prober.nextNonce()
	p.retriedAt = now
	p.deadline = now + retryTimeouts*c.ackTimeout()
	if !c.config.PublishedSWIM {
		c.send(p.target, Message{Kind: Ping, Nonce: p.retryNonce, Requester: c.self})
		s := c.members[p.target].suspicion
		if s != nil && hasHonestAccuser(c.trustedAccusers(s), c.config.MaxByzantine) {
			return // that accuser has asked others already: our own pings are enough
		}
	}
	for _, id := range c.pickRelays(p.target) {
		c.send(id, Message{Kind: IndirectPing, Nonce: p.retryNonce, Requester: c.self, Target: p.target})
		p.indirectAsked++
	}
}

// hasHonestAccuser says that more members accuse than may be byzantine, so that at least one of them is honest.
func hasHonestAccuser(accusers, maxByzantine int) bool { return accusers > maxByzantine }

// pickRelays draws members for indirect pings. Of some drawn at random it takes those heard last: in a partition
// they are on this side.
func (c *Core) pickRelays(target MemberID) []MemberID {
	var able []MemberID
	for i := range c.members {
		id, m := MemberID(i), &c.members[i]
		if id != c.self && id != target && (m.state == Alive || m.state == Stuck) && !m.removed {
			able = append(able, id)
		}
	}
	c.shuffle(able)
	if !c.config.PublishedSWIM {
		able = able[:min(len(able), indirectCandidates)]
		slices.SortStableFunc(able, func(a, b MemberID) int {
			return cmp.Compare(c.members[b].heardAt, c.members[a].heardAt)
		})
	}
	return able[:min(len(able), indirectProbes)]
}

// probeFailed takes a probe that nobody acked.
func (c *Core) probeFailed(now float64, p probe) {
	m := &c.members[p.target]
	if !m.state.Present() {
		return
	}
	if len(c.prober.missed) >= maxProbes {
		c.prober.missed = slices.Delete(c.prober.missed, 0, 1)
	}
	c.prober.missed = append(c.prober.missed, p)
	if relaysUnreachable(p.indirectAsked, p.indirectTaken) {
		c.health.raise(faultPenalty)
	}
	c.accuse(now, Accusation{Accuser: c.self, Member: p.target, Incarnation: m.record.Incarnation})
	if m.suspicion != nil {
		m.suspicion.nextProbeAt = now
		// A probe whose timeout was long because of our health score says how the member was when it pinged.
		m.suspicion.lastFailedAt = min(now, p.retriedAt+retryTimeouts*c.ackTimeout())
	}
}

// acknowledge takes the proof that a member received a ping of ours. A late one proves the same, and gives the
// round trip time. It reports whether the ack belongs to a probe.
func (c *Core) acknowledge(now float64, id MemberID, nonce uint64) bool {
	matches := func(p probe) bool { return p.acknowledgedBy(id, nonce) }
	list, late := &c.prober.probes, false
	i := slices.IndexFunc(*list, matches)
	if i < 0 {
		list, late = &c.prober.missed, true
		i = slices.IndexFunc(*list, matches)
	}
	if i < 0 {
		return false
	}
	p := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	if p.nonce == nonce {
		c.roundTrips.sampleTime(now - p.sentAt)
	}
	if c.members[id].suspicion == nil && !late {
		c.roundTrips.sampleLoss(p.retried && p.retryNonce == nonce)
	}
	if !late && !p.retried {
		c.health.lower()
	}
	return true
}

// proveAlive ends a suspicion of a member that proved that it received a ping. A failed or unknown member stays so:
// the ack may be older than the failure, and others would go on holding the member failed. Only a newer record, which
// spreads as gossip, brings it back everywhere.
func (c *Core) proveAlive(now float64, id MemberID) {
	m := &c.members[id]
	if m.state == Failed || m.state == Unknown {
		return // only a newer record brings it back
	}
	c.clearSuspicion(now, id, ReasonAcked)
}
