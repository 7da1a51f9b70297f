package validity

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startMS is the start time of the tests in Unix ms.
const startMS = int64(1_800_000_000_000)

// caughtUpTracker returns a tracker that has applied events 1 to 7 with ten copies on the disk, and its records.
func caughtUpTracker() (*Tracker, []Record) {
	tracker := NewTracker(0)
	tracker.StreamOpened()
	var log []Record
	for n := range uint64(7) {
		records, _ := tracker.Apply(startMS, 10, Event{Number: n + 1, Checksum: uint32(n) + 100})
		log = append(log, records...)
	}
	tracker.Apply(startMS, 10, Event{Heartbeat: true})
	return tracker, log
}

func restarted(log []Record, now int64) *Tracker {
	tracker := NewTracker(0)
	tracker.Restore(log, 10, now)
	tracker.StreamOpened()
	return tracker
}

var olderCopy = Copy{Object: 1, Group: 3, IssuedAt: startMS - 5000, Seq: 4}

// TestPurgeInvalidatesCopiesUpToItsTime purges an object and a group. A copy issued in the same millisecond as the
// purge may be older than it, and a copy of an unknown group may belong to the purged group: both must be invalid.
// Younger copies and those of other objects and groups must stay valid.
func TestPurgeInvalidatesCopiesUpToItsTime(t *testing.T) {
	tracker, _ := caughtUpTracker()
	assert.Equal(t, Valid, tracker.Evaluate(startMS, olderCopy))
	tracker.Apply(startMS, 10, Event{Number: 8, Purge: true, Object: 1, PurgedAt: startMS - 5000})
	assert.Equal(t, Invalidated, tracker.Evaluate(startMS, olderCopy), "the same millisecond")
	assert.Equal(t, Valid, tracker.Evaluate(startMS, Copy{Object: 1, Group: 3, IssuedAt: startMS - 4999, Seq: 4}))
	assert.Equal(t, Valid, tracker.Evaluate(startMS, Copy{Object: 2, Group: 3, IssuedAt: startMS - 9000, Seq: 4}))
	tracker.Apply(startMS, 10, Event{Number: 9, Purge: true, ByGroup: true, Group: 3, PurgedAt: startMS - 4000})
	assert.Equal(t, Invalidated, tracker.Evaluate(startMS, Copy{Object: 2, Group: 3, IssuedAt: startMS - 4500, Seq: 4}))
	assert.Equal(
		t,
		Invalidated,
		tracker.Evaluate(startMS, Copy{Object: 2, Group: UnknownGroup, IssuedAt: startMS - 4500}),
		"unknown group",
	)
}

// TestPurgesSurviveRestart restarts the tracker after a purge. Without the log, the purged copy on the disk would be
// served again. It must stay invalid, and the last event must be requested again.
func TestPurgesSurviveRestart(t *testing.T) {
	tracker, log := caughtUpTracker()
	records, _ := tracker.Apply(startMS, 10, Event{Number: 8, Checksum: 5, Purge: true, Object: 1, PurgedAt: startMS})
	tracker = restarted(append(log, records...), startMS+1000)
	assert.Equal(t, Invalidated, tracker.Evaluate(startMS+1000, olderCopy))
	assert.Equal(t, uint64(7), tracker.ResumeAfter())
}

