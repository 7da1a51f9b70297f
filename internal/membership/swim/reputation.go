package swim

import "math"

// reputation counts what became of a member's accusations. The counts decay with reputationHalfLife.
type reputation struct {
	refuted   float64
	confirmed float64
	updatedAt float64
}

func (r *reputation) decay(now float64) {
	k := reputationDecay(now - r.updatedAt)
	r.refuted *= k
	r.confirmed *= k
	r.updatedAt = now
}

func reputationDecay(seconds float64) float64 { return math.Exp2(-seconds / reputationHalfLife) }

// countOutcome notes that an accusation was refuted or confirmed.
func (c *Core) countOutcome(now float64, accuser MemberID, refuted bool) {
	if accuser == c.self {
		return
	}
	r := &c.members[accuser].reputation
	r.decay(now)
	c.refutedTotal *= reputationDecay(now - c.refutedTotalAt)
	c.refutedTotalAt = now
	if refuted {
		r.refuted++
		c.refutedTotal++
	} else {
		r.confirmed++
	}
}

// isIgnored reports whether a member's accusations were refuted so much more often than those of others that they
// no longer count.
func (c *Core) isIgnored(id MemberID) bool {
	r := &c.members[id].reputation
	threshold := minRefuted + refutedOverMean*c.refutedTotal/c.size()
	return !c.config.PublishedSWIM && r.refuted > r.confirmed && r.refuted > threshold
}
