package swim

import (
	"math"
	"slices"
)

// Times are in seconds unless a comment states another unit. An "interval" is a probe interval.
const (
	suspicionFactor          = 3.5  // shortest timeout, for a refutation to reach all: intervals × log10(members)
	longestTimeoutFactor     = 6    // ratio of the longest timeout (one accuser) to the shortest: Lifeguard's beta
	confirmations            = 3    // independent accusers that reduce the timeout to the shortest: Lifeguard's K
	publishedSuspicionFactor = 5    // with PublishedSWIM: intervals × log2(members)
	minTimeoutRoundTrips     = 2    // round trips in the shortest timeout; an indirect ack takes two
	accusersOnlyFactor       = 2    // number of longest timeouts after which accusers alone suffice
	minFailedProbes          = 2    // failed probes, each direct and indirect, required to declare a member failed
	maxFailedProbes          = 8    // failed probes that suffice at any loss rate
	chanceThreshold          = 1e-3 // probability below which packet loss does not explain failed probes
	maxLossRate              = 0.9  // upper bound of the round-trip loss rate in calculations
	maxFailedProbeAge        = 1.5  // maximum age of the last failed probe; a suspect with an older one is probed again
	maxAccusers              = 8    // accusers stored per suspect
)

// suspicion is the state of a suspected member. It takes about 200 bytes, plus about 200 bytes for each accusation
// with its signed encoding.
type suspicion struct {
	startedAt        float64
	failedProbes     int     // failed probes by this router since startedAt
	lastFailedAt     float64 // time of this router's last failed probe
	accusationQueued bool    // this member's accusation was queued as gossip
	accusations      []Accusation
	nextProbeAt      float64
}

