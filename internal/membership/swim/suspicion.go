package swim

import (
	"math"
	"slices"
)

// Times in seconds unless a constant says otherwise; "intervals" are probe intervals.
const (
	suspicionFactor          = 3.5  // intervals times log10 of the members: until a refutation reached all
	suspicionRange           = 6    // times the shortest, while nobody else suspects: Lifeguard's beta
	confirmations            = 3    // independent accusers that bring the timeout down to the shortest: Lifeguard's K
	publishedSuspicionFactor = 5    // PublishedSWIM: intervals times log2 of the members
	roundTripsOfTimeout      = 2    // round trips in the shortest timeout: an indirect ack takes two
	accusersOnlyFactor       = 2    // times the longest timeout, after which accusers alone suffice
	minFailedProbes          = 2    // own failed probes, each direct and indirect, before a member is declared failed
	maxFailedProbes          = 8    // own failed probes that suffice at any loss rate
	chanceThreshold          = 1e-3 // probability below which failed probes are no longer put down to loss
	maxLossRate              = 0.9  // of round trips, in calculations
	failureFreshFor          = 1.5  // for which a failed probe may end in a failure; later the member is probed again
	maxAccusers              = 8    // held of a suspect
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
	if a.Member == c.self || m.removed || !m.state.Present() {
		return
	}
	if a.Incarnation != m.record.Incarnation {
		return // against an incarnation that no signed record has shown, or one that was refuted
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
	explained := s.failedProbes < c.requiredFailures()
	if !s.announced && !explained && len(s.accusations) <= confirmations {
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

// suspicionDecision is what becomes of a suspicion.
type suspicionDecision uint8

const (
	keepSuspecting suspicionDecision = iota // its timeout is not over, or too few own probes failed
	probeAgain                              // enough own probes failed, but the last one is too old
	declareFailure
)

// suspicionEvidence is what the decision on a suspicion depends on. Times are in seconds of the core's clock.
type suspicionEvidence struct {
	startedAt      float64
	deadline       float64 // when the suspicion times out
	longestTimeout float64 // s
	failedProbes   int     // own ones
	requiredProbes int     // own failed probes that chance does not explain
	lastFailedAt   float64 // of the last own failed probe
	accusers       int     // independent ones, this router among them
}

// decideSuspicion decides on a suspicion. A byzantine accuser, or one with a bad network, must not have a healthy
// member declared failed: it takes own failed probes, of which the last one is recent, or more accusers than may be
// byzantine over a long time. The latter is the way for a router that is too busy to probe by itself.
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
	case now > e.lastFailedAt+failureFreshFor:
		return probeAgain
	}
	return declareFailure
}

// checkSuspicions decides on each suspicion, and has the suspects probed at the probe interval.
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

// suspicionTimeouts are the shortest and the longest time of a suspicion, in seconds, by the number of members present
// and the mean round trip time.
func suspicionTimeouts(config Config, size, roundTripSeconds float64) (shortest, longest float64) {
	if config.PublishedSWIM {
		t := publishedSuspicionFactor * math.Log2(size) * config.ProbeIntervalSeconds
		return t, t
	}
	scale := max(math.Log10(size), 1)
	shortest = suspicionFactor*scale*config.ProbeIntervalSeconds + roundTripsOfTimeout*max(roundTripSeconds, 0)
	return shortest, suspicionRange * shortest
}

// suspicionTimeout is the time of a suspicion, in seconds: the longest for one accuser, less for each further
// independent one, as in Lifeguard. A member that only one router cannot reach has time to refute; one that nobody
// reaches is failed soon.
func suspicionTimeout(shortest, longest float64, present, accusers int) float64 {
	k := float64(min(confirmations, max(present-2, 1)))
	n := min(float64(accusers), k+1)
	if n <= 1 {
		return longest
	}
	return max(shortest, longest-(longest-shortest)*math.Log(n)/math.Log(k+1))
}

// requiredFailures is how many own probes have to fail before we accuse or declare a failure.
func (c *Core) requiredFailures() int {
	if c.config.PublishedSWIM {
		return 1
	}
	return failuresBeyondChance(c.roundTrips.lossRate)
}

// failuresBeyondChance is the number of failed probes that at a loss rate chance alone gives with a probability under
// chanceThreshold. On a network with loss, members would else be suspected all the time. A probe fails by chance if two
// pings and the indirect ones are lost, each of the latter over two round trips. Lifeguard's health score does the same
// for late acks.
func failuresBeyondChance(lossRate float64) int {
	if lossRate <= 0 {
		return 1
	}
	loss := min(lossRate, maxLossRate)
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
