package swim

import (
	"math"
	"slices"
)

const (
	gossipFactor          = 2 // multiplied by log2 of the members: transmissions of one item
	minTransmissions      = 3
	maxDuplicates         = 3 // duplicates received before an item is dropped; push-pull repairs members that missed it
	maxRecords            = 5 // per message; with accusations and entries, a message is below 1,400 bytes
	maxRecordsWithEntries = 3 // records up to which gossip is added to a message that has entries
	maxAccusations        = 3 // per message
)

// noAccuser is the accuser in the gossipSubject of a member record.
const noAccuser MemberID = -1

// gossipSubject identifies what a gossip item is about: a member's record, or the accusation of a member by one
// accuser. The queue holds only the newest item of each subject, so its size is bounded by the roster.
type gossipSubject struct{ member, accuser MemberID }

func subjectOf(a Accusation) gossipSubject {
	return gossipSubject{member: a.Member, accuser: a.Accuser}
}

func recordSubject(id MemberID) gossipSubject { return gossipSubject{member: id, accuser: noAccuser} }

// gossip is a queued record or accusation. For a record, the member's newest record is looked up at the time of
// sending.
type gossip struct {
	gossipSubject
	accusation Accusation
	number     uint64
}

// queuedGossip identifies the newest item of a subject and counts its duplicates.
type queuedGossip struct {
	number     uint64
	duplicates int // copies received from other members since the item was queued
}

// gossipQueue holds the items to send, ordered by the number of times they were sent, the least first.
type gossipQueue struct {
	levels     [][]gossip // indexed by the number of transmissions so far
	newest     map[gossipSubject]*queuedGossip
	lastNumber uint64
}

// push queues a gossip item and replaces an older one of the same subject.
func (q *gossipQueue) push(g gossip) {
	q.lastNumber++
	g.number = q.lastNumber
	q.newest[g.gossipSubject] = &queuedGossip{number: g.number}
	if len(q.levels) == 0 {
		q.levels = make([][]gossip, 1)
	}
	q.levels[0] = append(q.levels[0], g)
}

// remove stops sending gossip about a subject.
func (q *gossipQueue) remove(s gossipSubject) { delete(q.newest, s) }

// isCurrent reports whether an item must still be sent: no newer one is queued and its subject was not removed.
func (q *gossipQueue) isCurrent(g gossip) bool {
	newest := q.newest[g.gossipSubject]
	return newest != nil && newest.number == g.number
}

// countDuplicate records that another member sent an item that is also in this queue. After maxDuplicates the item is
// dropped, because enough members know it.
func (q *gossipQueue) countDuplicate(s gossipSubject, config Config) {
	newest := q.newest[s]
	if newest == nil || config.PublishedSWIM {
		return
	}
	newest.duplicates++
	if newest.duplicates >= maxDuplicates {
		q.remove(s)
	}
}

// promote moves items that were sent from one level to the next. After the last transmission they are dropped.
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

// piggyback adds the view hash and gossip items to a message.
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
	// Items are promoted only after all levels were read, so that this message does not take them again from the
	// next level.
	for level, list := range sent {
		c.gossip.promote(level, list, transmissions)
	}
}

// gossipTransmissions returns how often a gossip item is sent, by the number of present members. As in the SWIM paper
// it is a multiple of the logarithm, after which all members have the item with high probability.
func gossipTransmissions(present float64) int {
	return max(int(gossipFactor*math.Ceil(math.Log2(present+1))), minTransmissions)
}

// addAccusationOfReceiver adds an accusation against the receiver to a message if the receiver is suspected or
// failed, so that the receiver can refute it. This is the buddy system of Lifeguard.
func (c *Core) addAccusationOfReceiver(to MemberID, m *Message) {
	receiver := &c.members[to]
	s := receiver.suspicion
	switch {
	case s == nil && receiver.state != Failed:
	case s == nil || s.accusationQueued:
		own := Accusation{Accuser: c.self, Member: to, Incarnation: receiver.record.Incarnation}
		m.Accusations = append(m.Accusations, own)
	default:
		signed := slices.IndexFunc(s.accusations, func(a Accusation) bool { return !a.FromPushPull })
		if signed >= 0 {
			m.Accusations = append(m.Accusations, s.accusations[signed])
		}
	}
}

// isFull reports whether a message can take no further gossip.
func (m *Message) isFull(recordLimit int) bool {
	return len(m.Records) >= recordLimit && len(m.Accusations) >= maxAccusations
}

// takeGossip moves items of a level into a message and returns them. Items that are no longer current are dropped.
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
