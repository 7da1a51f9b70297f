package swim

// Times in seconds unless a constant says otherwise.
const (
	pushPullInterval          = 4.0  // while all views agree
	pushPullIntervalDiffering = 0.5  // while some view differs
	viewSettleFor             = 0.75 // after an own change, before a different view is worth a push-pull
	pushPullJitterMin         = 0.75 // of the interval
	pushPullJitterRange       = 0.5  // of the interval
	maxPingsPerPushPull       = 3    // of members that we hold failed and the sender holds present
	maxEntries                = 24   // a message
)

// pushPullSchedule says when the next push-pull is due and where in the table it begins.
type pushPullSchedule struct {
	nextAt float64
	cursor int
}

// startPushPull sends a part of the table to a member, preferably and sooner to one whose view differs from ours.
func (c *Core) startPushPull(now float64) {
	var present, differing []MemberID
	for i := range c.members {
		id, m := MemberID(i), &c.members[i]
		if id == c.self || !m.state.Present() || m.removed {
			continue
		}
		present = append(present, id)
		if m.viewHash != c.viewHash && isViewComparable(now, m.heardAt, c.viewChangedAt) {
			differing = append(differing, id)
		}
	}
	interval, candidates := pushPullInterval, present
	if len(differing) > 0 {
		interval, candidates = pushPullIntervalDiffering, differing
	}
	c.pushPull.nextAt = now + interval*(pushPullJitterMin+pushPullJitterRange*c.random.Float64())
	if len(candidates) == 0 {
		return
	}
	to := candidates[c.random.IntN(len(candidates))]
	c.send(to, Message{Kind: PushPullRequest, Entries: c.nextEntries()})
}

// isViewComparable says whether a view that was heard at a time can be compared with ours, which changed last at
// another. One heard before an own change has settled differs because the news is under way, not because a message was
// lost.
func isViewComparable(now, heardAt, ownChangedAt float64) bool {
	return heardAt > ownChangedAt+viewSettleFor && now-heardAt < pushPullInterval
}

// nextEntries is the next part of the table.
func (c *Core) nextEntries() []PushPullEntry {
	var entries []PushPullEntry
	for n := 0; n < len(c.members) && len(entries) < maxEntries; n++ {
		c.pushPull.cursor = (c.pushPull.cursor + 1) % len(c.members)
		entries = append(entries, c.entryOf(MemberID(c.pushPull.cursor)))
	}
	return entries
}

func (c *Core) entryOf(id MemberID) PushPullEntry {
	m := &c.members[id]
	return PushPullEntry{Member: id, Incarnation: m.record.Incarnation, State: m.state}
}

// handlePushPullRequest answers with newer records, and with entries of members of which the sender has newer
// records.
func (c *Core) handlePushPullRequest(now float64, from MemberID, entries []PushPullEntry) {
	reply := Message{Kind: PushPullReply}
	c.compareEntries(now, from, entries, &reply)
	c.send(from, reply)
}

// handlePushPullReply sends the records that the other asked for.
func (c *Core) handlePushPullReply(now float64, from MemberID, entries []PushPullEntry) {
	push := Message{Kind: Push}
	c.compareEntries(now, from, entries, &push)
	if len(push.Records) > 0 {
		c.send(from, push)
	}
}

// compareEntries adds to an answer our newer records and, in a PushPullReply, our entries of members of which the
// sender has newer records. It takes failures that the sender holds as accusations, and pings members that we alone
// hold failed.
func (c *Core) compareEntries(now float64, from MemberID, entries []PushPullEntry, answer *Message) {
	pings := 0
	for _, e := range entries {
		if !c.inRoster(e.Member) {
			continue
		}
		m := &c.members[e.Member]
		switch {
		case e.Incarnation.Less(m.record.Incarnation):
			if len(answer.Records) < maxRecords {
				answer.Records = append(answer.Records, m.record)
			}
		case m.record.Incarnation.Less(e.Incarnation):
			if answer.Kind == PushPullReply && len(answer.Entries) < maxEntries {
				answer.Entries = append(answer.Entries, c.entryOf(e.Member))
			}
		case e.State == Failed && m.state.Present():
			// The sender signed the message with its entries: an entry is its accusation.
			c.handleAccusation(now, Accusation{
				Accuser:      from,
				Member:       e.Member,
				Incarnation:  e.Incarnation,
				FromPushPull: true,
			})
		case e.State.Present() && m.state == Failed && e.Member != c.self && pings < maxPingsPerPushPull:
			pings++
			c.ping(e.Member) // the ping tells the member that we hold it failed, and it refutes
		}
	}
}
