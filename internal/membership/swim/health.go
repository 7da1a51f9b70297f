package swim

const (
	// maxHealthScore is Lifeguard's bound on the health multiplier.
	maxHealthScore = 8
	// pauseThreshold is how late a tick is, in seconds, for this process to count as stopped meanwhile.
	pauseThreshold = 0.3
	// pausePenalty is what a pause adds to the health score. It is more than one, for the process may stop again soon.
	pausePenalty = 2
	// faultPenalty is what any other sign of an own fault adds to the health score.
	faultPenalty = 1
)

// healthScore is Lifeguard's measure of how likely a failed probe is this router's own fault, from 0 to
// maxHealthScore. A router that is short of processor time or behind a bad network sees healthy members fail their
// probes; with the score it waits longer for them.
type healthScore int

func (h *healthScore) raise(by healthScore) { *h = min(*h+by, maxHealthScore) }

// lower takes back one step, after an ack that came in time.
func (h *healthScore) lower() { *h = max(*h-1, 0) }

// multiplier is how many times longer this router waits than a healthy one.
func (h *healthScore) multiplier() float64 { return float64(1 + *h) }

// pausedSeconds is for how long this process was stopped, 0 for not. lateSeconds is how late a tick is.
func pausedSeconds(lateSeconds float64) float64 {
	if lateSeconds < pauseThreshold {
		return 0
	}
	return lateSeconds
}

// detectPause finds out whether this process was stopped. The acks and refutations that arrived meanwhile were not
// read: without this rule a router that resumes would declare every suspect failed. It shows as a tick that is late.
// Probes under way are dropped and suspicions begin anew, so that only acks that stay away from now on count.
func (c *Core) detectPause(now float64) {
	paused := pausedSeconds(now - max(c.dueTick, c.lastTick))
	if c.config.PublishedSWIM || paused == 0 {
		return
	}
	c.prober.forget()
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

// relaysUnreachable says that most of the members that were asked to ping did not even accept. Then this router's
// network or process is the likelier cause of a failed probe than its target.
func relaysUnreachable(asked, accepted int) bool {
	return asked > 0 && accepted < (asked+1)/2
}

// HealthScore is Lifeguard's health multiplier, from 0 to 8: how much longer this member waits for others.
func (c *Core) HealthScore() int { return int(c.health) }
