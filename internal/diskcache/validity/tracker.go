package validity

const (
	maxSilenceMS = 5000 // without an event, after which purges may have been missed: five heartbeats
	clockSlackMS = 2000 // by which the clock may run behind what it showed before; more means that it was set back
)

// Tracker is the state of what is known about purges and the event stream. It is not safe for concurrent use.
//
// Its memory is bounded by the limit of purges, BytesPerPurge each.
type Tracker struct {
	purges purgeSet

	number   uint64 // of the last event applied
	checksum uint32 // of the last event applied

	clockHighWater int64 // Unix ms, the latest time ever seen
	lastEventAt    int64 // Unix ms of the last event or heartbeat

	continuous bool // events of this connection continue from what was applied before
	caughtUp   bool // a heartbeat has shown once that all earlier events were applied
	pristine   bool // no event was applied and nothing is on the disk: no copy can have missed a purge

	suspectUpTo uint64 // highest sequence number that needs a confirmation
	epoch       uint16
}

// NewTracker returns an empty tracker that remembers up to maxPurges purges of objects; 0 means DefaultMaxPurges.
func NewTracker(maxPurges int) *Tracker {
	return &Tracker{purges: newPurgeSet(maxPurges), pristine: true, epoch: 1}
}

// Restore applies the records of earlier runs in their order. lastSeq is the highest sequence number on the disk, now
// the time in Unix ms. The returned records have to be written.
func (t *Tracker) Restore(records []Record, lastSeq uint64, now int64) []Record {
	for _, r := range records {
		t.restoreRecord(r)
	}
	t.pristine = lastSeq == 0 && t.number == 0
	var out []Record
	if lastSeq > 0 && clockWasSetBack(now, t.clockHighWater) {
		out = append(out, t.suspect(lastSeq, now))
	}
	return append(out, t.trimPurges(now)...)
}

// clockWasSetBack says whether the clock shows an earlier time than it did before, both in Unix ms. Copies would look
// younger than they are, and purges older than they are; so all copies on the disk have to be confirmed.
func clockWasSetBack(now, clockHighWater int64) bool { return now < clockHighWater-clockSlackMS }

func (t *Tracker) restoreRecord(r Record) {
	switch r.Kind {
	case PurgeObject:
		t.purges.addObject(r.Object, r.PurgedAt)
	case PurgeGroup:
		t.purges.addGroup(r.Group, r.PurgedAt)
	case Gap:
		t.suspectUpTo = max(t.suspectUpTo, r.Seq)
	case PurgeFloor:
		t.purges.floor = max(t.purges.floor, r.PurgedAt)
	case Checkpoint: // only what each record has
	}
	if r.Number > 0 {
		t.number, t.checksum = r.Number, r.Checksum
	}
	t.clockHighWater = max(t.clockHighWater, r.WrittenAt)
}

// ResumeAfter returns the number after which events have to be requested. The last event applied is requested again,
// to verify that the stream continues from it.
func (t *Tracker) ResumeAfter() uint64 {
	if t.number == 0 {
		return 0
	}
	return t.number - 1
}

// Position returns the number of the last event applied and whether this connection is known to continue from it.
func (t *Tracker) Position() (number uint64, continuous bool) { return t.number, t.continuous }

// StreamOpened records that a new connection to the event stream was opened.
func (t *Tracker) StreamOpened() {
	t.continuous = t.number == 0
}

// Apply applies an event. lastSeq is the highest sequence number written so far. The returned records have to be
// written. If reconnect is true, the stream's numbering has restarted and all events have to be requested again, after
// the number that ResumeAfter returns.
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
	if t.skips(event) {
		write = append(write, t.missedEvents(lastSeq, now)...)
	}
	t.number, t.checksum = event.Number, event.Checksum
	write = append(write, t.record(event, now))
	return append(write, t.trimPurges(now)...), false
}

// verifyContinuity takes the first event of a connection. The last event that was applied, sent once more, shows that
// the stream continues. Another one shows that the service was set up anew and numbers its events from the start:
// purges that it announced meanwhile are not known here, and their numbers would be taken for old ones.
func (t *Tracker) verifyContinuity(now int64, lastSeq uint64, event Event) (write []Record, reconnect bool) {
	if !t.isLastApplied(event) {
		t.number, t.checksum = 0, 0
		return t.missedEvents(lastSeq, now), true
	}
	t.continuous = true
	if !t.UpToDate(now) { // events that were missed in the silence follow
		t.caughtUp = false
	}
	t.lastEventAt = now
	return nil, false
}

