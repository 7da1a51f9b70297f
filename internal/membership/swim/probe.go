package swim

import (
	"slices"
)

const (
	// retryTimeouts is how many ack timeouts the second ping and the indirect ones have: an indirect ack takes two
	// round trips.
	retryTimeouts = 2
	maxProbes     = 64 // under way, and as many missed ones whose ack may still come
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
