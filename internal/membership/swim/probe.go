package swim

import (
	"slices"
)

const (
	// retryTimeouts is the time limit of the second ping and the indirect pings, as a multiple of the ack timeout.
	// It covers the two round trips of an indirect ack.
	retryTimeouts = 2
	maxProbes     = 64 // limit of the probes in flight, and of the failed probes whose late ack is still accepted
)

// prober schedules probes and holds those in flight.
type prober struct {
	nextAt         float64    // time of the next scheduled probe
	count          int        // number of scheduled probes so far
	order          []MemberID // probe order of the current round; shuffled for each round
	position       int        // index of the next member in order
	probes         []probe
	timedOut       []probe // failed probes; a late ack still provides a round-trip time
	suspectQueue   []MemberID
	nextSuspectsAt float64 // time of the next probes of suspects
	lastNonce      uint64
}

// probe is one probe of a member: a ping and, if it times out, a second ping together with indirect pings.
type probe struct {
	target            MemberID
	nonce             uint64 // nonce of the first ping
	retryNonce        uint64 // nonce of the second ping and the indirect pings
	sentAt            float64
	retriedAt         float64
	deadline          float64
	retried           bool
	indirectRequested int // number of indirect pings requested
	indirectAccepted  int // number of indirect pings accepted
}

// acknowledgedBy reports whether an ack from a member with the given nonce belongs to the probe.
func (p *probe) acknowledgedBy(id MemberID, nonce uint64) bool {
	return p.target == id && (p.nonce == nonce || p.retried && p.retryNonce == nonce)
}

// reset drops all probes in flight, the failed probes whose late ack is still accepted, and the queue of suspects.
func (p *prober) reset() {
	p.probes = p.probes[:0]
	p.timedOut = p.timedOut[:0]
	p.suspectQueue = p.suspectQueue[:0]
}

func (p *prober) nextNonce() uint64 {
	p.lastNonce++
	return p.lastNonce
}

func (c *Core) startProbe(now float64, id MemberID) {
	inFlight := slices.ContainsFunc(c.prober.probes, func(p probe) bool { return p.target == id })
	if inFlight || len(c.prober.probes) >= maxProbes {
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

// ping sends a ping and returns its nonce. To a member that is not present it also sends this router's record,
// because that member may not have it.
func (c *Core) ping(id MemberID) uint64 {
	m := Message{Kind: Ping, Nonce: c.prober.nextNonce(), Requester: c.self}
	if !c.members[id].state.Present() {
		m.Records = append(m.Records, c.members[c.self].record)
	}
	c.send(id, m)
	return m.Nonce
}

// checkProbeDeadlines retries probes whose first ping timed out, and fails probes whose retry timed out.
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

// retryProbe sends a second ping, because one lost datagram must not cause a suspicion, and requests indirect pings.
func (c *Core) retryProbe(now float64, p *probe) {
	p.retried = true
	p.retryNonce = c.prober.nextNonce()
	p.retriedAt = now
	p.deadline = now + retryTimeouts*c.ackTimeout()
	if !c.config.PublishedSWIM {
		c.send(p.target, Message{Kind: Ping, Nonce: p.retryNonce, Requester: c.self})
		s := c.members[p.target].suspicion
		if s != nil && hasHonestAccuser(c.trustedAccusers(s), c.config.MaxByzantine) {
			return // an honest accuser already requested indirect pings: the direct pings are enough
		}
	}
	for _, id := range c.pickRelays(p.target) {
		c.send(id, Message{Kind: IndirectPing, Nonce: p.retryNonce, Requester: c.self, Target: p.target})
		p.indirectRequested++
	}
}

// probeFailed handles a probe without any ack.
func (c *Core) probeFailed(now float64, p probe) {
	m := &c.members[p.target]
	if !m.state.Present() {
		return
	}
	if len(c.prober.timedOut) >= maxProbes {
		c.prober.timedOut = slices.Delete(c.prober.timedOut, 0, 1)
	}
	c.prober.timedOut = append(c.prober.timedOut, p)
	if relaysUnreachable(p.indirectRequested, p.indirectAccepted) {
		c.health.raise(faultPenalty)
	}
	c.accuse(now, Accusation{Accuser: c.self, Member: p.target, Incarnation: m.record.Incarnation})
	if m.suspicion != nil {
		m.suspicion.nextProbeAt = now
		// A probe whose timeout was long because of a high health score shows the member's state when the pings
		// were sent, so the failure is dated at most one retry timeout after them.
		m.suspicion.lastFailedAt = min(now, p.retriedAt+retryTimeouts*c.ackTimeout())
	}
}

// acknowledge handles the proof that a member received a ping from this router. A late ack is as valid as a timely
// one and also provides the round-trip time. It reports whether the ack belongs to a probe.
func (c *Core) acknowledge(now float64, id MemberID, nonce uint64) bool {
	matches := func(p probe) bool { return p.acknowledgedBy(id, nonce) }
	list, late := &c.prober.probes, false
	i := slices.IndexFunc(*list, matches)
	if i < 0 {
		list, late = &c.prober.timedOut, true
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

// confirmAlive ends the suspicion of a member that proved that it received a ping. A failed or unknown member remains
// in its state: the ack may be older than the failure, and the other members would still consider the member failed.
// Only a newer record, which spreads as gossip, makes it present again at all members.
func (c *Core) confirmAlive(now float64, id MemberID) {
	m := &c.members[id]
	if m.state == Failed || m.state == Unknown {
		return // only a newer record makes the member present again
	}
	c.clearSuspicion(now, id, ReasonAcked)
}
