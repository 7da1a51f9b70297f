package swim

import (
	"cmp"
	"slices"
)

// Which members are asked to ping on our behalf.
const (
	indirectProbes     = 3 // members that are asked: SWIM's k
	indirectCandidates = 9 // drawn, of which the indirectProbes heard last are asked
)

// hasHonestAccuser says that more members accuse than may be byzantine, so that at least one of them is honest.
func hasHonestAccuser(accusers, maxByzantine int) bool { return accusers > maxByzantine }

// pickRelays draws members for indirect pings. Of some drawn at random it takes those heard last: in a partition
// they are on this side.
func (c *Core) pickRelays(target MemberID) []MemberID {
	var able []MemberID
	for i := range c.members {
		id, m := MemberID(i), &c.members[i]
		if id != c.self && id != target && (m.state == Alive || m.state == Stuck) && !m.removed {
			able = append(able, id)
		}
	}
	c.shuffle(able)
	if !c.config.PublishedSWIM {
		able = able[:min(len(able), indirectCandidates)]
		slices.SortStableFunc(able, func(a, b MemberID) int {
			return cmp.Compare(c.members[b].heardAt, c.members[a].heardAt)
		})
	}
	return able[:min(len(able), indirectProbes)]
}
