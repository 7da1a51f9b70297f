package swim

import (
	"cmp"
	"slices"
)

// Selection of the members that send indirect pings for this router.
const (
	indirectProbes     = 3 // members asked per failed probe: k in the SWIM paper
	indirectCandidates = 9 // members drawn at random; those heard from most recently are asked
)

// hasHonestAccuser reports whether more members accuse than may be byzantine, so that at least one of them is honest.
func hasHonestAccuser(accusers, maxByzantine int) bool { return accusers > maxByzantine }

// pickRelays selects the members for indirect pings. Of indirectCandidates members drawn at random it takes those
// heard from most recently: during a network partition they are on this router's side.
func (c *Core) pickRelays(target MemberID) []MemberID {
	var eligible []MemberID
	for i := range c.members {
		id, m := MemberID(i), &c.members[i]
		if id != c.self && id != target && (m.state == Alive || m.state == Stuck) && !m.removed {
			eligible = append(eligible, id)
		}
	}
	c.shuffle(eligible)
	if !c.config.PublishedSWIM {
		eligible = eligible[:min(len(eligible), indirectCandidates)]
		slices.SortStableFunc(eligible, func(a, b MemberID) int {
			return cmp.Compare(c.members[b].viewHashReceivedAt, c.members[a].viewHashReceivedAt)
		})
	}
	return eligible[:min(len(eligible), indirectProbes)]
}
