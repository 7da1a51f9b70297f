package swim

import (
	"math"
	"slices"
)

// suspicion is what is held against a member: about 200 bytes, and 200 bytes an accusation with its signed
// encoding.
type suspicion struct {
	startedAt    float64
	failedProbes int     // own ones since the start
	lastFailedAt float64 // of the last own failed probe
	announced    bool    // our own accusation has been queued as gossip
	accusations  []Accusation
	nextProbeAt  float64
}

// accuse takes an accusation of another member, or our own after a failed probe.
func (c *Core) accuse(now float64, a Accusation) {
	m := &c.members[a.Member]
	if a.Member == c.self || m.removed || m.state == Unknown || m.state == Left || m.state == Failed {
		return
	}
	if a.Incarnation != m.record.Incarnation {
		return // against an incarnation that no signed record has shown
	}
	if c.config.PublishedSWIM && a.Dead {
		c.endSuspicion(a.Member)
		c.queueAccusation(a)
		c.setState(now, a.Member, Failed, ReasonFailureMessage)
		return
	}
	own := a.Accuser == c.self
	if !own && c.isIgnored(a.Accuser) {
		return
	}
	if m.suspicion == nil {
		c.startSuspicion(now, a.Member, own)
	}
	if own {
		c.countFailedProbe(now, m.suspicion, a)
	} else {
		c.addAccuser(m.suspicion, a)
	}
}

func (c *Core) startSuspicion(now float64, id MemberID, own bool) {
	c.members[id].suspicion = &suspicion{startedAt: now, nextProbeAt: now}
	c.suspects = append(c.suspects, id)
	if own {
		c.setState(now, id, Suspect, ReasonNoAck)
		return
	}
	c.setState(now, id, Suspect, ReasonAccused)
	c.prober.enqueueSuspect(id)
}

// countFailedProbe counts an own failed probe, and announces our accusation once chance no longer explains the
// failures. Where enough members have accused, one more accuser changes nothing.
func (c *Core) countFailedProbe(now float64, s *suspicion, a Accusation) {
	s.failedProbes++
	s.lastFailedAt = now
	if !s.announced && s.failedProbes >= c.requiredFailures() && len(s.accusations) <= confirmations {
		s.announced = true
		c.queueAccusation(a)
	}
}

func (c *Core) addAccuser(s *suspicion, a Accusation) {
	if slices.ContainsFunc(s.accusations, func(other Accusation) bool { return other.Accuser == a.Accuser }) {
		c.gossip.countEcho(subjectOf(a), c.config)
		return
	}
	if len(s.accusations) >= maxAccusers {
		return
	}
	s.accusations = append(s.accusations, a)
	if len(s.accusations) <= confirmations+1 && !a.FromPushPull {
		c.queueAccusation(a)
	}
}

// clearSuspicion ends a suspicion that the member disproved, by the proof of a received ping or by a newer record.
func (c *Core) clearSuspicion(now float64, id MemberID, reason Reason) {
	m := &c.members[id]
	if m.suspicion != nil {
		for _, a := range m.suspicion.accusations {
			c.countOutcome(now, a.Accuser, true)
		}
		c.endSuspicion(id)
	}
	if m.state == Suspect {
		c.setState(now, id, m.record.State, reason)
	}
}

// endSuspicion forgets a suspicion and stops the gossip about it.
func (c *Core) endSuspicion(id MemberID) {
	m := &c.members[id]
	if m.suspicion != nil {
		c.gossip.remove(gossipSubject{member: id, accuser: c.self})
		for _, a := range m.suspicion.accusations {
			c.gossip.remove(subjectOf(a))
		}
	}
	m.suspicion = nil
	c.suspects = slices.DeleteFunc(c.suspects, func(other MemberID) bool { return other == id })
}

