package swim

import "slices"

// Times are in seconds unless a comment states another unit.
const (
	selfAccusationWindow = 5.0  // time for which an accusation against this member affects its health score
	refuteInterval       = 1.0  // min. probe intervals between refutations; limits gossip caused by byzantine members
	adoptionWindow       = 20.0 // time after the start in which the incarnation of an earlier start is adopted
	leaveFanout          = 6    // members that a leaving member notifies directly
)

// selfAccusation records who accused this member and when.
type selfAccusation struct {
	accuser MemberID
	at      float64
}

// handleOwnRecord handles a record under this member's own name. Its author is this process, an earlier start of it,
// or another process with the same key.
func (c *Core) handleOwnRecord(now float64, record MemberRecord) {
	if !c.members[c.self].record.Incarnation.Less(record.Incarnation) {
		return
	}
	if !c.mayAdoptIncarnation(now) {
		c.hasNameConflict = true
		c.actions = append(c.actions, NameConflict{InstanceID: record.InstanceID})
		return
	}
	c.adoptedIncarnation = true
	c.announce(now, Incarnation{StartMillis: record.Incarnation.StartMillis + 1})
}

// mayAdoptIncarnation reports whether a higher incarnation under this member's name is attributed to its own earlier
// start. If the clock was set back between two starts, all other members refuse this router's datagrams as stale, and
// it would be isolated. It then receives its own record with a higher incarnation shortly after the start, and
// adopting that incarnation once solves the problem. A second or a late one means that another process uses this
// name.
func (c *Core) mayAdoptIncarnation(now float64) bool {
	return !c.adoptedIncarnation && now <= c.startedAt+adoptionWindow
}

// announce increases this member's incarnation and queues its record as gossip.
func (c *Core) announce(now float64, incarnation Incarnation) {
	c.members[c.self].record.Incarnation = incarnation
	c.refutedAt = now
	c.queueRecord(c.self)
}

// handleSelfAccusation refutes an accusation against this member's current incarnation, at most once per
// refuteInterval.
func (c *Core) handleSelfAccusation(now float64, a Accusation) {
	current := c.members[c.self].record.Incarnation
	if a.Incarnation != current {
		return // an earlier incarnation, or one that never existed
	}
	c.recordSelfAccuser(now, a.Accuser)
	if c.leaving || now < c.nextRefutationAt() {
		return
	}
	c.countAccusationOutcome(now, a.Accuser, true)
	c.announce(now, current.next())
}

// nextRefutationAt returns the earliest time of the next refutation.
func (c *Core) nextRefutationAt() float64 {
	return c.refutedAt + refuteInterval*c.config.ProbeIntervalSeconds
}

// recordSelfAccuser increases the health score when more members than may be byzantine accuse this one, because its
// acks are probably late. Fewer accusers have no effect, or a byzantine member could slow this router down.
func (c *Core) recordSelfAccuser(now float64, accuser MemberID) {
	c.selfAccusers = slices.DeleteFunc(c.selfAccusers, func(a selfAccusation) bool {
		return a.accuser == accuser || now-a.at > selfAccusationWindow
	})
	c.selfAccusers = append(c.selfAccusers, selfAccusation{accuser: accuser, at: now})
	if hasHonestAccuser(len(c.selfAccusers), c.config.MaxByzantine) && !c.config.PublishedSWIM {
		c.health.raise(faultPenalty)
		c.selfAccusers = c.selfAccusers[:0]
	}
}

// SetEventLoopWorking sets whether this router's event loop makes progress. If it does not, the member's record has
// the state Stuck.
func (c *Core) SetEventLoopWorking(now float64, working bool) []Action {
	record := &c.members[c.self].record
	state := Alive
	if !working {
		state = Stuck
	}
	if record.State != state && !c.leaving && !c.hasNameConflict {
		record.State = state
		c.setState(now, c.self, state, ReasonEventLoop)
		c.announce(now, record.Incarnation.next())
	}
	return c.takeActions()
}

// Leave announces that this member leaves the cluster. It notifies up to leaveFanout members directly, which gossip
// the record.
func (c *Core) Leave(now float64) []Action {
	if c.hasNameConflict || c.leaving {
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
