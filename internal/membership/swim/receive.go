package swim

import "slices"

// HandleMessage handles a message from a member. The caller must have verified its signature, counter and proof.
func (c *Core) HandleMessage(now float64, from MemberID, msg Message) []Action {
	if c.hasNameConflict || from == c.self || !c.inRoster(from) || c.members[from].removed {
		return c.takeActions()
	}
	for _, record := range msg.Records {
		c.handleRecord(now, record)
	}
	for _, accusation := range msg.Accusations {
		c.handleAccusation(now, accusation)
	}
	if msg.ViewHash != 0 {
		sender := &c.members[from]
		sender.viewHash, sender.viewHashReceivedAt = msg.ViewHash, now
	}
	switch msg.Kind {
	case Ping:
		c.handlePing(from, msg)
	case Ack:
		c.handleAck(now, from, msg)
	case IndirectPing:
		c.handleIndirectPing(from, msg)
	case IndirectPingAccepted:
		c.handleIndirectPingAccepted(msg.Nonce)
	case IndirectAck:
		if msg.Requester == c.self && c.inRoster(msg.Target) && c.acknowledge(now, msg.Target, msg.Nonce) {
			c.confirmAlive(now, msg.Target)
		}
	case PushPullRequest:
		c.handlePushPullRequest(now, from, msg.Entries)
	case PushPullReply:
		c.handlePushPullReply(now, from, msg.Entries)
	case Push: // its records were handled above
	}
	return c.takeActions()
}

// handlePing sends an ack to the sender of a ping. If the sender pings on behalf of a requester, the core's caller
// adds a proof for that requester.
func (c *Core) handlePing(from MemberID, ping Message) {
	ack := Message{Kind: Ack, Nonce: ping.Nonce, Requester: ping.Requester}
	if sender := &c.members[from]; !sender.state.Present() || sender.state == Suspect {
		ack.Records = append(ack.Records, c.members[c.self].record)
	}
	c.send(from, ack)
}

// handleAck handles an ack to a ping of this router, or relays an ack to a ping on behalf of another member.
func (c *Core) handleAck(now float64, from MemberID, ack Message) {
	if ack.Requester == c.self {
		if c.acknowledge(now, from, ack.Nonce) {
			c.confirmAlive(now, from)
		}
		return
	}
	if c.inRoster(ack.Requester) {
		c.send(ack.Requester, Message{
			Kind:      IndirectAck,
			Nonce:     ack.Nonce,
			Requester: ack.Requester,
			Target:    from,
			Proof:     ack.Proof,
		})
	}
}

func (c *Core) handleIndirectPing(from MemberID, msg Message) {
	if c.inRoster(msg.Target) && msg.Target != c.self {
		c.send(from, Message{Kind: IndirectPingAccepted, Nonce: msg.Nonce})
		c.send(msg.Target, Message{Kind: Ping, Nonce: msg.Nonce, Requester: from})
	}
}

func (c *Core) handleIndirectPingAccepted(nonce uint64) {
	i := slices.IndexFunc(c.prober.probes, func(p probe) bool { return p.retried && p.retryNonce == nonce })
	if i >= 0 {
		c.prober.probes[i].indirectAccepted++
	}
}

// handleRecord handles a member's record. The caller must have verified the signature of a newer record.
func (c *Core) handleRecord(now float64, record MemberRecord) {
	id := record.Member
	if !c.inRoster(id) {
		return
	}
	if id == c.self {
		c.handleOwnRecord(now, record)
		return
	}
	m := &c.members[id]
	if m.record.Incarnation == record.Incarnation {
		c.gossip.countDuplicate(recordSubject(id), c.config)
	}
	if m.removed || !c.IsNewer(id, record.Incarnation) {
		return
	}
	m.record = record
	c.queueRecord(id)
	if m.state == Unknown { // a joining member has records that this one lacks
		soon := now + c.config.ProbeIntervalSeconds*c.random.Float64()
		c.pushPull.nextAt = min(c.pushPull.nextAt, soon)
	}
	c.clearSuspicion(now, id, ReasonRefuted)
	reason := ReasonNewerRecord
	switch record.State {
	case Left:
		reason = ReasonLeft
	case Stuck:
		reason = ReasonStuck
	case Unknown, Alive, Suspect, Failed: // ReasonNewerRecord applies
	}
	c.setState(now, id, record.State, reason)
}

// handleAccusation handles an accusation by another member, against a third member or against this one.
func (c *Core) handleAccusation(now float64, a Accusation) {
	if !c.inRoster(a.Member) || !c.inRoster(a.Accuser) || c.members[a.Accuser].removed || a.Accuser == c.self {
		return
	}
	if a.Member == c.self {
		c.handleSelfAccusation(now, a)
		return
	}
	c.accuse(now, a)
}