// checkSuspicions declares suspects failed whose timeout is over, and has the others probed again.
func (c *Core) checkSuspicions(now float64) {
	for _, id := range slices.Clone(c.suspects) {
		s := c.members[id].suspicion
		if now >= s.nextProbeAt {
			s.nextProbeAt = now + c.config.ProbeIntervalSeconds
			c.prober.enqueueSuspect(id)
		}
		if now < c.suspicionDeadline(s) {
			continue
		}
		if c.config.PublishedSWIM || c.accusersSuffice(now, s) {
			c.declareFailed(now, id)
			continue
		}
		if s.failedProbes < max(minFailedProbes, c.requiredFailures()) {
			continue
		}
		if now > s.lastFailedAt+failureFreshFor {
			c.prober.enqueueSuspect(id)
			continue
		}
		c.declareFailed(now, id)
	}
}

func (c *Core) declareFailed(now float64, id MemberID) {
	m := &c.members[id]
	for _, a := range m.suspicion.accusations {
		c.countOutcome(now, a.Accuser, false)
	}
	reason := ReasonProbesFailed
	if m.suspicion.failedProbes < minFailedProbes {
		reason = ReasonManyAccusers
	}
	c.setState(now, id, Failed, reason)
	c.endSuspicion(id)
	if c.config.PublishedSWIM {
		c.queueAccusation(Accusation{Accuser: c.self, Member: id, Incarnation: m.record.Incarnation, Dead: true})
	}
}

// suspicionTimeouts are the shortest and the longest time of a suspicion, in seconds.
func (c *Core) suspicionTimeouts() (shortest, longest float64) {
	if c.config.PublishedSWIM {
		t := publishedSuspicionFactor * math.Log2(c.size()) * c.config.ProbeIntervalSeconds
		return t, t
	}
	scale := max(math.Log10(c.size()), 1)
	shortest = suspicionFactor*scale*c.config.ProbeIntervalSeconds + 2*max(c.prober.rtt, 0)
	return shortest, suspicionRange * shortest
}

// suspicionDeadline is when a suspicion times out. Each independent accuser brings it nearer, as in Lifeguard.
func (c *Core) suspicionDeadline(s *suspicion) float64 {
	shortest, timeout := c.suspicionTimeouts()
	k := float64(min(confirmations, max(c.present-2, 1)))
	n := min(float64(c.independentAccusers(s)), k+1)
	if n > 1 {
		timeout = max(shortest, timeout-(timeout-shortest)*math.Log(n)/math.Log(k+1))
	}
	return s.startedAt + timeout
}

// accusersSuffice reports whether more accusers than may be byzantine hold out for twice the longest timeout: the
// way for a router that is too busy to probe by itself.
func (c *Core) accusersSuffice(now float64, s *suspicion) bool {
	_, longest := c.suspicionTimeouts()
	return c.independentAccusers(s) > c.config.MaxByzantine+1 && now >= s.startedAt+2*longest
}

// requiredFailures is how many own probes have to fail before we accuse or declare a failure: so many that at the
// observed loss rate, chance alone does it with a probability under chanceThreshold. A probe fails by chance if two
// pings and the indirect ones are lost, each of the latter over two round trips. Lifeguard's health score does the
// same for late acks.
func (c *Core) requiredFailures() int {
	if c.config.PublishedSWIM || c.prober.lossRate <= 0 {
		return 1
	}
	loss := min(c.prober.lossRate, maxLossRate)
	chance := loss * loss * math.Pow(1-(1-loss)*(1-loss), indirectProbes)
	return min(max(int(math.Ceil(math.Log(chanceThreshold)/math.Log(chance))), 1), maxFailedProbes)
}

// independentAccusers counts those who hold a suspicion independently, this member among them.
func (c *Core) independentAccusers(s *suspicion) int {
	n := c.trustedAccusers(s)
	if s.failedProbes >= c.requiredFailures() {
		n++
	}
	return n
}

// trustedAccusers counts the other accusers that are not ignored.
func (c *Core) trustedAccusers(s *suspicion) (n int) {
	for _, a := range s.accusations {
		if !c.isIgnored(a.Accuser) {
			n++
		}
	}
	return n
}