// TestCopiesAreUnconfirmedUntilCaughtUpAfterRestart restarts the tracker and applies the events published meanwhile.
// They may contain a purge of a copy on the disk. All copies must be unconfirmed until the tracker has caught up with
// the stream.
func TestCopiesAreUnconfirmedUntilCaughtUpAfterRestart(t *testing.T) {
	_, log := caughtUpTracker()
	tracker := restarted(log, startMS+9000)
	assert.Equal(t, Unconfirmed, tracker.Evaluate(startMS+9000, olderCopy), "no event applied")
	_, reconnect := tracker.Apply(startMS+9000, 10, Event{Number: 7, Checksum: 106})
	assert.False(t, reconnect)
	assert.Equal(t, Unconfirmed, tracker.Evaluate(startMS+9000, olderCopy), "continuous, not caught up")
	tracker.Apply(startMS+9000, 10, Event{Number: 8, Purge: true, Object: 1, PurgedAt: startMS + 3000})
	tracker.Apply(startMS+9000, 10, Event{Heartbeat: true})
	assert.Equal(t, Invalidated, tracker.Evaluate(startMS+9000, olderCopy), "purged while it was down")
	assert.Equal(t, Valid, tracker.Evaluate(startMS+9000, Copy{Object: 2, IssuedAt: startMS, Seq: 5}))
}

// TestRestartedNumberingLeavesCopiesUnconfirmed reconnects to a stream that has another event with the last number, no
// events from that number on, or only later events. In each case the copies must be unconfirmed, also after another
// restart, until the upstream confirms them.
func TestRestartedNumberingLeavesCopiesUnconfirmed(t *testing.T) {
	for name, first := range map[string]Event{
		"another event":  {Number: 7, Checksum: 1},
		"heartbeat only": {Heartbeat: true},
		"a gap":          {Number: 9, Checksum: 3},
	} {
		t.Run(name, func(t *testing.T) {
			_, log := caughtUpTracker()
			tracker := restarted(log, startMS+9000)
			records, reconnect := tracker.Apply(startMS+9000, 10, first)
			assert.True(t, reconnect, "all events must be requested again")
			assert.Equal(t, uint64(0), tracker.ResumeAfter())
			log = append(log, records...)
			tracker.StreamOpened()
			for n := range uint64(3) {
				records, _ = tracker.Apply(startMS+9100, 10, Event{Number: n + 1, Checksum: uint32(n)})
				log = append(log, records...)
			}
			tracker.Apply(startMS+9100, 10, Event{Heartbeat: true})
			assert.Equal(t, Unconfirmed, tracker.Evaluate(startMS+9100, olderCopy))
			assert.Equal(
				t,
				Valid,
				tracker.Evaluate(startMS+9100, Copy{Object: 1, IssuedAt: startMS + 9050, Seq: 11}),
				"fetched after the gap",
			)
			confirmed := olderCopy
			confirmed.ConfirmedEpoch = tracker.Epoch()
			assert.Equal(t, Valid, tracker.Evaluate(startMS+9100, confirmed))

			tracker = restarted(log, startMS+20000)
			tracker.Apply(startMS+20000, 11, Event{Number: 3, Checksum: 2})
			tracker.Apply(startMS+20000, 11, Event{Heartbeat: true})
			assert.Equal(
				t,
				Unconfirmed,
				tracker.Evaluate(startMS+20000, olderCopy),
				"a restart must not confirm the copy",
			)
			assert.Equal(t, Valid, tracker.Evaluate(startMS+20000, Copy{Object: 1, IssuedAt: startMS + 9050, Seq: 11}))
		})
	}
}

// TestGapOnOpenStreamLeavesCopiesUnconfirmed skips an event number on an open stream. The missing event may have been a
// purge. Copies written before the gap must be unconfirmed, later ones valid.
func TestGapOnOpenStreamLeavesCopiesUnconfirmed(t *testing.T) {
	tracker, _ := caughtUpTracker()
	tracker.Apply(startMS, 10, Event{Number: 9})
	assert.Equal(t, Unconfirmed, tracker.Evaluate(startMS, olderCopy))
	assert.Equal(t, Valid, tracker.Evaluate(startMS, Copy{Object: 1, IssuedAt: startMS, Seq: 11}))
}

