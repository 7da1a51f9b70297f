package swim

import (
	"slices"
)

// Which member is probed next, and when.
const (
	absentPingEvery = 2  // probes between pings of a member that is not present: the way back after a partition
	leftPingEvery   = 16 // probes between pings that may go to a member that left
	// minSpacingDivisor of the probe interval is the shortest time between two probes, after one that was late.
	minSpacingDivisor        = 2
	suspectProbesPerInterval = 3  // more would make the failure of many members a storm
	maxSuspectProbes         = 64 // waiting
)

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
