package swim

import "slices"

// HandleMessage takes a message of a member whose signature, counter and proof the caller has verified.
func (c *Core) HandleMessage(now float64, from MemberID, msg Message) []Action {
	if c.conflicted || from == c.self || !c.inRoster(from) || c.members[from].removed {
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
		sender.viewHash, sender.heardAt = msg.ViewHash, now
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
			c.proveAlive(now, msg.Target)
		}
	case PushPullRequest:
		c.handlePushPullRequest(now, from, msg.Entries)
	case PushPullReply:
		c.handlePushPullReply(now, from, msg.Entries)
	case Push: // its records were taken above
	}
	return c.takeActions()
}

// handlePing acks to the sender. If the sender pings on behalf of a requester, the caller adds a proof for that
// one.
func (c *Core) handlePing(from MemberID, ping Message) {
	ack := Message{Kind: Ack, Nonce: ping.Nonce, Requester: ping.Requester}
	if sender := &c.members[from]; !sender.state.Present() || sender.state == Suspect {
		ack.Records = append(ack.Records, c.members[c.self].record)
	}
	c.send(from, ack)
}

// handleAck takes an ack to a ping of our own, or passes on one to a ping on behalf of another.
func (c *Core) handleAck(now float64, from MemberID, ack Message) {
	if ack.Requester == c.self {
		if c.acknowledge(now, from, ack.Nonce) {
			c.proveAlive(now, from)
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
		c.prober.probes[i].indirectTaken++
	}
}

// handleRecord takes what a member says of itself. The caller has verified the signature of a newer record.
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
		c.gossip.countEcho(recordSubject(id), c.config)
	}
	if m.removed || !c.IsNewer(id, record.Incarnation) {
		return
	}
	m.record = record
	c.queueRecord(id)
	if m.state == Unknown { // a member that joins has records that we lack
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
	case Unknown, Alive, Suspect, Failed: // the record alone says it
	}
	c.setState(now, id, record.State, reason)
}

// handleAccusation takes an accusation of another member against a third one or against us.
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