// TestSilentStreamLeavesCopiesUnconfirmed sends no event or heartbeat for longer than maxSilenceMS. A broken connection
// looks like one without events, so purges may be missed. Copies must be unconfirmed after that time, and valid again
// once the stream continues.
func TestSilentStreamLeavesCopiesUnconfirmed(t *testing.T) {
	tracker, _ := caughtUpTracker()
	assert.Equal(t, Valid, tracker.Evaluate(startMS+maxSilenceMS, olderCopy))
	assert.Equal(t, Unconfirmed, tracker.Evaluate(startMS+maxSilenceMS+1, olderCopy))
	tracker.StreamOpened()
	tracker.Apply(startMS+9000, 10, Event{Number: 7, Checksum: 106})
	tracker.Apply(startMS+9000, 10, Event{Heartbeat: true})
	assert.Equal(t, Valid, tracker.Evaluate(startMS+9000, olderCopy), "continuous")
}

// TestClockSetBackLeavesCopiesUnconfirmed restarts the tracker after the clock was set back by a minute. New purges
// would have earlier times than the copies they invalidate. The copies on the disk must be unconfirmed, and so must
// copies with an issue time in the future.
func TestClockSetBackLeavesCopiesUnconfirmed(t *testing.T) {
	_, log := caughtUpTracker()
	tracker := NewTracker(0)
	records := tracker.Restore(log, 10, startMS-60000)
	assert.Len(t, records, 1)
	tracker.StreamOpened()
	tracker.Apply(startMS-60000, 10, Event{Number: 7, Checksum: 106})
	tracker.Apply(startMS-60000, 10, Event{Heartbeat: true})
	assert.Equal(t, Unconfirmed, tracker.Evaluate(startMS-60000, Copy{Object: 1, IssuedAt: startMS - 70000, Seq: 4}))
	assert.Equal(
		t,
		Unconfirmed,
		tracker.Evaluate(startMS-60000, Copy{Object: 1, IssuedAt: startMS, Seq: 11}),
		"issued in the future",
	)
}

// TestDiscardedPurgesLeaveCopiesUnconfirmed applies more purges than the tracker remembers. Copies whose purge was
// discarded would be valid again. A copy that may be older than a discarded purge must not be valid, also after a
// restart.
func TestDiscardedPurgesLeaveCopiesUnconfirmed(t *testing.T) {
	tracker, _ := caughtUpTracker()
	tracker.purges.limit = 16
	var log []Record
	for n := range uint64(40) {
		records, _ := tracker.Apply(
			startMS,
			10,
			Event{Number: 8 + n, Purge: true, Object: 1000 + n, PurgedAt: startMS - 1000 + int64(n)},
		)
		log = append(log, records...)
	}
	assert.LessOrEqual(t, len(tracker.purges.objects), 16)
	assert.NotEqual(
		t,
		Valid,
		tracker.Evaluate(startMS, Copy{Object: 1000, IssuedAt: startMS - 2000, Seq: 11}),
		"its purge may have been discarded",
	)
	tracker = NewTracker(16)
	tracker.Restore(log, 10, startMS)
	assert.NotEqual(t, Valid, tracker.Evaluate(startMS, Copy{Object: 1000, IssuedAt: startMS - 2000, Seq: 11}))
}

// interleaving simulates a discovery service with its events and a tracker with its log, driven by named steps.
type interleaving struct {
	tracker *Tracker
	log     []Record
	events  []Event
	now     int64
	sum     uint32
	purged  bool
}

func newInterleaving() *interleaving {
	x := &interleaving{
		tracker: NewTracker(0),
		events:  []Event{{Number: 1, Checksum: 1}},
		now:     startMS,
		sum:     1,
	}
	x.connect()
	return x
}

// connect reads the stream to its end. It reconnects and reads again if the tracker requests it.
func (x *interleaving) connect() {
	const attempts = 3
	for range attempts {
		after := x.tracker.ResumeAfter()
		x.tracker.StreamOpened()
		if !x.readAfter(after) {
			return
		}
	}
}

func (x *interleaving) readAfter(number uint64) (reconnect bool) {
	for _, event := range append(x.events, Event{Heartbeat: true}) {
		if !event.Heartbeat && event.Number <= number {
			continue
		}
		records, mustReconnect := x.tracker.Apply(x.now, 5, event)
		x.log = append(x.log, records...)
		if mustReconnect {
			return true
		}
	}
	return false
}

