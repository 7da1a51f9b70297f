package swim

// Times are in seconds unless a comment states another unit.
const (
	pushPullInterval          = 4.0  // if all views agree
	pushPullIntervalDiffering = 0.5  // if the view of another member differs
	viewSettleDelay           = 0.75 // delay after a local view change before a differing view causes a push-pull
	pushPullJitterMin         = 0.75 // fraction of the interval
	pushPullJitterRange       = 0.5  // fraction of the interval
	maxPingsPerPushPull       = 3    // pings of members that are failed in this view and present in the sender's
	maxEntries                = 24   // per message
)

// pushPullSchedule holds the time of the next push-pull and the table position at which it starts.
type pushPullSchedule struct {
	nextAt float64
	cursor int
}

// startPushPull sends a part of the member table to another member. Members whose view differs from this router's are
// preferred and shorten the interval.
func (c *Core) startPushPull(now float64) {
	var present, differing []MemberID
	for i := range c.members {
		id, m := MemberID(i), &c.members[i]
		if id == c.self || !m.state.Present() || m.removed {
			continue
		}
		present = append(present, id)
		if m.viewHash != c.viewHash && isViewComparable(now, m.viewHashReceivedAt, c.viewChangedAt) {
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

// isViewComparable reports whether a view hash received at viewHashReceivedAt can be compared with the own view,
// which last changed at ownViewChangedAt. A hash received before that change has propagated differs because gossip is
// in flight, not because a message was lost.
func isViewComparable(now, viewHashReceivedAt, ownViewChangedAt float64) bool {
	return viewHashReceivedAt > ownViewChangedAt+viewSettleDelay && now-viewHashReceivedAt < pushPullInterval
}

// nextEntries returns the next part of the member table.
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

// handlePushPullRequest replies with newer records, and with entries of the members for which the sender has newer
// records.
func (c *Core) handlePushPullRequest(now float64, from MemberID, entries []PushPullEntry) {
	reply := Message{Kind: PushPullReply}
	c.compareEntries(now, from, entries, &reply)
	c.send(from, reply)
}

// handlePushPullReply sends the records that the peer requested.
func (c *Core) handlePushPullReply(now float64, from MemberID, entries []PushPullEntry) {
	push := Message{Kind: Push}
	c.compareEntries(now, from, entries, &push)
	if len(push.Records) > 0 {
		c.send(from, push)
	}
}

// compareEntries adds this view's newer records to an answer and, in a PushPullReply, its entries of the members for
// which the sender has newer records. It handles members that are failed in the sender's view as accusations, and
// pings members that are failed only in this view.
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
			// The sender signed the message with its entries, so an entry counts as its accusation.
			c.handleAccusation(now, Accusation{
				Accuser:      from,
				Member:       e.Member,
				Incarnation:  e.Incarnation,
				FromPushPull: true,
			})
		case e.State.Present() && m.state == Failed && e.Member != c.self && pings < maxPingsPerPushPull:
			pings++
			c.ping(e.Member) // the ping carries an accusation, which the member refutes
		}
	}
}