// accuse handles an accusation by another member, or this member's own accusation after a failed probe.
func (c *Core) accuse(now float64, a Accusation) {
	m := &c.members[a.Member]
	if a.Member == c.self || m.removed || !m.state.Present() {
		return
	}
	if a.Incarnation != m.record.Incarnation {
		return // no signed record has this incarnation, or it was refuted
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

// countFailedProbe counts a failed probe by this router. It gossips this member's accusation once packet loss no
// longer explains the failures, unless enough members have accused already.
func (c *Core) countFailedProbe(now float64, s *suspicion, a Accusation) {
	s.failedProbes++
	s.lastFailedAt = now
	explainedByLoss := s.failedProbes < c.requiredFailures()
	if !s.accusationQueued && !explainedByLoss && len(s.accusations) <= confirmations {
		s.accusationQueued = true
		c.queueAccusation(a)
	}
}

func (c *Core) addAccuser(s *suspicion, a Accusation) {
	if slices.ContainsFunc(s.accusations, func(other Accusation) bool { return other.Accuser == a.Accuser }) {
		c.gossip.countDuplicate(subjectOf(a), c.config)
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
			c.countAccusationOutcome(now, a.Accuser, true)
		}
		c.endSuspicion(id)
	}
	if m.state == Suspect {
		c.setState(now, id, m.record.State, reason)
	}
}

// endSuspicion deletes a suspicion and stops the gossip about it.
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

// suspicionDecision is the result of checking a suspicion.
type suspicionDecision uint8

const (
	keepSuspecting suspicionDecision = iota // the timeout has not expired, or too few probes failed
	probeAgain                              // enough probes failed, but the last failure is too old
	declareFailure
)

// suspicionEvidence is the input of the decision on a suspicion. Times are in seconds of the core's clock.
type suspicionEvidence struct {
	startedAt      float64
	deadline       float64 // when the suspicion times out
	longestTimeout float64 // s
	failedProbes   int     // failed probes by this router
	requiredProbes int     // failed probes that packet loss does not explain
	lastFailedAt   float64 // time of this router's last failed probe
	accusers       int     // independent accusers, see independentAccusers
}

// decideSuspicion decides on a suspicion. An accuser that is byzantine, or that has a bad network, must not get a
// healthy member declared failed. The decision therefore requires failed probes by this router, the last one recent,
// or, after twice the longest timeout, more than MaxByzantine+1 accusers. The latter covers a router that is too busy
// to probe.
func decideSuspicion(now float64, config Config, e suspicionEvidence) suspicionDecision {
	switch {
	case now < e.deadline:
		return keepSuspecting
	case config.PublishedSWIM:
		return declareFailure
	case e.accusers > config.MaxByzantine+1 && now >= e.startedAt+accusersOnlyFactor*e.longestTimeout:
		return declareFailure
	case e.failedProbes < max(minFailedProbes, e.requiredProbes):
		return keepSuspecting
	case now > e.lastFailedAt+maxFailedProbeAge:
		return probeAgain
	}
	return declareFailure
}

// checkSuspicions decides on each suspicion, and queues the suspects for probes at the probe interval.
func (c *Core) checkSuspicions(now float64) {
	for _, id := range slices.Clone(c.suspects) {
		s := c.members[id].suspicion
		if now >= s.nextProbeAt {
			s.nextProbeAt = now + c.config.ProbeIntervalSeconds
			c.prober.enqueueSuspect(id)
		}
		switch decideSuspicion(now, c.config, c.evidence(s)) {
		case keepSuspecting:
		case probeAgain:
			c.prober.enqueueSuspect(id)
		case declareFailure:
			c.declareFailed(now, id)
		}
	}
}

func (c *Core) evidence(s *suspicion) suspicionEvidence {
	shortest, longest := suspicionTimeouts(c.config, c.size(), c.roundTrips.mean)
	accusers := c.independentAccusers(s)
	return suspicionEvidence{
		startedAt:      s.startedAt,
		deadline:       s.startedAt + suspicionTimeout(shortest, longest, c.present, accusers),
		longestTimeout: longest,
		failedProbes:   s.failedProbes,
		requiredProbes: c.requiredFailures(),
		lastFailedAt:   s.lastFailedAt,
		accusers:       accusers,
	}
}

func (c *Core) declareFailed(now float64, id MemberID) {
	m := &c.members[id]
	for _, a := range m.suspicion.accusations {
		c.countAccusationOutcome(now, a.Accuser, false)
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

// suspicionTimeouts returns the shortest and the longest suspicion timeout in seconds, by the number of present
// members and the mean round-trip time.
func suspicionTimeouts(config Config, size, roundTripSeconds float64) (shortest, longest float64) {
	if config.PublishedSWIM {
		t := publishedSuspicionFactor * math.Log2(size) * config.ProbeIntervalSeconds
		return t, t
	}
	scale := max(math.Log10(size), 1)
	shortest = suspicionFactor*scale*config.ProbeIntervalSeconds + minTimeoutRoundTrips*max(roundTripSeconds, 0)
	return shortest, longestTimeoutFactor * shortest
}

// suspicionTimeout returns the timeout of a suspicion in seconds: the longest for one accuser, and less for each
// further independent accuser, as in Lifeguard. A member that only one router cannot reach has time to refute; a
// member that no router reaches is declared failed soon.
func suspicionTimeout(shortest, longest float64, present, accusers int) float64 {
	k := float64(min(confirmations, max(present-2, 1)))
	n := min(float64(accusers), k+1)
	if n <= 1 {
		return longest
	}
	return max(shortest, longest-(longest-shortest)*math.Log(n)/math.Log(k+1))
}

// requiredFailures returns how many probes by this router must fail before it gossips its accusation of a member and
// counts as an accuser. The first failed probe already starts a suspicion. To declare a member failed because of
// probes, at least minFailedProbes must fail as well.
func (c *Core) requiredFailures() int {
	if c.config.PublishedSWIM {
		return 1
	}
	return failuresBeyondChance(c.roundTrips.lossRate)
}

// failuresBeyondChance returns the number of failed probes that packet loss alone causes with a probability below
// chanceThreshold. Without this rule, a network with packet loss would cause constant accusations and wrong failures. A
// probe fails by chance if two pings and the indirect pings are lost, each of the latter over two round trips.
// Lifeguard's health score has the same purpose for late acks.
func failuresBeyondChance(lossRate float64) int {
	if lossRate <= 0 {
		return 1
	}
	loss := min(lossRate, maxLossRate)
	chance := loss * loss * math.Pow(1-(1-loss)*(1-loss), indirectProbes)
	return min(max(int(math.Ceil(math.Log(chanceThreshold)/math.Log(chance))), 1), maxFailedProbes)
}

// independentAccusers counts the members that independently suspect a member. This one counts once requiredFailures of
// its probes have failed.
func (c *Core) independentAccusers(s *suspicion) int {
	n := c.trustedAccusers(s)
	if s.failedProbes >= c.requiredFailures() {
		n++
	}
	return n
}

// trustedAccusers counts the other accusers whose accusations are not ignored.
func (c *Core) trustedAccusers(s *suspicion) (n int) {
	for _, a := range s.accusations {
		if !c.isIgnored(a.Accuser) {
			n++
		}
	}
	return n
}
