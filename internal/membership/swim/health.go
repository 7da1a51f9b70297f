package swim

const (
	// maxHealthScore is the upper bound of Lifeguard's local health multiplier.
	maxHealthScore = 8
	// pauseThreshold is the delay of a tick, in seconds, from which the process is considered to have been paused.
	pauseThreshold = 0.3
	// pausePenalty is added to the health score after a pause. It is more than one, because the process may pause
	// again soon.
	pausePenalty = 2
	// faultPenalty is added to the health score for any other sign of a local fault.
	faultPenalty = 1
)

// healthScore is Lifeguard's measure of how likely a failed probe is caused by this router itself, from 0 to
// maxHealthScore. A router that lacks processor time or has a bad network connection sees probes of healthy members
// fail. With a higher score it waits longer for acks.
type healthScore int

func (h *healthScore) raise(by healthScore) { *h = min(*h+by, maxHealthScore) }

// lower decreases the score by one, after an ack that arrived in time.
func (h *healthScore) lower() { *h = max(*h-1, 0) }

// multiplier returns the factor by which this router's timeouts and intervals exceed those of a healthy router.
func (h *healthScore) multiplier() float64 { return float64(1 + *h) }

// pausedSeconds returns how long this process was paused, or 0 if it was not. lateSeconds is the delay of a tick.
func pausedSeconds(lateSeconds float64) float64 {
	if lateSeconds < pauseThreshold {
		return 0
	}
	return lateSeconds
}

// detectPause detects from a late tick that this process was paused. Acks and refutations that arrived during the
// pause were not read, so without this rule a router that resumes would declare every suspect failed. After a pause,
// all probes are dropped, suspicions are extended by the pause, and their failed probes no longer count, so that only
// acks missing from now on count.
func (c *Core) detectPause(now float64) {
	paused := pausedSeconds(now - max(c.nextTickDue, c.lastTick))
	if c.config.PublishedSWIM || paused == 0 {
		return
	}
	c.prober.reset()
	c.health.raise(pausePenalty)
	c.prober.nextAt = now
	c.pushPull.nextAt = max(c.pushPull.nextAt, now)
	for _, id := range c.suspects {
		s := c.members[id].suspicion
		s.startedAt += paused
		s.nextProbeAt = now
		s.failedProbes = 0
	}
}

// relaysUnreachable reports whether most of the members that were asked for an indirect ping did not accept it. In
// that case this router's network or process is a likelier cause of a failed probe than its target.
func relaysUnreachable(asked, accepted int) bool {
	return asked > 0 && accepted < (asked+1)/2
}

// HealthScore returns Lifeguard's health score, from 0 to 8. The higher it is, the longer this member waits for acks.
func (c *Core) HealthScore() int { return int(c.health) }
