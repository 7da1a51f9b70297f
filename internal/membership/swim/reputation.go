package swim

import "math"

const (
	minRefuted         = 4.0  // refuted accusations that an accuser must exceed to be ignored
	refutedMeanFactor  = 4.0  // multiple of the mean, because packet loss causes wrong accusations by all members
	reputationHalfLife = 60.0 // s in which refuted and confirmed decay by half
)

// reputation counts the refuted and confirmed accusations of a member. The counts decay with reputationHalfLife.
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

// countAccusationOutcome records that an accusation was refuted or confirmed.
func (c *Core) countAccusationOutcome(now float64, accuser MemberID, refuted bool) {
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

// isIgnored reports whether a member's accusations are ignored because of its reputation.
func (c *Core) isIgnored(id MemberID) bool {
	return !c.config.PublishedSWIM && isUnreliable(c.members[id].reputation, c.refutedTotal/c.size())
}

// isUnreliable reports whether accusations were refuted so much more often than those of other members that the
// accuser lies or its own network is faulty. Without this rule, such an accuser causes repeated probes of every
// member. The count is compared with the mean, because under packet loss the accusations of all members are sometimes
// refuted.
func isUnreliable(r reputation, meanRefuted float64) bool {
	return r.refuted > r.confirmed && r.refuted > minRefuted+refutedMeanFactor*meanRefuted
}
