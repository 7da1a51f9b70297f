package swim

// MemberInfo is what the view holds of a member, for operators.
type MemberInfo struct {
	Member               MemberID
	State                State
	Incarnation          Incarnation
	Since                float64 // of the state, on the core's clock
	Accusers             []MemberID
	FailedProbes         int // own ones, in the present suspicion
	RefutedAccusations   float64
	ConfirmedAccusations float64
	Silenced             bool // its accusations are ignored
	ViewDiffers          bool
}

// Snapshot is what the view holds of each member, in the order of the roster.
func (c *Core) Snapshot(now float64) []MemberInfo {
	var list []MemberInfo
	for i := range c.members {
		if !c.members[i].removed {
			list = append(list, c.infoOf(now, MemberID(i)))
		}
	}
	return list
}

func (c *Core) infoOf(now float64, id MemberID) MemberInfo {
	m := &c.members[id]
	info := MemberInfo{
		Member:               id,
		State:                m.state,
		Incarnation:          m.record.Incarnation,
		Since:                m.since,
		RefutedAccusations:   m.reputation.refuted,
		ConfirmedAccusations: m.reputation.confirmed,
		Silenced:             c.isIgnored(id),
		ViewDiffers:          c.ViewDiffers(now, id),
	}
	if m.suspicion != nil {
		info.FailedProbes = m.suspicion.failedProbes
		for _, a := range m.suspicion.accusations {
			info.Accusers = append(info.Accusers, a.Accuser)
		}
	}
	return info
}

// Lookup is the state of a member and its newest record.
func (c *Core) Lookup(id MemberID) (State, MemberRecord) {
	m := &c.members[id]
	return m.state, m.record
}

// Counts are the members present, this one among them; those of the roster that did not leave; and those that are
// stuck.
func (c *Core) Counts() (present, roster, stuck int) {
	return c.present, len(c.members) - c.removed - c.left, c.stuck
}

// ViewDiffers reports whether a present member was lately heard to have another view than ours.
func (c *Core) ViewDiffers(now float64, id MemberID) bool {
	m := &c.members[id]
	recent := m.heardAt > 0 && now-m.heardAt < 2*pushPullInterval
	return id != c.self && m.state.Present() && recent && m.viewHash != c.viewHash
}

// QueueLength is the number of pieces of gossip that wait, for tests of its bound.
func (c *Core) QueueLength() int { return len(c.gossip.newest) }

// IsNewer reports whether a record of a member would be news, so that its signature has to be verified.
func (c *Core) IsNewer(id MemberID, incarnation Incarnation) bool {
	m := &c.members[id]
	return m.record.Incarnation.Less(incarnation) || m.state == Unknown && m.record.Incarnation == incarnation
}

// ViewHash is the hash of the members present.
func (c *Core) ViewHash() uint64 { return c.viewHash }

// SelfRecord is this member's own record.
func (c *Core) SelfRecord() MemberRecord { return c.members[c.self].record }