func (x *interleaving) publish(event Event) {
	event.Number, event.Checksum = uint64(len(x.events)+1), x.sum
	x.events = append(x.events, event)
}

func (x *interleaving) step(name string) {
	x.now += 1000
	x.sum++
	switch name {
	case "purge":
		x.purged = true
		x.publish(Event{Purge: true, Object: 1, PurgedAt: x.now})
		return
	case "other":
		x.publish(Event{})
		return
	case "restart":
		x.tracker = NewTracker(0)
		x.log = append(x.log, x.tracker.Restore(x.log, 5, x.now)...)
	case "reset": // the service restarts its numbering and has lost the purge
		x.events = []Event{{Number: 1, Checksum: x.sum}}
	}
	x.connect()
}

// TestNoInterleavingLosesPurge executes every sequence of up to six steps of the service and the edge cache. After
// none of them may a copy be valid that a published purge invalidates.
func TestNoInterleavingLosesPurge(t *testing.T) {
	const depth = 6
	steps := []string{"purge", "other", "restart", "reconnect", "reset"}
	runs := 0
	play := func(path []string) {
		runs++
		x := newInterleaving()
		for _, name := range path {
			x.step(name)
		}
		x.connect()
		verdict := x.tracker.Evaluate(x.now+10, Copy{Object: 1, IssuedAt: startMS - 1, Seq: 3})
		if x.purged && verdict == Valid {
			t.Fatalf("a purged copy is valid after steps %v", path)
		}
	}
	var walk func(path []string)
	walk = func(path []string) {
		play(path)
		if len(path) == depth {
			return
		}
		for _, s := range steps {
			walk(append(path[:len(path):len(path)], s))
		}
	}
	walk(nil)
	assert.Greater(t, runs, 15000)
}

// FuzzParseRecord parses arbitrary bytes as a record. An accepted record must be unchanged after encoding and parsing
// it again.
func FuzzParseRecord(f *testing.F) {
	f.Add(AppendRecord(
		nil,
		Record{Kind: PurgeGroup, Group: 7, PurgedAt: startMS, Number: 3, Checksum: 9, WrittenAt: startMS, Seq: 2},
	))
	f.Add(make([]byte, RecordSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ParseRecord(b)
		if err == nil {
			back, err := ParseRecord(AppendRecord(nil, r))
			require.NoError(t, err)
			assert.Equal(t, r, back)
		}
	})
}

// TestEventSentAgainDoesNotCatchUpAfterSilence reconnects after a long silence. The stream sends the last applied event
// again before the missed events. Neither that event nor a heartbeat with the number of a later event may count as
// caught up with the stream.
func TestEventSentAgainDoesNotCatchUpAfterSilence(t *testing.T) {
	tracker, _ := caughtUpTracker()
	now := startMS + maxSilenceMS + 1
	assert.Equal(t, Unconfirmed, tracker.Evaluate(now, olderCopy))
	tracker.StreamOpened()
	_, reconnect := tracker.Apply(now, 10, Event{Number: 7, Checksum: 106})
	assert.False(t, reconnect)
	assert.Equal(t, Unconfirmed, tracker.Evaluate(now, olderCopy), "purges may follow")
	tracker.Apply(now, 10, Event{Heartbeat: true, Number: 9})
	assert.Equal(t, Unconfirmed, tracker.Evaluate(now, olderCopy), "two events are missing")
	tracker.Apply(now, 10, Event{Number: 8, Purge: true, Object: 2, PurgedAt: startMS})
	tracker.Apply(now, 10, Event{Number: 9, Checksum: 109})
	tracker.Apply(now, 10, Event{Heartbeat: true, Number: 9})
	assert.Equal(t, Valid, tracker.Evaluate(now, olderCopy))
}
