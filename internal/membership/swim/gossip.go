package swim

import (
	"math"
	"slices"
)

const (
	gossipFactor          = 2 // times log2 of the members: how often a piece is passed on
	minTransmissions      = 3
	maxEchoes             = 3 // receptions of what we pass on ourselves before we stop; push-pull finds who lacks it
	maxRecords            = 5 // a message: with accusations and entries it stays under 1,400 bytes
	maxRecordsWithEntries = 3 // a message that has entries
	maxAccusations        = 3 // a message
)

// noAccuser marks the subject of a member's own record.
const noAccuser MemberID = -1

// gossipSubject is what a piece of gossip is about: one for a member's record, and one for each accuser of it. The
// queue holds the newest piece of each, so that it is bounded by the roster.
type gossipSubject struct{ member, accuser MemberID }

func subjectOf(a Accusation) gossipSubject {
	return gossipSubject{member: a.Member, accuser: a.Accuser}
}

func recordSubject(id MemberID) gossipSubject { return gossipSubject{member: id, accuser: noAccuser} }

// gossip is a record or an accusation that is passed on. A record is looked up when it is sent.
type gossip struct {
	gossipSubject
	accusation Accusation
	number     uint64
}

// queuedGossip is the newest piece of a subject.
type queuedGossip struct {
	number uint64
	echoes int // receptions of the same from others since
}

// gossipQueue holds what is to be passed on, the pieces that were sent least first.
type gossipQueue struct {
	levels     [][]gossip // by how often they were sent
	newest     map[gossipSubject]*queuedGossip
	lastNumber uint64
}

// push queues a piece of gossip in place of an older one of the same subject.
func (q *gossipQueue) push(g gossip) {
	q.lastNumber++
	g.number = q.lastNumber
	q.newest[g.gossipSubject] = &queuedGossip{number: g.number}
	if len(q.levels) == 0 {
		q.levels = make([][]gossip, 1)
	}
	q.levels[0] = append(q.levels[0], g)
}

// remove stops the gossip about a subject.
func (q *gossipQueue) remove(s gossipSubject) { delete(q.newest, s) }

// isCurrent reports whether a piece is still to be sent: no newer one is queued and the subject was not removed.
func (q *gossipQueue) isCurrent(g gossip) bool {
	newest := q.newest[g.gossipSubject]
	return newest != nil && newest.number == g.number
}

// countEcho notes that another member sent us what we pass on ourselves. After some echoes it is known well enough.
func (q *gossipQueue) countEcho(s gossipSubject, config Config) {
	newest := q.newest[s]
	if newest == nil || config.PublishedSWIM {
		return
	}
	newest.echoes++
	if newest.echoes >= maxEchoes {
		q.remove(s)
	}
}

// promote moves pieces that were sent from one level to the next; after the last transmission they are dropped.
func (q *gossipQueue) promote(level int, sent []gossip, transmissions int) {
	if level+1 >= transmissions {
		for _, g := range sent {
			q.remove(g.gossipSubject)
		}
		return
	}
	if len(sent) == 0 {
		return
	}
	if level+1 == len(q.levels) {
		q.levels = append(q.levels, nil)
	}
	q.levels[level+1] = append(q.levels[level+1], sent...)
}

// queueRecord queues a member's newest record as gossip.
func (c *Core) queueRecord(id MemberID) { c.gossip.push(gossip{gossipSubject: recordSubject(id)}) }

// queueAccusation queues an accusation as gossip.
func (c *Core) queueAccusation(a Accusation) {
	c.gossip.push(gossip{gossipSubject: subjectOf(a), accusation: a})
}

// piggyback adds the view hash and gossip to a message.
func (c *Core) piggyback(to MemberID, m *Message) {
	m.ViewHash = c.viewHash
	c.addAccusationOfReceiver(to, m)
	recordLimit := maxRecords
	if len(m.Entries) > 0 {
		recordLimit = maxRecordsWithEntries
	}
	transmissions := gossipTransmissions(c.size())
	var sent [][]gossip
	for level := range c.gossip.levels {
		if m.isFull(recordLimit) {
			break
		}
		sent = append(sent, c.takeGossip(level, to, m, recordLimit))
	}
	// What was sent moves on only now, so that this message does not take it again from the next level.
	for level, list := range sent {
		c.gossip.promote(level, list, transmissions)
	}
}

// gossipTransmissions is how often a piece of gossip is sent, by the number of members present: the published SWIM's
// multiple of the logarithm, after which all have it with a high probability.
func gossipTransmissions(present float64) int {
	return max(int(gossipFactor*math.Ceil(math.Log2(present+1))), minTransmissions)
}

// addAccusationOfReceiver sends a suspected or failed receiver an accusation against itself, so that it can refute:
// Lifeguard's buddy system.
func (c *Core) addAccusationOfReceiver(to MemberID, m *Message) {
	receiver := &c.members[to]
	s := receiver.suspicion
	switch {
	case s == nil && receiver.state != Failed:
	case s == nil || s.announced:
		own := Accusation{Accuser: c.self, Member: to, Incarnation: receiver.record.Incarnation}
		m.Accusations = append(m.Accusations, own)
	default:
		signed := slices.IndexFunc(s.accusations, func(a Accusation) bool { return !a.FromPushPull })
		if signed >= 0 {
			m.Accusations = append(m.Accusations, s.accusations[signed])
		}
	}
}

// isFull reports whether a message has no room for further gossip.
func (m *Message) isFull(recordLimit int) bool {
	return len(m.Records) >= recordLimit && len(m.Accusations) >= maxAccusations
}

// takeGossip moves pieces of a level into a message and returns them. Pieces that are no longer current are
// dropped.
func (c *Core) takeGossip(level int, to MemberID, m *Message, recordLimit int) (sent []gossip) {
	list := c.gossip.levels[level]
	var remaining []gossip
	next := 0
	for ; next < len(list) && !m.isFull(recordLimit); next++ {
		g := list[next]
		isRecord := g.accuser == noAccuser
		switch {
		case !c.gossip.isCurrent(g):
		case isRecord && len(m.Records) < recordLimit && g.member != to && !m.hasRecordOf(g.member):
			m.Records = append(m.Records, c.members[g.member].record)
			sent = append(sent, g)
		case !isRecord && len(m.Accusations) < maxAccusations && g.member != to && g.accuser != to:
			m.Accusations = append(m.Accusations, g.accusation)
			sent = append(sent, g)
		default:
			remaining = append(remaining, g)
		}
	}
	if len(remaining) > 0 {
		c.gossip.levels[level] = append(remaining, list[next:]...)
	} else {
		c.gossip.levels[level] = list[next:]
	}
	return sent
}
