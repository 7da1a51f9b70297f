package swim

var testRoster = []uint64{NameHash("a"), NameHash("b"), NameHash("c"), NameHash("d"), NameHash("e")}

const testStart = 100 // StartMillis of all members in the tests

// newTestCore returns the view of member 0, in which all n members are alive.
func newTestCore(n int, config Config) *Core {
	c := New(config, 0, testRoster[:n], 1, testStart, 7, 0)
	for id := MemberID(1); int(id) < n; id++ {
		c.HandleMessage(0, id, pushRecord(aliveRecord(id)))
	}
	return c
}

// aliveRecord returns a member's record at its first incarnation.
func aliveRecord(id MemberID) MemberRecord {
	return MemberRecord{
		Member:      id,
		Incarnation: Incarnation{StartMillis: testStart},
		InstanceID:  uint64(id),
		State:       Alive,
	}
}

func pushRecord(record MemberRecord) Message {
	return Message{Kind: Push, Records: []MemberRecord{record}}
}

func pushAccusation(a Accusation) Message {
	return Message{Kind: Push, Accusations: []Accusation{a}}
}

// accusation returns an accusation of a member's first incarnation.
func accusation(accuser, id MemberID) Accusation {
	return Accusation{Accuser: accuser, Member: id, Incarnation: Incarnation{StartMillis: testStart}}
}

func stateOf(c *Core, id MemberID) State {
	state, _ := c.Lookup(id)
	return state
}

// runUntil ticks a core from one time to another. Pings sent by the core for which acks returns true are acked after
// 1 ms.
func runUntil(c *Core, from, to float64, acks func(Send) bool) (all []Action) {
	for now := from; now < to; {
		for _, action := range c.Tick(now) {
			all = append(all, action)
			send, ok := action.(Send)
			if ok && send.Kind == Ping && send.Requester == c.self && acks(send) {
				ack := Message{Kind: Ack, Nonce: send.Nonce, Requester: c.self}
				all = append(all, c.HandleMessage(now+0.001, send.To, ack)...)
			}
		}
		now = min(max(c.NextDeadline(), now+0.002), now+0.1)
	}
	return all
}

func allAck(Send) bool { return true }

// Reputation returns the decayed counts of a member's refuted and confirmed accusations, and whether they are
// ignored.
func (c *Core) Reputation(id MemberID) (refuted, confirmed float64, ignored bool) {
	r := &c.members[id].reputation
	return r.refuted, r.confirmed, c.isIgnored(id)
}
