package swim

import "slices"

// Times in seconds unless a constant says otherwise.
const (
	selfAccusationsFor = 5.0  // for which an accusation against us counts towards our health score
	refuteInterval     = 1.0  // probe intervals between two refutations: a byzantine member must not make us gossip
	adoptWithin        = 20.0 // after the start, in which the incarnation of an earlier start is adopted
	leaveFanout        = 6    // members that a leaving one tells at once
)

// selfAccusation notes who accused us and when.
type selfAccusation struct {
	accuser MemberID
	at      float64
}

// handleOwnRecord takes a record under our own name: of this start, of an earlier one, or of another process with
// our key.
func (c *Core) handleOwnRecord(now float64, record MemberRecord) {
	if !c.members[c.self].record.Incarnation.Less(record.Incarnation) {
		return
	}
	if !c.mayAdoptIncarnation(now) {
		c.conflicted = true
		c.actions = append(c.actions, NameConflict{InstanceID: record.InstanceID})
		return
	}
	c.adoptedIncarnation = true
	c.announce(now, Incarnation{StartMillis: record.Incarnation.StartMillis + 1})
}

// mayAdoptIncarnation says whether a higher incarnation under our name is taken for that of an earlier start. Where the
// clock was set back between two starts, all others refuse our datagrams as stale: this router would be alone. It
// shows as our own record with a higher incarnation, shortly after the start, and one adoption ends it. A second one,
// or a late one, is another process under this name.
func (c *Core) mayAdoptIncarnation(now float64) bool {
	return !c.adoptedIncarnation && now <= c.startedAt+adoptWithin
}

// announce raises our incarnation and queues our record as gossip.
func (c *Core) announce(now float64, incarnation Incarnation) {
	c.members[c.self].record.Incarnation = incarnation
	c.refutedAt = now
	c.queueRecord(c.self)
}

// handleSelfAccusation refutes an accusation against our present incarnation, at most once in refuteInterval.
func (c *Core) handleSelfAccusation(now float64, a Accusation) {
	current := c.members[c.self].record.Incarnation
	if a.Incarnation != current {
		return // an earlier incarnation, or one that never was
	}
	c.countSelfAccuser(now, a.Accuser)
	if c.leaving || now < c.nextRefutationAt() {
		return
	}
	c.countOutcome(now, a.Accuser, true)
	c.announce(now, current.next())
}

// nextRefutationAt is from when on an accusation against us is refuted again.
func (c *Core) nextRefutationAt() float64 {
	return c.refutedAt + refuteInterval*c.config.ProbeIntervalSeconds
}

// countSelfAccuser raises our health score when more members than may be byzantine accuse us: then our acks are
// late. Fewer accusers change nothing, for a byzantine member could slow us down.
func (c *Core) countSelfAccuser(now float64, accuser MemberID) {
	c.selfAccusers = slices.DeleteFunc(c.selfAccusers, func(a selfAccusation) bool {
		return a.accuser == accuser || now-a.at > selfAccusationsFor
	})
	c.selfAccusers = append(c.selfAccusers, selfAccusation{accuser: accuser, at: now})
	if hasHonestAccuser(len(c.selfAccusers), c.config.MaxByzantine) && !c.config.PublishedSWIM {
		c.health.raise(faultPenalty)
		c.selfAccusers = c.selfAccusers[:0]
	}
}

// SetWorking takes whether this router's event loop makes progress. The record says Stuck while it does not.
func (c *Core) SetWorking(now float64, working bool) []Action {
	record := &c.members[c.self].record
	state := Alive
	if !working {
		state = Stuck
	}
	if record.State != state && !c.leaving && !c.conflicted {
		record.State = state
		c.setState(now, c.self, state, ReasonOwnWork)
		c.announce(now, record.Incarnation.next())
	}
	return c.takeActions()
}

// Leave announces that this member leaves: to some members at once, which pass it on.
func (c *Core) Leave(now float64) []Action {
	if c.conflicted || c.leaving {
		return c.takeActions()
	}
	c.leaving = true
	record := &c.members[c.self].record
	record.State = Left
	c.setState(now, c.self, Left, ReasonLeaving)
	c.announce(now, record.Incarnation.next())
	var present []MemberID
	for i := range c.members {
		if MemberID(i) != c.self && c.members[i].state.Present() {
			present = append(present, MemberID(i))
		}
	}
	c.shuffle(present)
	for _, id := range present[:min(len(present), leaveFanout)] {
		c.send(id, Message{Kind: Push, Records: []MemberRecord{*record}})
	}
	return c.takeActions()
}
