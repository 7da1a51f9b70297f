package swim

// MemberInfo describes a member of the view in reports for operators.
type MemberInfo struct {
	Member               MemberID
	State                State
	Incarnation          Incarnation
	Since                float64 // time of the last state change, on the core's clock
	Accusers             []MemberID
	FailedProbes         int // failed probes by this router during the current suspicion
	RefutedAccusations   float64
	ConfirmedAccusations float64
	Silenced             bool // the member's accusations are ignored
	ViewDiffers          bool
}

// Snapshot returns the view of each member that is in the roster, in roster order.
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

// Lookup returns the state of a member and its newest record.
func (c *Core) Lookup(id MemberID) (State, MemberRecord) {
	m := &c.members[id]
	return m.state, m.record
}

// Counts returns the number of present members including this one, the number of roster members that did not leave,
// and the number of stuck members.
func (c *Core) Counts() (present, roster, stuck int) {
	return c.present, len(c.members) - c.removed - c.left, c.stuck
}

// ViewDiffers reports whether a present member's view, by the hash that it sent recently, differs from this one's.
func (c *Core) ViewDiffers(now float64, id MemberID) bool {
	m := &c.members[id]
	recent := m.viewHashReceivedAt > 0 && now-m.viewHashReceivedAt < 2*pushPullInterval
	return id != c.self && m.state.Present() && recent && m.viewHash != c.viewHash
}

// QueueLength returns the number of queued gossip items. Tests check its bound.
func (c *Core) QueueLength() int { return len(c.gossip.newest) }

// IsNewer reports whether a record of a member would change the view, so that its signature has to be verified.
func (c *Core) IsNewer(id MemberID, incarnation Incarnation) bool {
	m := &c.members[id]
	return m.record.Incarnation.Less(incarnation) || m.state == Unknown && m.record.Incarnation == incarnation
}

// ViewHash returns the hash of the present members.
func (c *Core) ViewHash() uint64 { return c.viewHash }

// SelfRecord returns this member's own record.
func (c *Core) SelfRecord() MemberRecord { return c.members[c.self].record }
