package swim

import "math"

const (
	minRefuted         = 4.0  // refuted accusations before an accuser may be ignored
	refutedOverMean    = 4.0  // times the mean of all members: with loss everybody errs
	reputationHalfLife = 60.0 // of the counts, s
)

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

// isIgnored reports whether a member's accusations no longer count.
func (c *Core) isIgnored(id MemberID) bool {
	return !c.config.PublishedSWIM && isUnreliable(c.members[id].reputation, c.refutedTotal/c.size())
}

// isUnreliable says that accusations were refuted so much more often than those of others that they are lies, or the
// accuser's own network is at fault. Without this rule such an accuser has every member probed again and again. It is
// compared with the mean, because under loss the accusations of all members are refuted at times.
func isUnreliable(r reputation, meanRefuted float64) bool {
	return r.refuted > r.confirmed && r.refuted > minRefuted+refutedOverMean*meanRefuted
}
