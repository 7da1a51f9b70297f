package swim

import (
	"slices"
)

// Order and spacing of probes.
const (
	absentPingEvery = 2  // one ping of an absent member per this many probes, to rejoin after a partition
	leftPingEvery   = 16 // one ping may go to a member that left per this many probes
	// minSpacingDivisor divides the probe interval. The quotient is the shortest time between a probe that was late
	// and the next one.
	minSpacingDivisor        = 2
	suspectProbesPerInterval = 3  // limits the probe traffic when many members fail at once
	maxSuspectProbes         = 64 // limit of the queue of suspects to probe
)

// enqueueSuspect queues a suspect for a probe outside the regular order.
func (p *prober) enqueueSuspect(id MemberID) {
	if len(p.suspectQueue) < maxSuspectProbes && !slices.Contains(p.suspectQueue, id) {
		p.suspectQueue = append(p.suspectQueue, id)
	}
}

// probeNext probes the next member of the regular order if a probe is due, and periodically pings an absent member.
func (c *Core) probeNext(now float64) {
	if now < c.prober.nextAt {
		return
	}
	interval := c.probeInterval()
	if c.prober.count == 0 {
		c.prober.nextAt = now + interval*c.random.Float64() // spreads the probes of routers that start together
	} else {
		c.prober.nextAt = nextProbeAt(now, c.prober.nextAt, interval)
	}
	c.prober.count++
	if c.prober.count%absentPingEvery == 0 {
		if id, ok := c.pickAbsent(); ok {
			c.ping(id)
		}
	}
	if id, ok := c.pickRoundRobin(); ok {
		c.startProbe(now, id)
	}
}

// probeInterval returns the time between two scheduled probes, in seconds. It grows with this router's health score.
func (c *Core) probeInterval() float64 {
	if c.config.PublishedSWIM {
		return c.config.ProbeIntervalSeconds
	}
	return c.config.ProbeIntervalSeconds * c.health.multiplier()
}

// nextProbeAt returns when the next scheduled probe is due. After a late probe the schedule catches up without a
// burst.
func nextProbeAt(now, previousDue, interval float64) float64 {
	return max(previousDue+interval, now+interval/minSpacingDivisor)
}

// pickRoundRobin returns the next present member of the round, and starts a new round at the end of one.
func (c *Core) pickRoundRobin() (MemberID, bool) {
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

// pickAbsent selects a random roster member that is not present. After a network partition both sides consider each
// other failed and probe only their own members; without these pings they would never rejoin.
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

// mayPingAbsent reports whether a member that is not present may be pinged. A member that left is pinged less often,
// because it announces its return itself.
func mayPingAbsent(state State, probeCount int) bool {
	return state == Failed || state == Unknown || state == Left && probeCount%leftPingEvery == 0
}

// probeSuspects probes some of the queued suspects. The time between its probes does not depend on the health score, so
// that an ack can soon clear a suspect; the ack timeout does.
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