// isLastApplied reports whether the event is the last one applied, sent once more.
func (t *Tracker) isLastApplied(event Event) bool {
	return !event.Heartbeat && event.Number == t.number && event.Checksum == t.checksum
}

// skips reports whether events may be missing before this one.
func (t *Tracker) skips(event Event) bool {
	if t.number > 0 {
		return event.Number > t.number+1
	}
	return event.Number > 1 && !t.pristine // the service no longer keeps its first events
}

// record remembers the purge of an event, if it is one, and returns the event as a record.
func (t *Tracker) record(event Event, now int64) Record {
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

// missedEvents notes that purges may have been missed. An empty disk holds no copy that they could concern.
func (t *Tracker) missedEvents(lastSeq uint64, now int64) []Record {
	if lastSeq == 0 {
		return nil
	}
	return []Record{t.suspect(lastSeq, now)}
}

// suspect starts a new epoch: copies up to lastSeq need a confirmation.
func (t *Tracker) suspect(lastSeq uint64, now int64) Record {
	t.suspectUpTo = max(t.suspectUpTo, lastSeq)
	t.epoch++
	return Record{Kind: Gap, Seq: lastSeq, WrittenAt: now}
}

// trimPurges keeps the memory of purges within its bound. Copies older than what was forgotten stay unconfirmed.
func (t *Tracker) trimPurges(now int64) []Record {
	if !t.purges.trim() {
		return nil
	}
	return []Record{{Kind: PurgeFloor, PurgedAt: t.purges.floor, WrittenAt: now}}
}

// Checkpoint returns a record of the clock and the position in the stream. It is worth writing from time to time.
func (t *Tracker) Checkpoint(now int64) Record {
	t.clockHighWater = max(t.clockHighWater, now)
	return Record{
		Kind:      Checkpoint,
		Number:    t.number,
		Checksum:  t.checksum,
		WrittenAt: now,
	}
}

// PrunePurges forgets purges older than every copy that can still turn up. oldest is the time of the oldest copy on the
// disk or on its way to it, in Unix ms.
func (t *Tracker) PrunePurges(oldest int64) { t.purges.prune(oldest) }

// UpToDate reports whether no purge can have been missed: the stream was caught up with and is not silent. Otherwise
// every copy is unconfirmed. A connection that hangs looks like one without news; the missing heartbeats show it.
func (t *Tracker) UpToDate(now int64) bool { return t.caughtUp && now-t.lastEventAt <= maxSilenceMS }

// Evaluate says how a copy may be used now.
func (t *Tracker) Evaluate(now int64, c Copy) Verdict {
	if t.IsInvalidated(c) {
		return Invalidated
	}
	if !t.UpToDate(now) || t.mayHaveMissedPurge(c) || isFromFuture(now, c) {
		return Unconfirmed
	}
	return Valid
}

// mayHaveMissedPurge says whether a copy may be older than a purge that is not known: one that was forgotten, or one of
// a gap in the event stream. A copy in memory or from before a gap counts again once its source has confirmed it in the
// present epoch.
func (t *Tracker) mayHaveMissedPurge(c Copy) bool {
	beforeGap := c.Seq == 0 || c.Seq <= t.suspectUpTo
	return c.IssuedAt <= t.purges.floor || beforeGap && c.ConfirmedEpoch != t.epoch
}

// isFromFuture says whether a copy's issue time is later than the clock, in Unix ms. Such a copy would seem to be newer
// than every purge.
func isFromFuture(now int64, c Copy) bool { return c.IssuedAt > now+clockSlackMS }

// IsInvalidated reports whether a known purge invalidates a copy.
func (t *Tracker) IsInvalidated(c Copy) bool { return t.purges.covers(c) }

// Epoch returns the present epoch. A new one starts whenever purges may have been missed. A confirmation by the source
// counts only if it was requested in the present epoch.
func (t *Tracker) Epoch() uint16 { return t.epoch }

// Status describes the tracker for operators.
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

// Records returns the shortest list of records that restores the tracker, for rewriting a log that has grown.
func (t *Tracker) Records(now int64) []Record {
	out := t.purges.records(now)
	if t.suspectUpTo > 0 {
		out = append(out, Record{Kind: Gap, Seq: t.suspectUpTo, WrittenAt: now})
	}
	if t.purges.floor > 0 {
		out = append(out, Record{Kind: PurgeFloor, PurgedAt: t.purges.floor, WrittenAt: now})
	}
	return append(out, t.Checkpoint(now))
}
