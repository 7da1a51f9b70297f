package validity

const (
	maxSilenceMS = 5000 // maximum time without an event or heartbeat: five heartbeat intervals
	clockSlackMS = 2000 // clock differences up to this value are tolerated; a larger step back means a clock change
)

// Tracker tracks purges and the state of the event stream. It is not safe for concurrent use.
//
// Its memory is bounded by the limit of purges, with BytesPerPurge bytes each.
type Tracker struct {
	purges purgeSet

	number   uint64 // number of the last applied event
	checksum uint32 // checksum of the last applied event

	clockHighWater int64 // Unix ms, the latest time ever seen
	lastEventAt    int64 // Unix ms of the last event or heartbeat

	continuous   bool // the events of this connection are verified to continue from the last applied event
	caughtUp     bool // a heartbeat has shown that all earlier events were applied
	emptyAtStart bool // no event was applied and the disk was empty at the start, so no copy can have missed a purge

	suspectUpTo uint64 // highest sequence number of copies that need confirmation by the upstream
	epoch       uint16
}

// NewTracker returns an empty Tracker that remembers up to maxPurges purges of objects; 0 means DefaultMaxPurges.
func NewTracker(maxPurges int) *Tracker {
	return &Tracker{purges: newPurgeSet(maxPurges), emptyAtStart: true, epoch: 1}
}

// Restore applies the records of earlier runs in their order. lastSeq is the highest sequence number on the disk, now
// the time in Unix ms. The caller must write the returned records.
func (t *Tracker) Restore(records []Record, lastSeq uint64, now int64) []Record {
	for _, r := range records {
		t.restoreRecord(r)
	}
	t.emptyAtStart = lastSeq == 0 && t.number == 0
	var out []Record
	if lastSeq > 0 && clockWasSetBack(now, t.clockHighWater) {
		out = append(out, t.markSuspect(lastSeq, now))
	}
	return append(out, t.trimPurges(now)...)
}

// clockWasSetBack reports whether now is earlier than the latest time seen before, both in Unix ms. Copies would look
// younger and purges older than they are, so all copies on the disk need confirmation by the upstream.
func clockWasSetBack(now, clockHighWater int64) bool { return now < clockHighWater-clockSlackMS }

func (t *Tracker) restoreRecord(r Record) {
	switch r.Kind {
	case PurgeObject:
		t.purges.addObject(r.Object, r.PurgedAt)
	case PurgeGroup:
		t.purges.addGroup(r.Group, r.PurgedAt)
	case EventGap:
		t.suspectUpTo = max(t.suspectUpTo, r.Seq)
	case PurgeFloor:
		t.purges.floor = max(t.purges.floor, r.PurgedAt)
	case Checkpoint: // has only the fields common to all kinds, applied below
	}
	if r.Number > 0 {
		t.number, t.checksum = r.Number, r.Checksum
	}
	t.clockHighWater = max(t.clockHighWater, r.WrittenAt)
}

// ResumeAfter returns the event number after which the stream must be requested. The last applied event is requested
// again, to verify that the stream continues from it.
func (t *Tracker) ResumeAfter() uint64 {
	if t.number == 0 {
		return 0
	}
	return t.number - 1
}

// Position returns the number of the last applied event and whether this connection is verified to continue from it.
func (t *Tracker) Position() (number uint64, continuous bool) { return t.number, t.continuous }

// StreamOpened records that a new connection to the event stream was opened. Continuity must be verified again.
func (t *Tracker) StreamOpened() {
	t.continuous = t.number == 0
}

// Apply applies an event. lastSeq is the highest sequence number written so far. The caller must write the returned
// records. If reconnect is true, the numbering of the stream has restarted and the caller must request all events
// again, after the number that ResumeAfter returns.
func (t *Tracker) Apply(now int64, lastSeq uint64, event Event) (write []Record, reconnect bool) {
	t.clockHighWater = max(t.clockHighWater, now)
	if !t.continuous {
		return t.verifyContinuity(now, lastSeq, event)
	}
	t.lastEventAt = now
	if event.Heartbeat {
		t.caughtUp = t.caughtUp || event.Number <= t.number
		return nil, false
	}
	if event.Number <= t.number {
		return nil, false
	}
	if t.hasGapBefore(event) {
		write = append(write, t.recordMissedEvents(lastSeq, now)...)
	}
	t.number, t.checksum = event.Number, event.Checksum
	write = append(write, t.recordEvent(event, now))
	return append(write, t.trimPurges(now)...), false
}

// verifyContinuity handles the first event of a connection. If it is the last applied event, the stream continues from
// there. Any other event shows that the service was set up again and numbers its events from the start: purges that it
// announced in the meantime are unknown here, and their numbers would look like those of events already applied.
func (t *Tracker) verifyContinuity(now int64, lastSeq uint64, event Event) (write []Record, reconnect bool) {
	if !t.isLastApplied(event) {
		t.number, t.checksum = 0, 0
		return t.recordMissedEvents(lastSeq, now), true
	}
	t.continuous = true
	if !t.UpToDate(now) { // events missed during the silence follow
		t.caughtUp = false
	}
	t.lastEventAt = now
	return nil, false
}

// isLastApplied reports whether the event is the last applied event, sent again.
func (t *Tracker) isLastApplied(event Event) bool {
	return !event.Heartbeat && event.Number == t.number && event.Checksum == t.checksum
}

// hasGapBefore reports whether events before this one may be missing.
func (t *Tracker) hasGapBefore(event Event) bool {
	if t.number > 0 {
		return event.Number > t.number+1
	}
	return event.Number > 1 && !t.emptyAtStart // the service no longer stores its first events
}

// recordEvent adds the purge of an event, if it is one, to the known purges, and returns the record of the event.
func (t *Tracker) recordEvent(event Event, now int64) Record {
	r := Record{
		Kind:      Checkpoint,
		Number:    event.Number,
		Checksum:  event.Checksum,
		WrittenAt: now,
	}
	if !event.Purge {
		return r
	}
	r.Object, r.Group, r.PurgedAt = event.Object, event.Group, event.PurgedAt
	if event.ByGroup {
		r.Kind = PurgeGroup
		t.purges.addGroup(event.Group, event.PurgedAt)
	} else {
		r.Kind = PurgeObject
		t.purges.addObject(event.Object, event.PurgedAt)
	}
	return r
}

// recordMissedEvents records that purges may have been missed. On an empty disk there is no copy they could affect.
func (t *Tracker) recordMissedEvents(lastSeq uint64, now int64) []Record {
	if lastSeq == 0 {
		return nil
	}
	return []Record{t.markSuspect(lastSeq, now)}
}

// markSuspect starts a new epoch, in which copies up to sequence number lastSeq need confirmation by the upstream.
func (t *Tracker) markSuspect(lastSeq uint64, now int64) Record {
	t.suspectUpTo = max(t.suspectUpTo, lastSeq)
	t.epoch++
	return Record{Kind: EventGap, Seq: lastSeq, WrittenAt: now}
}

// trimPurges limits the number of remembered purges. Copies older than a discarded purge stay unconfirmed.
func (t *Tracker) trimPurges(now int64) []Record {
	if !t.purges.trim() {
		return nil
	}
	return []Record{{Kind: PurgeFloor, PurgedAt: t.purges.floor, WrittenAt: now}}
}

// Checkpoint returns a record of the time and the position in the stream. The caller should write one periodically.
func (t *Tracker) Checkpoint(now int64) Record {
	t.clockHighWater = max(t.clockHighWater, now)
	return Record{
		Kind:      Checkpoint,
		Number:    t.number,
		Checksum:  t.checksum,
		WrittenAt: now,
	}
}

// PrunePurges discards purges older than every copy that they could affect. oldest is the earliest issue time, in Unix
// ms, of all copies on the disk or in transit to it.
func (t *Tracker) PrunePurges(oldest int64) { t.purges.prune(oldest) }

// UpToDate reports whether no purge can have been missed: the tracker has caught up with the stream, and the stream is
// not silent. Otherwise every copy is unconfirmed. Without heartbeats, a hung connection could not be distinguished
// from one without events.
func (t *Tracker) UpToDate(now int64) bool { return t.caughtUp && now-t.lastEventAt <= maxSilenceMS }

// Evaluate returns whether a copy may be served now. now is in Unix ms.
func (t *Tracker) Evaluate(now int64, c Copy) Verdict {
	if t.IsInvalidated(c) {
		return Invalidated
	}
	if !t.UpToDate(now) || t.mayHaveMissedPurge(c) || isFromFuture(now, c) {
		return Unconfirmed
	}
	return Valid
}

// mayHaveMissedPurge reports whether a copy may be older than an unknown purge: one that was discarded, or one in a gap
// of the event stream. A copy in memory, or one written before a gap, is valid again once the upstream has confirmed it
// in the current epoch.
func (t *Tracker) mayHaveMissedPurge(c Copy) bool {
	beforeGap := c.Seq == 0 || c.Seq <= t.suspectUpTo
	return c.IssuedAt <= t.purges.floor || beforeGap && c.ConfirmedEpoch != t.epoch
}

// isFromFuture reports whether a copy's issue time is later than now, in Unix ms. Such a copy would look newer than
// every purge.
func isFromFuture(now int64, c Copy) bool { return c.IssuedAt > now+clockSlackMS }

// IsInvalidated reports whether a known purge invalidates a copy.
func (t *Tracker) IsInvalidated(c Copy) bool { return t.purges.invalidates(c) }

// Epoch returns the current validation epoch. A new epoch starts whenever purges may have been missed. A confirmation
// by the upstream counts only if it was requested in the current epoch.
func (t *Tracker) Epoch() uint16 { return t.epoch }

// Status returns the state of the tracker for operators.
func (t *Tracker) Status(now int64) Status {
	return Status{
		Number:         t.number,
		UpToDate:       t.UpToDate(now),
		Continuous:     t.continuous,
		SuspectUpTo:    t.suspectUpTo,
		PurgeFloor:     t.purges.floor,
		Purges:         t.purges.len(),
		ClockHighWater: t.clockHighWater,
	}
}

// Records returns the shortest list of records that restores the tracker's state, for rewriting a long log.
func (t *Tracker) Records(now int64) []Record {
	out := t.purges.records(now)
	if t.suspectUpTo > 0 {
		out = append(out, Record{Kind: EventGap, Seq: t.suspectUpTo, WrittenAt: now})
	}
	if t.purges.floor > 0 {
		out = append(out, Record{Kind: PurgeFloor, PurgedAt: t.purges.floor, WrittenAt: now})
	}
	return append(out, t.Checkpoint(now))
}
